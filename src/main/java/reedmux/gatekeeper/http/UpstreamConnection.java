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
 * A connection to a provider, to the discovery service or to another region; it carries one call at a time.
 *
 * <p>A pooled connection is reused only if nothing was read after its last response and if it is still open when the
 * I/O thread is about to write the request ({@link #isStale}). Until then no byte of the call has been written, so
 * moving the call to another connection does not count as a retry.
 */
public final class UpstreamConnection {
    private static final DefaultHttpRequestWriterFactory REQUEST_WRITERS =
            new DefaultHttpRequestWriterFactory(HttpTransport.HTTP1_CONFIG);

    /** The endpoint of a connection. It includes the provider id, since another provider may reuse the address. */
    public record UpstreamEndpoint(String providerId, InetSocketAddress address) {

        // Written explicitly, since the generated methods of a record are linked at run time, which slows down the
        // start of the process.
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
    /** The call to be written next, or null. */
    private final AtomicReference<UpstreamExchange> pendingExchange = new AtomicReference<>();

    private volatile ClientHttp1StreamDuplexer duplexer;
    private volatile ProtocolIOSession session;
    private volatile boolean responseExpected;
    private boolean aborted;
    private boolean holdsPermit = true;
    /** The call that uses the connection, or null; guarded by the pool's monitor. */
    UpstreamExchange currentExchange;
    /** When the connection became idle; guarded by the pool's monitor. */
    long idleSinceMicros;

    UpstreamConnection(UpstreamEndpoint endpoint, UpstreamConnectionPool pool) {
        this.endpoint = endpoint;
        this.pool = pool;
    }

    /** Called when the connection is established; returns its event handler. */
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

    /** Aborts the connection while it is being established. */
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

    /** Whether the connection is open, as far as is known without reading from it. */
    boolean isOpen() {
        return session.isOpen() && duplexer.isOpen();
    }

    /**
     * Closes the connection and releases its permit immediately, without waiting until the I/O thread has closed it.
     */
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

    /** Called when a request is about to be written; input that is read from now on is its response. */
    void onRequestStarted() {
        responseExpected = true;
    }

    /** Called when the response is complete; no input is expected until the next request. */
    void onResponseComplete() {
        responseExpected = false;
    }

    /** Executes a call on a connection that has just been established or is known to be usable. */
    void execute(UpstreamExchange exchange) {
        session.enqueue(
                new RequestExecutionCommand(exchange, null, null, HttpCoreContext.create()),
                Command.Priority.IMMEDIATE);
    }

    /**
     * Executes a call on an idle connection if the connection is still usable when the I/O thread processes it;
     * otherwise the call moves to another connection.
     */
    void executeIfStillUsable(UpstreamExchange exchange) {
        pendingExchange.set(exchange);
        session.setEvent(SelectionKey.OP_WRITE);
        if (!session.isOpen()) {
            moveToAnotherConnection(); // the I/O thread may no longer process this connection
        }
    }

    private void moveToAnotherConnection() {
        UpstreamExchange exchange = pendingExchange.getAndSet(null);
        if (exchange != null) {
            pool.assignConnection(exchange);
        }
    }

    /**
     * Whether any input can be read, including the end of the input. Unsolicited bytes, which a provider may send after
     * its response, would be taken for the response to the next request; a request written to a closed connection is
     * lost.
     */
    private boolean isStale() {
        try {
            return session.read(unsolicited.clear()) != 0;
        } catch (IOException e) {
            return true;
        }
    }

    /** The library's event handler, with the checks that it lacks for truncated heads and stale connections. */
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
                    client.onException(new ConnectionClosedException()); // the input ended within a head
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
                ioSession.setEvent(SelectionKey.OP_WRITE); // a call was assigned while the library cleared the event
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
