package reedmux.common.http1;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.function.BiConsumer;
import reedmux.common.eventloop.Connection;
import reedmux.common.eventloop.Reactor;

/**
 * The server's side of a connection for small calls. Requests are read completely, one at a time, and handed to a
 * handler that responds at any later time; the next request is read only after the response. A malformed request is
 * answered with its status and closes the connection. For the reactor's thread.
 */
public final class Http1ServerConnection implements Connection.ConnectionHandler {
    private static final int MAX_HEAD_BYTES = 16 * 1024;
    private static final int MAX_BODY_BYTES = 8 * 1024 * 1024;
    private static final long IDLE_TIMEOUT_MICROS = 30_000_000;
    /** Between the end of the output and the close, so that a reset does not overtake the response. */
    private static final long LINGER_MICROS = 500_000;

    private static final int CONTENT_TOO_LARGE = 413;
    private static final byte[] CONTINUE = "HTTP/1.1 100 Continue\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1);

    private final Reactor reactor;
    private final Connection connection;
    private final BiConsumer<Http1Request, Http1ServerConnection> requestHandler;
    private final Http1HeadReader headReader = new Http1HeadReader(true);
    /** Of the request that is being read; null between requests. */
    private Http1Head head;

    private Http1BodyReader bodyReader;
    private ByteArrayOutputStream bodyBytes;
    private Runnable disconnectListener;
    private boolean responsePending;
    private boolean closeAfterResponse;
    private long idleSince;

    /** A complete request. */
    public record Http1Request(Http1Head head, byte[] body) {}

    /** Serves an accepted connection, whose handler it becomes. */
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
        reactor.scheduleAfter(IDLE_TIMEOUT_MICROS, () -> {
            if (connection.isOpen()) {
                if (!responsePending && reactor.now() - idleSince > IDLE_TIMEOUT_MICROS) {
                    connection.close();
                } else {
                    scheduleIdleCheck();
                }
            }
        });
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
                connection.close();
            } else {
                reportDisconnect();
            }
        }
    }

    /**
     * Sets who is told, once, that the caller leaves before it has its response; for the request under way. The
     * connection is closed then, where without a listener a caller may end its own direction and wait on.
     */
    public void setDisconnectListener(Runnable listener) {
        disconnectListener = listener;
    }

    private void reportDisconnect() {
        Runnable listener = disconnectListener;
        disconnectListener = null;
        if (listener != null) {
            connection.close();
            listener.run();
        }
    }

    /** Reads on; returns whether the request is complete. */
    private boolean readRequest() throws MalformedMessageException {
        if (head == null && !readHead()) {
            return false;
        }
        bodyReader.read(connection, bytes -> bodyBytes.write(bytes, 0, bytes.length));
        if (bodyBytes.size() > MAX_BODY_BYTES) {
            throw new MalformedMessageException(CONTENT_TOO_LARGE, "the body is too large");
        }
        return bodyReader.isComplete();
    }

    private boolean readHead() throws MalformedMessageException {
        head = headReader.read(connection, MAX_HEAD_BYTES);
        if (head == null) {
            return false;
        }
        bodyReader = Http1BodyReader.ofRequest(head);
        bodyBytes = new ByteArrayOutputStream();
        if (bodyReader.declaredLength() > MAX_BODY_BYTES) {
            throw new MalformedMessageException(CONTENT_TOO_LARGE, "the body is too large");
        } else if (head.hasListToken("Expect", "100-continue")) {
            connection.write(CONTINUE);
        }
        return true;
    }

    private void handleRequest() {
        responsePending = true;
        Http1Request request = new Http1Request(head, bodyBytes.toByteArray());
        closeAfterResponse = head.closesConnection();
        head = null;
        bodyBytes = null;
        requestHandler.accept(request, this);
    }

    /** Sends bytes in place of a response and closes the connection: for stand-ins that misbehave. */
    public void sendRawAndClose(byte[] bytes) {
        closeAfterResponse = true;
        connection.write(bytes);
        closeWithLinger();
    }

    /** Sends bytes that belong to no response: for stand-ins that misbehave. */
    public void sendUnsolicited(byte[] bytes) {
        if (connection.isOpen()) {
            connection.write(bytes);
        }
    }

    /** Responds with a text of a media type. */
    public void respond(int status, String contentType, String text) {
        respond(Http1Head.response(status).add("Content-Type", contentType), text.getBytes(StandardCharsets.UTF_8));
    }

    /**
     * Responds to the pending request. The length, and where needed the end of the connection, are added to the head.
     * Without effect on a closed connection.
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
        byte[] message = Arrays.copyOf(encodedHead, encodedHead.length + content.length);
        System.arraycopy(content, 0, message, encodedHead.length, content.length);
        connection.write(message);
        responsePending = false;
        disconnectListener = null;
        idleSince = reactor.now();
        if (closeAfterResponse) {
            closeWithLinger();
        } else if (connection.available() > 0) {
            reactor.execute(this::readPipelined);
        }
    }

    private void closeWithLinger() {
        connection.shutdownOutput();
        reactor.scheduleAfter(LINGER_MICROS, connection::close);
    }

    private void readPipelined() {
        if (connection.isOpen()) {
            onInput();
        }
    }

    /** Responds with a JSON object, or with a line of plain text where {@code text} is none. */
    public void respond(int status, String text) {
        boolean isJson = text.startsWith("{");
        respond(status, isJson ? "application/json" : "text/plain", isJson ? text : text + '\n');
    }

    @Override
    public void onClosed(String reason) {
        closeAfterResponse = true;
        reportDisconnect();
    }
}
