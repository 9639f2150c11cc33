package reedmux.gatekeeper.routing;

/**
 * A route that the operators have set.
 *
 * @param host    a name or an address, {@code *.} and a name for its subdomains, or {@code *} for any
 * @param path    a path prefix, of whole segments; {@code /} for any
 * @param service the index of its service
 * @param line    where it is declared, for errors
 */
public record ServiceRoute(String host, String path, int service, int line) {}
