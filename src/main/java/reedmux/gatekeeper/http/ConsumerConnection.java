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
 * An accepted connection, which carries at most one invocation at a time. It tracks its state and the time of the last
 * state change, from which its time-outs are derived, and encapsulates the HTTP library's event handler.
 *
 * <p>Once {@link #hasStoppedReading} returns true, the current response is the last one, and further input is
 * discarded. After the response the output is shut down, and the connection is closed when the consumer closes its side
 * or after {@link #LINGER_MICROS}. Closing it immediately would reset it, and the consumer might lose the response.
 *
 * <p>Methods must be called on the I/O thread, unless documented otherwise.
 */
final class ConsumerConnection implements Http1StreamListener, ConnectionReuseStrategy {
    /**
     * Time limit for a complete request, counted from its first byte; for the first request, from accepting the
     * connection.
     */
    static final long REQUEST_TIMEOUT_MICROS = TimeUnit.MILLISECONDS.toMicros(2_000);
    /**
     * Regular consumers send a request immediately. Connections without a complete request after this time are evicted
     * first when connections are scarce.
     */
    static final long SLOW_REQUEST_MICROS = TimeUnit.MILLISECONDS.toMicros(100);

    /** Time that the consumer has to read the last response before the connection is closed. */
    private static final long LINGER_MICROS = TimeUnit.MILLISECONDS.toMicros(500);
    /** Time after which a connection is closed if the consumer has read nothing of its pending response. */
    private static final long WRITE_TIMEOUT_MICROS = TimeUnit.SECONDS.toMicros(10);
    /** Time after which a connection without a request is closed; some consumers never close their connections. */
    private static final long IDLE_TIMEOUT_MICROS = TimeUnit.SECONDS.toMicros(15);
    /**
     * Maximum number of bytes that are read and discarded after the last request; reading more is not worth its cost.
     */
    private static final int MAX_DISCARDED_BYTES = 256 * 1024;

    /** State of a connection; connections are evicted in the order of these constants. */
    enum ConsumerConnectionState {
        /** The last response has been written, and the connection is about to be closed. */
        CLOSING,
        /** No complete request has been received within the time that regular consumers take. */
        SLOW,
        /** The connection is waiting for its next request. */
        IDLE,
        /** The connection is new, or a request is being received. */
        STARTING,
        /** A request is being served. */
        SERVING
    }

    private final ConsumerServer server;
    private final ProtocolIOSession session;
    private final StrictHeadParsers.StrictRequestParser requestParser = new StrictHeadParsers.StrictRequestParser();
    private final StrictServerDuplexer duplexer;
    private final ConsumerEventHandler eventHandler;
    /** The only exchange that may have an invocation. */
    private volatile ConsumerExchange currentExchange;
    /** Number of exchanges whose response has not been written completely. */
    private volatile int pendingResponses;
    /** Number of bytes received by the end of the last complete request. */
    private volatile long bytesAtLastRequestEnd;
    /**
     * When the connection became idle, began to receive a request or began to close; also when a response last
     * progressed.
     */
    private volatile long stateSince;

    private volatile boolean closing;
    private volatile boolean closed;
    private volatile boolean closeRequested;
    private int discardedBytes;
    /** Limiter of the next request, determined by the last request; null for no limit. */
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

    /**
     * Creates the exchange of a request whose head has been read; only one exchange at a time may have an invocation.
     */
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
    /** Returns the error in the head that was read last, or null. */
    String headError() {
        return requestParser.error();
    }

    int headErrorStatus() {
        return requestParser.errorStatus();
    }

    /** Called when the current request has been received completely. */
    void onRequestReceived() {
        bytesAtLastRequestEnd = duplexer.getEndpointDetails().getReceivedBytesCount();
        stateSince = server.frontend().now();
    }

    /** Called when the current response makes progress. */
    void onResponseProgress() {
        stateSince = server.frontend().now();
    }

    void limitNextRequest(IntakeLimiter limiter) {
        intakeLimiter = limiter;
    }

    /** Stops reading requests, so that the current response is the last one. */
    void stopReading() {
        requestParser.stop();
    }

    boolean hasStoppedReading() {
        return requestParser.isStopped();
    }

    /** Closes the connection with a reset; may be called on any thread. */
    void abort() {
        session.close(CloseMode.IMMEDIATE);
    }

    /** Handles a malformed chunked body, after which the start of the next request cannot be determined. */
    void onChunkError(String problem) {
        ConsumerExchange exchange = currentExchange;
        if (exchange == null || !exchange.rejectMalformedBody(problem)) {
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

    /** Whether the time-out of the connection's current state has expired. */
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

    /** Whether the connection is between requests, or has sent nothing for longer than regular consumers take. */
    boolean isIdle(long now) {
        ConsumerConnectionState state = state(now);
        return state == ConsumerConnectionState.IDLE || state == ConsumerConnectionState.SLOW && !isReadingRequest();
    }

    /** Requests that the I/O thread close the connection, unless a request has arrived by then. */
    void requestClose() {
        closeRequested = true;
        session.setEvent(SelectionKey.OP_WRITE);
    }

    /** Requests that the I/O thread read the next request; returns false if the connection is closed. */
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
     * Closes the connection to make room for another one, unless a request has arrived; returns whether it was closed.
     * On a busy machine the I/O thread may be delayed for longer than a regular consumer takes to send a request, which
     * may then be waiting to be read.
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

    /**
     * Closes the connection if the reason that the sweep found still holds; on the I/O thread it cannot change
     * meanwhile.
     */
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

    /** Starts the linger period after the last response, in which the consumer can read it. */
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
    /** Keeps a connection that has stopped reading alive, since this class closes it after the linger period. */
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

    /**
     * The library's event handler, extended by intake limiting and by the detection of consumers that have
     * disconnected.
     */
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

        /** Whether the input starts a request that is subject to the intake limiter. */
        private boolean isNextRequest() {
            return intakeLimiter != null && !requestParser.isStopped() && pendingResponses == 0 && !isReadingRequest();
        }

        /** Reads the input regardless of the intake limiter. */
        void readInput(IOSession ioSession, ByteBuffer source) throws IOException {
            if (requestParser.isStopped()) {
                discardInput(ioSession);
                return;
            }
            if (bytesAtLastRequestEnd > 0 && pendingResponses == 0 && !isReadingRequest()) {
                stateSince = server.frontend().now(); // the first bytes of the next request
            }
            super.inputReady(ioSession, source);
            // The library treats the end of the input as a half-closed connection and continues to respond. A consumer
            // that closes its connection no longer waits for the response, and the policy must be notified of that
            // immediately.
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
