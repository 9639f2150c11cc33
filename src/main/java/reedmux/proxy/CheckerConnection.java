package reedmux.proxy;

import java.io.IOException;
import reedmux.common.eventloop.Connection;
import reedmux.common.eventloop.Reactor;
import reedmux.common.http1.BodyBuffer;
import reedmux.common.http1.Http1BodyReader;
import reedmux.common.http1.Http1Head;
import reedmux.common.http1.Http1HeadReader;
import reedmux.common.http1.MalformedMessageException;
import reedmux.proxy.loadbalancer.CheckerStats;
import reedmux.proxy.request.ExecutionStatus;
import reedmux.proxy.request.ProxyResponse;
import reedmux.proxy.request.RequestAttempt;

/**
 * An HTTP/1.1 connection to a checker, which carries one request at a time. It is connecting, with a request that is
 * sent once the connection is established; active, from the first byte of a request to the last byte of its response;
 * idle, in the pool; or closed.
 *
 * <p>After each response {@link #onResponse()} decides whether the connection may become idle or must be closed. It
 * must be closed if a second response could still arrive, because that could be mistaken for the response to the next
 * request.
 *
 * <p>Not thread-safe; used on the reactor's thread only.
 */
final class CheckerConnection implements Connection.ConnectionHandler {
    private static final int MAX_HEAD_BYTES = 64 * 1024;
    private static final int MAX_BODY_BYTES = 16 * 1024 * 1024;
    /** Maximum number of responses to earlier requests that are skipped before the awaited response. */
    private static final int MAX_STALE_RESPONSES = 4;

    private static final long DEFAULT_IDLE_TIMEOUT_MICROS = 8_000_000;
    private static final String TIMEOUT_PARAMETER = "timeout=";
    private static final int MAX_TIMEOUT_DIGITS = 6;
    /**
     * Time for which a connection may be idle per second of the idle timeout that the checker announces in {@code
     * Keep-Alive}. It is 80% of that timeout, so that the proxy closes the connection before the checker does.
     */
    private static final long IDLE_MICROS_PER_KEEP_ALIVE_SECOND = 800_000;

    private static final int FIRST_FINAL_STATUS = 200;
    private static final int FIRST_REDIRECT_STATUS = 300;
    private static final int STATUS_MISDIRECTED_REQUEST = 421;
    private static final int STATUS_BAD_GATEWAY = 502;

    /** Receives the results of attempts and the state changes of connections. */
    interface CheckerConnectionListener {

        /** Called when an attempt has ended; {@code response} is null if no valid response was received. */
        void onAttemptEnded(
                CheckerConnection connection,
                RequestAttempt attempt,
                ExecutionStatus execution,
                ProxyResponse.CheckerResponse response);

        /** Called when the connection can carry another request. */
        void onIdle(CheckerConnection connection);

        /** Called once, when the connection is closed. */
        void onClosed(CheckerConnection connection);
    }

    private final Reactor reactor;
    private final CheckerStats checker;
    private final CheckerConnectionListener listener;
    private final Connection connection;
    private final Http1HeadReader headReader = new Http1HeadReader(false);
    private final Runnable bodyListener = this::writeBody;
    /** The attempt in flight and its request; both are null while the connection is idle. */
    private RequestAttempt attempt;

    private ClientRequest request;
    /** Writes the request in flight; null until its head is written. */
    private RequestWriter requestWriter;

    /** Head of the response that is being read; null until a head is complete. */
    private Http1Head responseHead;

    private Http1BodyReader bodyReader;
    private BodyBuffer responseBody;
    private int staleResponses;
    private boolean notReusable;
    private long idleSince;
    private long idleTimeoutMicros = DEFAULT_IDLE_TIMEOUT_MICROS;
    private boolean closeReported;

    /** Opens a connection. The caller must call {@link #start} immediately afterwards. */
    CheckerConnection(Reactor reactor, CheckerStats checker, CheckerConnectionListener listener) throws IOException {
        this.reactor = reactor;
        this.checker = checker;
        this.listener = listener;
        connection = Connection.connect(reactor, checker.address(), null, this);
    }

    CheckerStats checker() {
        return checker;
    }

