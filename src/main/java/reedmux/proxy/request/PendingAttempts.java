package reedmux.proxy.request;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * Tracks all attempts that have not ended, and cancels them when their client has disconnected.
 *
 * <p>After the disconnect, the response is no longer needed. An attempt is cancelled if this is safe: its route is
 * idempotent, or its checker has not received the whole request and therefore cannot have completed it. Any other
 * attempt runs to its end, because it is unknown how much of the request has already taken effect; it is not retried,
 * and its response is discarded.
 *
 * <p>Invariant: a cancelled attempt ends within {@value #MAX_CANCELLATION_MICROS} microseconds. All times are in
 * microseconds. Performs no I/O. Not thread-safe.
 */
public final class PendingAttempts {
    private static final long MAX_CANCELLATION_MICROS = 500_000;

    private final RequestPort port;
    private final Set<RequestAttempt> attempts = new LinkedHashSet<>();
    private int clientDisconnects;
    private int cancelled;
    private int leftToFinish;

    PendingAttempts(RequestPort port) {
        this.port = port;
    }

    void add(RequestAttempt attempt) {
        attempts.add(attempt);
    }

    void remove(RequestAttempt attempt) {
        attempts.remove(attempt);
    }

    /** Returns the requests with a pending attempt. */
    Set<ProxyRequest> requests() {
        Set<ProxyRequest> requests = new LinkedHashSet<>();
        attempts.forEach(attempt -> requests.add(attempt.request()));
        return requests;
    }

    /** Returns whether no attempt is pending. */
    public boolean isEmpty() {
        return attempts.isEmpty();
    }

    /** Cancels those attempts of a request that can be cancelled safely, because its client has disconnected. */
    void onClientDisconnected(ProxyRequest request, long now) {
        clientDisconnects++;
        for (RequestAttempt attempt : List.copyOf(request.pendingAttempts)) {
            if (attempt.isSafeToCancel()) {
                cancel(attempt, now);
            } else {
                leftToFinish++;
            }
        }
    }

    /**
     * Cancels the attempts that are still pending for already completed requests of a closed client connection, such as
     * the slower one of two hedged attempts. As long as the client is connected, such attempts continue, because they
     * measure the latency of their checkers.
     */
    void onClientConnectionClosed(Object connection, long now) {
        for (RequestAttempt attempt : List.copyOf(attempts)) {
            ProxyRequest request = attempt.request();
            boolean completed = request.state == ProxyRequest.RequestState.COMPLETED;
            if (completed && request.source().connection() == connection && attempt.isSafeToCancel()) {
                cancel(attempt, now);
            }
        }
    }

    private void cancel(RequestAttempt attempt, long now) {
        if (!attempt.hasEnded() && !attempt.isCancelled()) {
            cancelled++;
            attempt.markCancelled(now);
            port.cancel(attempt);
        }
    }

    /** Returns the attempts that violate the invariant: cancelled, but still pending after the maximum time. */
    public List<RequestAttempt> overdueCancellations(long now) {
        return attempts.stream()
                .filter(attempt -> attempt.isCancelled() && now - attempt.cancelledAt() > MAX_CANCELLATION_MICROS)
                .toList();
    }

    /** Returns the summary that is logged when the process ends. */
    public String summary() {
        return clientDisconnects + " clients disconnected before their response: " + cancelled + " attempts cancelled, "
                + leftToFinish + " non-idempotent attempts left to finish; " + attempts.size() + " attempts pending";
    }
}
