package reedmux.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.ReadableByteChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.apache.hc.core5.http.ConnectionReuseStrategy;
import org.apache.hc.core5.http.ContentLengthStrategy;
import org.apache.hc.core5.http.HttpConnection;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpRequest;
import org.apache.hc.core5.http.HttpResponse;
import org.apache.hc.core5.http.impl.BasicHttpTransportMetrics;
import org.apache.hc.core5.http.impl.DefaultConnectionReuseStrategy;
import org.apache.hc.core5.http.impl.Http1StreamListener;
import org.apache.hc.core5.http.impl.nio.ChunkDecoder;
import org.apache.hc.core5.http.impl.nio.DefaultHttpResponseWriterFactory;
import org.apache.hc.core5.http.impl.nio.ServerHttp1IOEventHandler;
import org.apache.hc.core5.http.impl.nio.ServerHttp1StreamDuplexer;
import org.apache.hc.core5.http.nio.ContentDecoder;
import org.apache.hc.core5.http.nio.SessionInputBuffer;
import org.apache.hc.core5.http.protocol.HttpContext;
import org.apache.hc.core5.http.protocol.HttpProcessor;
import org.apache.hc.core5.http.protocol.HttpProcessorBuilder;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.reactor.IOEventHandler;
import org.apache.hc.core5.reactor.IOSession;
import org.apache.hc.core5.reactor.ProtocolIOSession;
import reedmux.operator.LifeCycle;

/**
 * One listener's side, the consumers' or the other regions': accepted connections, each with at most one
 * invocation at a time.
 */
public final class ConsumerServer {
    /** Headers are set by the exchanges themselves; the library need not add any. */
    static final HttpProcessor NOTHING_ADDED = HttpProcessorBuilder.create().build();

    private static final DefaultHttpResponseWriterFactory WRITERS =
            new DefaultHttpResponseWriterFactory(Transport.HTTP);
    /** A request must be whole so long after its first byte, the first one so long after connecting. */
    private static final long REQUEST_LIMIT = TimeUnit.MILLISECONDS.toMicros(2_000);
    /** How long the last answer may take to be read before the connection is closed all the same. */
    private static final long LINGER = TimeUnit.MILLISECONDS.toMicros(500);
    /** An answer of which its consumer reads nothing is given up after so long. */
    private static final long WRITE_LIMIT = TimeUnit.SECONDS.toMicros(10);
    /** A connection without a request is closed after so long: some consumers never come back. */
    private static final long IDLE_LIMIT = TimeUnit.SECONDS.toMicros(15);
    /**
     * Share of the bound over which connections that wait for nothing give way. It is less than what usual
     * consumers may open, as these would else be held up by what they keep open themselves.
     */
    private static final double ROOMY = 0.65;
    /** A usual consumer sends at once; those that dawdle give way first when connections are scarce. */
    private static final long DAWDLES = TimeUnit.MILLISECONDS.toMicros(100);
    /** Bytes read from a connection that is being closed, so that a small rest does not reset it. */
    private static final int MOST_DISCARDED = 256 * 1024;

    /** What a connection is doing, those that give way first in front. */
    private enum Doing {
        CLOSING,
        DAWDLING,
        IDLE,
        STARTING,
        SERVING
    }

    private final Front reader;
    private final BooleanSupplier ready;
    private final LifeCycle life;
    private final int mostConnections;
    /** Used on the I/O thread alone. */
    private final ByteBuffer scrap = ByteBuffer.allocate(16 * 1024);

    private final Set<Link> links = new LinkedHashSet<>();
    private final Semaphore room;
    private volatile long requestLimit = REQUEST_LIMIT;

    /** {@code ready}: whether clients may be sent here; {@code life}: how long they are kept. */
    public ConsumerServer(Front reader, BooleanSupplier ready, LifeCycle life, int mostConnections) {
        this.reader = reader;
        this.life = life;
        this.ready = ready;
        this.mostConnections = mostConnections;
        room = new Semaphore(mostConnections);
    }

    /** A permit for each connection that there is still room for. */
    public Semaphore room() {
        return room;
    }

    IOEventHandler handler(ProtocolIOSession session) {
        return new Link(session).events;
    }

    boolean ready() {
        return ready.getAsBoolean();
    }

    boolean lastAnswers() {
        return life.lastAnswers();
    }

    Front reader() {
        return reader;
    }

    /** Connections with an answer that is not written yet. */
    public int writing() {
        return (int) open().stream().filter(link -> link.unwritten > 0).count();
    }

    /** Whether consumers hold connections. */
    public boolean connected() {
        synchronized (links) {
            return !links.isEmpty();
        }
    }

    /** Closes the connections whose time is up. */
    public void sweep() {
        long now = reader.now();
        List<Link> all = open();
        // Those that wait to be accepted may be usual consumers, behind hundreds that say nothing.
        requestLimit = all.size() > mostConnections * ROOMY ? DAWDLES : REQUEST_LIMIT;
        boolean closesIdle = life.closesIdle(now);
        for (Link link : all) {
            if (link.overdue(now) || closesIdle && link.idle(now)) {
                link.askToClose();
            }
        }
    }