    /**
     * Returns whether the connection is idle and can carry another request: exactly the requests that were started on
     * it were sent, it has received no unsolicited input and its idle timeout has not expired.
     */
    boolean isReusable(long now) {
        return attempt == null
                && connection.isConnected()
                && !notReusable
                && (requestWriter == null || requestWriter.isSent())
                && now - idleSince < idleTimeoutMicros
                && connection.isQuiescent();
    }

    /** Returns whether the connection has exceeded its idle timeout, or was closed while it was idle. */
    boolean isExpired(long now) {
        return attempt == null && (!connection.isOpen() || now - idleSince >= idleTimeoutMicros);
    }

    /** Starts an attempt. Its request is written as soon as the connection is established. */
    void start(RequestAttempt nextAttempt, ClientRequest nextRequest) {
        attempt = nextAttempt;
        request = nextRequest;
        nextAttempt.setConnection(this);
        requestWriter = null;
        staleResponses = 0;
        if (connection.isConnected()) {
            writeHead();
        }
    }

    @Override
    public void onConnected() {
        if (attempt != null) {
            writeHead();
        }
    }

    private void writeHead() {
        attempt.onConnected();
        ClientRequestBody body = request.body();
        requestWriter = new RequestWriter(connection, request.encodeHead(attempt, reactor.now()), body);
        if (body == null) {
            reportIfFullySent();
        } else {
            body.addChunkListener(bodyListener);
            writeBody();
        }
    }

    private void reportIfFullySent() {
        if (attempt != null && requestWriter.isSent()) {
            attempt.onFullySent();
        }
    }

    /** Writes the part of the body that has been received, as far as the output queue has room. */
    private void writeBody() {
        if (attempt == null || !connection.isOpen()) {
            return;
        } else if (requestWriter.writeBody()) {
            reportIfFullySent();
        } else {
            abort();
        }
    }

    @Override
    public void onFlushed() {
        writeBody();
    }

    @Override
    public void onInput() {
        try {
            while (attempt != null && readResponse()) {
                onResponse();
            }
        } catch (MalformedMessageException e) {
            abort();
            return;
        }
        if (attempt == null) {
            if (connection.available() > 0 || connection.isInputEnded()) {
                close(); // unsolicited input, or the checker has closed the connection
            }
        } else if (connection.isInputEnded()) {
            abort();
        }
    }

    /** Reads the available input of a response; returns whether the response is complete. */
    private boolean readResponse() throws MalformedMessageException {
        while (responseHead == null) {
            responseHead = headReader.read(connection, MAX_HEAD_BYTES);
            if (responseHead == null) {
                return false;
            } else if (responseHead.status() < FIRST_FINAL_STATUS) {
                responseHead = null;
                continue;
            }
            bodyReader = Http1BodyReader.ofResponse(responseHead, request.method());
            if (bodyReader == null || bodyReader.declaredLength() > MAX_BODY_BYTES) {
                throw new MalformedMessageException(STATUS_BAD_GATEWAY, "a response without an end, or one too large");
            }
            responseBody = new BodyBuffer();
        }
        bodyReader.read(connection, responseBody::append);
        connection.setRetainedBytes(responseBody.heldBytes());
        if (responseBody.length() > MAX_BODY_BYTES) {
            throw new MalformedMessageException(STATUS_BAD_GATEWAY, "a response that is too large");
        }
        return bodyReader.isComplete();
    }

