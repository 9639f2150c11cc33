package reedmux.gatekeeper.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.util.concurrent.TimeUnit;
import org.apache.hc.core5.http.ConnectionReuseStrategy;
import org.apache.hc.core5.http.HttpConnection;
import org.apache.hc.core5.http.HttpRequest;
import org.apache.hc.core5.http.HttpResponse;
import org.apache.hc.core5.http.impl.DefaultConnectionReuseStrategy;
import org.apache.hc.core5.http.impl.Http1StreamListener;
import org.apache.hc.core5.http.impl.nio.ServerHttp1IOEventHandler;
import org.apache.hc.core5.http.protocol.HttpContext;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.reactor.IOEventHandler;
import org.apache.hc.core5.reactor.IOSession;
import org.apache.hc.core5.reactor.ProtocolIOSession;

/**
 * One accepted connection, with at most one invocation at a time. It knows which state it is in and for how long, from
 * which its time-outs follow, and it hides the library's event handler.
 *
 * <p>Once {@link #hasStoppedReading} the current response is the last one. What still comes in is discarded; after the
 * response the output is shut down, and the connection is closed when the consumer closes it or after
 * {@link #LINGER_MICROS}. Closing it at once would reset it, and the consumer might lose the response.
 *
 * <p>All methods are for the I/O thread, but for those that say otherwise.
 */
final class ConsumerConnection implements Http1StreamListener, ConnectionReuseStrategy {
    /** A request must be complete so long after its first byte; the first one so long after connecting. */
    static final long REQUEST_TIMEOUT_MICROS = TimeUnit.MILLISECONDS.toMicros(2_000);
    /** Usual consumers send a request at once; slower ones are evicted first when connections are scarce. */
    static final long SLOW_REQUEST_MICROS = TimeUnit.MILLISECONDS.toMicros(100);

    /** How long the consumer may take to read the last response. */
    private static final long LINGER_MICROS = TimeUnit.MILLISECONDS.toMicros(500);
    /** How long a consumer may read nothing of a response. */
    private static final long WRITE_TIMEOUT_MICROS = TimeUnit.SECONDS.toMicros(10);
    /** How long a connection may be without a request: some consumers never close theirs. */
    private static final long IDLE_TIMEOUT_MICROS = TimeUnit.SECONDS.toMicros(15);
    /** Bytes that are read and discarded after the last request; more than that are not worth reading. */
    private static final int MAX_DISCARDED_BYTES = 256 * 1024;

    /** What a connection is doing, in the order in which connections are evicted. */
    enum ConsumerConnectionState {
        /** The last response has been written. */
        CLOSING,
        /** It has been without a complete request for longer than usual consumers take. */
        SLOW,
        /** It is between two requests. */
        IDLE,
        /** It is new, or a request is coming in. */
        STARTING,
        /** A request is being served. */
        SERVING
    }

    private final ConsumerServer server;
    private final ProtocolIOSession session;
    private final StrictHeadParsers.StrictRequestParser requestParser = new StrictHeadParsers.StrictRequestParser();
    private final StrictServerDuplexer duplexer;
    private final ConsumerEventHandler eventHandler;
    /** The one exchange that may have an invocation. */
    private volatile ConsumerExchange currentExchange;
    /** Exchanges whose response is not written yet. */
    private volatile int pendingResponses;
    /** Bytes that had been received when the last request was complete. */
    private volatile long bytesAtLastRequestEnd;
    /** Since when it is idle, reads a request or closes; also the last progress of a response. */
    private volatile long stateSince;

    private volatile boolean closing;
    private volatile boolean closed;
    private volatile boolean closeRequested;
    private int discardedBytes;
    /** Limits the next request, as the last one determined; null for no limit. */
    private IntakeLimiter intakeLimiter;

    private volatile boolean waitingForIntake;

    ConsumerConnection(ConsumerServer server, ProtocolIOSession session) {
        this.server = server;
        this.session = session;
        stateSince = server.frontend().now();
        duplexer = new StrictServerDuplexer(session, this, requestParser);
        eventHandler = new ConsumerEventHandler();
    }

    IOEventHandler eventHandler() {
        return eventHandler;
    }