    private List<Link> open() {
        synchronized (links) {
            return List.copyOf(links);
        }
    }

    /**
     * Descriptors are bounded, ours and what consumers may open to us. So over a share of the bound a new
     * connection takes the place of one that sends nothing or half a request, or else of one that is idle,
     * and of these of the one that has been so the longest: some ask once and keep their connection for
     * good. One that is being served never gives way; at the bound itself no more are accepted.
     */
    private void makeRoom(Link newest) throws IOException {
        synchronized (links) {
            links.add(newest);
        }
        List<Link> all = open().stream().filter(link -> !link.gone).toList();
        int over = all.size() - (int) (mostConnections * ROOMY);
        while (over > 0) {
            long now = reader.now();
            Link first = null;
            Doing least = Doing.STARTING;
            for (Link link : all) {
                Doing doing = link.gone ? Doing.SERVING : link.doing(now);
                if (doing.compareTo(least) < 0 || first != null && doing == least && link.since < first.since) {
                    first = link;
                    least = doing;
                }
            }
            if (first == null) {
                break;
            }
            over -= first.giveWay() ? 1 : 0;
        }
    }

    /** One accepted connection. All but {@link #askToClose} and what sweeps read is the I/O thread's. */
    final class Link implements Http1StreamListener, ConnectionReuseStrategy {
        private final ProtocolIOSession session;
        private final ServerHttp1StreamDuplexer duplexer;
        private final Heads.Requests heads = new Heads.Requests();
        private final Events events;
        /** The one exchange that may hold an invocation. */
        private volatile ConsumerExchange current;
        /** Exchanges whose answer is not written yet. */
        private volatile int unwritten;
        /** Bytes that had come in when the last request was whole. */
        private volatile long takenBytes;
        /** Since when it is idle, has been reading a request, or is being closed. */
        private volatile long since = reader.now();

        private volatile boolean closing;
        private volatile boolean gone;
        private volatile boolean toldToClose;
        private int discarded;
        /** What bounds its next request, by its last one; null for nothing. The I/O thread's, as the next. */
        Intake intake;

        private volatile boolean waiting;

        Link(ProtocolIOSession session) {
            this.session = session;
            duplexer = new StrictDuplexer();
            events = new Events();
        }

        /** The library's side of the connection, with our eyes on the lines of chunked bodies. */
        private final class StrictDuplexer extends ServerHttp1StreamDuplexer {

            StrictDuplexer() {
                super(
                        session,
                        NOTHING_ADDED,
                        (request, context) -> exchange(),
                        null,
                        Transport.HTTP,
                        null,
                        Link.this,
                        heads,
                        WRITERS.create(),
                        null,
                        null,
                        Link.this,
                        null);
            }

            @Override
            protected ContentDecoder createContentDecoder(
                    long length,
                    ReadableByteChannel channel,
                    SessionInputBuffer buffer,
                    BasicHttpTransportMetrics metrics)
                    throws HttpException {
                return length != ContentLengthStrategy.CHUNKED
                        ? super.createContentDecoder(length, channel, buffer, metrics)
                        : new ChunkDecoder(
                                channel, new StrictInput.Chunks(this::fault).of(buffer), Transport.HTTP, metrics);
            }

            private void fault(String problem) {
                ConsumerExchange exchange = current;
                if (exchange == null || !exchange.unreadable(problem)) {
                    broken();
                }
            }
        }

        private ConsumerExchange exchange() {
            ConsumerExchange before = current;
            boolean free = before == null || before.answered();
            ConsumerExchange made = new ConsumerExchange(ConsumerServer.this, this, free);
            unwritten++;
            if (free) {
                current = made;
            }
            return made;
        }

        /** What was wrong with the head just read, or null. */
        String problem() {
            return heads.problem();
        }

        int problemStatus() {
            return heads.status();
        }

        /** A request has come in whole. */
        void taken() {
            takenBytes = duplexer.getEndpointDetails().getReceivedBytesCount();
            since = reader.now();
        }

        /** An answer is on its way out. */
        void answering() {
            since = reader.now();
        }

        /** The answer being given is the last one, and nothing more is read. */
        void last() {
            heads.deafen();
        }

        void broken() {
            session.close(CloseMode.IMMEDIATE);
        }

        boolean deaf() {
            return heads.deaf();
        }

        private boolean reading() {
            return duplexer.getEndpointDetails().getReceivedBytesCount() > takenBytes;
        }

        private Doing doing(long now) {
            return closing
                    ? Doing.CLOSING
                    : unwritten > 0 && !readingBody()
                            ? Doing.SERVING
                            : takenBytes > 0 && !reading()
                                    ? Doing.IDLE
                                    : now - since > DAWDLES ? Doing.DAWDLING : Doing.STARTING;
        }

        private boolean readingBody() {
            ConsumerExchange exchange = current;
            return exchange != null && exchange.reading() && !exchange.passedOn();
        }

