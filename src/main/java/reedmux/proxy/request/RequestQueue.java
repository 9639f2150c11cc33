package reedmux.proxy.request;

import java.util.TreeSet;

/**
 * The requests that wait for a checker, in the order of their priority and then of their arrival. Only requests in
 * state QUEUED are in the queue, because a request that already has its response must never get another one.
 */
final class RequestQueue {
    private final TreeSet<ProxyRequest> requests = new TreeSet<>((left, right) -> left.priority() != right.priority()
            ? Integer.compare(left.priority(), right.priority())
            : Long.compare(left.queueNumber, right.queueNumber));
    private long lastNumber;

    /** Adds a request behind all others of its priority. */
    void add(ProxyRequest request) {
        request.state = ProxyRequest.RequestState.QUEUED;
        request.queueNumber = ++lastNumber;
        requests.add(request);
    }

    /** Removes a request if it is queued. */
    void remove(ProxyRequest request) {
        if (request.state == ProxyRequest.RequestState.QUEUED) {
            requests.remove(request);
        }
    }

    boolean isEmpty() {
        return requests.isEmpty();
    }

    int size() {
        return requests.size();
    }

    /** Returns the request that is dispatched first, or null if the queue is empty. */
    ProxyRequest first() {
        return requests.isEmpty() ? null : requests.first();
    }

    /** Returns the request that is dispatched last; the queue must not be empty. */
    ProxyRequest last() {
        return requests.last();
    }

    /** Returns the request behind one that is or was in the queue, or null if there is none. */
    ProxyRequest after(ProxyRequest request) {
        return requests.higher(request);
    }
}
