package reedmux.proxy;

import java.nio.charset.StandardCharsets;
import reedmux.common.eventloop.Connection;
import reedmux.common.http1.Http1BodyReader;
import reedmux.common.http1.Http1Head;
import reedmux.common.http1.Http1HeadReader;
import reedmux.common.http1.MalformedMessageException;
import reedmux.control.configuration.RequestLimits;
import reedmux.proxy.request.ProxyResponse;

/**
 * An HTTP/1.1 connection of a client, which carries one request at a time; {@link State} lists its states. The response
 * may be sent at any time after the request was admitted, even while the request body is still being received.
 *
 * <p>Not thread-safe; used on the reactor's thread only.
 */
final class ClientConnection implements Connection.ConnectionHandler {
    private static final long MICROS_PER_SECOND = 1_000_000;
    /** Time that a client has to read a last response that was sent completely, before the connection is closed. */
    private static final long LAST_RESPONSE_LINGER_MICROS = MICROS_PER_SECOND / 2;

    /** Time after which the connection is closed even if its last response was not sent completely. */
    private static final long UNSENT_RESPONSE_LINGER_MICROS = 10 * MICROS_PER_SECOND;
    /**
     * Maximum number of bytes that are read and discarded of a request body after its response was sent. If the body is
     * longer, the connection is closed, because it could not carry another request.
     */
    private static final long MAX_DISCARDED_BODY_BYTES = 1024 * 1024;
    /**
     * Number of unread bytes after the head of a deferred request above which reading is paused until the request is
     * resumed.
     */
    private static final int MAX_DEFERRED_BYTES = 64 * 1024;

    /**
     * Unsent bytes of responses above which no further request of the client is read, so that a client that does not
     * read its responses cannot have any number of them queued.
     */
    private static final int MAX_UNSENT_RESPONSE_BYTES = 256 * 1024;

    private static final int STATUS_REQUEST_TIMEOUT = 408;
    private static final int STATUS_CONTENT_TOO_LARGE = 413;
    private static final byte[] CONTINUE = "HTTP/1.1 100 Continue\r\n\r\n".getBytes(StandardCharsets.US_ASCII);

    private enum State {
        /** Between two requests; no byte of the next one was received. */
        IDLE,
        /** A part of a head was received. */
        READING_HEAD,
        /** A head is complete, and its request waits until the proxy has started. */
        DEFERRED,
        /** A body is being received. Its request is dispatched as soon as the body can be sent. */
        READING_BODY,
        /** A request was received completely and dispatched. */
        AWAITING_RESPONSE,
        /** The response was sent before the whole body was received; the rest of the body is discarded. */
        DISCARDING_BODY,
        /** The last response was written. The client gets time to read it before the connection is closed. */
        CLOSING
    }

    private final ClientRequestHandler handler;
    private final Connection connection;
    private final PipelinedInput pipelinedInput;
    private final Http1HeadReader headReader = new Http1HeadReader(true);
    private boolean readingHead;
    private boolean closing;
    /** Time since which the connection has been idle, reading a head, or closing, in microseconds. */
    private long stateSince;

    private long lastProgressAt;
    /**
     * Idle timeout announced to the client in the last response, in microseconds. A lower configured timeout takes
     * effect only with the next response.
     */
    private long announcedIdleTimeoutMicros;

    private Http1Head deferredHead;
    private long headReceivedAt;
    /** The current request; null if there is none, or if it was rejected by its head. */
    private ClientRequest request;

    private Http1BodyReader bodyReader;
    private ClientRequestBody requestBody;
    /** Number of bytes that had been sent when the timeouts were last checked. */
    private long sentBytesSeen;
    /** Whether reading the body is paused until its buffer has been read. */
    private boolean bodyReadPaused;

    /** Method of the current request, also if it was rejected by its head; null while there is no complete head. */
    private String method;

    private boolean keepAlive = true;
    private boolean dispatched;
    private boolean responded;

    /** Serves an accepted connection and becomes its handler. */
    ClientConnection(ClientRequestHandler handler, Connection connection) {
        this.handler = handler;
        this.connection = connection;
        pipelinedInput = new PipelinedInput(connection);
        stateSince = handler.now();
        lastProgressAt = stateSince;
        announcedIdleTimeoutMicros = handler.requestLimits().idleTimeoutMicros();
        connection.setHandler(this);
    }

