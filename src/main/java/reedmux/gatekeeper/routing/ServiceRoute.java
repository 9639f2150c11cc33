package reedmux.gatekeeper.routing;

/**
 * One route of the operators.
 *
 * @param host    a host's name or address, {@code *.} and a name for all below it, or {@code *} for any
 * @param path    a path, which stands for itself and all below it; {@code /} for any
 * @param service the number of the service that it leads to
 * @param line    where it is told, for messages
 */
public record ServiceRoute(String host, String path, int service, int line) {}
