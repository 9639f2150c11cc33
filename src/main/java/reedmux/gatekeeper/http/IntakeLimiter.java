package reedmux.gatekeeper.http;

import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;

/**
 * Limits the number of requests of one service that have been read but not decided on. When the limit is reached,
 * connections whose last request was for this service are not read and wait in the order of their arrival, so that a
 * service with hundreds of connections takes no more of the I/O thread's time than one with a single connection.
 * Requests in flight are not limited: the next request is read as soon as another one has been decided on, whatever the
 * decision. Thread-safe.
 */
public final class IntakeLimiter {
    private final int maxUndecided;
    private final AtomicInteger undecided = new AtomicInteger();
    private final Queue<BooleanSupplier> waitingConnections = new ConcurrentLinkedQueue<>();

    /** Creates a limiter that allows up to {@code maxUndecided} undecided requests. */
    public IntakeLimiter(int maxUndecided) {
        this.maxUndecided = maxUndecided;
    }

    /** Whether a connection has to wait before its next request is read. */
    boolean isFull() {
        return undecided.get() >= maxUndecided;
    }

    /** Called when a request has been read. */
    public void onRequestRead() {
        undecided.incrementAndGet();
    }

    /** Called when a request has been admitted, rejected or cancelled. */
    public void onRequestDecided() {
        // When no request is left undecided, as many connections as the limit allows are resumed, since those resumed
        // earlier may not have sent a request.
        resume(undecided.decrementAndGet() == 0 ? maxUndecided : 1);
    }

    /** Makes a connection wait; {@code resume} makes it read again, and returns false if it has been closed. */
    void enqueue(BooleanSupplier resume) {
        waitingConnections.add(resume);
        if (undecided.get() == 0) {
            resume(maxUndecided); // all requests have been decided on in the meantime
        }
    }

    /** Resumes waiting connections if no request is undecided; must be called periodically. */
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
