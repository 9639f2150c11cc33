package reedmux.http;

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
final class Connection {
    private static final DefaultHttpRequestWriterFactory WRITERS = new DefaultHttpRequestWriterFactory(Transport.HTTP);

    /** Whom it leads to: at one address a provider may follow another, which knows nothing of its calls. */
    record Origin(String provider, InetSocketAddress address) {

        // Written out, as what a record brings is linked at run time, in the middle of a start.
        @Override
        public boolean equals(Object other) {
            return other instanceof Origin origin && provider.equals(origin.provider) && address.equals(origin.address);
        }

        @Override
        public int hashCode() {
            return 31 * provider.hashCode() + address.hashCode();
        }
    }

    final Origin origin;
    private final Calls calls;
    private final Heads.Responses heads = new Heads.Responses(this::awaitsAnswer);
    private final ByteBuffer unasked = ByteBuffer.allocate(1);
    /** A call that is to be written next. */
    private final AtomicReference<CallExchange> waiting = new AtomicReference<>();

    private volatile ClientHttp1StreamDuplexer duplexer;
    private volatile ProtocolIOSession session;
    private volatile boolean awaitsAnswer;
    private boolean abandoned;
    private boolean counted = true;
    /** The call that has it, since when it waits for one, in microseconds; guarded by the pool. */
    CallExchange user;

    long idleSince;

    Connection(Origin origin, Calls calls) {
        this.origin = origin;
        this.calls = calls;
    }

    synchronized IOEventHandler handler(ProtocolIOSession made) {
        ClientHttp1StreamDuplexer client = new ClientHttp1StreamDuplexer(
                made,
                ConsumerServer.NOTHING_ADDED,
                Transport.HTTP,
                null,
                null,
                heads,
                WRITERS.create(),
                null,
                null,
                null);
        duplexer = client;
        session = made;
        if (abandoned) { // given up just while it came up
            made.close(CloseMode.IMMEDIATE);
        }
        return new Events(client);
    }

    /** Gives it up while it is coming up. */
    synchronized void abandon() {
        abandoned = true;
        if (session == null) {
            uncount();
        } else {
            close();
        }
    }

    private void uncount() {
        if (counted) {
            counted = false;
            calls.closed();
        }
    }

    /** Whether a call may still be written to it, as far as we have heard. */
    boolean isOpen() {
        return session.isOpen() && duplexer.isOpen();
    }

    /** Closes it, and counts it no more from now on, not only when the I/O thread has seen to it. */
    void closeAndLeave() {
        synchronized (this) {
            uncount();
        }
        close();
    }

    void close() {
        ProtocolIOSession made = session;
        if (made != null) {
            made.close(CloseMode.IMMEDIATE);
        }
    }

    private boolean awaitsAnswer() {
        return awaitsAnswer;
    }

    /** A call's request is being written, so that bytes that come in belong to its answer. */
    void asked() {
        awaitsAnswer = true;
    }

    /** The answer is whole: whatever follows belongs to nobody. */
    void answered() {
        awaitsAnswer = false;
    }

    /** Carries a call over a connection that has just come up. */
    void carryFirst(CallExchange exchange) {
        session.enqueue(
                new RequestExecutionCommand(exchange, null, null, HttpCoreContext.create()),
                Command.Priority.IMMEDIATE);
    }

    /** Carries a call over a kept connection, if on the I/O thread it still proves good. */
    void carry(CallExchange exchange) {
        waiting.set(exchange);
        session.setEvent(SelectionKey.OP_WRITE);
        if (!session.isOpen()) {
            elsewhere(); // it has closed, and nobody may ever call us again
        }
    }

    private void elsewhere() {
        CallExchange exchange = waiting.getAndSet(null);
        if (exchange != null) {
            calls.go(exchange);
        }
    }

    /**
     * Bytes that nobody asked for, as a provider may send behind its answer, would be taken for the answer
     * to what we write now; and what is written to a connection that has ended is lost. Nothing has been
     * written yet, so the call goes elsewhere, which is no second copy.
     */
    private boolean spoilt() {
        try {
            return session.read(unasked.clear()) != 0;
        } catch (IOException e) {
            return true;
        }
    }

    /** The library's handler, round which we look for what it would let pass. */
    private final class Events extends ClientHttp1IOEventHandler {
        private final ClientHttp1StreamDuplexer client;

        Events(ClientHttp1StreamDuplexer client) {
            super(client);
            this.client = client;
        }

        @Override
        public void inputReady(IOSession ioSession, ByteBuffer source) throws IOException {
            try {
                super.inputReady(ioSession, source);
                if (heads.ended() && client.isOpen()) {
                    client.onException(new ConnectionClosedException()); // in the middle of a head
                }
            } finally {
                CallExchange exchange = calls.userOf(Connection.this);
                if (exchange != null) {
                    exchange.settle(client.isOpen() && ioSession.isOpen());
                }
            }
        }

        @Override
        public void outputReady(IOSession ioSession) throws IOException {
            if (waiting.get() != null) {
                if (spoilt()) {
                    Connection.this.close();
                    elsewhere();
                    return;
                }
                CallExchange exchange = waiting.getAndSet(null);
                if (exchange != null) {
                    carryFirst(exchange);
                }
            }
            super.outputReady(ioSession);
            CallExchange user = calls.userOf(Connection.this);
            if (user != null) {
                user.countWritten();
            }
            if (waiting.get() != null) {
                ioSession.setEvent(SelectionKey.OP_WRITE); // one that came while the library cleared it
            }
        }

        @Override
        public void disconnected(IOSession ended) {
            super.disconnected(ended);
            synchronized (Connection.this) {
                uncount();
            }
            elsewhere();
        }
    }
}