    /** The exchange of a request whose head has been read; only one at a time may have an invocation. */
    ConsumerExchange createExchange() {
        ConsumerExchange previous = currentExchange;
        boolean onlyExchange = previous == null || previous.isAnswered();
        ConsumerExchange created = new ConsumerExchange(server, this, onlyExchange);
        pendingResponses++;
        if (onlyExchange) {
            currentExchange = created;
        }
        return created;
    }

    // ---- For the exchange --------------------------------------------------------------------------
    /** What is wrong with the head that was just read, or null. */
    String headError() {
        return requestParser.error();
    }

    int headErrorStatus() {
        return requestParser.errorStatus();
    }

    /** The current request has been received completely. */
    void onRequestReceived() {
        bytesAtLastRequestEnd = duplexer.getEndpointDetails().getReceivedBytesCount();
        stateSince = server.frontend().now();
    }

    /** Something of the current response is being written. */
    void onResponseProgress() {
        stateSince = server.frontend().now();
    }

    void limitNextRequest(IntakeLimiter limiter) {
        intakeLimiter = limiter;
    }

    /** Makes the current response the last one. */
    void stopReading() {
        requestParser.stop();
    }

    boolean hasStoppedReading() {
        return requestParser.isStopped();
    }

    /** Closes the connection with a reset; for all threads. */
    void abort() {
        session.close(CloseMode.IMMEDIATE);
    }

    /** A chunked body is malformed: nobody can tell where the next request would begin. */
    void onChunkError(String problem) {
        ConsumerExchange exchange = currentExchange;
        if (exchange == null || !exchange.rejectUnreadable(problem)) {
            abort();
        }
    }

    // ---- State, for all threads --------------------------------------------------------------------
    ConsumerConnectionState state(long now) {
        if (closing) {
            return ConsumerConnectionState.CLOSING;
        } else if (pendingResponses > 0 && !isReadingBody()) {
            return ConsumerConnectionState.SERVING;
        } else if (bytesAtLastRequestEnd > 0 && !isReadingRequest()) {
            return ConsumerConnectionState.IDLE;
        }
        return now - stateSince > SLOW_REQUEST_MICROS ? ConsumerConnectionState.SLOW : ConsumerConnectionState.STARTING;
    }

    private boolean isReadingRequest() {
        return duplexer.getEndpointDetails().getReceivedBytesCount() > bytesAtLastRequestEnd;
    }

    private boolean isReadingBody() {
        ConsumerExchange exchange = currentExchange;
        return exchange != null && exchange.isReadingBody() && !exchange.isForwarded();
    }

    long stateSince() {
        return stateSince;
    }

    boolean isClosed() {
        return closed;
    }

    boolean hasPendingResponses() {
        return pendingResponses > 0;
    }

    /** Whether the time-out of its state has passed. */
    boolean isOverdue(long now) {
        ConsumerExchange exchange = currentExchange;
        long timeInState = now - stateSince;
        long requestTimeout = server.requestTimeoutMicros();
        return switch (state(now)) {
            case CLOSING -> timeInState > LINGER_MICROS;
            case SLOW, STARTING ->
                isReadingBody()
                        ? exchange.isBodyTooSlow(now, stateSince, requestTimeout)
                        : timeInState > requestTimeout;
            case IDLE -> timeInState > IDLE_TIMEOUT_MICROS;
            case SERVING ->
                exchange != null
                        && (exchange.isBodyTooSlow(now, stateSince, REQUEST_TIMEOUT_MICROS)
                                || exchange.awaitsConsumer() && timeInState > WRITE_TIMEOUT_MICROS);
        };
    }

    /** Whether it has no request, or has sent nothing for longer than usual consumers take. */
    boolean isIdle(long now) {
        ConsumerConnectionState state = state(now);
        return state == ConsumerConnectionState.IDLE || state == ConsumerConnectionState.SLOW && !isReadingRequest();
    }

    /** Has the I/O thread close it, unless a request has come in by then. */
    void requestClose() {
        closeRequested = true;
        session.setEvent(SelectionKey.OP_WRITE);
    }

    /** Has the I/O thread read its next request; returns false if it is closed. */
    private boolean resumeReading() {
        waitingForIntake = false;
        session.setEvent(SelectionKey.OP_READ);
        return !closed;
    }

