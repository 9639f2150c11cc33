package reedmux.control.registry;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Requests that were sent and have no response yet. A request ends in one of three ways, and only once: by a response,
 * by {@link #cancel}, or by the loss of the last connection that it was sent over. A response counts only with the
 * request's id and over one of its connections, so that one of an earlier connection or process ends nothing. Pure.
 *
 * @param <C> a connection
 * @param <W> who waits for the response
 */
final class PendingRequests<C, W> {
    private final Map<Long, PendingRequest<C, W>> requests = new HashMap<>();
    private long lastId;

    private static final class PendingRequest<C, W> {
        /** Those that are still open. */
        private final Set<C> connections;

        private final W waiter;

        PendingRequest(Set<C> connections, W waiter) {
            this.connections = connections;
            this.waiter = waiter;
        }
    }

    /** Registers a request that is sent over each of the connections; returns its id. */
    long register(List<C> connections, W waiter) {
        lastId++;
        requests.put(lastId, new PendingRequest<>(new HashSet<>(connections), waiter));
        return lastId;
    }

    /** Ends a request by a response; returns who waits for it, or null where the response counts for nothing. */
    W complete(long id, C connection) {
        PendingRequest<C, W> request = requests.get(id);
        return request == null || !request.connections.contains(connection) ? null : cancel(id);
    }

    /** Ends a request without a response; returns who waits for it, or null where it has ended before. */
    W cancel(long id) {
        PendingRequest<C, W> request = requests.remove(id);
        return request == null ? null : request.waiter;
    }

    /** Ends the requests that have no other connection left than this one; returns who waits for them. */
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
