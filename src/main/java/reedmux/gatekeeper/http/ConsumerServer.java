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
 * The server side of one listener, for consumers or for other regions. It tracks the accepted connections, limits their
 * number, and selects connections for eviction when they become scarce. Connections are created on the I/O thread; the
 * event loop calls {@link #sweep}.
 */
public final class ConsumerServer {
    /**
     * Fraction of the maximum number of connections above which idle connections are evicted. It is lower than the
     * fraction that regular consumers may open together, so that their own idle connections never keep them waiting.
     */
    private static final double EVICTION_THRESHOLD = 0.65;

    private static final int DISCARD_BUFFER_BYTES = 16 * 1024;

    private final RequestFrontend frontend;
    private final BooleanSupplier ready;
    private final LifeCycle lifeCycle;
    private final int maxConnections;
    /** Accessed only by the I/O thread. */
    private final ByteBuffer discardBuffer = ByteBuffer.allocate(DISCARD_BUFFER_BYTES);

    private final Set<ConsumerConnection> connections = new LinkedHashSet<>();
    private final Semaphore connectionPermits;
    private volatile long requestTimeoutMicros = ConsumerConnection.REQUEST_TIMEOUT_MICROS;

    /**
     * Creates a server without connections.
     *
     * @param ready          whether this gateway is ready for requests, as health checks report it
     * @param lifeCycle      determines when connections are closed
     * @param maxConnections maximum number of open connections
     */
    public ConsumerServer(RequestFrontend frontend, BooleanSupplier ready, LifeCycle lifeCycle, int maxConnections) {
        this.frontend = frontend;
        this.lifeCycle = lifeCycle;
        this.ready = ready;
        this.maxConnections = maxConnections;
        connectionPermits = new Semaphore(maxConnections);
    }

    /** Returns the permits for the connections that may still be accepted; closing a connection releases its permit. */
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

    /** Returns the buffer into which discarded input is read. */
    ByteBuffer discardBuffer() {
        return discardBuffer;
    }

    /** Returns the time limit for a complete request, in microseconds; it is shorter while connections are scarce. */
    long requestTimeoutMicros() {
        return requestTimeoutMicros;
    }

    /** Returns the number of connections whose response has not been written completely. */
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

    /** Closes connections whose time-out has expired; must be called periodically. */
    public void sweep() {
        long now = frontend.now();
        List<ConsumerConnection> open = openConnections();
        // Regular consumers may be waiting in the backlog behind hundreds of connections that send nothing.
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
     * Adds a connection, and evicts others above the eviction threshold. Some consumers send a single request and keep
     * their connection open indefinitely, so a new connection replaces one that has sent nothing or only part of a
     * request, or otherwise an idle one; within a state, the connection that has been in it the longest is evicted
     * first. A connection whose request is being served is never evicted; once the maximum is reached, no more
     * connections are accepted.
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

    /** Selects the connection to evict next, by its state and then by the time in that state; null if there is none. */
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

    /** Removes a connection that has been closed by either side. */
    void remove(ConsumerConnection closed) {
        connectionPermits.release();
        synchronized (connections) {
            connections.remove(closed);
        }
    }
}
