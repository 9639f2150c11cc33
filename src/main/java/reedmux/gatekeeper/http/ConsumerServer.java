package reedmux.gatekeeper.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.Semaphore;
import java.util.function.BooleanSupplier;
import org.apache.hc.core5.reactor.IOEventHandler;
import org.apache.hc.core5.reactor.ProtocolIOSession;
import reedmux.gatekeeper.admin.LifeCycle;
import reedmux.gatekeeper.http.ConsumerConnection.ConsumerConnectionState;

/**
 * The server side of one listener, for consumers or for other regions: its accepted connections, how many there may be,
 * and which are evicted when they become scarce. Connections are created on the I/O thread; the event loop sweeps.
 */
public final class ConsumerServer {
    /**
     * The fraction of the maximum of connections from which idle ones are evicted. It is below what the usual consumers
     * may open together, so that these are never kept waiting by their own idle connections.
     */
    private static final double EVICTION_THRESHOLD = 0.65;

    private static final int DISCARD_BUFFER_BYTES = 16 * 1024;

    private final RequestFrontend frontend;
    private final BooleanSupplier ready;
    private final LifeCycle lifeCycle;
    private final int maxConnections;
    /** For the I/O thread alone. */
    private final ByteBuffer discardBuffer = ByteBuffer.allocate(DISCARD_BUFFER_BYTES);

    private final Set<ConsumerConnection> connections = new LinkedHashSet<>();
    private final Semaphore connectionPermits;
    private volatile long requestTimeoutMicros = ConsumerConnection.REQUEST_TIMEOUT_MICROS;

    /**
     * A server without connections.
     *
     * @param ready          whether consumers may be sent here, for health checks
     * @param lifeCycle      says when connections are closed
     * @param maxConnections connections that may be open at once
     */
    public ConsumerServer(RequestFrontend frontend, BooleanSupplier ready, LifeCycle lifeCycle, int maxConnections) {
        this.frontend = frontend;
        this.lifeCycle = lifeCycle;
        this.ready = ready;
        this.maxConnections = maxConnections;
        connectionPermits = new Semaphore(maxConnections);
    }

    /** A permit for each connection that may still be accepted; returned when a connection is closed. */
    public Semaphore connectionPermits() {
        return connectionPermits;
    }

    IOEventHandler createEventHandler(ProtocolIOSession session) {
        return new ConsumerConnection(this, session).eventHandler();
    }

    boolean isReady() {
        return ready.getAsBoolean();
    }

    LifeCycle lifeCycle() {
        return lifeCycle;
    }

    RequestFrontend frontend() {
        return frontend;
    }

    /** Where bytes are read to that nobody needs. */
    ByteBuffer discardBuffer() {
        return discardBuffer;
    }

    /** How long a request may take until it is complete; less while connections are scarce. */
    long requestTimeoutMicros() {
        return requestTimeoutMicros;
    }

    /** Connections with a response that is not written yet. */
    public int connectionsWithPendingResponses() {
        return (int) openConnections().stream()
                .filter(ConsumerConnection::hasPendingResponses)
                .count();
    }

    /** Whether any connection is open. */
    public boolean hasConnections() {
        synchronized (connections) {
            return !connections.isEmpty();
        }
    }

    /** Closes connections whose time-out has passed; to be called now and then. */
    public void sweep() {
        long now = frontend.now();
        List<ConsumerConnection> open = openConnections();
        // Usual consumers may be waiting to be accepted behind hundreds of connections that send nothing.
        requestTimeoutMicros = open.size() > maxConnections * EVICTION_THRESHOLD
                ? ConsumerConnection.SLOW_REQUEST_MICROS
                : ConsumerConnection.REQUEST_TIMEOUT_MICROS;
        boolean closesIdle = lifeCycle.closesIdleConnections(now);
        for (ConsumerConnection connection : open) {
            if (connection.isOverdue(now) || closesIdle && connection.isIdle(now)) {
                connection.requestClose();
            }
        }
    }

    private List<ConsumerConnection> openConnections() {
        synchronized (connections) {
            return List.copyOf(connections);
        }
    }

    /**
     * Adds a connection, and evicts others beyond the threshold. Some consumers send one request and keep their
     * connection for ever, so a new connection takes the place of one that sends nothing or half a request, or else of
     * an idle one, of the one that has been in that state the longest. A connection that is being served is never
     * evicted; at the maximum no more are accepted.
     */
    void add(ConsumerConnection added) throws IOException {
        synchronized (connections) {
            connections.add(added);
        }
        List<ConsumerConnection> open = openConnections().stream()
                .filter(connection -> !connection.isClosed())
                .toList();
        int excess = open.size() - (int) (maxConnections * EVICTION_THRESHOLD);
        while (excess > 0) {
            ConsumerConnection candidate = findEvictable(open);
            if (candidate == null) {
                break;
            }
            excess -= candidate.tryEvict() ? 1 : 0;
        }
    }

    /** The connection to evict next: by state first, then by how long it has been in it; null if there is none. */
    private ConsumerConnection findEvictable(List<ConsumerConnection> candidates) {
        long now = frontend.now();
        ConsumerConnection selected = null;
        ConsumerConnectionState selectedState = ConsumerConnectionState.STARTING;
        for (ConsumerConnection candidate : candidates) {
            ConsumerConnectionState state =
                    candidate.isClosed() ? ConsumerConnectionState.SERVING : candidate.state(now);
            boolean longerInState =
                    selected != null && state == selectedState && candidate.stateSince() < selected.stateSince();
            if (state.compareTo(selectedState) < 0 || longerInState) {
                selected = candidate;
                selectedState = state;
            }
        }
        return selected;
    }

    /** A connection has been closed, by whichever side. */
    void remove(ConsumerConnection closed) {
        connectionPermits.release();
        synchronized (connections) {
            connections.remove(closed);
        }
    }
}
