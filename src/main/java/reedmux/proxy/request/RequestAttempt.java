package reedmux.proxy.request;

import java.util.ArrayList;
import java.util.List;
import reedmux.proxy.loadbalancer.CheckerStats;

/**
 * One attempt to execute a request on a checker. {@link RequestTracker} creates, cancels and ends it; the sender
 * reports the progress of its transfer.
 */
public final class RequestAttempt {
    private static final long NOT_CANCELLED = -1;

    private final ProxyRequest request;
    private final CheckerStats checker;
    private final long startedAt;
    /** Scheduled events of the attempt; they are cancelled when it ends. */
    private final List<RequestPort.ScheduledEvent> scheduledEvents = new ArrayList<>();

    private boolean ended;
    private boolean connected;
    private boolean fullySent;
    private long cancelledAt = NOT_CANCELLED;
    /** The connection that the sender uses for this attempt; not interpreted here. */
    private Object connection;

    RequestAttempt(ProxyRequest request, CheckerStats checker, long startedAt) {
        this.request = request;
        this.checker = checker;
        this.startedAt = startedAt;
    }

    /** Returns the request that this attempt belongs to. */
    public ProxyRequest request() {
        return request;
    }

    /** Returns the checker that the attempt is sent to. */
    public CheckerStats checker() {
        return checker;
    }

    /** Returns the time at which the attempt was passed to the sender, in microseconds. */
    public long startedAt() {
        return startedAt;
    }

    /** Returns whether the attempt has ended, so that its outcome is known. */
    public boolean hasEnded() {
        return ended;
    }

    /** Adds a scheduled event that is cancelled when the attempt ends. */
    void addScheduledEvent(RequestPort.ScheduledEvent event) {
        scheduledEvents.add(event);
    }

    /** Ends the attempt and cancels its scheduled events. */
    void markEnded() {
        ended = true;
        scheduledEvents.forEach(RequestPort.ScheduledEvent::cancel);
        scheduledEvents.clear();
    }

    /** Records that the connection is established, so that the checker may receive bytes of the request from now on. */
    public void onConnected() {
        connected = true;
    }

    /** Returns whether the connection was established. */
    public boolean isConnected() {
        return connected;
    }

    /** Records that the last byte of the request was passed to the kernel. */
    public void onFullySent() {
        fullySent = true;
    }

    /** Returns whether the last byte of the request was passed to the kernel. */
    boolean isFullySent() {
        return fullySent;
    }

    /** Returns whether cancelling is safe: the route is idempotent, or the request was not completely sent. */
    boolean isSafeToCancel() {
        return request.route().idempotent() || !fullySent;
    }

    /** Marks the attempt as cancelled because its outcome is no longer needed. */
    void markCancelled(long now) {
        cancelledAt = now;
    }

    boolean isCancelled() {
        return cancelledAt != NOT_CANCELLED;
    }

    /** Returns the time at which the attempt was cancelled, in microseconds. */
    long cancelledAt() {
        return cancelledAt;
    }

    /** Returns the connection set by {@link #setConnection}, or null. */
    public Object connection() {
        return connection;
    }

    /** Sets the connection that the sender uses for this attempt. */
    public void setConnection(Object senderConnection) {
        connection = senderConnection;
    }
}
