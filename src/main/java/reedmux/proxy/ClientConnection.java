package reedmux.proxy;

import java.util.Arrays;
import reedmux.common.eventloop.Connection;
import reedmux.common.http1.Http1BodyReader;
import reedmux.common.http1.Http1Head;
import reedmux.common.http1.Http1HeadReader;
import reedmux.common.http1.MalformedMessageException;
import reedmux.control.configuration.RequestLimits;
import reedmux.proxy.request.ProxyResponse;

/** A client's connection, which has one request at a time. */
public final class ClientConnection implements Connection.ConnectionHandler {
    private static final long MICROS_PER_SECOND = 1_000_000;
    /** A last answer has so long to be read before the connection is closed all the same. */
    private static final long LAST_RESPONSE_LINGER_MICROS = MICROS_PER_SECOND / 2;
    /** Of a body that nobody wants so much is read and thrown away; a longer one ends the connection. */
    private static final long MAX_DISCARDED_BODY_BYTES = 1024 * 1024;

    private static final int STATUS_REQUEST_TIMEOUT = 408;
    private static final int STATUS_CONTENT_TOO_LARGE = 413;

    /** What a connection needs to know, and where its requests go. */
    interface ClientRequestHandler {
        long now();

        /** Has something done in a later turn. */
        void executeLater(Runnable task);

        RequestLimits bounds();

        /** Whether answers are the last ones on their connections. */
        boolean isDraining();

        /** Whether a request is to wait for the end of a start; then {@link #resumeDeferred()} follows. */
        boolean deferUntilStarted(ClientConnection client, Http1Head head);

        Proxy.AdmissionResult admit(ClientConnection client, Http1Head head, ClientRequestBody upload);

        void dispatch(ClientRequest request);

        /** Nobody waits for a request any more; {@code dispatched}: it was sent on, perhaps. */
        void onRequestAbandoned(ClientRequest request, boolean launched);

        void onClientClosed(ClientConnection client);
    }

    private final ClientRequestHandler handler;
    private final Connection connection;
    private final Http1HeadReader headReader = new Http1HeadReader(true);
    private ClientRequest request;
    private Http1BodyReader bodyReader;
    private ClientRequestBody requestBody;
    private boolean dispatched;
    private boolean responded;
    private boolean keepAlive = true;
    private boolean closing;
    /** Since when it has been idle, reading a head, or closing. */
    private long stateSince;

    private boolean readingHead;
    private long lastProgressAt;
    /** How long it may rest, as its client was told: a bound that falls holds from the next answer on. */
    private long announcedIdleMicros;
    /** A request that waits for what the proxy has to know, and when its head was whole. */
    private Http1Head deferredHead;

    private long headReceivedAt;

    ClientConnection(ClientRequestHandler proxy, Connection wire) {
        this.handler = proxy;
        this.connection = wire;
        stateSince = proxy.now();
        lastProgressAt = stateSince;
        announcedIdleMicros = proxy.bounds().idleTimeoutMicros();
        wire.setHandler(this);
    }

    /** Whether no request is under way here. */
    boolean isIdle() {
        return request == null && bodyReader == null && deferredHead == null && !closing;
    }

    /** When the head of the request that is under way was whole. */
    long headReceivedAt() {
        return headReceivedAt;
    }

    /** Goes on with a request that was parked, whether or not there is news. */
    void resumeDeferred() {
        Http1Head head = deferredHead;
        if (head == null || !connection.isOpen()) {
            return;
        }
        deferredHead = null;
        try {
            beginRequest(head);
        } catch (MalformedMessageException e) {
            rejectMalformed(e);
            return;
        }
        onInput();
    }

    @Override
    public void onInput() {
        lastProgressAt = handler.now();
        try {
            while (connection.isOpen() && readNextPart()) {
                // one part of a message after the other
            }
        } catch (MalformedMessageException e) {
            rejectMalformed(e);
        }
        if (connection.isOpen() && connection.isInputEnded()) {
            disconnect();
        }
    }

