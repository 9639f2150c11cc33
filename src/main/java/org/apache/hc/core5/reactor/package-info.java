/**
 * Extends the I/O reactor of Apache HttpCore 5. {@link org.apache.hc.core5.reactor.AcceptedChannels} passes connections
 * that reedmux has accepted itself to that reactor, so that reedmux can limit their number. The class is in HttpCore's
 * package because the members that it calls are package-private there.
 */
package org.apache.hc.core5.reactor;
