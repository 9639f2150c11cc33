package reedmux.gatekeeper.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.ReadableByteChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.apache.hc.core5.http.ConnectionReuseStrategy;
import org.apache.hc.core5.http.ContentLengthStrategy;
import org.apache.hc.core5.http.HttpConnection;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpRequest;
import org.apache.hc.core5.http.HttpResponse;
import org.apache.hc.core5.http.impl.BasicHttpTransportMetrics;
import org.apache.hc.core5.http.impl.DefaultConnectionReuseStrategy;
import org.apache.hc.core5.http.impl.Http1StreamListener;
import org.apache.hc.core5.http.impl.nio.ChunkDecoder;
import org.apache.hc.core5.http.impl.nio.DefaultHttpResponseWriterFactory;
import org.apache.hc.core5.http.impl.nio.ServerHttp1IOEventHandler;
import org.apache.hc.core5.http.impl.nio.ServerHttp1StreamDuplexer;
import org.apache.hc.core5.http.nio.ContentDecoder;
import org.apache.hc.core5.http.nio.SessionInputBuffer;
import org.apache.hc.core5.http.protocol.HttpContext;
import org.apache.hc.core5.http.protocol.HttpProcessor;
import org.apache.hc.core5.http.protocol.HttpProcessorBuilder;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.reactor.IOEventHandler;
import org.apache.hc.core5.reactor.IOSession;
import org.apache.hc.core5.reactor.ProtocolIOSession;
import reedmux.gatekeeper.admin.LifeCycle;

/**
 * One listener's side, the consumers' or the other regions': accepted connections, each with at most one
 * invocation at a time.
 */
public final class ConsumerServer {
    /** Headers are set by the exchanges themselves; the library need not add any. */
    static final HttpProcessor NO_ADDED_HEADERS = HttpProcessorBuilder.create().build();

    private static final DefaultHttpResponseWriterFactory RESPONSE_WRITERS =
            new DefaultHttpResponseWriterFactory(HttpTransport.HTTP1_CONFIG);
    /** A request must be whole so long after its first byte, the first one so long after connecting. */
    private static final long REQUEST_TIMEOUT_MICROS = TimeUnit.MILLISECONDS.toMicros(2_000);
    /** How long the last answer may take to be read before the connection is closed all the same. */
    private static final long LINGER_MICROS = TimeUnit.MILLISECONDS.toMicros(500);
    /** An answer of which its consumer reads nothing is given up after so long. */
    private static final long WRITE_TIMEOUT_MICROS = TimeUnit.SECONDS.toMicros(10);
    /** A connection without a request is closed after so long: some consumers never come back. */
    private static final long IDLE_TIMEOUT_MICROS = TimeUnit.SECONDS.toMicros(15);
    /**
     * Share of the bound over which connections that wait for nothing give way. It is less than what usual
     * consumers may open, as these would else be held up by what they keep open themselves.
     */
    private static final double EVICTION_THRESHOLD = 0.65;
    /** A usual consumer sends at once; those that dawdle give way first when connections are scarce. */
    private static final long SLOW_REQUEST_MICROS = TimeUnit.MILLISECONDS.toMicros(100);
    /** Bytes read from a connection that is being closed, so that a small rest does not reset it. */
    private static final int MAX_DISCARDED_BYTES = 256 * 1024;

    /** What a connection is doing, those that give way first in front. */
    private enum ConsumerConnectionState {
        CLOSING,
        SLOW,
        IDLE,
        STARTING,
        SERVING
    }

    private final RequestFrontend frontend;
    private final BooleanSupplier ready;
    private final LifeCycle lifeCycle;
    private final int maxConnections;
    /** Used on the I/O thread alone. */
    private final ByteBuffer discardBuffer = ByteBuffer.allocate(16 * 1024);

    private final Set<ConsumerConnection> connections = new LinkedHashSet<>();
    private final Semaphore connectionPermits;
    private volatile long requestTimeoutMicros = REQUEST_TIMEOUT_MICROS;

    /** {@code ready}: whether clients may be sent here; {@code lifeCycle}: how long they are kept. */
    public ConsumerServer(RequestFrontend reader, BooleanSupplier ready, LifeCycle life, int mostConnections) {
        this.frontend = reader;
        this.lifeCycle = life;
        this.ready = ready;
        this.maxConnections = mostConnections;
        connectionPermits = new Semaphore(mostConnections);
    }

    /** A permit for each connection that there is still room for. */
    public Semaphore connectionPermits() {
        return connectionPermits;
    }

    IOEventHandler createEventHandler(ProtocolIOSession session) {
        return new ConsumerConnection(session).eventHandler;
    }

