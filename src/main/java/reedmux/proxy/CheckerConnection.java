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

/** A connection to a checker, which carries one request at a time. */
public final class CheckerConnection implements Connection.ConnectionHandler {
    private static final int MAX_HEAD_BYTES = 64 * 1024;
    private static final int MAX_BODY_BYTES = 16 * 1024 * 1024;
    /** Bytes of a body that wait here to be taken by the checker. */
    private static final int MAX_WRITE_QUEUE_BYTES = 128 * 1024;

    private static final int MAX_STALE_RESPONSES = 4;
    private static final long DEFAULT_IDLE_TIMEOUT_MICROS = 8_000_000;
    private static final byte[] LAST_CHUNK = "0\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1);

    /** Whom the ends of tries and of connections are told. */
    interface CheckerConnectionListener {
        void onAttemptEnded(
                CheckerConnection wire,
                RequestAttempt what,
                ExecutionStatus verdict,
                ProxyResponse.CheckerResponse answer);

        /** It may carry another request. */
        void onIdle(CheckerConnection wire);

        void onClosed(CheckerConnection wire);
    }

    private final Reactor reactor;
    private final CheckerStats checker;
    private final CheckerConnectionListener listener;
    private final Connection connection;
    private final Http1HeadReader headReader = new Http1HeadReader(false);
    private RequestAttempt attempt;
    private ClientRequest request;
    private int nextChunk;
    private boolean chunked;
    private boolean requestWritten;
    private long bytesBeforeRequest;
    private Http1Head responseHead;
    private Http1BodyReader bodyReader;
    private ByteArrayOutputStream responseBody;
    private boolean notReusable;
    private int staleResponses;
    private long idleSince;
    private long idleTimeoutMicros = DEFAULT_IDLE_TIMEOUT_MICROS;
    private boolean listed;

    CheckerConnection(Reactor reactor, CheckerStats checker, CheckerConnectionListener owner) throws IOException {
        this.reactor = reactor;
        this.checker = checker;
        this.listener = owner;
        connection = Connection.connect(reactor, checker.address(), null, this);
        listed = true;
    }

    CheckerStats checker() {
        return checker;
    }

    /** Whether it is idle and good for one more request. */
    boolean isReusable(long now) {
        return attempt == null
                && connection.isConnected()
                && !notReusable
                && now - idleSince < idleTimeoutMicros
                && connection.isQuiescent();
    }

    boolean isExpired(long now) {
        return attempt == null && (!connection.isOpen() || now - idleSince >= idleTimeoutMicros);
    }

    /** Takes a request, which is sent once the connection is up. */
    void start(RequestAttempt what, ClientRequest told) {
        attempt = what;
        request = told;
        what.connection(this);
        nextChunk = 0;
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
        ClientRequestBody upload = request.body();
        byte[] first = request.headFor(attempt, reactor.now());
        chunked = upload != null && upload.length() < 0;
        connection.write(first);
        if (upload == null) {
            requestWritten = true;
        } else {
            upload.setChunkListener(this::writeBody);
            writeBody();
        }
    }

