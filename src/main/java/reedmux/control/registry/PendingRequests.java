package reedmux.control.registry;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Requests that were sent and are not answered yet. A request ends exactly once, in one of three ways: by a response,
 * by {@link #cancel}, or by the loss of the last connection that it was sent over. A response is accepted only if it
 * has the request's id and arrives on one of the request's connections; responses from earlier connections or processes
 * are ignored. This class does no I/O and uses no clock.
 *
 * @param <C> the type of connections
 * @param <W> the type of the waiters, which receive the responses
 */
final class PendingRequests<C, W> {
    private final Map<Long, PendingRequest<C, W>> requests = new HashMap<>();
    private long lastId;

    private static final class PendingRequest<C, W> {
        /** The request's connections that are still open. */
        private final Set<C> connections;

        private final W waiter;

        PendingRequest(Set<C> connections, W waiter) {
            this.connections = connections;
            this.waiter = waiter;
        }
    }

    /** Registers a request that is sent over each of the connections, and returns its id. */
    long register(List<C> connections, W waiter) {
        lastId++;
        requests.put(lastId, new PendingRequest<>(new HashSet<>(connections), waiter));
        return lastId;
    }

    /** Ends a request with a response; returns its waiter, or null if the response is ignored. */
    W complete(long id, C connection) {
        PendingRequest<C, W> request = requests.get(id);
        return request == null || !request.connections.contains(connection) ? null : cancel(id);
    }

    /** Ends a request without a response; returns its waiter, or null if the request has already ended. */
    W cancel(long id) {
        PendingRequest<C, W> request = requests.remove(id);
        return request == null ? null : request.waiter;
    }

    /** Ends the requests whose last open connection was this one, and returns their waiters. */
    List<W> onConnectionLost(C connection) {
        List<W> waiters = new ArrayList<>();
        for (Iterator<PendingRequest<C, W>> iterator = requests.values().iterator(); iterator.hasNext(); ) {
            PendingRequest<C, W> request = iterator.next();
            if (request.connections.remove(connection) && request.connections.isEmpty()) {
                iterator.remove();
                waiters.add(request.waiter);
            }
        }
        return waiters;
    }
}
