package reedmux.gatekeeper.http;

import java.net.SocketAddress;
import java.util.Collection;
import java.util.concurrent.ThreadFactory;
import java.util.function.Consumer;
import java.util.function.Function;
import org.apache.hc.core5.http.config.Http1Config;
import org.apache.hc.core5.http.protocol.HttpProcessor;
import org.apache.hc.core5.http.protocol.HttpProcessorBuilder;
import org.apache.hc.core5.reactor.DefaultListeningIOReactor;
import org.apache.hc.core5.reactor.IOReactorConfig;
import org.apache.hc.core5.util.TimeValue;

/** The limits of HTTP messages, and the reactor whose single thread performs all reads and writes. */
public final class HttpTransport {
    /** Maximum size of a buffered body; longer bodies are streamed. */
    public static final int MAX_BUFFERED_BODY_BYTES = 64 * 1024;
    /** Maximum size of the body of a request or a response. */
    public static final long MAX_STREAMED_BODY_BYTES = 32L * 1024 * 1024;
    /** Number of body bytes that are read before the receiver has to grant more capacity. */
    static final int INITIAL_WINDOW_BYTES = 16 * 1024;
    /** Size of a connection's buffers; a typical request fits with its body, so that it is sent in a single write. */
    private static final int BUFFER_BYTES = 4096;
    /**
     * Maximum number of headers of a message; together with the maximum line length it limits the memory that an
     * endless head can occupy.
     */
    private static final int MAX_HEADERS = 40;

    private static final int MAX_LINE_BYTES = 4096;
    /** Interval at which the reactor checks for session time-outs, which its connections do not use. */
    private static final TimeValue SELECT_INTERVAL = TimeValue.ofSeconds(5);

    /** Adds no headers to messages, since the exchanges set all headers themselves. */
    static final HttpProcessor NO_ADDED_HEADERS = HttpProcessorBuilder.create().build();

    static final Http1Config HTTP1_CONFIG = Http1Config.custom()
            .setBufferSize(BUFFER_BYTES)
            .setChunkSizeHint(BUFFER_BYTES)
            .setMaxHeaderCount(MAX_HEADERS)
            .setMaxLineLength(MAX_LINE_BYTES)
            .setInitialWindowSize(INITIAL_WINDOW_BYTES)
            .build();

    private HttpTransport() {}

    /**
     * Creates the reactor.
     *
     * @param servers returns the server of a listening address, for accepted connections
     * @param threads receives the reactor's threads when they are created
     */
    public static DefaultListeningIOReactor createReactor(
            Function<SocketAddress, ConsumerServer> servers, Consumer<String> log, Collection<Thread> threads) {
        ThreadFactory daemonThreadFactory = task -> {
            Thread thread = new Thread(task, "reedmux-io");
            thread.setDaemon(true);
            threads.add(thread);
            return thread;
        };
        return new DefaultListeningIOReactor(
                (session, attachment) -> attachment instanceof UpstreamConnection upstream
                        ? upstream.createEventHandler(session)
                        : servers.apply(session.getLocalAddress()).createEventHandler(session),
                IOReactorConfig.custom()
                        .setIoThreadCount(1)
                        .setTcpNoDelay(true)
                        .setSoReuseAddress(true)
                        .setSelectInterval(SELECT_INTERVAL)
                        .build(),
                daemonThreadFactory,
                daemonThreadFactory,
                null,
                failure -> log.accept("I/O reactor failure: " + failure),
                null,
                null);
    }
}
