/**
 * Which service a request is for, by its host and path.
 *
 * <p>Pure: a table compiled once from the operators' routes, then looked up without allocation by any
 * thread. What could be read in two ways is no match but an error, and never a guess (RFC 9112, sections 3.2
 * and 11.2). Knows no socket, file, clock or logger.
 */
package reedmux.gatekeeper.routing;
