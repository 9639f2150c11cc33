/**
 * Scripted stand-ins with fault injection for the systems around a gatekeeper: consumers, providers, discovery and the
 * link to another region. They run on the loopback interface.
 *
 * <p>Every server binds to port 0 of a loopback address, so the operating system assigns a free port. Loops are bounded
 * in count and time. The stand-ins are implemented from the published description of each protocol, and the gatekeeper
 * does not import this package.
 */
package reedmux.simulation.standin;
