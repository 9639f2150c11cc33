package reedmux.proxy;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import reedmux.common.eventloop.Connection;
import reedmux.common.eventloop.Reactor;
import reedmux.common.http1.Http1BodyReader;
import reedmux.common.http1.Http1Head;
import reedmux.common.http1.Http1HeadReader;
import reedmux.common.http1.MalformedMessageException;
import reedmux.proxy.loadbalancer.CheckerStats;
import reedmux.proxy.request.ExecutionStatus;
import reedmux.proxy.request.ProxyResponse;
import reedmux.proxy.request.RequestAttempt;

/**
 * A connection to a checker, which carries one request at a time. Its states: connecting, with a request that waits
 * for it; active, from the first byte of a request to the last one of its response; idle, in the pool; closed. Whether
 * it may become idle after a response, or must be closed, is decided in {@link #onResponse()}: a second response on
 * the wire could otherwise be taken for that of the next request. For the reactor's thread.
 */
final class CheckerConnection implements Connection.ConnectionHandler {
    private static final int MAX_HEAD_BYTES = 64 * 1024;
    private static final int MAX_BODY_BYTES = 16 * 1024 * 1024;
    /** Bytes of a request that wait here until the checker takes them. */
    private static final int MAX_WRITE_QUEUE_BYTES = 128 * 1024;
    /** Responses to earlier requests that are skipped in front of the one that is awaited. */
    private static final int MAX_STALE_RESPONSES = 4;

    private static final int MIN_RESPONSE_BUFFER_BYTES = 32;
    private static final long DEFAULT_IDLE_TIMEOUT_MICROS = 8_000_000;
    private static final String TIMEOUT_PARAMETER = "timeout=";
    private static final int MAX_TIMEOUT_DIGITS = 6;
    /** Of a checker's own idle timeout in seconds, how long we use a connection: 80%, so that we close it first. */
    private static final long IDLE_MICROS_PER_KEEP_ALIVE_SECOND = 800_000;

    private static final int FIRST_FINAL_STATUS = 200;
    private static final int FIRST_REDIRECT_STATUS = 300;
    private static final int STATUS_MISDIRECTED_REQUEST = 421;
    private static final int STATUS_BAD_GATEWAY = 502;
    private static final byte[] CRLF = {'\r', '\n'};
    private static final byte[] LAST_CHUNK = "0\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1);

    /** Hears of the ends of attempts and of connections. */
    interface CheckerConnectionListener {

        /** An attempt has ended; {@code response} is null where none came. */
        void onAttemptEnded(
                CheckerConnection connection,
                RequestAttempt attempt,
                ExecutionStatus execution,
                ProxyResponse.CheckerResponse response);

        /** The connection may carry another request. */
        void onIdle(CheckerConnection connection);

        /** The connection is closed; called once. */
        void onClosed(CheckerConnection connection);
    }

    private final Reactor reactor;
    private final CheckerStats checker;
    private final CheckerConnectionListener listener;
    private final Connection connection;
    private final Http1HeadReader headReader = new Http1HeadReader(false);
    /** What is under way; both null while the connection is idle. */
    private RequestAttempt attempt;

    private ClientRequest request;
    /** How far the request's body is written. */
    private int nextChunkIndex;

    private boolean chunked;
    private boolean requestWritten;
    private long bytesBeforeRequest;
    /** The response that is being read; null in front of a head. */
    private Http1Head responseHead;

    private Http1BodyReader bodyReader;
    private ByteArrayOutputStream responseBody;
    private int staleResponses;
    private boolean notReusable;
    private long idleSince;
    private long idleTimeoutMicros = DEFAULT_IDLE_TIMEOUT_MICROS;
    private boolean closeReported;

    /** Opens a connection; {@link #start} is to be called at once. */
    CheckerConnection(Reactor reactor, CheckerStats checker, CheckerConnectionListener listener) throws IOException {
        this.reactor = reactor;
        this.checker = checker;
        this.listener = listener;
        connection = Connection.connect(reactor, checker.address(), null, this);
    }

    CheckerStats checker() {
        return checker;
    }

    /** Whether it is idle and may carry one more request: nothing unexpected has come in, and it is still in time. */
    boolean isReusable(long now) {
        return attempt == null
                && connection.isConnected()
                && !notReusable
                && now - idleSince < idleTimeoutMicros
                && connection.isQuiescent();
    }

    /** Whether it has been idle for too long, or was closed meanwhile. */
    boolean isExpired(long now) {
        return attempt == null && (!connection.isOpen() || now - idleSince >= idleTimeoutMicros);
    }

