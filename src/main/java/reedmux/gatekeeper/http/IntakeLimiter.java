package reedmux.gatekeeper.http;

import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;

/**
 * Bounds how many requests of one service may be between the socket and their decision. Where there are as
 * many, further connections that are known to ask for it wait unread, in the order of their coming, so that a
 * service with hundreds of them takes up no more of the I/O thread's round than another with one. It bounds
 * nothing that is slow by itself: a request that is decided on, whatever becomes of it, lets the next one in.
 * For all threads.
 */
public final class IntakeLimiter {
    private final int maxUndecided;
    private final AtomicInteger undecided = new AtomicInteger();
    private final Queue<BooleanSupplier> waitingConnections = new ConcurrentLinkedQueue<>();

    public IntakeLimiter(int most) {
        this.maxUndecided = most;
    }

    /** Whether a connection with a further request has to wait. */
    boolean isFull() {
        return undecided.get() >= maxUndecided;
    }

    /** A request has been read. */
    public void onRequestRead() {
        undecided.incrementAndGet();
    }

    /** A request has been decided on: let in, turned away, or given up. */
    public void onRequestDecided() {
        // The last one lets in as many as there is room for: those let in before may have had nothing to say.
        resume(undecided.decrementAndGet() == 0 ? maxUndecided : 1);
    }

    /** Has a connection wait; {@code goOn} has it read, and returns false where it has closed meanwhile. */
    void enqueue(BooleanSupplier goOn) {
        waitingConnections.add(goOn);
        if (undecided.get() == 0) {
            resume(maxUndecided); // all have been decided on since it was found full
        }
    }

    /** Lets in whoever waits while nothing is on its way; to be called now and then. */
    public void sweep() {
        if (undecided.get() == 0) {
            resume(maxUndecided);
        }
    }

    /** Lets all in. */
    public void resumeAll() {
        resume(Integer.MAX_VALUE);
    }

    private void resume(int many) {
        for (int left = many; left > 0; left--) {
            BooleanSupplier next = waitingConnections.poll();
            if (next == null) {
                return;
            }
            if (!next.getAsBoolean()) {
                left++;
            }
        }
    }
}