    private boolean readNextPart() throws MalformedMessageException {
        if (closing) {
            connection.skip(connection.available());
            return false;
        } else if (bodyReader != null) {
            return readBody();
        } else if (request != null || deferredHead != null) {
            connection.setReadPaused(connection.available() > 64 * 1024); // what comes now is for later
            return false;
        }
        Http1Head head = headReader.read(connection, handler.bounds().maxHeaderBytes());
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

    private void beginRequest(Http1Head head) throws MalformedMessageException {
        bodyReader = Http1BodyReader.ofRequest(head);
        keepAlive = !head.closesConnection();
        responded = false;
        dispatched = false;
        requestBody = bodyReader.isComplete() && head.get("Content-Length") == null
                ? null
                : new ClientRequestBody(bodyReader.declaredLength());
        Proxy.AdmissionResult read = handler.admit(this, head, requestBody);
        request = read.request();
        if (request == null) {
            requestBody = null;
            if (bodyReader.declaredLength() < 0 || bodyReader.declaredLength() > MAX_DISCARDED_BODY_BYTES) {
                keepAlive = false;
            }
            respond(read.rejection());
        } else if (head.hasListToken("Expect", "100-continue") && !bodyReader.isComplete()) {
            connection.write("HTTP/1.1 100 Continue\r\n\r\n".getBytes(java.nio.charset.StandardCharsets.US_ASCII));
        }
        if (requestBody != null) {
            requestBody.setCapacityListener(this::resumeReading);
        }
    }

    /** There is room for more of the body; until now it was we who held it up. */
    private void resumeReading() {
        lastProgressAt = handler.now();
        connection.setReadPaused(false);
    }

    private boolean readBody() throws MalformedMessageException {
        Http1BodyReader reader = bodyReader;
        ClientRequestBody to = requestBody;
        reader.read(connection, piece -> {
            if (to != null && !responded) {
                to.append(piece);
            }
        });
        if (reader.bytesRead() > handler.bounds().maxBodyBytes()) {
            throw new MalformedMessageException(
                    STATUS_CONTENT_TOO_LARGE,
                    "the body is larger than " + handler.bounds().maxBodyBytes() + " bytes");
        } else if (responded && reader.bytesRead() > MAX_DISCARDED_BODY_BYTES && !reader.isComplete()) {
            closeAfterResponse();
            return false;
        }
        if (reader.isComplete()) {
            bodyReader = null;
            if (to != null && !responded) {
                to.finish();
            }
            if (responded) {
                awaitNextRequest();
            }
        } else if (to != null && !responded && to.isFull()) {
            connection.setReadPaused(true);
        }
        if (request != null && !dispatched && !responded && (to == null || to.isReadyToSend())) {
            dispatched = true;
            handler.dispatch(request);
        }
        return reader.isComplete();
    }

    /** The one answer to a request, if it is still the one that is under way here. */
    void respond(ClientRequest to, ProxyResponse answer) {
        if (to == request) {
            respond(answer);
        }
    }

    private void respond(ProxyResponse answer) {
        if (responded || !connection.isOpen() || closing) {
            return;
        }
        responded = true;
        boolean last = !keepAlive || handler.isDraining();
        byte[] content;
        Http1Head out;
        boolean headOnly = request != null && request.method().equals("HEAD");
        if (answer instanceof ProxyResponse.CheckerResponse told) {
            out = Http1Head.response(told.head().status());
            for (int i = 0; i < told.head().size(); i++) {
                if (!told.head().isHopByHop(told.head().name(i))) {
                    out.add(told.head().name(i), told.head().value(i));
                }
            }
            content = told.body();
            String length = told.head().get("Content-Length");
            if (headOnly && length != null) {
                out.add("Content-Length", length);
            }
        } else {
            ProxyResponse.LocalResponse own = (ProxyResponse.LocalResponse) answer;
            out = Http1Head.response(own.status()).add("Content-Type", "text/plain");
            if (own.retryAfterMicros() >= 0) {
                out.add("Retry-After", formatSeconds(own.retryAfterMicros()));
            }
            if (request != null) {
                out.add("Reedmux-Attempt-Id", request.attemptId());
            }
            content = (own.text() + '\n').getBytes(java.nio.charset.StandardCharsets.UTF_8);
        }
        if (!headOnly && out.status() != 204 && out.status() != 304) {
            out.add("Content-Length", Integer.toString(content.length));
        }
        if (last) {
            out.add("Connection", "close");
        } else {
            announcedIdleMicros = handler.bounds().idleTimeoutMicros();
            out.add("Keep-Alive", "timeout=" + Math.max(1, announcedIdleMicros / MICROS_PER_SECOND - 1));
        }
        byte[] first = out.encode();
        byte[] all = headOnly ? first : Arrays.copyOf(first, first.length + content.length);
        if (!headOnly) {
            System.arraycopy(content, 0, all, first.length, content.length);
        }
        connection.write(all);
        requestBody = null;
        if (last) {
            closeAfterResponse();
        } else if (bodyReader == null) {
            awaitNextRequest();
        } else {
            connection.setReadPaused(false);
        }
    }

    /** Seconds with three decimals, rounded up. */
    private static String formatSeconds(long micros) {
        long millis = (micros + 999) / 1000;
        return millis / 1000 + "." + Long.toString(1000 + millis % 1000).substring(1);
    }

    /** The answer is out and its request read: on to the next one. */
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

    private void rejectMalformed(MalformedMessageException bad) {
        ClientRequest was = responded ? null : request; // one that has its answer has its end
        boolean out = dispatched;
        keepAlive = false;
        respond(new ProxyResponse.LocalResponse(bad.status(), bad.getMessage(), -1));
        if (!closing) {
            connection.close();
            handler.onClientClosed(this);
        }
        if (was != null) {
            handler.onRequestAbandoned(was, out);
        }
    }

    /** The client has ended the connection. */
    private void disconnect() {
        ClientRequest was = request;
        boolean out = dispatched && !responded;
        deferredHead = null;
        connection.close();
        handler.onClientClosed(this);
        if (was != null && !responded) {
            handler.onRequestAbandoned(was, out);
        }
    }

    @Override
    public void onClosed(String why) {
        disconnect();
    }

    /** Closes it if its time is up; {@code closesIdle}: at once where it waits for nothing. */
    void checkTimeouts(long now, boolean closesIdle) {
        RequestLimits bounds = handler.bounds();
        if (closing) {
            if (now - stateSince > LAST_RESPONSE_LINGER_MICROS
                    && (connection.queuedBytes() == 0 || now - stateSince > 10 * MICROS_PER_SECOND)) {
                connection.close();
                handler.onClientClosed(this);
            }
        } else if (readingHead) {
            if (now - stateSince > bounds.headerTimeoutMicros()) {
                rejectMalformed(new MalformedMessageException(STATUS_REQUEST_TIMEOUT, "the head has not come in time"));
            }
        } else if (bodyReader != null && !responded) {
            if (now - lastProgressAt > bounds.idleTimeoutMicros() && !(requestBody != null && requestBody.isFull())) {
                if (dispatched) {
                    disconnect();
                } else {
                    rejectMalformed(
                            new MalformedMessageException(STATUS_REQUEST_TIMEOUT, "the body has not come in time"));
                }
            }
        } else if (request == null
                && bodyReader == null
                && deferredHead == null
                && (now - stateSince > Math.max(announcedIdleMicros, bounds.idleTimeoutMicros())
                        || closesIdle && connection.available() == 0)) {
            connection.close();
            handler.onClientClosed(this);
        }
    }

    int bufferedBodyBytes() {
        return requestBody == null ? 0 : requestBody.bufferedBytes();
    }
}
