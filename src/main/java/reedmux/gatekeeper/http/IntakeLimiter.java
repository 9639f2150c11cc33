package reedmux.gatekeeper.http;

import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;

/**
 * Limits how many requests of one service may have been read but not decided on. Beyond that the connections whose last
 * request was for this service wait unread, in the order of their arrival, so that a service with hundreds of
 * connections takes no more of the I/O thread's time than one with a single connection. Requests in flight are not
 * limited: the next one is read as soon as one has been decided on, whatever the decision. For all threads.
 */
public final class IntakeLimiter {
    private final int maxUndecided;
    private final AtomicInteger undecided = new AtomicInteger();
    private final Queue<BooleanSupplier> waitingConnections = new ConcurrentLinkedQueue<>();

    /** A limiter of so many undecided requests. */
    public IntakeLimiter(int maxUndecided) {
        this.maxUndecided = maxUndecided;
    }

    /** Whether a connection with a next request has to wait. */
    boolean isFull() {
        return undecided.get() >= maxUndecided;
    }

    /** A request has been read. */
    public void onRequestRead() {
        undecided.incrementAndGet();
    }

    /** A request has been admitted, rejected or cancelled. */
    public void onRequestDecided() {
        // The last one resumes as many as allowed: those resumed before may have had no request at all.
        resume(undecided.decrementAndGet() == 0 ? maxUndecided : 1);
    }

    /** Has a connection wait; {@code resume} has it read, and returns false if it has been closed. */
    void enqueue(BooleanSupplier resume) {
        waitingConnections.add(resume);
        if (undecided.get() == 0) {
            resume(maxUndecided); // all have been decided on in the meantime
        }
    }

    /** Resumes waiting connections if nothing is undecided; to be called now and then. */
    public void sweep() {
        if (undecided.get() == 0) {
            resume(maxUndecided);
        }
    }

    /** Resumes all waiting connections. */
    public void resumeAll() {
        resume(Integer.MAX_VALUE);
    }

    private void resume(int count) {
        for (int remaining = count; remaining > 0; remaining--) {
            BooleanSupplier next = waitingConnections.poll();
            if (next == null) {
                return;
            }
            if (!next.getAsBoolean()) {
                remaining++;
            }
        }
    }
}