    /** Passes on as much of the body as is here and the checker takes. */
    private void writeBody() {
        if (attempt == null || requestWritten || !connection.isOpen()) {
            return;
        }
        ClientRequestBody upload = request.body();
        while (connection.queuedBytes() < MAX_WRITE_QUEUE_BYTES) {
            byte[] piece = upload.chunk(nextChunk);
            if (piece == null) {
                break;
            }
            nextChunk++;
            if (chunked) {
                write((Integer.toHexString(piece.length) + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
            }
            write(piece);
            if (chunked) {
                write(new byte[] {'\r', '\n'});
            }
        }
        if (!requestWritten && upload.isExhausted(nextChunk)) {
            if (chunked) {
                write(LAST_CHUNK);
            }
            requestWritten = true;
        }
    }

    private void write(byte[] some) {
        connection.write(some);
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
            onBroken();
            return;
        }
        if (attempt == null) {
            if (connection.available() > 0 || connection.isInputEnded()) {
                close(); // nobody has asked for these bytes
            }
        } else if (connection.isInputEnded()) {
            onBroken();
        }
    }

    /** Reads on; true once an answer is whole. */
    private boolean readResponse() throws MalformedMessageException {
        while (responseHead == null) {
            responseHead = headReader.read(connection, MAX_HEAD_BYTES);
            if (responseHead == null) {
                return false;
            } else if (responseHead.status() < 200) {
                responseHead = null;
                continue;
            }
            bodyReader = Http1BodyReader.ofResponse(responseHead, request.method());
            if (bodyReader == null || bodyReader.declaredLength() > MAX_BODY_BYTES) {
                throw new MalformedMessageException(502, "the answer has no end, or one too far");
            }
            responseBody = new ByteArrayOutputStream((int) Math.max(32, bodyReader.declaredLength()));
        }
        bodyReader.read(connection, piece -> responseBody.write(piece, 0, piece.length));
        if (responseBody.size() > MAX_BODY_BYTES) {
            throw new MalformedMessageException(502, "the answer is too long");
        }
        return bodyReader.isComplete();
    }

    /** An answer is whole: it is the one that is awaited, or belongs to an earlier request. */
    private void onResponse() throws MalformedMessageException {
        Http1Head told = responseHead;
        byte[] content = responseBody.toByteArray();
        responseHead = null;
        responseBody = null;
        notReusable |= told.closesConnection();
        String id = told.get("Reedmux-Attempt-Id");
        boolean good = told.status() < 300;
        if (id != null && !id.equals(request.attemptId()) || id == null && good) {
            notReusable = true;
            if (++staleResponses > MAX_STALE_RESPONSES || id == null) {
                throw new MalformedMessageException(502, "an answer to nobody");
            }
            return; // a late one: ours comes behind it
        }
        if (good && (told.get("Reedmux-Server-Seal") == null || told.get("Content-Encoding") != null)) {
            throw new MalformedMessageException(502, "an answer that is not the checker's own");
        }
        boolean notRun = told.get("Reedmux-Not-Executed") != null || told.status() == 421;
        // Nothing tells another answer without an id from a late copy of this one.
        notReusable |= notRun || id == null || !requestWritten || connection.queuedBytes() > 0;
        readIdleTimeout(told);
        endAttempt(
                notRun ? ExecutionStatus.NOT_EXECUTED : ExecutionStatus.EXECUTED,
                new ProxyResponse.CheckerResponse(told, content, notRun));
    }

    private void readIdleTimeout(Http1Head told) {
        String keepAlive = told.get("Keep-Alive");
        int at = keepAlive == null ? -1 : keepAlive.indexOf("timeout=");
        if (at >= 0) {
            int end = at + 8;
            while (end < keepAlive.length() && Character.isDigit(keepAlive.charAt(end)) && end < at + 14) {
                end++;
            }
            if (end > at + 8) {
                idleTimeoutMicros = Long.parseLong(keepAlive.substring(at + 8, end)) * 800_000;
            }
        }
    }

    private void endAttempt(ExecutionStatus verdict, ProxyResponse.CheckerResponse answer) {
        RequestAttempt what = attempt;
        attempt = null;
        idleSince = reactor.now();
        if (request.body() != null) {
            request.body().setChunkListener(() -> {});
        }
        request = null;
        if (connection.available() > 0 || connection.isInputEnded()) {
            notReusable = true;
        }
        if (notReusable || !connection.isOpen()) {
            close();
        } else {
            listener.onIdle(this);
        }
        listener.onAttemptEnded(this, what, verdict, answer);
    }

    /**
     * It has ended with no whole answer. Only a request of which no byte went out has certainly not run:
     * whether a checker begins with one that has not come whole is its own affair.
     */
    private void onBroken() {
        RequestAttempt what = attempt;
        boolean out = what != null && what.isConnected() && connection.sentBytes() > bytesBeforeRequest;
        connection.close();
        notReusable = true;
        if (what != null) {
            endAttempt(out ? ExecutionStatus.MAY_HAVE_EXECUTED : ExecutionStatus.NOT_EXECUTED, null);
        } else {
            close();
        }
    }

    @Override
    public void onClosed(String why) {
        onBroken();
    }

    /** Gives up a request, if it is still under way here. */
    void cancel(RequestAttempt what) {
        if (what == attempt) {
            onBroken();
        }
    }

    void close() {
        connection.close();
        notReusable = true;
        if (listed) {
            listed = false;
            listener.onClosed(this);
        }
    }
}