    // ---- Closing -----------------------------------------------------------------------------------
    private void close() {
        closed = true;
        session.close(CloseMode.GRACEFUL);
    }

    /**
     * Closes it to make room for another connection, unless a request has arrived: on a busy machine the I/O thread
     * may be delayed for longer than a usual consumer takes, with the request waiting to be read.
     */
    boolean tryEvict() throws IOException {
        if (!requestParser.isStopped()) {
            eventHandler.readInput(session, null);
            if (!closed && pendingResponses > 0) {
                return false;
            }
        }
        close();
        return true;
    }

    /** Closes it if the sweep's reason still holds; on the I/O thread nothing can change in between. */
    private void closeIfStillDue(IOSession ioSession) throws IOException {
        closeRequested = false;
        long now = server.frontend().now();
        boolean due = isOverdue(now) || server.lifeCycle().closesIdleConnections(now) && isIdle(now);
        if (due && !requestParser.isStopped()) {
            eventHandler.readInput(ioSession, null); // the next request may have just arrived
        }
        boolean withoutRequest = pendingResponses == 0 && !isReadingRequest();
        boolean readingBody = currentExchange != null && currentExchange.isReadingBody();
        boolean closesNow = withoutRequest && due || isOverdue(server.frontend().now());
        if (closesNow && !(readingBody && currentExchange.rejectTimedOut())) {
            close();
        }
    }

    /** The last response has been written: the consumer gets some time to read it. */
    private void startLinger() {
        closing = true;
        stateSince = server.frontend().now();
        try {
            ((SocketChannel) session.channel()).shutdownOutput();
        } catch (IOException e) {
            close();
        }
    }

    private void discardInput(IOSession ioSession) throws IOException {
        int read = ioSession.read(server.discardBuffer().clear());
        discardedBytes += Math.max(0, read);
        if (read < 0) {
            close();
        } else if (discardedBytes > MAX_DISCARDED_BYTES) {
            ioSession.clearEvent(SelectionKey.OP_READ);
        }
    }

    private void onClosed() {
        closed = true;
        server.remove(this);
        ConsumerExchange exchange = currentExchange;
        if (exchange != null) {
            exchange.onConsumerDisconnected();
        }
    }

    // ---- Callbacks of the library ------------------------------------------------------------------
    /** A connection that has stopped reading is kept alive for the library, since it is closed after lingering. */
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
        stateSince = server.frontend().now();
        if (requestParser.isStopped() && pendingResponses == 0) {
            startLinger();
        }
    }

    /** The library's event handler, which also notices that the consumer has disconnected. */
    private final class ConsumerEventHandler extends ServerHttp1IOEventHandler {

        ConsumerEventHandler() {
            super(duplexer);
        }

        @Override
        public void connected(IOSession ioSession) throws IOException {
            server.add(ConsumerConnection.this);
            if (!closed) {
                super.connected(ioSession);
            }
        }

        @Override
        public void inputReady(IOSession ioSession, ByteBuffer source) throws IOException {
            if (isNextRequest() && (waitingForIntake || intakeLimiter.isFull())) {
                ioSession.clearEvent(SelectionKey.OP_READ);
                if (!waitingForIntake) {
                    waitingForIntake = true;
                    intakeLimiter.enqueue(ConsumerConnection.this::resumeReading);
                }
                return;
            }
            readInput(ioSession, source);
        }

        /** Whether the input begins a request that is subject to the limiter. */
        private boolean isNextRequest() {
            return intakeLimiter != null && !requestParser.isStopped() && pendingResponses == 0 && !isReadingRequest();
        }

        /** Reads the input, whatever the limiter says. */
        void readInput(IOSession ioSession, ByteBuffer source) throws IOException {
            if (requestParser.isStopped()) {
                discardInput(ioSession);
                return;
            }
            if (bytesAtLastRequestEnd > 0 && pendingResponses == 0 && !isReadingRequest()) {
                stateSince = server.frontend().now(); // the first bytes of a further request
            }
            super.inputReady(ioSession, source);
            // The library takes the end of the input for a half-closed connection and goes on to respond. Here a
            // consumer that closes has gone away, and the policy must know that at once.
            ConsumerExchange exchange = currentExchange;
            if (exchange != null && exchange.isAwaited() && !duplexer.isOpen()) {
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
