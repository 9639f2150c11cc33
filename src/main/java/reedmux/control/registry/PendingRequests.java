package reedmux.control.registry;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Requests that were sent and are not answered yet. A request ends exactly once, in one of three ways: by as many
 * responses as it needs, by {@link #cancel}, or by the loss of so many connections that it cannot get them any more. A
 * response is accepted only if it has the request's id and arrives on one of the request's connections, once from each;
 * responses from earlier connections or processes are ignored. This class does no I/O and uses no clock.
 *
 * @param <C> the type of connections
 * @param <W> the type of the waiters, which receive the responses
 */
final class PendingRequests<C, W> {
    private final Map<Long, PendingRequest<C, W>> requests = new HashMap<>();
    private long lastId;

    private static final class PendingRequest<C, W> {
        /** The request's connections that are still open and have not responded. */
        private final Set<C> connections;

        private int missingResponses;
        private final W waiter;

        PendingRequest(Set<C> connections, int neededResponses, W waiter) {
            this.connections = connections;
            this.missingResponses = neededResponses;
            this.waiter = waiter;
        }
    }

    /** Registers a request that is sent over each of the connections, and returns its id. */
    long register(List<C> connections, W waiter) {
        return register(connections, 1, waiter);
    }

    /** Registers a request that needs responses on several of its connections, and returns its id. */
    long register(List<C> connections, int neededResponses, W waiter) {
        lastId++;
        requests.put(lastId, new PendingRequest<>(new HashSet<>(connections), neededResponses, waiter));
        return lastId;
    }

    /**
     * Counts a response; returns the request's waiter if it was the last one that the request needs, or null if more
     * are needed or the response is ignored.
     */
    W complete(long id, C connection) {
        PendingRequest<C, W> request = requests.get(id);
        if (request == null || !request.connections.remove(connection)) {
            return null;
        }
        request.missingResponses--;
        return request.missingResponses > 0 ? null : cancel(id);
    }

    /**
     * Records that a connection will not respond to a request; returns the request's waiter if it cannot get the
     * responses that it needs any more, else null.
     */
    W fail(long id, C connection) {
        PendingRequest<C, W> request = requests.get(id);
        boolean awaited = request != null && request.connections.remove(connection);
        return awaited && request.connections.size() < request.missingResponses ? cancel(id) : null;
    }

    /** Ends a request without a response; returns its waiter, or null if the request has already ended. */
    W cancel(long id) {
        PendingRequest<C, W> request = requests.remove(id);
        return request == null ? null : request.waiter;
    }

    /** Ends the requests that cannot get the responses they need without this connection; returns their waiters. */
    List<W> onConnectionLost(C connection) {
        List<W> waiters = new ArrayList<>();
        for (Iterator<PendingRequest<C, W>> iterator = requests.values().iterator(); iterator.hasNext(); ) {
            PendingRequest<C, W> request = iterator.next();
            if (request.connections.remove(connection) && request.connections.size() < request.missingResponses) {
                iterator.remove();
                waiters.add(request.waiter);
            }
        }
        return waiters;
    }
}