        private boolean overdue(long now) {
            ConsumerExchange exchange = current;
            return switch (doing(now)) {
                case CLOSING -> now - since > LINGER;
                case DAWDLING, STARTING ->
                    readingBody() ? exchange.late(now, since, requestLimit) : now - since > requestLimit;
                case IDLE -> now - since > IDLE_LIMIT;
                case SERVING ->
                    exchange != null
                            && (exchange.late(now, since, REQUEST_LIMIT)
                                    || exchange.waitsForReader() && now - since > WRITE_LIMIT);
            };
        }

        /** Whether it waits for nothing, or has said nothing for a while. */
        private boolean idle(long now) {
            Doing doing = doing(now);
            return doing == Doing.IDLE || doing == Doing.DAWDLING && !reading();
        }

        /** Has the I/O thread close it, unless a request has come in by then; may be called by any thread. */
        private void askToClose() {
            toldToClose = true;
            session.setEvent(SelectionKey.OP_WRITE);
        }

        /** Has its next request read, from any thread; false where it has closed. */
        private boolean goOn() {
            waiting = false;
            session.setEvent(SelectionKey.OP_READ);
            return !gone;
        }

        /** Closes it at once; whoever is being served has gone away. */
        private void close() {
            gone = true;
            session.close(CloseMode.GRACEFUL);
        }

        /**
         * Closes it for want of room, unless a request of its has arrived: on a part of a core the thread
         * may be held up for longer than any usual consumer dawdles, with the request waiting to be read.
         */
        private boolean giveWay() throws IOException {
            if (!heads.deaf()) {
                events.take(session, null);
                if (!gone && unwritten > 0) {
                    return false;
                }
            }
            close();
            return true;
        }

        /** What a sweep found may have changed since, and only here nothing more can come in between. */
        private void closeIfStillDue(IOSession ioSession) throws IOException {
            toldToClose = false;
            boolean due = overdue(reader.now()) || life.closesIdle(reader.now()) && idle(reader.now());
            if (due && !heads.deaf()) {
                events.take(ioSession, null); // the next request may have just arrived
            }
            boolean waits = unwritten == 0 && !reading();
            boolean told = current != null && current.reading();
            if ((waits && due || overdue(reader.now())) && !(told && current.timedOut())) {
                close();
            }
        }

        /** The answer is out: no more of them, and a moment for the consumer to read it. */
        private void linger() {
            closing = true;
            since = reader.now();
            try {
                ((SocketChannel) session.channel()).shutdownOutput();
            } catch (IOException e) {
                close();
            }
        }

        private void discard(IOSession ioSession) throws IOException {
            int read = ioSession.read(scrap.clear());
            discarded += Math.max(0, read);
            if (read < 0) {
                close();
            } else if (discarded > MOST_DISCARDED) {
                ioSession.clearEvent(SelectionKey.OP_READ); // 60 MB are not worth reading to the end
            }
        }

        // ---- The library's questions and news ------------------------------------------------------
        /** A connection that has gone deaf is closed by us, after a moment, not by the library at once. */
        @Override
        public boolean keepAlive(HttpRequest request, HttpResponse response, HttpContext context) {
            return heads.deaf() || DefaultConnectionReuseStrategy.INSTANCE.keepAlive(request, response, context);
        }

        @Override
        public void onRequestHead(HttpConnection connection, HttpRequest request) {}

        @Override
        public void onResponseHead(HttpConnection connection, HttpResponse response) {}

        @Override
        public void onExchangeComplete(HttpConnection connection, boolean keepAlive) {
            unwritten--;
            since = reader.now();
            if (heads.deaf() && unwritten == 0) {
                linger();
            }
        }

        private void closed() {
            gone = true;
            room.release();
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

            Events() {
                super(duplexer);
            }

            @Override
            public void connected(IOSession ioSession) throws IOException {
                makeRoom(Link.this);
                if (!gone) {
                    super.connected(ioSession);
                }
            }

            @Override
            public void inputReady(IOSession ioSession, ByteBuffer source) throws IOException {
                boolean next = intake != null && !heads.deaf() && unwritten == 0 && !reading();
                if (next && (waiting || intake.full())) {
                    ioSession.clearEvent(SelectionKey.OP_READ);
                    if (!waiting) {
                        waiting = true;
                        intake.await(Link.this::goOn);
                    }
                    return;
                }
                take(ioSession, source);
            }

            /** Reads what has come in, whoever else waits. */
            void take(IOSession ioSession, ByteBuffer source) throws IOException {
                if (heads.deaf()) {
                    discard(ioSession);
                    return;
                }
                if (takenBytes > 0 && unwritten == 0 && !reading()) {
                    since = reader.now(); // the first bytes of a further request
                }
                super.inputReady(ioSession, source);
                // The library takes the end of the input for half a close and goes on to answer; here a
                // consumer that closes has gone away, and the module must hear of it at once.
                ConsumerExchange exchange = current;
                if (exchange != null && !exchange.answered() && !duplexer.isOpen()) {
                    session.close(CloseMode.IMMEDIATE);
                }
            }

            @Override
            public void outputReady(IOSession ioSession) throws IOException {
                super.outputReady(ioSession);
                if (toldToClose) {
                    closeIfStillDue(ioSession);
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
