package reedmux.simulation.harness;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import reedmux.common.eventloop.Connection;
import reedmux.common.eventloop.Reactor;
import reedmux.common.http1.Http1BodyReader;
import reedmux.common.http1.Http1Head;
import reedmux.common.http1.Http1HeadReader;
import reedmux.common.http1.MalformedMessageException;

/** Sends one HTTP request over a connection of its own. Must be used on the reactor's thread only. */
public final class OneShotHttpCall implements Connection.ConnectionHandler {
    private static final int MAX_HEAD_BYTES = 16 * 1024;
    private static final long TIMEOUT_MICROS = 3_000_000;

    /** Receives the result of a call. */
    public interface ResponseCallback {
        /**
         * Called once, when the call has ended.
         *
         * @param status the status of the response, or 0 if there was no complete response
         * @param head   the head of the response, or null if there was no complete response
         * @param text   the body, or the reason why there is no response
         */
        void onResponse(int status, Http1Head head, String text);
    }

    private final Connection connection;
    private final Http1HeadReader headReader = new Http1HeadReader(false);
    private final ByteArrayOutputStream bodyBytes = new ByteArrayOutputStream();
    private final ResponseCallback callback;
    private Http1Head head;
    private Http1BodyReader bodyReader;
    private boolean finished;

    OneShotHttpCall(Reactor reactor, InetSocketAddress to, byte[] request, ResponseCallback callback)
            throws IOException {
        this(reactor, to, request, TIMEOUT_MICROS, callback);
    }

    /** Sends a request; the call fails after {@code timeoutMicros}. */
    public OneShotHttpCall(
            Reactor reactor, InetSocketAddress to, byte[] request, long timeoutMicros, ResponseCallback callback)
            throws IOException {
        this.callback = callback;
        connection = Connection.connect(reactor, to, null, this);
        connection.write(request);
        reactor.scheduleAfter(timeoutMicros, () -> finish(0, "no answer"));
    }

    /** Encodes a POST request to a control address. */
    public static byte[] post(String path, String body) {
        return request("POST", path, "control", body);
    }

    /** Encodes a request; {@code headers} are complete header lines, each with its line end. */
    public static byte[] request(String method, String path, String host, String body, String... headers) {
        byte[] content = body.getBytes(StandardCharsets.UTF_8);
        String head = method + ' ' + path + " HTTP/1.1\r\nHost: " + host + "\r\n" + String.join("", headers)
                + (method.equals("GET") ? "" : "Content-Length: " + content.length + "\r\n") + "\r\n";
        byte[] headBytes = head.getBytes(StandardCharsets.ISO_8859_1);
        byte[] message = Arrays.copyOf(headBytes, headBytes.length + content.length);
        System.arraycopy(content, 0, message, headBytes.length, content.length);
        return message;
    }

    @Override
    public void onInput() {
        try {
            if (head == null) {
                head = headReader.read(connection, MAX_HEAD_BYTES);
                bodyReader = head == null ? null : Http1BodyReader.ofResponse(head, "GET");
            }
            if (head != null && bodyReader != null) {
                bodyReader.read(connection, bytes -> bodyBytes.write(bytes, 0, bytes.length));
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
    public void onClosed(String reason) {
        finish(0, reason);
    }
}
