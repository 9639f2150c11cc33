/**
 * The gatekeeper's HTTP/1.1, on Apache HttpCore 5 with one I/O thread.
 *
 * <p>In the order of a request's way: {@link reedmux.gatekeeper.http.ConnectionAcceptor} accepts a connection,
 * {@code ConsumerConnection} reads it, {@code ConsumerExchange} is one request and its response, a
 * {@link reedmux.gatekeeper.http.RequestFrontend} parses it into an invocation. An attempt goes through
 * {@link reedmux.gatekeeper.http.ProviderClient} to {@link reedmux.gatekeeper.http.UpstreamConnectionPool}, whose
 * {@code UpstreamExchange} sends it on an {@code UpstreamConnection}. Long bodies are streamed by {@code BodyStream}.
 *
 * <p>Parsing is stricter than the library's, in {@code StrictHeadParsers} and {@code LineCheckingBuffer}, so that no
 * message can be taken for another.
 */
package reedmux.gatekeeper.http;
