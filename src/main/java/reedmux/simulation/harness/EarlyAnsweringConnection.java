package reedmux.simulation.harness;

import java.util.Random;
import reedmux.common.eventloop.Connection;
import reedmux.common.http1.Http1BodyReader;
import reedmux.common.http1.Http1Head;
import reedmux.common.http1.Http1HeadReader;
import reedmux.common.http1.MalformedMessageException;

/**
 * The server side of a connection that answers each request when a random part of its body has arrived, keeps the
 * connection and reads on. Must be used on the reactor's thread only.
 */
public final class EarlyAnsweringConnection implements Connection.ConnectionHandler {
    private static final int MAX_HEAD_BYTES = 16 * 1024;
    /** The maximum number of bytes of a chunked body that are read before the answer. */
    private static final int MAX_READ_BEFORE_ANSWER_BYTES = 1_000_000;

    /** What a server does with the requests of its connections. */
    public interface Server {

        /** Called when the head of a request is read; the body is not. */
        void onHead(Http1Head head);

        /** Returns a whole message that answers a request; a part of the body may be unread. */
        byte[] answer(Http1Head head);

        /** Called when a body is read to its end, which may be long after the answer. */
        void onBody(Http1Head head, String digest);

        /** Called when the input is no request, or no body; the connection is then closed. */
        void onMalformedInput(String problem);
    }

    private final Connection connection;
    private final Random random;
    private final Server server;
    private final Http1HeadReader headReader = new Http1HeadReader(true);
    /** The head of the current request; null between two requests. */
    private Http1Head head;

    private Http1BodyReader bodyReader;
    private DigestedBody.Digest digest;
    private long answerAfterBytes;
    private boolean answered;

    /** Serves an accepted connection and becomes its handler. */
    public EarlyAnsweringConnection(Connection connection, Random random, Server server) {
        this.connection = connection;
        this.random = random;
        this.server = server;
        connection.setHandler(this);
    }

    @Override
    public void onInput() {
        try {
            while (connection.isOpen() && readRequest()) {
                server.onBody(head, digest.value());
                head = null;
            }
        } catch (MalformedMessageException e) {
            server.onMalformedInput(e.getMessage());
            connection.close();
        }
        if (connection.isInputEnded()) {
            connection.close();
        }
    }

    /** Reads what has arrived of a request; returns whether that is complete. */
    private boolean readRequest() throws MalformedMessageException {
        if (head == null && !readHead()) {
            return false;
        }
        bodyReader.read(connection, digest::update);
        if (!answered && (bodyReader.isComplete() || bodyReader.bytesRead() >= answerAfterBytes)) {
            answered = true;
            connection.write(server.answer(head));
        }
        return bodyReader.isComplete();
    }

    private boolean readHead() throws MalformedMessageException {
        head = headReader.read(connection, MAX_HEAD_BYTES);
        if (head == null) {
            return false;
        }
        bodyReader = Http1BodyReader.ofRequest(head);
        digest = new DigestedBody.Digest();
        answered = false;
        long length = bodyReader.declaredLength();
        answerAfterBytes = 1 + random.nextInt((int) Math.max(1, length < 0 ? MAX_READ_BEFORE_ANSWER_BYTES : length));
        server.onHead(head);
        return true;
    }

    @Override
    public void onClosed(String reason) {
        // what was not read whole is not checked
    }
}
