/** Parsing of the network addresses in settings and protocols. */
package reedmux.common.net;
