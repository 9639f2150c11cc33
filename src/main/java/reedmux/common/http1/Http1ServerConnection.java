package reedmux.common.http1;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.function.BiConsumer;
import reedmux.common.eventloop.Connection;
import reedmux.common.eventloop.Reactor;

/**
 * The server side of an HTTP/1.1 connection with small requests. Each request is read completely and passed to a
 * handler, which may respond at any later time. The next request is read only after the response. A malformed request
 * receives an error response, after which the connection is closed. The body that is being read counts toward the
 * {@link reedmux.common.eventloop.BufferBudget} of the process. All methods must be called on the reactor's thread.
 */
public final class Http1ServerConnection implements Connection.ConnectionHandler {
    private static final int MAX_HEAD_BYTES = 16 * 1024;
    private static final int MAX_BODY_BYTES = 8 * 1024 * 1024;
    private static final long IDLE_TIMEOUT_MICROS = 30_000_000;
    /**
     * Delay in microseconds between shutting down the output and closing the connection. Closing immediately could send
     * a reset that reaches the client before the response.
     */
    private static final long LINGER_MICROS = 500_000;

    /** Time without any progress after which a connection is closed whose last response was not sent completely. */
    private static final long UNSENT_RESPONSE_MICROS = 30_000_000;

    private static final int CONTENT_TOO_LARGE = 413;
    private static final byte[] CONTINUE = "HTTP/1.1 100 Continue\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1);

    private final Reactor reactor;
    private final Connection connection;
    private final BiConsumer<Http1Request, Http1ServerConnection> requestHandler;
    private final Http1HeadReader headReader = new Http1HeadReader(true);
    /** The head of the request whose body is being read; null between requests. */
    private Http1Head head;

    private Http1BodyReader bodyReader;
    private BodyBuffer bodyBuffer;
    private Reactor.ScheduledTask idleCheck;
    private Runnable disconnectListener;
    /** Whether the pending request is answered without a body. */
    private boolean headOnly;

    private boolean responsePending;
    private boolean closeAfterResponse;
    /** Closes a connection whose last response is not read; null unless a part of that is unsent. */
    private Reactor.ScheduledTask unsentResponseCheck;

    private long idleSince;

    /** A complete request. */
    public record Http1Request(Http1Head head, byte[] body) {}

    /** Serves an accepted connection and becomes its handler. */
    public Http1ServerConnection(
            Reactor reactor, Connection connection, BiConsumer<Http1Request, Http1ServerConnection> requestHandler) {
        this.reactor = reactor;
        this.connection = connection;
        this.requestHandler = requestHandler;
        idleSince = reactor.now();
        connection.setHandler(this);
        scheduleIdleCheck();
    }

    private void scheduleIdleCheck() {
        idleCheck = reactor.scheduleAfter(IDLE_TIMEOUT_MICROS, () -> {
            if (connection.isOpen()) {
                if (!responsePending && reactor.now() - idleSince > IDLE_TIMEOUT_MICROS) {
                    close();
                } else {
                    scheduleIdleCheck();
                }
            }
        });
    }

    private void close() {
        connection.close();
        release();
    }

    /** Releases the request that is being read and the timer, which would retain both until it is due. */
    private void release() {
        head = null;
        bodyReader = null;
        bodyBuffer = null;
        idleCheck.cancel();
    }

    @Override
    public void onInput() {
        try {
            while (!responsePending && !closeAfterResponse && connection.isOpen() && readRequest()) {
                handleRequest();
            }
        } catch (MalformedMessageException e) {
            closeAfterResponse = true;
            responsePending = true;
            respond(e.status(), "text/plain", e.getMessage() + '\n');
        }
        if (connection.isOpen() && connection.isInputEnded()) {
            if (!responsePending) {
                close();
            } else {
                reportDisconnect();
            }
        }
    }

    /**
     * Sets the listener of the current request, which is called at most once if the client disconnects before the
     * response is sent. With a listener, the connection is closed as soon as the client ends its output. Without one, a
     * client may end its output and still receive the response.
     */
    public void setDisconnectListener(Runnable listener) {
        disconnectListener = listener;
    }

    private void reportDisconnect() {
        Runnable listener = disconnectListener;
        disconnectListener = null;
        if (listener != null) {
            close();
            listener.run();
        }
    }

    /** Reads the input that has arrived and returns whether the request is complete. */
    private boolean readRequest() throws MalformedMessageException {
        if (head == null && !readHead()) {
            return false;
        }
        bodyReader.read(connection, bodyBuffer::append);
        connection.setRetainedBytes(bodyBuffer.heldBytes());
        if (bodyBuffer.length() > MAX_BODY_BYTES) {
            throw new MalformedMessageException(CONTENT_TOO_LARGE, "the body is too large");
        }
        return bodyReader.isComplete();
    }