    /**
     * Handles a complete response. The awaited response ends the attempt; a response to an earlier request is skipped.
     *
     * @throws MalformedMessageException if the response is not valid, or if too many earlier responses were skipped
     */
    private void onResponse() throws MalformedMessageException {
        Http1Head head = responseHead;
        BodyBuffer body = responseBody;
        releaseResponse();
        String attemptId = head.get(RequestAdmission.ATTEMPT_ID_HEADER);
        boolean successful = head.status() < FIRST_REDIRECT_STATUS;
        if (attemptId == null && successful) {
            throw new MalformedMessageException(STATUS_BAD_GATEWAY, "a successful response without an attempt's id");
        }
        if (attemptId != null && !attemptId.equals(request.attemptId())) {
            // The checker has repeated a response, and may send further copies, even after the awaited response.
            notReusable = true;
            if (++staleResponses > MAX_STALE_RESPONSES) {
                throw new MalformedMessageException(STATUS_BAD_GATEWAY, "too many responses to other requests");
            }
            return;
        }
        if (successful && (head.get("Reedmux-Server-Seal") == null || head.get("Content-Encoding") != null)) {
            throw new MalformedMessageException(STATUS_BAD_GATEWAY, "a response that is not the checker's own");
        }
        boolean notExecuted = head.get("Reedmux-Not-Executed") != null || head.status() == STATUS_MISDIRECTED_REQUEST;
        notReusable |= preventsReuse(head, attemptId, notExecuted);
        readIdleTimeout(head);
        endAttempt(
                notExecuted ? ExecutionStatus.NOT_EXECUTED : ExecutionStatus.EXECUTED,
                new ProxyResponse.CheckerResponse(head, body, notExecuted));
    }

    private void releaseResponse() {
        responseHead = null;
        responseBody = null;
        connection.setRetainedBytes(0);
    }

    private boolean preventsReuse(Http1Head head, String attemptId, boolean notExecuted) {
        // The checker closes the connection.
        return head.closesConnection()
                // The checker is overloaded or shutting down, or another instance has its address.
                || notExecuted
                // A late copy of this response is indistinguishable from the next response, which may lack an id too.
                || attemptId == null
                // The rest of this request would be written before the next request.
                || !requestWriter.isSent();
    }

    /** Adopts the timeout of {@code Keep-Alive: timeout=SECONDS}; ignores all other parameters of the header. */
    private void readIdleTimeout(Http1Head head) {
        String keepAlive = head.get("Keep-Alive");
        int parameterStart = keepAlive == null ? -1 : keepAlive.indexOf(TIMEOUT_PARAMETER);
        if (parameterStart < 0) {
            return;
        }
        int digitsStart = parameterStart + TIMEOUT_PARAMETER.length();
        int digitsEnd = digitsStart;
        while (digitsEnd < keepAlive.length()
                && Character.isDigit(keepAlive.charAt(digitsEnd))
                && digitsEnd < digitsStart + MAX_TIMEOUT_DIGITS) {
            digitsEnd++;
        }
        if (digitsEnd > digitsStart) {
            idleTimeoutMicros =
                    Long.parseLong(keepAlive.substring(digitsStart, digitsEnd)) * IDLE_MICROS_PER_KEEP_ALIVE_SECOND;
        }
    }

    private void endAttempt(ExecutionStatus execution, ProxyResponse.CheckerResponse response) {
        RequestAttempt endedAttempt = attempt;
        attempt = null;
        idleSince = reactor.now();
        if (request.body() != null) {
            request.body().removeChunkListener(bodyListener);
        }
        request = null;
        if (connection.available() > 0 || connection.isInputEnded()) {
            notReusable = true; // unsolicited input after the response, or the checker has closed the connection
        }
        if (notReusable || !connection.isOpen()) {
            close();
        } else {
            listener.onIdle(this);
        }
        listener.onAttemptEnded(this, endedAttempt, execution, response);
    }

    /**
     * Closes the connection without a complete response. Only a request of which no byte was sent was certainly not
     * executed: a checker may start to execute a request that it has received in part.
     */
    private void abort() {
        boolean bytesSent = attempt != null && requestWriter != null && requestWriter.isPartlySent();
        connection.close();
        releaseResponse();
        notReusable = true;
        if (attempt != null) {
            endAttempt(bytesSent ? ExecutionStatus.MAY_HAVE_EXECUTED : ExecutionStatus.NOT_EXECUTED, null);
        } else {
            close();
        }
    }

    @Override
    public void onClosed(String reason) {
        abort();
    }

    /** Cancels an attempt by closing the connection, if the attempt is still in flight on it. */
    void cancel(RequestAttempt cancelledAttempt) {
        if (cancelledAttempt == attempt) {
            abort();
        }
    }

    void close() {
        connection.close();
        notReusable = true;
        if (!closeReported) {
            closeReported = true;
            listener.onClosed(this);
        }
    }
}