    boolean isReady() {
        return ready.getAsBoolean();
    }

    boolean closesAfterResponse() {
        return lifeCycle.closesAfterResponse();
    }

    RequestFrontend frontend() {
        return frontend;
    }

    /** Connections with an answer that is not written yet. */
    public int connectionsWithPendingResponses() {
        return (int) openConnections().stream()
                .filter(link -> link.pendingResponses > 0)
                .count();
    }

    /** Whether consumers hold connections. */
    public boolean hasConnections() {
        synchronized (connections) {
            return !connections.isEmpty();
        }
    }

    /** Closes the connections whose time is up. */
    public void sweep() {
        long now = frontend.now();
        List<ConsumerConnection> all = openConnections();
        // Those that wait to be accepted may be usual consumers, behind hundreds that say nothing.
        requestTimeoutMicros =
                all.size() > maxConnections * EVICTION_THRESHOLD ? SLOW_REQUEST_MICROS : REQUEST_TIMEOUT_MICROS;
        boolean closesIdle = lifeCycle.closesIdleConnections(now);
        for (ConsumerConnection link : all) {
            if (link.isOverdue(now) || closesIdle && link.isIdle(now)) {
                link.requestClose();
            }
        }
    }

    private List<ConsumerConnection> openConnections() {
        synchronized (connections) {
            return List.copyOf(connections);
        }
    }

    /**
     * Descriptors are bounded, ours and what consumers may open to us. So over a share of the bound a new
     * connection takes the place of one that sends nothing or half a request, or else of one that is idle,
     * and of these of the one that has been so the longest: some ask once and keep their connection for
     * good. One that is being served never gives way; at the bound itself no more are accepted.
     */
    private void evictFor(ConsumerConnection newest) throws IOException {
        synchronized (connections) {
            connections.add(newest);
        }
        List<ConsumerConnection> all =
                openConnections().stream().filter(link -> !link.closed).toList();
        int over = all.size() - (int) (maxConnections * EVICTION_THRESHOLD);
        while (over > 0) {
            long now = frontend.now();
            ConsumerConnection first = null;
            ConsumerConnectionState least = ConsumerConnectionState.STARTING;
            for (ConsumerConnection link : all) {
                ConsumerConnectionState doing = link.closed ? ConsumerConnectionState.SERVING : link.state(now);
                if (doing.compareTo(least) < 0
                        || first != null && doing == least && link.stateSince < first.stateSince) {
                    first = link;
                    least = doing;
                }
            }
            if (first == null) {
                break;
            }
            over -= first.tryEvict() ? 1 : 0;
        }
    }

    /** One accepted connection. All but {@link #askToClose} and what sweeps read is the I/O thread's. */
    final class ConsumerConnection implements Http1StreamListener, ConnectionReuseStrategy {
        private final ProtocolIOSession session;
        private final ServerHttp1StreamDuplexer duplexer;
        private final StrictHeadParsers.StrictRequestParser requestParser = new StrictHeadParsers.StrictRequestParser();
        private final ConsumerEventHandler eventHandler;
        /** The one exchange that may hold an invocation. */
        private volatile ConsumerExchange currentExchange;
        /** Exchanges whose answer is not written yet. */
        private volatile int pendingResponses;
        /** Bytes that had come in when the last request was whole. */
        private volatile long bytesAtLastRequestEnd;
        /** Since when it is idle, has been reading a request, or is being closed. */
        private volatile long stateSince = frontend.now();

        private volatile boolean closing;
        private volatile boolean closed;
        private volatile boolean closeRequested;
        private int discardedBytes;
        /** What bounds its next request, by its last one; null for nothing. The I/O thread's, as the next. */
        IntakeLimiter intakeLimiter;

        private volatile boolean waitingForIntake;

        ConsumerConnection(ProtocolIOSession session) {
            this.session = session;
            duplexer = new StrictServerDuplexer();
            eventHandler = new ConsumerEventHandler();
        }

        /** The library's side of the connection, with our eyes on the lines of chunked bodies. */
        private final class StrictServerDuplexer extends ServerHttp1StreamDuplexer {

            StrictServerDuplexer() {
                super(
                        session,
                        NO_ADDED_HEADERS,
                        (request, context) -> createExchange(),
                        null,
                        HttpTransport.HTTP1_CONFIG,
                        null,
                        ConsumerConnection.this,
                        requestParser,
                        RESPONSE_WRITERS.create(),
                        null,
                        null,
                        ConsumerConnection.this,
                        null);
            }

