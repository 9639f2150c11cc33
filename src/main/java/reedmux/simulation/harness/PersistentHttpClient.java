package reedmux.simulation.harness;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import reedmux.common.eventloop.Connection;
import reedmux.common.eventloop.Reactor;
import reedmux.common.http1.Http1BodyReader;
import reedmux.common.http1.Http1Head;
import reedmux.common.http1.Http1HeadReader;
import reedmux.common.http1.MalformedMessageException;

/**
 * Sends one request after another over one connection as long as the server keeps it open, and then over the next one.
 * Must be used on the reactor's thread only.
 */
public final class PersistentHttpClient {
    private static final int MAX_HEAD_BYTES = 16 * 1024;

    /** Provides the requests and receives their results. */
    public interface Conversation {

        /** Returns the next request, or null to stop the client. */
        byte[] nextRequest();

        /** Called with a complete response. */
        void onResponse(Http1Head head, byte[] body);

        /** Called if the connection was closed, or the timeout expired, before the response was complete. */
        void onLost(String reason);
    }

    private final Reactor reactor;
    private final InetSocketAddress server;
    private final long timeoutMicros;
    private final Conversation conversation;
    /** Whether the client keeps using a connection after the server has announced that it will close it. */
    private final boolean ignoresClose;

    /**
     * Creates a client; {@link #start} sends the first request.
     *
     * @param timeoutMicros the maximum time until a response is complete
     */
    public PersistentHttpClient(
            Reactor reactor,
            InetSocketAddress server,
            long timeoutMicros,
            boolean ignoresClose,
            Conversation conversation) {
        this.reactor = reactor;
        this.server = server;
        this.timeoutMicros = timeoutMicros;
        this.ignoresClose = ignoresClose;
        this.conversation = conversation;
    }

    /** Opens a connection and sends the first request. */
    public void start() {
        byte[] request = conversation.nextRequest();
        if (request == null) {
            return;
        }
        try {
            new OpenConnection().send(request);
        } catch (IOException e) {
            conversation.onLost(String.valueOf(e.getMessage()));
        }
    }

    /** A connection, which has a pending request until it is closed. */
    private final class OpenConnection implements Connection.ConnectionHandler {
        private final Connection connection;
        private final Http1HeadReader headReader = new Http1HeadReader(false);
        private final ByteArrayOutputStream body = new ByteArrayOutputStream();
        private Http1Head head;
        private Http1BodyReader bodyReader;
        private Reactor.ScheduledTask timeout;

        private OpenConnection() throws IOException {
            connection = Connection.connect(reactor, server, null, this);
        }

        private void send(byte[] request) {
            timeout = reactor.scheduleAfter(timeoutMicros, () -> lose("no answer"));
            connection.write(request);
        }

        @Override
        public void onInput() {
            try {
                while (connection.isOpen() && readResponse()) {
                    onResponse();
                }
            } catch (MalformedMessageException e) {
                lose(e.getMessage());
            }
            if (connection.isOpen() && connection.isInputEnded()) {
                lose("cut off");
            }
        }

        private boolean readResponse() throws MalformedMessageException {
            if (head == null) {
                head = headReader.read(connection, MAX_HEAD_BYTES);
                bodyReader = head == null ? null : Http1BodyReader.ofResponse(head, "GET");
            }
            if (bodyReader == null) {
                return false;
            }
            bodyReader.read(connection, bytes -> body.write(bytes, 0, bytes.length));
            return bodyReader.isComplete();
        }

        private void onResponse() {
            timeout.cancel();
            Http1Head complete = head;
            byte[] content = body.toByteArray();
            head = null;
            bodyReader = null;
            body.reset();
            conversation.onResponse(complete, content);
            if (complete.closesConnection() && !ignoresClose) {
                connection.close();
                reactor.execute(PersistentHttpClient.this::start);
                return;
            }
            byte[] next = conversation.nextRequest();
            if (next == null) {
                connection.close();
            } else {
                send(next);
            }
        }

        private void lose(String reason) {
            timeout.cancel();
            connection.close();
            conversation.onLost(reason);
        }

        @Override
        public void onClosed(String reason) {
            lose(reason);
        }
    }
}