    private State state() {
        if (closing) {
            return State.CLOSING;
        } else if (bodyReader != null) {
            return responded ? State.DISCARDING_BODY : State.READING_BODY;
        } else if (request != null) {
            return State.AWAITING_RESPONSE;
        } else if (deferredHead != null) {
            return State.DEFERRED;
        }
        return readingHead ? State.READING_HEAD : State.IDLE;
    }

    /** Returns whether no request is in progress; a head that was received in part does not count. */
    boolean isIdle() {
        State state = state();
        return state == State.IDLE || state == State.READING_HEAD;
    }

    /** Returns the time at which the head of the current request was complete, in microseconds. */
    long headReceivedAt() {
        return headReceivedAt;
    }

    /** Returns whether a request was dispatched and its response has not been sent. */
    boolean awaitsResponse() {
        return request != null && dispatched && !responded;
    }

    /** Returns the time at which the client of the current request stops waiting, in microseconds. */
    long deadline() {
        return request.proxyRequest().deadline();
    }

    /**
     * Returns whether the client of a request has disconnected by now. Reads the socket, as the reactor may not have
     * reported the disconnect yet; it is then handled in a later turn.
     */
    boolean hasDisconnected(ClientRequest clientRequest) {
        return clientRequest != request || lastProgressAt != handler.now() && pollInputEnded();
    }

    private boolean pollInputEnded() {
        return bodyReader == null ? pipelinedInput.pollInputEnded() : connection.pollInputEnded();
    }

    // ---- Reading -----------------------------------------------------------------------------------

    @Override
    public void onInput() {
        lastProgressAt = handler.now();
        try {
            while (connection.isOpen() && readNextPart()) {
                // each iteration reads one head or one body
            }
        } catch (MalformedMessageException e) {
            rejectMalformed(e);
        }
        if (connection.isOpen() && connection.isInputEnded()) {
            disconnect();
        }
    }

    /** Reads the next part of the input, depending on the state; returns whether there may be more to read. */
    private boolean readNextPart() throws MalformedMessageException {
        State state = state();
        if (state == State.CLOSING) {
            connection.skip(connection.available());
            return false;
        } else if (state == State.READING_BODY || state == State.DISCARDING_BODY) {
            return readBody();
        } else if (state == State.AWAITING_RESPONSE) {
            pipelinedInput.discardExcess();
            if (pipelinedInput.exceedsDiscardLimit()) {
                disconnect();
            }
            return false;
        } else if (state == State.DEFERRED) {
            // The input may be the body of the deferred request, so it is not discarded.
            connection.setReadPaused(connection.available() > MAX_DEFERRED_BYTES);
            return false;
        }
        return readHead();
    }

    private boolean readHead() throws MalformedMessageException {
        if (connection.queuedBytes() > MAX_UNSENT_RESPONSE_BYTES) {
            connection.setReadPaused(connection.available() > MAX_DEFERRED_BYTES);
            return false;
        }
        Http1Head head = headReader.read(connection, handler.requestLimits().maxHeaderBytes());
        if (head == null) {
            if (!readingHead && connection.available() > 0) {
                readingHead = true;
                stateSince = handler.now();
            }
            return false;
        }
        readingHead = false;
        headReceivedAt = handler.now();
        if (handler.deferUntilStarted(this, head)) {
            deferredHead = head;
            return false;
        }
        beginRequest(head);
        return true;
    }

    /** Resumes a deferred request, whether or not the proxy can serve it by now. */
    void resumeDeferred() {
        Http1Head head = deferredHead;
        if (head == null || !connection.isOpen()) {
            return;
        }
        deferredHead = null;
        connection.setReadPaused(false);
        try {
            beginRequest(head);
        } catch (MalformedMessageException e) {
            rejectMalformed(e);
            return;
        }
        onInput();
    }