            @Override
            protected ContentDecoder createContentDecoder(
                    long length,
                    ReadableByteChannel channel,
                    SessionInputBuffer buffer,
                    BasicHttpTransportMetrics metrics)
                    throws HttpException {
                return length != ContentLengthStrategy.CHUNKED
                        ? super.createContentDecoder(length, channel, buffer, metrics)
                        : new ChunkDecoder(
                                channel,
                                new LineCheckingBuffer.ChunkLineChecker(this::onChunkError).wrap(buffer),
                                HttpTransport.HTTP1_CONFIG,
                                metrics);
            }

            private void onChunkError(String problem) {
                ConsumerExchange exchange = currentExchange;
                if (exchange == null || !exchange.rejectUnreadable(problem)) {
                    abort();
                }
            }
        }

        private ConsumerExchange createExchange() {
            ConsumerExchange before = currentExchange;
            boolean free = before == null || before.isAnswered();
            ConsumerExchange made = new ConsumerExchange(ConsumerServer.this, this, free);
            pendingResponses++;
            if (free) {
                currentExchange = made;
            }
            return made;
        }

        /** What was wrong with the head just read, or null. */
        String headError() {
            return requestParser.error();
        }

        int headErrorStatus() {
            return requestParser.errorStatus();
        }

        /** A request has come in whole. */
        void onRequestReceived() {
            bytesAtLastRequestEnd = duplexer.getEndpointDetails().getReceivedBytesCount();
            stateSince = frontend.now();
        }

        /** An answer is on its way out. */
        void onResponseProgress() {
            stateSince = frontend.now();
        }

        /** The answer being given is the last one, and nothing more is read. */
        void stopReading() {
            requestParser.stop();
        }

        void abort() {
            session.close(CloseMode.IMMEDIATE);
        }

        boolean hasStoppedReading() {
            return requestParser.isStopped();
        }

        private boolean isReadingRequest() {
            return duplexer.getEndpointDetails().getReceivedBytesCount() > bytesAtLastRequestEnd;
        }

        private ConsumerConnectionState state(long now) {
            return closing
                    ? ConsumerConnectionState.CLOSING
                    : pendingResponses > 0 && !isReadingBody()
                            ? ConsumerConnectionState.SERVING
                            : bytesAtLastRequestEnd > 0 && !isReadingRequest()
                                    ? ConsumerConnectionState.IDLE
                                    : now - stateSince > SLOW_REQUEST_MICROS
                                            ? ConsumerConnectionState.SLOW
                                            : ConsumerConnectionState.STARTING;
        }

        private boolean isReadingBody() {
            ConsumerExchange exchange = currentExchange;
            return exchange != null && exchange.isReadingBody() && !exchange.isForwarded();
        }

        private boolean isOverdue(long now) {
            ConsumerExchange exchange = currentExchange;
            return switch (state(now)) {
                case CLOSING -> now - stateSince > LINGER_MICROS;
                case SLOW, STARTING ->
                    isReadingBody()
                            ? exchange.isBodyTooSlow(now, stateSince, requestTimeoutMicros)
                            : now - stateSince > requestTimeoutMicros;
                case IDLE -> now - stateSince > IDLE_TIMEOUT_MICROS;
                case SERVING ->
                    exchange != null
                            && (exchange.isBodyTooSlow(now, stateSince, REQUEST_TIMEOUT_MICROS)
                                    || exchange.awaitsConsumer() && now - stateSince > WRITE_TIMEOUT_MICROS);
            };
        }

        /** Whether it waits for nothing, or has said nothing for a while. */
        private boolean isIdle(long now) {
            ConsumerConnectionState doing = state(now);
            return doing == ConsumerConnectionState.IDLE
                    || doing == ConsumerConnectionState.SLOW && !isReadingRequest();
        }

        /** Has the I/O thread close it, unless a request has come in by then; may be called by any thread. */
        private void requestClose() {
            closeRequested = true;
            session.setEvent(SelectionKey.OP_WRITE);
        }

        /** Has its next request read, from any thread; false where it has closed. */
        private boolean resumeReading() {
            waitingForIntake = false;
            session.setEvent(SelectionKey.OP_READ);
            return !closed;
        }

        /** Closes it at once; whoever is being served has gone away. */
        private void close() {
            closed = true;
            session.close(CloseMode.GRACEFUL);
        }

        /**
         * Closes it for want of room, unless a request of its has arrived: on a part of a core the thread
         * may be held up for longer than any usual consumer dawdles, with the request waiting to be read.
         */
        private boolean tryEvict() throws IOException {
            if (!requestParser.isStopped()) {
                eventHandler.readInput(session, null);
                if (!closed && pendingResponses > 0) {
                    return false;
                }
            }
            close();
            return true;
        }