    /** Takes a request, which is written once the connection is up. */
    void start(RequestAttempt nextAttempt, ClientRequest nextRequest) {
        attempt = nextAttempt;
        request = nextRequest;
        nextAttempt.setConnection(this);
        nextChunkIndex = 0;
        requestWritten = false;
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
        bytesBeforeRequest = connection.sentBytes() + connection.queuedBytes();
        ClientRequestBody body = request.body();
        byte[] head = request.encodeHead(attempt, reactor.now());
        chunked = body != null && body.length() < 0;
        connection.write(head);
        if (body == null) {
            requestWritten = true;
            reportIfFullySent();
        } else {
            body.setChunkListener(this::writeBody);
            writeBody();
        }
    }

    private void reportIfFullySent() {
        if (attempt != null && requestWritten && connection.queuedBytes() == 0) {
            attempt.onFullySent();
        }
    }

    /** Writes as much of the body as has come in and as the checker takes. */
    private void writeBody() {
        if (attempt == null || requestWritten || !connection.isOpen()) {
            return;
        }
        ClientRequestBody body = request.body();
        while (connection.queuedBytes() < MAX_WRITE_QUEUE_BYTES) {
            byte[] chunk = body.chunk(nextChunkIndex);
            if (chunk == null) {
                break;
            }
            nextChunkIndex++;
            writeChunk(chunk);
        }
        if (!requestWritten && body.isExhausted(nextChunkIndex)) {
            if (chunked) {
                connection.write(LAST_CHUNK);
            }
            requestWritten = true;
            reportIfFullySent();
        }
    }

    private void writeChunk(byte[] chunk) {
        if (!chunked) {
            connection.write(chunk);
            return;
        }
        connection.write((Integer.toHexString(chunk.length) + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
        connection.write(chunk);
        connection.write(CRLF);
    }

    @Override
    public void onFlushed() {
        writeBody();
        reportIfFullySent();
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
                close(); // bytes that belong to no request, or the checker has closed it
            }
        } else if (connection.isInputEnded()) {
            abort();
        }
    }

    /** Reads on; returns whether a response is complete. */
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
            responseBody =
                    new ByteArrayOutputStream((int) Math.max(MIN_RESPONSE_BUFFER_BYTES, bodyReader.declaredLength()));
        }
        bodyReader.read(connection, piece -> responseBody.write(piece, 0, piece.length));
        if (responseBody.size() > MAX_BODY_BYTES) {
            throw new MalformedMessageException(STATUS_BAD_GATEWAY, "a response that is too large");
        }
        return bodyReader.isComplete();
    }

    /**
     * Handles a complete response: the one that is awaited ends the attempt, one that repeats an earlier request's is
     * skipped.
     *
     * @throws MalformedMessageException if it can be neither
     */
    private void onResponse() throws MalformedMessageException {
        Http1Head head = responseHead;
        byte[] body = responseBody.toByteArray();
        responseHead = null;
        responseBody = null;
        String attemptId = head.get(RequestAdmission.ATTEMPT_ID_HEADER);
        boolean successful = head.status() < FIRST_REDIRECT_STATUS;
        if (attemptId == null && successful) {
            throw new MalformedMessageException(STATUS_BAD_GATEWAY, "a successful response without an attempt's id");
        }
        if (attemptId != null && !attemptId.equals(request.attemptId())) {
            // The checker repeats itself: more copies may come, also behind the awaited response.
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

    private boolean preventsReuse(Http1Head head, String attemptId, boolean notExecuted) {
        // The checker closes it.
        return head.closesConnection()
                // The checker is overloaded or leaving, or its address is another's.
                || notExecuted
                // A late copy of this response could not be told from that of the next request, which may lack an id.
                || attemptId == null
                // The rest of this request would be written in front of the next one.
                || !requestWritten
                || connection.queuedBytes() > 0;
    }

    /** Follows a {@code Keep-Alive: timeout=SECONDS}; anything else in it is ignored. */
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
            request.body().setChunkListener(() -> {});
        }
        request = null;
        if (connection.available() > 0 || connection.isInputEnded()) {
            notReusable = true; // something behind the response that no request has asked for, or the end
        }
        if (notReusable || !connection.isOpen()) {
            close();
        } else {
            listener.onIdle(this);
        }
        listener.onAttemptEnded(this, endedAttempt, execution, response);
    }

    /**
     * Ends the connection without a complete response. Only a request of which no byte went out has certainly not been
     * executed: a checker may begin with one that it has received in part.
     */
    private void abort() {
        boolean bytesSent = attempt != null && attempt.isConnected() && connection.sentBytes() > bytesBeforeRequest;
        connection.close();
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

    /** Cancels an attempt by closing the connection, if it is still under way here. */
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
