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

/**
 * A connection to a provider, to discovery or to another region; it carries one call at a time.
 *
 * <p>A pooled connection may be used for a further call only if nothing was read after its last response and if it is
 * still open when the I/O thread is about to write the request ({@link #isStale}). Until then nothing of the call has
 * been written, so it moves to another connection without being a retry.
 */
public final class UpstreamConnection {
    private static final DefaultHttpRequestWriterFactory REQUEST_WRITERS =
            new DefaultHttpRequestWriterFactory(HttpTransport.HTTP1_CONFIG);

    /** Whom a connection leads to. An address alone is not enough, since another provider may reuse it. */
    public record UpstreamEndpoint(String providerId, InetSocketAddress address) {

        // Written out: the generated methods of a record are linked at run time, which slows a start down.
        @Override
        public boolean equals(Object other) {
            return other instanceof UpstreamEndpoint endpoint
                    && providerId.equals(endpoint.providerId)
                    && address.equals(endpoint.address);
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
    /** The call that is to be written next. */
    private final AtomicReference<UpstreamExchange> pendingExchange = new AtomicReference<>();

    private volatile ClientHttp1StreamDuplexer duplexer;
    private volatile ProtocolIOSession session;
    private volatile boolean responseExpected;
    private boolean aborted;
    private boolean holdsPermit = true;
    /** The call that has the connection; guarded by the pool. */
    UpstreamExchange currentExchange;
    /** Since when it is idle; guarded by the pool. */
    long idleSinceMicros;

    UpstreamConnection(UpstreamEndpoint endpoint, UpstreamConnectionPool pool) {
        this.endpoint = endpoint;
        this.pool = pool;
    }

    /** The connection is up. */
    synchronized IOEventHandler createEventHandler(ProtocolIOSession establishedSession) {
        ClientHttp1StreamDuplexer client = new ClientHttp1StreamDuplexer(
                establishedSession,
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
        session = establishedSession;
        if (aborted) {
            establishedSession.close(CloseMode.IMMEDIATE);
        }
        return new UpstreamEventHandler(client);
    }

    /** Aborts it while it is being connected. */
    synchronized void abortConnect() {
        aborted = true;
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

    /** Whether a call may be written to it, as far as is known. */
    boolean isOpen() {
        return session.isOpen() && duplexer.isOpen();
    }

    /** Closes it and returns its permit at once, not only when the I/O thread has closed it. */
    void closeAndReleasePermit() {
        synchronized (this) {
            releasePermit();
        }
        close();
    }

    void close() {
        ProtocolIOSession current = session;
        if (current != null) {
            current.close(CloseMode.IMMEDIATE);
        }
    }

    private boolean isResponseExpected() {
        return responseExpected;
    }

    /** A request is being written; what is read from now on is its response. */
    void onRequestStarted() {
        responseExpected = true;
    }

    /** The response is complete; nothing may be read until the next request. */
    void onResponseComplete() {
        responseExpected = false;
    }

    /** Executes a call on a connection that has just come up, or is known to be usable. */
    void execute(UpstreamExchange exchange) {
        session.enqueue(
                new RequestExecutionCommand(exchange, null, null, HttpCoreContext.create()),
                Command.Priority.IMMEDIATE);
    }

    /** Executes a call on an idle connection if it is usable when the I/O thread comes to it. */
    void executeIfStillUsable(UpstreamExchange exchange) {
        pendingExchange.set(exchange);
        session.setEvent(SelectionKey.OP_WRITE);
        if (!session.isOpen()) {
            moveToAnotherConnection(); // the I/O thread may not come to it any more
        }
    }

    private void moveToAnotherConnection() {
        UpstreamExchange exchange = pendingExchange.getAndSet(null);
        if (exchange != null) {
            pool.assignConnection(exchange);
        }
    }

    /**
     * Whether anything can be read, be it the end of the input. Unsolicited bytes, which a provider may send after its
     * response, would be taken for the response to the next request; what is written to a closed connection is lost.
     */
    private boolean isStale() {
        try {
            return session.read(unsolicited.clear()) != 0;
        } catch (IOException e) {
            return true;
        }
    }

    /** The library's event handler, with the checks that it lacks. */
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
                    client.onException(new ConnectionClosedException()); // within a head
                }
            } finally {
                UpstreamExchange exchange = pool.exchangeOn(UpstreamConnection.this);
                if (exchange != null) {
                    exchange.finishIfResponseComplete(client.isOpen() && ioSession.isOpen());
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
            UpstreamExchange current = pool.exchangeOn(UpstreamConnection.this);
            if (current != null) {
                current.reportIfWritten();
            }
            if (pendingExchange.get() != null) {
                ioSession.setEvent(SelectionKey.OP_WRITE); // assigned while the library cleared the event
            }
        }

        @Override
        public void disconnected(IOSession ioSession) {
            super.disconnected(ioSession);
            synchronized (UpstreamConnection.this) {
                releasePermit();
            }
            moveToAnotherConnection();
        }
    }
}