        /** What a sweep found may have changed since, and only here nothing more can come in between. */
        private void closeIfStillDue(IOSession ioSession) throws IOException {
            closeRequested = false;
            boolean due = isOverdue(frontend.now())
                    || lifeCycle.closesIdleConnections(frontend.now()) && isIdle(frontend.now());
            if (due && !requestParser.isStopped()) {
                eventHandler.readInput(ioSession, null); // the next request may have just arrived
            }
            boolean waits = pendingResponses == 0 && !isReadingRequest();
            boolean told = currentExchange != null && currentExchange.isReadingBody();
            if ((waits && due || isOverdue(frontend.now())) && !(told && currentExchange.rejectTimedOut())) {
                close();
            }
        }

        /** The answer is out: no more of them, and a moment for the consumer to read it. */
        private void startLinger() {
            closing = true;
            stateSince = frontend.now();
            try {
                ((SocketChannel) session.channel()).shutdownOutput();
            } catch (IOException e) {
                close();
            }
        }

        private void discard(IOSession ioSession) throws IOException {
            int read = ioSession.read(discardBuffer.clear());
            discardedBytes += Math.max(0, read);
            if (read < 0) {
                close();
            } else if (discardedBytes > MAX_DISCARDED_BYTES) {
                ioSession.clearEvent(SelectionKey.OP_READ); // 60 MB are not worth reading to the end
            }
        }

        // ---- The library's questions and news ------------------------------------------------------
        /** A connection that has gone deaf is closed by us, after a moment, not by the library at once. */
        @Override
        public boolean keepAlive(HttpRequest request, HttpResponse response, HttpContext context) {
            return requestParser.isStopped()
                    || DefaultConnectionReuseStrategy.INSTANCE.keepAlive(request, response, context);
        }

        @Override
        public void onRequestHead(HttpConnection connection, HttpRequest request) {}

        @Override
        public void onResponseHead(HttpConnection connection, HttpResponse response) {}

        @Override
        public void onExchangeComplete(HttpConnection connection, boolean keepAlive) {
            pendingResponses--;
            stateSince = frontend.now();
            if (requestParser.isStopped() && pendingResponses == 0) {
                startLinger();
            }
        }

        private void onClosed() {
            closed = true;
            connectionPermits.release();
            synchronized (connections) {
                connections.remove(this);
            }
            ConsumerExchange exchange = currentExchange;
            if (exchange != null) {
                exchange.onConsumerDisconnected();
            }
        }

        /** The library's handler, which also notices a consumer that has left. */
        private final class ConsumerEventHandler extends ServerHttp1IOEventHandler {

            ConsumerEventHandler() {
                super(duplexer);
            }

            @Override
            public void connected(IOSession ioSession) throws IOException {
                evictFor(ConsumerConnection.this);
                if (!closed) {
                    super.connected(ioSession);
                }
            }

            @Override
            public void inputReady(IOSession ioSession, ByteBuffer source) throws IOException {
                boolean next = intakeLimiter != null
                        && !requestParser.isStopped()
                        && pendingResponses == 0
                        && !isReadingRequest();
                if (next && (waitingForIntake || intakeLimiter.isFull())) {
                    ioSession.clearEvent(SelectionKey.OP_READ);
                    if (!waitingForIntake) {
                        waitingForIntake = true;
                        intakeLimiter.enqueue(ConsumerConnection.this::resumeReading);
                    }
                    return;
                }
                readInput(ioSession, source);
            }

            /** Reads what has come in, whoever else waits. */
            void readInput(IOSession ioSession, ByteBuffer source) throws IOException {
                if (requestParser.isStopped()) {
                    discard(ioSession);
                    return;
                }
                if (bytesAtLastRequestEnd > 0 && pendingResponses == 0 && !isReadingRequest()) {
                    stateSince = frontend.now(); // the first bytes of a further request
                }
                super.inputReady(ioSession, source);
                // The library takes the end of the input for half a close and goes on to answer; here a
                // consumer that closes has gone away, and the module must hear of it at once.
                ConsumerExchange exchange = currentExchange;
                if (exchange != null && !exchange.isAnswered() && !duplexer.isOpen()) {
                    session.close(CloseMode.IMMEDIATE);
                }
            }

            @Override
            public void outputReady(IOSession ioSession) throws IOException {
                super.outputReady(ioSession);
                if (closeRequested) {
                    closeIfStillDue(ioSession);
                }
            }

            @Override
            public void disconnected(IOSession ioSession) {
                super.disconnected(ioSession);
                onClosed();
            }
        }
    }
}
