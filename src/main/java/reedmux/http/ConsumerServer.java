package reedmux.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.apache.hc.core5.http.ContentLengthStrategy;
import org.apache.hc.core5.http.ProtocolException;
import org.apache.hc.core5.http.impl.DefaultContentLengthStrategy;
import org.apache.hc.core5.http.impl.nio.DefaultHttpRequestParserFactory;
import org.apache.hc.core5.http.impl.nio.DefaultHttpResponseWriterFactory;
import org.apache.hc.core5.http.impl.nio.ServerHttp1IOEventHandler;
import org.apache.hc.core5.http.impl.nio.ServerHttp1StreamDuplexer;
import org.apache.hc.core5.http.protocol.HttpProcessor;
import org.apache.hc.core5.http.protocol.HttpProcessorBuilder;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.reactor.IOEventHandler;
import org.apache.hc.core5.reactor.IOSession;
import org.apache.hc.core5.reactor.ProtocolIOSession;
import reedmux.core.Event;

/** The consumers' side: accepted connections, each with at most one exchange at a time. */
public final class ConsumerServer {
    /** Headers are set by the exchanges themselves; the library need not add any. */
    static final HttpProcessor NOTHING_ADDED = HttpProcessorBuilder.create().build();
    private static final DefaultHttpRequestParserFactory PARSERS =
            new DefaultHttpRequestParserFactory(Transport.HTTP);
    private static final DefaultHttpResponseWriterFactory WRITERS =
            new DefaultHttpResponseWriterFactory(Transport.HTTP);
    /** A bad length must not cost the connection before it was answered: the exchange looks again. */
    private static final ContentLengthStrategy LENGTH = message -> {
        try {
            return DefaultContentLengthStrategy.INSTANCE.determineLength(message);
        } catch (ProtocolException e) {
            return ContentLengthStrategy.UNDEFINED;
        }
    };

    private final RequestReader reader;
    private final Consumer<Event> events;
    private final BooleanSupplier ready;
    private final int mostConnections;
    /** Open connections, those longest without an exchange first. */
    private final Set<Link> links = new LinkedHashSet<>();
    private volatile boolean leaving;

    public ConsumerServer(RequestReader reader, Consumer<Event> events, BooleanSupplier ready,
                          int mostConnections) {
        this.reader = reader;
        this.events = events;
        this.ready = ready;
        this.mostConnections = mostConnections;
    }

    IOEventHandler handler(ProtocolIOSession session) {
        return new Link(session).events;
    }

    boolean ready() {
        return ready.getAsBoolean() && !leaving;
    }

    boolean leaving() {
        return leaving;
    }

    RequestReader reader() {
        return reader;
    }

    void post(Event event) {
        events.accept(event);
    }

    /** From now on every answer is its connection's last, so that consumers move on. */
    public void leave() {
        leaving = true;
    }

    /** Closes the connections that wait for nothing. */
    public void closeIdle() {
        synchronized (links) {
            links.stream().filter(Link::idle).toList()
                    .forEach(link -> link.session.close(CloseMode.GRACEFUL));
        }
    }

    /** One accepted connection. */
    final class Link {
        private final ProtocolIOSession session;
        private final IOEventHandler events;
        private volatile ConsumerExchange current;

        Link(ProtocolIOSession session) {
            this.session = session;
            ServerHttp1StreamDuplexer duplexer = new ServerHttp1StreamDuplexer(session, NOTHING_ADDED,
                    (request, context) -> current = new ConsumerExchange(ConsumerServer.this, this), null,
                    Transport.HTTP, null, null, PARSERS.create(), WRITERS.create(), LENGTH, null, null, null);
            events = new Events(duplexer);
        }

        boolean idle() {
            ConsumerExchange exchange = current;
            return exchange == null || exchange.answered();
        }

        /** Moves to the end of the line for closing. */
        void used() {
            synchronized (links) {
                if (links.remove(this)) {
                    links.add(this);
                }
            }
        }

        void broken() {
            session.close(CloseMode.IMMEDIATE);
        }

        private void opened() {
            synchronized (links) {
                links.add(this);
                // Descriptors are bounded: the connection that has been idle the longest gives way.
                Iterator<Link> oldest = links.iterator();
                while (links.size() > mostConnections && oldest.hasNext()) {
                    Link link = oldest.next();
                    if (link.idle()) {
                        oldest.remove();
                        link.session.close(CloseMode.GRACEFUL);
                    }
                }
                // The newest is idle as well: where all others are busy, it goes itself.
            }
        }

        private void closed() {
            synchronized (links) {
                links.remove(this);
            }
            ConsumerExchange exchange = current;
            if (exchange != null) {
                exchange.consumerLeft();
            }
        }

        /** The library's handler, which also notices a consumer that has left. */
        private final class Events extends ServerHttp1IOEventHandler {
            private final ServerHttp1StreamDuplexer duplexer;

            Events(ServerHttp1StreamDuplexer duplexer) {
                super(duplexer);
                this.duplexer = duplexer;
            }

            @Override
            public void connected(IOSession ioSession) throws IOException {
                opened();
                super.connected(ioSession);
            }

            @Override
            public void inputReady(IOSession ioSession, ByteBuffer source) throws IOException {
                super.inputReady(ioSession, source);
                // The library takes the end of the input for half a close and goes on to answer; here a
                // consumer that closes has gone away, and the module must hear of it at once.
                ConsumerExchange exchange = current;
                if (exchange != null && !exchange.answered() && !duplexer.isOpen()) {
                    session.close(CloseMode.IMMEDIATE);
                }
            }

            @Override
            public void disconnected(IOSession ioSession) {
                super.disconnected(ioSession);
                closed();
            }
        }
    }
}
