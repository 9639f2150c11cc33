/**
 * Which service a request is for, by its host and path: {@link reedmux.gatekeeper.routing.RouteTable}.
 *
 * <p>Pure: a table is compiled once from the operators' routes and then looked up by any thread without allocation. An
 * ambiguous host or path is an error and never a guess (RFC 9112, sections 3.2 and 11.2).
 */
package reedmux.gatekeeper.routing;