    private void beginRequest(Http1Head head) throws MalformedMessageException {
        bodyReader = Http1BodyReader.ofRequest(head);
        bodyReadPaused = false;
        method = head.method();
        keepAlive = !head.closesConnection();
        responded = false;
        dispatched = false;
        boolean hasBody = !bodyReader.isComplete() || head.get("Content-Length") != null;
        requestBody = hasBody ? new ClientRequestBody(bodyReader.declaredLength(), connection.bufferBudget()) : null;
        RequestAdmission.AdmissionResult result = handler.admit(this, head, requestBody);
        request = result.request();
        if (request == null) {
            releaseUnsentBody();
            long length = bodyReader.declaredLength();
            if (length < 0 || length > MAX_DISCARDED_BODY_BYTES) {
                keepAlive = false;
            }
            respond(result.rejection());
        } else if (head.hasListToken("Expect", "100-continue") && !bodyReader.isComplete()) {
            connection.write(CONTINUE);
        }
        if (requestBody != null) {
            requestBody.setCapacityListener(this::resumeReading);
            requestBody.setDiscardListener(() -> rejectUndispatched(RequestAdmission.buffersFullRejection()));
        }
    }

    /** Releases the body of a request that was not dispatched; the body of any other one belongs to its attempts. */
    private void releaseUnsentBody() {
        if (requestBody != null && !dispatched) {
            requestBody.release();
        }
        requestBody = null;
    }

    /**
     * Resumes reading once the body has capacity again. The time for which the proxy had paused reading does not count
     * toward the timeout of the body.
     */
    private void resumeReading() {
        bodyReadPaused = false;
        lastProgressAt = handler.now();
        connection.setReadPaused(false);
    }

    private boolean readBody() throws MalformedMessageException {
        Http1BodyReader reader = bodyReader;
        ClientRequestBody body = requestBody;
        reader.read(connection, chunk -> {
            if (body != null && !responded) {
                body.append(chunk);
            }
        });
        if (reader.bytesRead() > handler.requestLimits().maxBodyBytes()) {
            throw new MalformedMessageException(
                    STATUS_CONTENT_TOO_LARGE,
                    "the body is larger than " + handler.requestLimits().maxBodyBytes() + " bytes");
        } else if (responded && reader.bytesRead() > MAX_DISCARDED_BODY_BYTES && !reader.isComplete()) {
            closeAfterResponse();
            return false;
        }
        if (reader.isComplete()) {
            onBodyComplete(body);
        } else if (body != null && !responded && body.isFull()) {
            bodyReadPaused = true;
            connection.setReadPaused(true);
        }
        boolean readyToSend = body == null || body.isReadyToSend();
        if (request != null && !dispatched && !responded && readyToSend && !pollInputEnded()) {
            dispatched = true;
            handler.dispatch(request);
        }
        return reader.isComplete();
    }

    private void onBodyComplete(ClientRequestBody body) {
        bodyReader = null;
        if (body != null && !responded) {
            body.finish();
        }
        if (responded) {
            awaitNextRequest();
        }
    }

    /** Rejects a request that cannot be read. The connection is closed after the response. */
    private void rejectMalformed(MalformedMessageException malformed) {
        ClientRequest abandoned = responded ? null : request;
        boolean wasDispatched = dispatched;
        keepAlive = false;
        respond(new ProxyResponse.LocalResponse(malformed.status(), malformed.getMessage(), -1));
        if (!closing) {
            close();
        }
        if (abandoned != null) {
            handler.onRequestAbandoned(abandoned, wasDispatched);
        }
    }

    // ---- Responding --------------------------------------------------------------------------------

    /** Sends the response to a request, if it is still the current request and has not been answered. */
    void respond(ClientRequest answeredRequest, ProxyResponse response) {
        if (answeredRequest == request) {
            respond(response);
        }
    }

    private void respond(ProxyResponse response) {
        if (responded || !connection.isOpen() || closing) {
            return;
        }
        responded = true;
        boolean last = !keepAlive || handler.isDraining() || pipelinedInput.hasDiscarded();
        if (!last) {
            announcedIdleTimeoutMicros = handler.requestLimits().idleTimeoutMicros();
        }
        ClientResponseEncoder.encode(
                        response,
                        request,
                        method,
                        last ? ClientResponseEncoder.CLOSE_CONNECTION : announcedIdleTimeoutMicros)
                .forEach(connection::write);
        releaseUnsentBody();
        if (last) {
            closeAfterResponse();
        } else if (bodyReader == null) {
            awaitNextRequest();
        } else {
            connection.setReadPaused(false);
        }
    }

