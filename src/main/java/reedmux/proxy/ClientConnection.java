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
 * A client's connection, which carries one request at a time; see {@link State} for its way. A response may come at
 * any time after a request was admitted, also while its body is still being read. For the reactor's thread.
 */
final class ClientConnection implements Connection.ConnectionHandler {
    private static final long MICROS_PER_SECOND = 1_000_000;
    /** How long a last response has to be read before the connection is closed; and where it is not all sent yet. */
    private static final long LAST_RESPONSE_LINGER_MICROS = MICROS_PER_SECOND / 2;

    private static final long UNSENT_RESPONSE_LINGER_MICROS = 10 * MICROS_PER_SECOND;
    /** What is read and dropped of a body whose request has its response; a longer one ends the connection. */
    private static final long MAX_DISCARDED_BODY_BYTES = 1024 * 1024;
    /** Bytes behind a head that are read while it waits for the start of the proxy. */
    private static final int MAX_DEFERRED_BYTES = 64 * 1024;

    private static final int STATUS_REQUEST_TIMEOUT = 408;
    private static final int STATUS_CONTENT_TOO_LARGE = 413;
    private static final byte[] CONTINUE = "HTTP/1.1 100 Continue\r\n\r\n".getBytes(StandardCharsets.US_ASCII);

    /** What a connection needs to know, and where its requests go. */
    interface ClientRequestHandler {

        /** The time in microseconds. */
        long now();

        /** Runs a task in a later turn of the reactor. */
        void executeLater(Runnable task);

        RequestLimits requestLimits();

        /** Whether each response is the last one on its connection. */
        boolean isDraining();

        /** Whether a request is held until the proxy has started; then {@link #resumeDeferred()} is called. */
        boolean deferUntilStarted(ClientConnection client, Http1Head head);

        /** Admits or rejects a request; {@code body} is null where it has none. */
        RequestAdmission.AdmissionResult admit(ClientConnection client, Http1Head head, ClientRequestBody body);

        /** Takes an admitted request, whose response comes by {@link #respond(ClientRequest, ProxyResponse)}. */
        void dispatch(ClientRequest request);

        /** Nobody waits for the response of an admitted request any more. */
        void onRequestAbandoned(ClientRequest request, boolean dispatched);

        void onClientClosed(ClientConnection client);
    }

    private enum State {
        /** Between requests, with no byte of the next one. */
        IDLE,
        /** A head has come in in part. */
        READING_HEAD,
        /** A head is complete and waits for the start of the proxy. */
        DEFERRED,
        /** A body is coming in; its request is dispatched as soon as it can be sent. */
        READING_BODY,
        /** A request is complete and dispatched. */
        AWAITING_RESPONSE,
        /** The response went out before all of the body came in; the rest is dropped. */
        DISCARDING_BODY,
        /** The last response is out, and the client is to read it before the connection is closed. */
        CLOSING
    }

    private final ClientRequestHandler handler;
    private final Connection connection;
    private final PipelinedInput pipelinedInput;
    private final Http1HeadReader headReader = new Http1HeadReader(true);
    private boolean readingHead;
    private boolean closing;
    /** Since when it has been idle, reading a head, or closing. */
    private long stateSince;

    private long lastProgressAt;
    /** What the client was told: limits that fall hold from the next response on. */
    private long announcedIdleTimeoutMicros;

    private Http1Head deferredHead;
    private long headReceivedAt;
    /** The request that is under way; null also for one that was rejected by its head. */
    private ClientRequest request;

    private Http1BodyReader bodyReader;
    private ClientRequestBody requestBody;
    private boolean keepAlive = true;
    private boolean dispatched;
    private boolean responded;

    /** Serves an accepted connection, whose handler it becomes. */
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

    /** Whether no request is under way. */
    boolean isIdle() {
        State state = state();
        return state == State.IDLE || state == State.READING_HEAD;
    }

    /** When the head of the request that is under way was complete. */
    long headReceivedAt() {
        return headReceivedAt;
    }

