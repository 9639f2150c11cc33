package reedmux.http;

import java.net.InetSocketAddress;
import org.apache.hc.core5.http.impl.nio.ClientHttp1IOEventHandler;
import org.apache.hc.core5.http.impl.nio.ClientHttp1StreamDuplexer;
import org.apache.hc.core5.http.impl.nio.DefaultHttpRequestWriterFactory;
import org.apache.hc.core5.http.impl.nio.DefaultHttpResponseParserFactory;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.reactor.IOEventHandler;
import org.apache.hc.core5.reactor.IOSession;
import org.apache.hc.core5.reactor.ProtocolIOSession;

/** A connection of ours to a provider or to discovery; it carries one call at a time. */
final class Connection {
    private static final DefaultHttpResponseParserFactory PARSERS =
            new DefaultHttpResponseParserFactory(Transport.HTTP);
    private static final DefaultHttpRequestWriterFactory WRITERS =
            new DefaultHttpRequestWriterFactory(Transport.HTTP);

    final InetSocketAddress address;
    private final Runnable closed;
    private volatile ClientHttp1StreamDuplexer duplexer;
    private volatile IOSession session;
    /** Since when it waits for a call, in microseconds; guarded by the pool. */
    long idleSince;

    Connection(InetSocketAddress address, Runnable closed) {
        this.address = address;
        this.closed = closed;
    }

    IOEventHandler handler(ProtocolIOSession made) {
        ClientHttp1StreamDuplexer client = new ClientHttp1StreamDuplexer(made, ConsumerServer.NOTHING_ADDED,
                Transport.HTTP, null, null, PARSERS.create(), WRITERS.create(), null, null, null);
        duplexer = client;
        session = made;
        return new ClientHttp1IOEventHandler(client) {
            @Override
            public void disconnected(IOSession ended) {
                super.disconnected(ended);
                closed.run();
            }
        };
    }

    IOSession session() {
        return session;
    }

    /** Whether a call may still be written to it, as far as we have heard. */
    boolean isOpen() {
        return session.isOpen() && duplexer.isOpen();
    }

    void close() {
        IOSession made = session;
        if (made != null) {
            made.close(CloseMode.IMMEDIATE);
        }
    }
}
