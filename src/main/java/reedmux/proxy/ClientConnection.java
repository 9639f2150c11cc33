package reedmux.proxy;

import java.nio.charset.StandardCharsets;
import reedmux.common.eventloop.Connection;
import reedmux.common.http1.Http1BodyReader;
import reedmux.common.http1.Http1Head;
import reedmux.common.http1.Http1HeadReader;
import reedmux.common.http1.MalformedMessageException;
import reedmux.proxy.request.ProxyResponse;

/**
 * An HTTP/1.1 connection of a client, which carries one request at a time; {@link State} lists its states. The response
 * may be sent at any time after the request was admitted, even while the request body is still being received.
 *
 * <p>Not thread-safe; used on the reactor's thread only.
 */
final class ClientConnection implements Connection.ConnectionHandler {
    /**
     * Maximum number of bytes that are read and discarded of a request body after its response was sent. If more may
     * follow, the response announces that the connection will be closed.
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
    private static final int STATUS_GATEWAY_TIMEOUT = 504;
    private static final byte[] CONTINUE = "HTTP/1.1 100 Continue\r\n\r\n".getBytes(StandardCharsets.US_ASCII);

    /** The states of a connection. */
    enum State {
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
        /**
         * The response was sent before the whole body was received. The rest of the body, of which the length is known,
         * is discarded.
         */
        DISCARDING_BODY,
        /**
         * The last response was written. The client gets time to read it before the connection is closed; what it
         * still sends is discarded.
         */
        CLOSING
    }

    private final ClientRequestHandler handler;
    private final Connection connection;
    private final PipelinedInput pipelinedInput;
    private final Http1HeadReader headReader = new Http1HeadReader(true);
    private boolean readingHead;
    private boolean closing;
    private final ClientConnectionTimeouts timeouts;

    private Http1Head deferredHead;
    private long headReceivedAt;
    /** The current request; null if there is none, or if it was rejected by its head. */
    private ClientRequest request;

    private Http1BodyReader bodyReader;
    private ClientRequestBody requestBody;
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
        timeouts = new ClientConnectionTimeouts(
                handler.now(), handler.requestLimits().idleTimeoutMicros());
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
        return clientRequest != request || timeouts.lastProgressAt() != handler.now() && pollInputEnded();
    }

    private boolean pollInputEnded() {
        return bodyReader == null ? pipelinedInput.pollInputEnded() : connection.pollInputEnded();
    }

    // ---- Reading -----------------------------------------------------------------------------------

    @Override
    public void onInput() {
        timeouts.onProgress(handler.now());
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
                timeouts.onStateEntered(handler.now());
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
        boolean awaitsContinue = head.hasListToken("Expect", "100-continue") && !bodyReader.isComplete();
        if (request == null) {
            releaseUnsentBody();
            keepAlive &= !awaitsContinue; // whether the client still sends the body is unknown
            respond(result.rejection());
        } else if (awaitsContinue) {
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
        timeouts.onProgress(handler.now());
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
        boolean last = !keepAlive || handler.isDraining() || pipelinedInput.hasDiscarded() || !canDiscardBody();
        if (!last) {
            timeouts.announceIdleTimeout(handler.requestLimits().idleTimeoutMicros());
        }
        ClientResponseEncoder.encode(
                        response,
                        request,
                        method,
                        last ? ClientResponseEncoder.CLOSE_CONNECTION : timeouts.announcedIdleMicros())
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

    /** Returns whether little enough of the current body is due to read all of it before the next request. */
    private boolean canDiscardBody() {
        if (bodyReader == null || bodyReader.isComplete()) {
            return true;
        }
        long length = bodyReader.declaredLength();
        return length >= 0 && length - bodyReader.bytesRead() <= MAX_DISCARDED_BODY_BYTES;
    }

    private void awaitNextRequest() {
        request = null;
        method = null;
        responded = false;
        dispatched = false;
        releaseUnsentBody();
        timeouts.onRequestEnded(handler.now());
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
        timeouts.onStateEntered(handler.now());
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
        State state = state();
        if (state == State.READING_BODY && bodyReadPaused && !requestBody.isFull()) {
            resumeReading();
        }
        timeouts.noteSentBytes(state, connection, now);
        boolean waitsForProxy = state == State.READING_BODY && bodyReadPaused;
        if (!waitsForProxy && timeouts.isExceeded(state, connection, handler.requestLimits(), now)) {
            onTimeout(state);
        } else if (state == State.IDLE && closeIdle && connection.available() == 0 && connection.queuedBytes() == 0) {
            close();
        }
    }

    private void onTimeout(State state) {
        if (state == State.READING_HEAD) {
            rejectMalformed(new MalformedMessageException(STATUS_REQUEST_TIMEOUT, "the head has not come in time"));
        } else if (state == State.READING_BODY) {
            onBodyTimeout();
        } else {
            close();
        }
    }

    /** A checker may have executed a request of which it has received a part, so that is not answered as rejected. */
    private void onBodyTimeout() {
        int status = dispatched ? STATUS_GATEWAY_TIMEOUT : STATUS_REQUEST_TIMEOUT;
        rejectMalformed(new MalformedMessageException(status, "the body has not come in time"));
    }
}