    /** Whether a request was dispatched whose response has not gone out. */
    boolean awaitsResponse() {
        return request != null && dispatched && !responded;
    }

    /** When the client of the request that is under way stops waiting. */
    long deadline() {
        return request.proxyRequest().deadline();
    }

    /**
     * Whether the client of a request has left by now. A departure that the reactor has not reported yet is handled in
     * a later turn.
     */
    boolean hasDisconnected(ClientRequest clientRequest) {
        return clientRequest != request || lastProgressAt != handler.now() && pollInputEnded();
    }

    private boolean pollInputEnded() {
        return bodyReader == null ? pipelinedInput.pollInputEnded() : connection.pollInputEnded();
    }

    int bufferedBodyBytes() {
        return requestBody == null ? 0 : requestBody.bufferedBytes();
    }

    // ---- Reading -----------------------------------------------------------------------------------

    @Override
    public void onInput() {
        lastProgressAt = handler.now();
        try {
            while (connection.isOpen() && readNextPart()) {
                // each turn reads one head or one body
            }
        } catch (MalformedMessageException e) {
            rejectMalformed(e);
        }
        if (connection.isOpen() && connection.isInputEnded()) {
            disconnect();
        }
    }

    /** Reads what the state calls for; returns whether there may be more to read. */
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
            connection.setReadPaused(connection.available() > MAX_DEFERRED_BYTES); // it may be the request's own body
            return false;
        }
        return readHead();
    }

    private boolean readHead() throws MalformedMessageException {
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

    /** Goes on with a request that was held for the start, whether or not the proxy can serve it by now. */
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
        keepAlive = !head.closesConnection();
        responded = false;
        dispatched = false;
        boolean hasBody = !bodyReader.isComplete() || head.get("Content-Length") != null;
        requestBody = hasBody ? new ClientRequestBody(bodyReader.declaredLength()) : null;
        RequestAdmission.AdmissionResult result = handler.admit(this, head, requestBody);
        request = result.request();
        if (request == null) {
            requestBody = null;
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
        }
    }

    /** The body has capacity again; until now the client was held up by us and is not late by that. */
    private void resumeReading() {
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

    /** A request cannot be read: the connection ends behind its response. */
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

    /** Sends the response to a request, if that is still the one that is under way here and has none. */
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
        connection.write(ClientResponseEncoder.encode(
                response, request, last ? ClientResponseEncoder.CLOSE_CONNECTION : announcedIdleTimeoutMicros));
        requestBody = null;
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
        requestBody = null;
        stateSince = handler.now();
        lastProgressAt = stateSince;
        connection.setReadPaused(false);
        if (connection.available() > 0) {
            handler.executeLater(() -> {
                if (connection.isOpen() && request == null) {
                    onInput();
                }
            });
        }
    }

    /** Rejects the request that is under way if it was not dispatched. */
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
        requestBody = null;
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
        }
    }

    /** The client is gone, or is given up without a response. */
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
        connection.close();
        handler.onClientClosed(this);
    }

    /** Closes the connection if its state has taken too long, or if it is idle and {@code closeIdle}. */
    void checkTimeouts(long now, boolean closeIdle) {
        RequestLimits limits = handler.requestLimits();
        State state = state();
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
            boolean backPressured = requestBody != null && requestBody.isFull();
            if (now - lastProgressAt > limits.idleTimeoutMicros() && !backPressured) {
                onBodyTimeout();
            }
        } else if (state == State.IDLE) {
            boolean expired = timeInState > Math.max(announcedIdleTimeoutMicros, limits.idleTimeoutMicros());
            if (expired || closeIdle && connection.available() == 0) {
                close();
            }
        }
    }

    private void onBodyTimeout() {
        if (dispatched) {
            disconnect();
        } else {
            rejectMalformed(new MalformedMessageException(STATUS_REQUEST_TIMEOUT, "the body has not come in time"));
        }
    }
}
