package reedmux.gatekeeper.http;

import java.net.SocketAddress;
import java.util.Collection;
import java.util.concurrent.ThreadFactory;
import java.util.function.Consumer;
import java.util.function.Function;
import org.apache.hc.core5.http.config.Http1Config;
import org.apache.hc.core5.reactor.DefaultListeningIOReactor;
import org.apache.hc.core5.reactor.IOReactorConfig;
import org.apache.hc.core5.util.TimeValue;

/** The one reactor, whose one thread does all reading and writing; its listener is left idle. */
public final class HttpTransport {
    /** Most bytes of a body that is gathered; a longer one flows. */
    public static final int MAX_BUFFERED_BODY_BYTES = 64 * 1024;
    /** Most bytes of a body, either way; a consumer that sends more is told so. */
    public static final long MAX_STREAMED_BODY_BYTES = 32L * 1024 * 1024;
    /** Bytes of a body that come before its reader is asked whether it wants more. */
    static final int INITIAL_WINDOW_BYTES = 16 * 1024;
    /** Bytes of a connection's buffers: a usual request with its body fits, so that it is one write. */
    private static final int BUFFER_BYTES = 4096;
    /** With the lines' length these bound what a head without end can take up, some hundred times over. */
    private static final int MAX_HEADERS = 40;

    private static final int MAX_LINE_BYTES = 4096;
    /** Connections have no time-outs of their own, so the reactor need not look for them often. */
    private static final TimeValue SELECT_INTERVAL = TimeValue.ofSeconds(5);

    static final Http1Config HTTP1_CONFIG = Http1Config.custom()
            .setBufferSize(BUFFER_BYTES)
            .setChunkSizeHint(BUFFER_BYTES)
            .setMaxHeaderCount(MAX_HEADERS)
            .setMaxLineLength(MAX_LINE_BYTES)
            .setInitialWindowSize(INITIAL_WINDOW_BYTES)
            .build();

    private HttpTransport() {}

    /** A reactor whose accepted connections and calls are handled by these, and its threads. */
    public static DefaultListeningIOReactor createReactor(
            Function<SocketAddress, ConsumerServer> servers, Consumer<String> log, Collection<Thread> threads) {
        ThreadFactory daemon = task -> {
            Thread thread = new Thread(task, "reedmux-io");
            thread.setDaemon(true);
            threads.add(thread);
            return thread;
        };
        return new DefaultListeningIOReactor(
                (session, attachment) -> attachment instanceof UpstreamConnection ours
                        ? ours.createEventHandler(session)
                        : servers.apply(session.getLocalAddress()).createEventHandler(session),
                IOReactorConfig.custom()
                        .setIoThreadCount(1)
                        .setTcpNoDelay(true)
                        .setSoReuseAddress(true)
                        .setSelectInterval(SELECT_INTERVAL)
                        .build(),
                daemon,
                daemon,
                null,
                failure -> log.accept("reactor: " + failure),
                null,
                null);
    }
}
