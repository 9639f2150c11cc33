/**
 * The gatekeeper's HTTP/1.1 implementation, based on Apache HttpCore 5 with a single I/O thread.
 *
 * <p>A request passes through these classes: {@link reedmux.gatekeeper.http.ConnectionAcceptor} accepts the connection,
 * {@code ConsumerConnection} reads it, {@code ConsumerExchange} represents one request and its response, and a {@link
 * reedmux.gatekeeper.http.RequestFrontend} parses the request into an invocation. Each attempt passes through {@link
 * reedmux.gatekeeper.http.ProviderClient} to {@link reedmux.gatekeeper.http.UpstreamConnectionPool}, whose {@code
 * UpstreamExchange} sends it over an {@code UpstreamConnection}. Long bodies are streamed by {@code BodyStream}.
 *
 * <p>{@code StrictHeadParsers} and {@code LineCheckingBuffer} parse more strictly than the library, so that no message
 * can be mistaken for another.
 */
package reedmux.gatekeeper.http;
