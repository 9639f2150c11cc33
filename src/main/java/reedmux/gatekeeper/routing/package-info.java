/**
 * Selects the service of a request by its host and path: {@link reedmux.gatekeeper.routing.RouteTable}.
 *
 * <p>The package performs no I/O. A table is compiled once from the operators' routes; any thread can then look up
 * requests in it without allocation. An ambiguous host or path is always reported as an error and never interpreted
 * (RFC 9112, sections 3.2 and 11.2).
 */
package reedmux.gatekeeper.routing;
