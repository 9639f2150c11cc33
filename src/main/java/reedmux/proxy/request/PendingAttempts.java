package reedmux.proxy.request;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * All attempts that have not ended, and what becomes of them once their client has left.
 *
 * <p>Nobody waits for the response then. An attempt is cancelled if that does no harm: its route is idempotent, or its
 * checker has not received all of it and so cannot have completed it. Any other one is executed to its end, since it is
 * not known how much of its effect has come about; it is neither retried nor answered.
 *
 * <p>Invariant: no attempt that was cancelled is still pending {@value #MAX_CANCELLATION_MICROS} microseconds later.
 * Times are in microseconds. No I/O; for one thread.
 */
public final class PendingAttempts {
    private static final long MAX_CANCELLATION_MICROS = 500_000;

    private final RequestPort port;
    private final Set<RequestAttempt> attempts = new LinkedHashSet<>();
    private int departures;
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

    /** Whether there is none. */
    public boolean isEmpty() {
        return attempts.isEmpty();
    }

    /** The client of a request has left: cancels those of its attempts that may be cancelled. */
    void onClientDisconnected(ProxyRequest request, long now) {
        departures++;
        for (RequestAttempt attempt : List.copyOf(request.pendingAttempts)) {
            if (attempt.mayBeCancelled()) {
                cancel(attempt, now);
            } else {
                leftToFinish++;
            }
        }
    }

    /**
     * A client's connection is closed: cancels the hedged attempts that still go on for requests which have their
     * response. While the client stays they show how fast their checkers are.
     */
    void onClientConnectionClosed(Object connection, long now) {
        for (RequestAttempt attempt : List.copyOf(attempts)) {
            ProxyRequest request = attempt.request();
            boolean answered = request.state == ProxyRequest.RequestState.COMPLETED;
            if (answered && request.source().connection() == connection && attempt.mayBeCancelled()) {
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

    /** The attempts that violate the invariant. */
    public List<RequestAttempt> overdueCancellations(long now) {
        return attempts.stream()
                .filter(attempt -> attempt.isCancelled() && now - attempt.cancelledAt() > MAX_CANCELLATION_MICROS)
                .toList();
    }

    /** What operators are told at the end of the process. */
    public String summary() {
        return departures + " clients left before their response: " + cancelled + " attempts cancelled, " + leftToFinish
                + " not idempotent and left to finish; " + attempts.size() + " attempts pending";
    }
}
