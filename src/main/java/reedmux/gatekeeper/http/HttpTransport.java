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

/** The limits of HTTP messages, and the reactor whose one thread does all reading and writing. */
public final class HttpTransport {
    /** The longest body that is buffered; a longer one is streamed. */
    public static final int MAX_BUFFERED_BODY_BYTES = 64 * 1024;
    /** The longest body of a request or a response. */
    public static final long MAX_STREAMED_BODY_BYTES = 32L * 1024 * 1024;
    /** Bytes of a body that are read before its reader has to ask for more. */
    static final int INITIAL_WINDOW_BYTES = 16 * 1024;
    /** The buffers of a connection; a usual request with its body fits in, so that it is one write. */
    private static final int BUFFER_BYTES = 4096;
    /** Headers of a message; with the length of a line this limits the memory of an endless head. */
    private static final int MAX_HEADERS = 40;

    private static final int MAX_LINE_BYTES = 4096;
    /** How often the reactor checks time-outs; its connections have none. */
    private static final TimeValue SELECT_INTERVAL = TimeValue.ofSeconds(5);

    /** The exchanges set all headers themselves. */
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
     * @param servers the server of each listening address, for accepted connections
     * @param threads gets the reactor's threads when they start
     */
    public static DefaultListeningIOReactor createReactor(
            Function<SocketAddress, ConsumerServer> servers, Consumer<String> log, Collection<Thread> threads) {
        ThreadFactory daemonThreads = task -> {
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
                daemonThreads,
                daemonThreads,
                null,
                failure -> log.accept("reactor: " + failure),
                null,
                null);
    }
}
