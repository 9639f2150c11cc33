package reedmux.gatekeeper.http;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.util.concurrent.atomic.AtomicReference;
import org.apache.hc.core5.http.ConnectionClosedException;
import org.apache.hc.core5.http.impl.nio.ClientHttp1IOEventHandler;
import org.apache.hc.core5.http.impl.nio.ClientHttp1StreamDuplexer;
import org.apache.hc.core5.http.impl.nio.DefaultHttpRequestWriterFactory;
import org.apache.hc.core5.http.nio.command.RequestExecutionCommand;
import org.apache.hc.core5.http.protocol.HttpCoreContext;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.reactor.Command;
import org.apache.hc.core5.reactor.IOEventHandler;
import org.apache.hc.core5.reactor.IOSession;
import org.apache.hc.core5.reactor.ProtocolIOSession;

/** A connection of ours to a provider or to discovery; it carries one call at a time. */
public final class UpstreamConnection {
    private static final DefaultHttpRequestWriterFactory REQUEST_WRITERS =
            new DefaultHttpRequestWriterFactory(HttpTransport.HTTP1_CONFIG);

    /** Whom it leads to: at one address a provider may follow another, which knows nothing of its calls. */
    public record UpstreamEndpoint(String providerId, InetSocketAddress address) {

        // Written out, as what a record brings is linked at run time, in the middle of a start.
        @Override
        public boolean equals(Object other) {
            return other instanceof UpstreamEndpoint origin
                    && providerId.equals(origin.providerId)
                    && address.equals(origin.address);
        }

        @Override
        public int hashCode() {
            return 31 * providerId.hashCode() + address.hashCode();
        }
    }

    final UpstreamEndpoint endpoint;
    private final UpstreamConnectionPool pool;
    private final StrictHeadParsers.StrictResponseParser responseParser =
            new StrictHeadParsers.StrictResponseParser(this::isResponseExpected);
    private final ByteBuffer unsolicited = ByteBuffer.allocate(1);
    /** A call that is to be written next. */
    private final AtomicReference<UpstreamExchange> pendingExchange = new AtomicReference<>();

    private volatile ClientHttp1StreamDuplexer duplexer;
    private volatile ProtocolIOSession session;
    private volatile boolean responseExpected;
    private boolean abandoned;
    private boolean holdsPermit = true;
    /** The call that has it, since when it waits for one, in microseconds; guarded by the pool. */
    UpstreamExchange currentExchange;

    long idleSinceMicros;

    UpstreamConnection(UpstreamEndpoint origin, UpstreamConnectionPool calls) {
        this.endpoint = origin;
        this.pool = calls;
    }

    synchronized IOEventHandler createEventHandler(ProtocolIOSession made) {
        ClientHttp1StreamDuplexer client = new ClientHttp1StreamDuplexer(
                made,
                HttpTransport.NO_ADDED_HEADERS,
                HttpTransport.HTTP1_CONFIG,
                null,
                null,
                responseParser,
                REQUEST_WRITERS.create(),
                null,
                null,
                null);
        duplexer = client;
        session = made;
        if (abandoned) { // given up just while it came up
            made.close(CloseMode.IMMEDIATE);
        }
        return new UpstreamEventHandler(client);
    }

    /** Gives it up while it is coming up. */
    synchronized void abortConnect() {
        abandoned = true;
        if (session == null) {
            releasePermit();
        } else {
            close();
        }
    }

    private void releasePermit() {
        if (holdsPermit) {
            holdsPermit = false;
            pool.onConnectionClosed();
        }
    }

    /** Whether a call may still be written to it, as far as we have heard. */
    boolean isOpen() {
        return session.isOpen() && duplexer.isOpen();
    }

    /** Closes it, and counts it no more from now on, not only when the I/O thread has seen to it. */
    void closeAndReleasePermit() {
        synchronized (this) {
            releasePermit();
        }
        close();
    }

    void close() {
        ProtocolIOSession made = session;
        if (made != null) {
            made.close(CloseMode.IMMEDIATE);
        }
    }

    private boolean isResponseExpected() {
        return responseExpected;
    }

    /** A call's request is being written, so that bytes that come in belong to its answer. */
    void onRequestStarted() {
        responseExpected = true;
    }

    /** The answer is whole: whatever follows belongs to nobody. */
    void onResponseComplete() {
        responseExpected = false;
    }

    /** Carries a call over a connection that has just come up. */
    void execute(UpstreamExchange exchange) {
        session.enqueue(
                new RequestExecutionCommand(exchange, null, null, HttpCoreContext.create()),
                Command.Priority.IMMEDIATE);
    }

    /** Carries a call over a kept connection, if on the I/O thread it still proves good. */
    void executeIfStillUsable(UpstreamExchange exchange) {
        pendingExchange.set(exchange);
        session.setEvent(SelectionKey.OP_WRITE);
        if (!session.isOpen()) {
            moveToAnotherConnection(); // it has closed, and nobody may ever call us again
        }
    }

    private void moveToAnotherConnection() {
        UpstreamExchange exchange = pendingExchange.getAndSet(null);
        if (exchange != null) {
            pool.assignConnection(exchange);
        }
    }

    /**
     * Bytes that nobody asked for, as a provider may send behind its answer, would be taken for the answer
     * to what we write now; and what is written to a connection that has ended is lost. Nothing has been
     * written yet, so the call goes elsewhere, which is no second copy.
     */
    private boolean isStale() {
        try {
            return session.read(unsolicited.clear()) != 0;
        } catch (IOException e) {
            return true;
        }
    }

    /** The library's handler, round which we look for what it would let pass. */
    private final class UpstreamEventHandler extends ClientHttp1IOEventHandler {
        private final ClientHttp1StreamDuplexer client;

        UpstreamEventHandler(ClientHttp1StreamDuplexer client) {
            super(client);
            this.client = client;
        }

        @Override
        public void inputReady(IOSession ioSession, ByteBuffer source) throws IOException {
            try {
                super.inputReady(ioSession, source);
                if (responseParser.hasInputEnded() && client.isOpen()) {
                    client.onException(new ConnectionClosedException()); // in the middle of a head
                }
            } finally {
                UpstreamExchange exchange = pool.exchangeOn(UpstreamConnection.this);
                if (exchange != null) {
                    exchange.finishIfAnswered(client.isOpen() && ioSession.isOpen());
                }
            }
        }

        @Override
        public void outputReady(IOSession ioSession) throws IOException {
            if (pendingExchange.get() != null) {
                if (isStale()) {
                    UpstreamConnection.this.close();
                    moveToAnotherConnection();
                    return;
                }
                UpstreamExchange exchange = pendingExchange.getAndSet(null);
                if (exchange != null) {
                    execute(exchange);
                }
            }
            super.outputReady(ioSession);
            UpstreamExchange user = pool.exchangeOn(UpstreamConnection.this);
            if (user != null) {
                user.reportIfWritten();
            }
            if (pendingExchange.get() != null) {
                ioSession.setEvent(SelectionKey.OP_WRITE); // one that came while the library cleared it
            }
        }

        @Override
        public void disconnected(IOSession ended) {
            super.disconnected(ended);
            synchronized (UpstreamConnection.this) {
                releasePermit();
            }
            moveToAnotherConnection();
        }
    }
}
