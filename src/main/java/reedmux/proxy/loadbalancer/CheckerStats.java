package reedmux.proxy.loadbalancer;

import java.net.InetSocketAddress;
import reedmux.common.net.SocketAddresses;
import reedmux.control.instances.CheckerIncarnation;

/** One life of a checker, as a proxy has come to know it from its own traffic. */
public final class CheckerStats {
    private static final double LATENCY_EWMA_WEIGHT = 0.15;
    private static final long INITIAL_BACKOFF_MICROS = 250_000;
    private static final long MAX_BACKOFF_MICROS = 3_000_000;
    private static final double MAX_LATENCY_RATIO = 6;
    private static final double MIN_LATENCY_RATIO = 0.2;
    private CheckerIncarnation incarnation;
    private final InetSocketAddress address;
    private long slowStartUntil;
    private int inFlight;
    private double latencyRatio = 1;
    private int consecutiveFailures;
    private long backoffUntil;
    private long lastResponseAt = Long.MIN_VALUE / 2;
    private long awaitingSince;
    /** The part of its slots that is ours to fill. */
    private double slotShare;

    private boolean guaranteedSlot;

    CheckerStats(CheckerIncarnation life, long now) {
        address = SocketAddresses.parse(life.address());
        updateIncarnation(life, now);
    }

    void updateIncarnation(CheckerIncarnation next, long now) {
        incarnation = next;
        slowStartUntil = now + next.slowStartMillis() * 1000;
    }

    public String id() {
        return incarnation.id();
    }

    public CheckerIncarnation incarnation() {
        return incarnation;
    }

    public InetSocketAddress address() {
        return address;
    }

    public int inFlight() {
        return inFlight;
    }

    void slotShare(double next, boolean isGuest) {
        slotShare = next;
        guaranteedSlot = isGuest;
    }

    /** Whether we may have one request there without a part. */
    boolean hasGuaranteedSlot() {
        return guaranteedSlot;
    }

    double slotShare() {
        return slotShare;
    }

    double latencyRatio(long now) {
        return now < slowStartUntil ? 2 * latencyRatio : latencyRatio;
    }

    /** A request goes out to it. */
    public void onRequestStarted(long now) {
        if (inFlight++ == 0) {
            awaitingSince = now;
        }
    }

    /** A request there has ended in whatever way. */
    public void onRequestEnded(long now) {
        inFlight--;
        awaitingSince = now;
    }

    /** It has answered, in so many times the usual time. */
    public void onResponse(long now, double times) {
        lastResponseAt = now;
        consecutiveFailures = 0;
        backoffUntil = 0;
        if (times > 0) {
            latencyRatio += LATENCY_EWMA_WEIGHT
                    * (Math.max(MIN_LATENCY_RATIO, Math.min(MAX_LATENCY_RATIO, times)) - latencyRatio);
        }
    }

    /** It could not be reached, or broke off. */
    public void onFailure(long now) {
        consecutiveFailures++;
        backoffUntil =
                now + Math.min(MAX_BACKOFF_MICROS, INITIAL_BACKOFF_MICROS << Math.min(8, consecutiveFailures - 1));
    }

    /** It has said that it is full. */
    public void onOverloaded(long now) {
        lastResponseAt = now;
        backoffUntil = Math.max(backoffUntil, now + INITIAL_BACKOFF_MICROS / 5);
    }

    /** The address is another's now. */
    public void onAddressReassigned() {
        incarnation = new CheckerIncarnation(
                incarnation.id(),
                incarnation.service(),
                incarnation.address(),
                incarnation.zone(),
                incarnation.capacity(),
                CheckerIncarnation.GONE,
                incarnation.sequence(),
                0,
                incarnation.unresponsive());
    }

    /** Whether it is better left alone: it fails, or is asked and says nothing. */
    boolean isSuspect(long now, long patience) {
        return now < backoffUntil
                || inFlight > 0 && now - Math.max(lastResponseAt, awaitingSince) > patience
                || incarnation.unresponsive() && now - lastResponseAt > 3_000_000;
    }

    boolean acceptsRequests() {
        return incarnation.phase() == CheckerIncarnation.READY;
    }
}