    private void awaitNextRequest() {
        request = null;
        method = null;
        responded = false;
        dispatched = false;
        releaseUnsentBody();
        stateSince = handler.now();
        lastProgressAt = stateSince;
        connection.setReadPaused(false);
        if (connection.available() > 0) {
            handler.executeLater(this::readNextRequest);
        }
    }

    private void readNextRequest() {
        if (connection.isOpen() && request == null) {
            connection.setReadPaused(false);
            onInput();
        }
    }

    /** Rejects the current request if it was not dispatched. */
    void rejectUndispatched(ProxyResponse rejection) {
        if (request == null || dispatched || responded) {
            return;
        }
        ClientRequest abandoned = request;
        keepAlive = false;
        respond(rejection);
        handler.onRequestAbandoned(abandoned, false);
    }

    // ---- Closing -----------------------------------------------------------------------------------

    private void closeAfterResponse() {
        closing = true;
        request = null;
        bodyReader = null;
        releaseUnsentBody();
        stateSince = handler.now();
        if (connection.queuedBytes() == 0) {
            connection.shutdownOutput();
        }
        connection.setReadPaused(false);
    }

    @Override
    public void onFlushed() {
        if (closing) {
            connection.shutdownOutput();
        } else if (state() == State.IDLE && connection.available() > 0) {
            handler.executeLater(this::readNextRequest);
        }
    }

    /** Closes the connection without a response: the client has disconnected, or has exceeded a limit. */
    private void disconnect() {
        ClientRequest abandoned = responded ? null : request;
        deferredHead = null;
        close();
        if (abandoned != null) {
            handler.onRequestAbandoned(abandoned, dispatched);
        }
    }

    @Override
    public void onClosed(String reason) {
        disconnect();
    }

    private void close() {
        releaseUnsentBody();
        connection.close();
        handler.onClientClosed(this);
    }

    /**
     * Closes or rejects the connection if its state has exceeded its timeout, or closes it if it is idle and {@code
     * closeIdle}.
     */
    void checkTimeouts(long now, boolean closeIdle) {
        RequestLimits limits = handler.requestLimits();
        State state = state();
        noteSendProgress(now);
        long timeInState = now - stateSince;
        if (state == State.CLOSING) {
            boolean fullySent = connection.queuedBytes() == 0;
            if (timeInState > LAST_RESPONSE_LINGER_MICROS
                    && (fullySent || timeInState > UNSENT_RESPONSE_LINGER_MICROS)) {
                close();
            }
        } else if (state == State.READING_HEAD) {
            if (timeInState > limits.headerTimeoutMicros()) {
                rejectMalformed(new MalformedMessageException(STATUS_REQUEST_TIMEOUT, "the head has not come in time"));
            }
        } else if (state == State.READING_BODY) {
            if (bodyReadPaused && !requestBody.isFull()) {
                resumeReading();
            }
            if (now - lastProgressAt > limits.idleTimeoutMicros() && !bodyReadPaused) {
                onBodyTimeout();
            }
        } else if (state == State.DISCARDING_BODY) {
            if (now - lastProgressAt > limits.idleTimeoutMicros()) {
                close();
            }
        } else if (state == State.IDLE) {
            boolean expired = timeInState > Math.max(announcedIdleTimeoutMicros, limits.idleTimeoutMicros());
            boolean unused = connection.available() == 0 && connection.queuedBytes() == 0;
            if (expired || closeIdle && unused) {
                close();
            }
        }
    }

    /** Restarts the timeout of a connection that has a response if a part of that was sent since. */
    private void noteSendProgress(long now) {
        State state = state();
        boolean hasResponse = state == State.IDLE || state == State.CLOSING || state == State.DISCARDING_BODY;
        if (hasResponse && connection.queuedBytes() > 0 && connection.sentBytes() != sentBytesSeen) {
            stateSince = now;
            lastProgressAt = now;
        }
        sentBytesSeen = connection.sentBytes();
    }

    private void onBodyTimeout() {
        if (dispatched) {
            disconnect();
        } else {
            rejectMalformed(new MalformedMessageException(STATUS_REQUEST_TIMEOUT, "the body has not come in time"));
        }
    }
}
