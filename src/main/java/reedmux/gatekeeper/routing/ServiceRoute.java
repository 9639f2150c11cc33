package reedmux.gatekeeper.routing;

/**
 * A route that the operators have configured.
 *
 * @param host    a host name or an IP address, {@code *.} followed by a name for all its subdomains, or {@code *} for
 *                any host
 * @param path    a path prefix that matches whole segments; {@code /} for any path
 * @param service the index of the service that receives the requests
 * @param line    the line of the declaration, for error messages
 */
public record ServiceRoute(String host, String path, int service, int line) {}