    private boolean readHead() throws MalformedMessageException {
        head = headReader.read(connection, MAX_HEAD_BYTES);
        if (head == null) {
            return false;
        }
        headOnly = head.method().equals("HEAD");
        bodyReader = Http1BodyReader.ofRequest(head);
        bodyBuffer = new BodyBuffer();
        if (bodyReader.declaredLength() > MAX_BODY_BYTES) {
            throw new MalformedMessageException(CONTENT_TOO_LARGE, "the body is too large");
        } else if (head.hasListToken("Expect", "100-continue")) {
            connection.write(CONTINUE);
        }
        return true;
    }

    private void handleRequest() {
        responsePending = true;
        Http1Request request = new Http1Request(head, bodyBuffer.toByteArray());
        closeAfterResponse = head.closesConnection();
        head = null;
        bodyBuffer = null;
        requestHandler.accept(request, this);
    }

    /**
     * Sends bytes in place of a response and closes the connection. Used by servers of tests and simulations that
     * violate the protocol deliberately.
     */
    public void sendRawAndClose(byte[] bytes) {
        closeAfterResponse = true;
        connection.write(bytes);
        closeWithLinger();
    }

    /**
     * Sends bytes that belong to no response. Used by servers of tests and simulations that violate the protocol
     * deliberately.
     */
    public void sendUnsolicited(byte[] bytes) {
        if (connection.isOpen()) {
            connection.write(bytes);
        }
    }

    /** Responds to the pending request with a text of the given media type. */
    public void respond(int status, String contentType, String text) {
        respond(Http1Head.response(status).add("Content-Type", contentType), text.getBytes(StandardCharsets.UTF_8));
    }

    /**
     * Responds to the pending request. Adds Content-Length to the head and, if the connection closes after the
     * response, {@code Connection: close}. Has no effect on a closed connection.
     */
    public void respond(Http1Head response, byte[] content) {
        if (!connection.isOpen()) {
            return;
        }
        response.add("Content-Length", Integer.toString(content.length));
        if (closeAfterResponse) {
            response.add("Connection", "close");
        }
        byte[] encodedHead = response.encode();
        if (headOnly) {
            connection.write(encodedHead);
        } else {
            byte[] message = Arrays.copyOf(encodedHead, encodedHead.length + content.length);
            System.arraycopy(content, 0, message, encodedHead.length, content.length);
            connection.write(message);
        }
        headOnly = false;
        responsePending = false;
        disconnectListener = null;
        connection.setRetainedBytes(0);
        idleSince = reactor.now();
        if (closeAfterResponse) {
            closeWithLinger();
        } else if (connection.available() > 0) {
            reactor.execute(this::readPipelined);
        }
    }

    /** Closes the connection once its last response is sent, or when the client has stopped reading it. */
    private void closeWithLinger() {
        release();
        if (connection.queuedBytes() == 0) {
            shutDownAndLinger();
        } else {
            awaitLastResponseSent();
        }
    }

    private void awaitLastResponseSent() {
        long sentBefore = connection.sentBytes();
        unsentResponseCheck = reactor.scheduleAfter(UNSENT_RESPONSE_MICROS, () -> {
            if (connection.sentBytes() > sentBefore) {
                awaitLastResponseSent();
            } else {
                connection.close();
            }
        });
    }

    @Override
    public void onFlushed() {
        if (unsentResponseCheck != null) {
            cancelUnsentResponseCheck();
            shutDownAndLinger();
        }
    }

    private void cancelUnsentResponseCheck() {
        if (unsentResponseCheck != null) {
            unsentResponseCheck.cancel();
            unsentResponseCheck = null;
        }
    }

    private void shutDownAndLinger() {
        connection.shutdownOutput();
        reactor.scheduleAfter(LINGER_MICROS, connection::close);
    }

    private void readPipelined() {
        if (connection.isOpen()) {
            onInput();
        }
    }

    /**
     * Responds to the pending request with a JSON object if {@code text} starts like one, else with a line of plain
     * text.
     */
    public void respond(int status, String text) {
        boolean isJson = text.startsWith("{");
        respond(status, isJson ? "application/json" : "text/plain", isJson ? text : text + '\n');
    }

    @Override
    public void onClosed(String reason) {
        closeAfterResponse = true;
        release();
        cancelUnsentResponseCheck();
        reportDisconnect();
    }
}
