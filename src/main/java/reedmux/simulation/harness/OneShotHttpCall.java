package reedmux.simulation.harness;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import reedmux.common.eventloop.Connection;
import reedmux.common.eventloop.Reactor;
import reedmux.common.http1.Http1BodyReader;
import reedmux.common.http1.Http1Head;
import reedmux.common.http1.Http1HeadReader;
import reedmux.common.http1.MalformedMessageException;

/** One call over a connection of its own, as checkers, operators and clients make it. */
public final class OneShotHttpCall implements Connection.ConnectionHandler {
    private static final int MAX_HEAD_BYTES = 16 * 1024;
    private static final long TIMEOUT_MICROS = 3_000_000;

    /** What came of it; the status is 0 where no answer came. */
    public interface ResponseCallback {
        /** {@code head} is null where no answer came. */
        void onResponse(int status, Http1Head head, String text);
    }

    private final Connection connection;
    private final Http1HeadReader headReader = new Http1HeadReader(false);
    private final ByteArrayOutputStream bodyBytes = new ByteArrayOutputStream();
    private final ResponseCallback callback;
    private Http1Head head;
    private Http1BodyReader bodyReader;
    private boolean finished;

    OneShotHttpCall(Reactor reactor, InetSocketAddress to, byte[] request, ResponseCallback done) throws IOException {
        this(reactor, to, request, TIMEOUT_MICROS, done);
    }

    /** {@code patience}: how long an answer is waited for, in microseconds. */
    public OneShotHttpCall(Reactor reactor, InetSocketAddress to, byte[] request, long patience, ResponseCallback done)
            throws IOException {
        this.callback = done;
        connection = Connection.connect(reactor, to, null, this);
        connection.write(request);
        reactor.scheduleAfter(patience, () -> finish(0, "no answer"));
    }

    public static byte[] post(String path, String body) {
        return request("POST", path, "control", body);
    }

    /** {@code headers} are further lines, each with its end. */
    public static byte[] request(String method, String path, String host, String body, String... headers) {
        byte[] content = body.getBytes(StandardCharsets.UTF_8);
        String head = method + ' ' + path + " HTTP/1.1\r\nHost: " + host + "\r\n" + String.join("", headers)
                + (method.equals("GET") ? "" : "Content-Length: " + content.length + "\r\n") + "\r\n";
        byte[] first = head.getBytes(StandardCharsets.ISO_8859_1);
        byte[] all = java.util.Arrays.copyOf(first, first.length + content.length);
        System.arraycopy(content, 0, all, first.length, content.length);
        return all;
    }

    @Override
    public void onConnected() {}

    @Override
    public void onInput() {
        try {
            if (head == null) {
                head = headReader.read(connection, MAX_HEAD_BYTES);
                bodyReader = head == null ? null : Http1BodyReader.ofResponse(head, "GET");
            }
            if (head != null && bodyReader != null) {
                bodyReader.read(connection, piece -> bodyBytes.write(piece, 0, piece.length));
                if (bodyReader.isComplete()) {
                    finish(head.status(), bodyBytes.toString(StandardCharsets.UTF_8));
                    return;
                }
            }
        } catch (MalformedMessageException e) {
            finish(0, e.getMessage());
        }
        if (connection.isInputEnded()) {
            finish(0, "cut off");
        }
    }

    private void finish(int status, String text) {
        if (!finished) {
            finished = true;
            connection.close();
            callback.onResponse(status, status == 0 ? null : head, text);
        }
    }

    @Override
    public void onClosed(String why) {
        finish(0, why);
    }
}
