package reedmux.common.http1;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.function.BiConsumer;
import reedmux.common.eventloop.Connection;
import reedmux.common.eventloop.Reactor;

/**
 * The server's side of a connection with small calls, each read whole and answered whole, one at a time.
 * What it hands on is {@link Http1Request}s, to be answered at any later time.
 */
public final class Http1ServerConnection implements Connection.ConnectionHandler {
    private static final int MAX_HEAD_BYTES = 16 * 1024;
    private static final int MAX_BODY_BYTES = 8 * 1024 * 1024;
    private static final long IDLE_TIMEOUT_MICROS = 30_000_000;
    private final Reactor reactor;
    private final Connection connection;
    private final BiConsumer<Http1Request, Http1ServerConnection> requestHandler;
    private final Http1HeadReader headReader = new Http1HeadReader(true);
    private Http1Head head;
    private Http1BodyReader bodyReader;
    private ByteArrayOutputStream bodyBytes;
    private boolean responsePending;
    private boolean closeAfterResponse;
    private long idleSince;

    /** One call. */
    public record Http1Request(Http1Head head, byte[] body) {}

    public Http1ServerConnection(
            Reactor reactor, Connection wire, BiConsumer<Http1Request, Http1ServerConnection> taken) {
        this.reactor = reactor;
        this.connection = wire;
        this.requestHandler = taken;
        idleSince = reactor.now();
        wire.setHandler(this);
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
            while (!responsePending && !closeAfterResponse && connection.isOpen()) {
                if (head == null) {
                    head = headReader.read(connection, MAX_HEAD_BYTES);
                    if (head == null) {
                        break;
                    }
                    bodyReader = Http1BodyReader.ofRequest(head);
                    bodyBytes = new ByteArrayOutputStream();
                    if (bodyReader.declaredLength() > MAX_BODY_BYTES) {
                        throw new MalformedMessageException(413, "the body is too large");
                    } else if (head.hasListToken("Expect", "100-continue")) {
                        connection.write("HTTP/1.1 100 Continue\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
                    }
                }
                bodyReader.read(connection, piece -> bodyBytes.write(piece, 0, piece.length));
                if (bodyBytes.size() > MAX_BODY_BYTES) {
                    throw new MalformedMessageException(413, "the body is too large");
                } else if (!bodyReader.isComplete()) {
                    break;
                }
                responsePending = true;
                Http1Request call = new Http1Request(head, bodyBytes.toByteArray());
                closeAfterResponse = head.closesConnection();
                head = null;
                bodyBytes = null;
                requestHandler.accept(call, this);
            }
        } catch (MalformedMessageException e) {
            closeAfterResponse = true;
            responsePending = true;
            respond(e.status(), "text/plain", e.getMessage() + '\n');
        }
        if (connection.isOpen() && connection.isInputEnded() && !responsePending) {
            connection.close();
        }
    }

    /**
     * Bytes as they are, in place of an answer: for stand-ins that misbehave. The connection ends with them.
     */
    public void sendRawAndClose(byte[] bytes) {
        closeAfterResponse = true;
        connection.write(bytes);
        connection.shutdownOutput();
        reactor.scheduleAfter(500_000, connection::close);
    }

    /** Bytes that nobody has asked for, beside the answers: for stand-ins that misbehave. */
    public void sendUnsolicited(byte[] bytes) {
        if (connection.isOpen()) {
            connection.write(bytes);
        }
    }

    /** An answer of a type. */
    public void respond(int status, String type, String text) {
        respond(Http1Head.response(status).add("Content-Type", type), text.getBytes(StandardCharsets.UTF_8));
    }

    /** The answer to the call that was handed on last. */
    public void respond(Http1Head answer, byte[] content) {
        if (!connection.isOpen()) {
            return;
        }
        answer.add("Content-Length", Integer.toString(content.length));
        if (closeAfterResponse) {
            answer.add("Connection", "close");
        }
        byte[] first = answer.encode();
        byte[] all = java.util.Arrays.copyOf(first, first.length + content.length);
        System.arraycopy(content, 0, all, first.length, content.length);
        connection.write(all);
        responsePending = false;
        idleSince = reactor.now();
        if (closeAfterResponse) {
            connection.shutdownOutput();
            reactor.scheduleAfter(500_000, connection::close);
        } else if (connection.available() > 0) {
            reactor.execute(() -> {
                if (connection.isOpen()) {
                    onInput();
                }
            });
        }
    }

    /** An answer in JSON, or in plain text. */
    public void respond(int status, String json) {
        boolean told = json.startsWith("{");
        respond(status, told ? "application/json" : "text/plain", told ? json : json + '\n');
    }

    @Override
    public void onClosed(String why) {
        closeAfterResponse = true;
    }
}
