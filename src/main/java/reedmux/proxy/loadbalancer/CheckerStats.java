package reedmux.proxy.loadbalancer;

import java.net.InetSocketAddress;
import reedmux.common.net.SocketAddresses;
import reedmux.control.instances.CheckerIncarnation;

/**
 * One incarnation of a checker, with what this proxy has seen of it in its own traffic: requests in flight, latency,
 * failures and their backoff. Times are microseconds; for one thread.
 */
public final class CheckerStats {
    /** The weight of a new latency in the moving average: higher follows a checker sooner, and noise as well. */
    private static final double LATENCY_EWMA_WEIGHT = 0.15;
    /** Backoff after a first failure, doubled by each further one up to the maximum. */
    private static final long INITIAL_BACKOFF_MICROS = 250_000;

    private static final long MAX_BACKOFF_MICROS = 3_000_000;
    private static final int MAX_BACKOFF_DOUBLINGS = 8;
    /** A checker that rejects a request as overloaded is well; it is only passed over for a moment. */
    private static final long OVERLOAD_BACKOFF_MICROS = INITIAL_BACKOFF_MICROS / 5;
    /** A single response counts as no slower or faster than this, in multiples of its route's mean latency. */
    private static final double MAX_LATENCY_RATIO = 6;

    private static final double MIN_LATENCY_RATIO = 0.2;
    /** During its slow start a checker counts as this much slower than it is. */
    private static final double SLOW_START_PENALTY = 2;
    /** A checker that registries do not hear is still used this long after its last response to us. */
    private static final long UNRESPONSIVE_GRACE_MICROS = 3_000_000;

    private final InetSocketAddress address;
    private CheckerIncarnation incarnation;
    private long slowStartUntil;
    private int inFlight;
    /** The moving average of its latencies, in multiples of each route's mean latency. */
    private double latencyRatio = 1;

    private int consecutiveFailures;
    private long backoffUntil;
    private long lastResponseAt = Long.MIN_VALUE / 2;
    /** When the last request ended, or the first of those in flight began. */
    private long awaitingSince;
    /** The part of its slots that this proxy may fill: from 0, none, to 1, all. */
    private double slotShare;

    private boolean guaranteedSlot;

    CheckerStats(CheckerIncarnation incarnation, long now) {
        address = SocketAddresses.parse(incarnation.address());
        updateIncarnation(incarnation, now);
    }

    void updateIncarnation(CheckerIncarnation next, long now) {
        incarnation = next;
        slowStartUntil = now + next.slowStartMillis() * 1000;
    }

    /** The id of the checker. */
    public String id() {
        return incarnation.id();
    }

    /** What is known of it from the control plane. */
    public CheckerIncarnation incarnation() {
        return incarnation;
    }

    /** The address that the checker serves on. */
    public InetSocketAddress address() {
        return address;
    }

    /** Attempts that this proxy has sent it and that have not ended. */
    public int inFlight() {
        return inFlight;
    }

    void setSlots(double nextShare, boolean nextGuaranteed) {
        slotShare = nextShare;
        guaranteedSlot = nextGuaranteed;
    }

    /** Whether this proxy may have one request there also without a share. */
    boolean hasGuaranteedSlot() {
        return guaranteedSlot;
    }

    double slotShare() {
        return slotShare;
    }

    /** Its latency in multiples of each route's mean; higher during its slow start. */
    double latencyRatio(long now) {
        return now < slowStartUntil ? SLOW_START_PENALTY * latencyRatio : latencyRatio;
    }

    /** An attempt is sent to it. */
    public void onRequestStarted(long now) {
        if (inFlight++ == 0) {
            awaitingSince = now;
        }
    }

    /** An attempt has ended in whatever way; called once for each start. */
    public void onRequestEnded(long now) {
        inFlight--;
        awaitingSince = now;
    }

    /**
     * An attempt was cancelled, as its client has left. That says nothing of the checker, unless it has been silent for
     * longer than the tolerance: then it is as suspect as it was while the attempt was in flight.
     */
    public void onRequestCancelled(long now, long silenceToleranceMicros) {
        boolean silent = isSilent(now, silenceToleranceMicros);
        inFlight--;
        if (silent) {
            onFailure(now);
        }
    }

    private boolean isSilent(long now, long silenceToleranceMicros) {
        return inFlight > 0 && now - Math.max(lastResponseAt, awaitingSince) > silenceToleranceMicros;
    }

    /** It has responded; {@code ratio}: its latency in multiples of the route's mean, 0 if not known. */
    public void onResponse(long now, double ratio) {
        lastResponseAt = now;
        consecutiveFailures = 0;
        backoffUntil = 0;
        if (ratio > 0) {
            double bounded = Math.max(MIN_LATENCY_RATIO, Math.min(MAX_LATENCY_RATIO, ratio));
            latencyRatio += LATENCY_EWMA_WEIGHT * (bounded - latencyRatio);
        }
    }

    /** It could not be reached, or an attempt ended without a complete response. */
    public void onFailure(long now) {
        consecutiveFailures++;
        long backoff = INITIAL_BACKOFF_MICROS << Math.min(MAX_BACKOFF_DOUBLINGS, consecutiveFailures - 1);
        backoffUntil = now + Math.min(MAX_BACKOFF_MICROS, backoff);
    }

    /** It has rejected a request because it is overloaded. */
    public void onOverloaded(long now) {
        lastResponseAt = now;
        backoffUntil = Math.max(backoffUntil, now + OVERLOAD_BACKOFF_MICROS);
    }

    /** Another incarnation has answered at its address, so that this one takes no more requests. */
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

    /**
     * Whether it is used only if no other checker can be: it is in backoff, has requests in flight and was silent for
     * longer than the tolerance, or is heard neither by the registries nor by us.
     */
    public boolean isSuspect(long now, long silenceToleranceMicros) {
        return now < backoffUntil
                || isSilent(now, silenceToleranceMicros)
                || incarnation.unresponsive() && now - lastResponseAt > UNRESPONSIVE_GRACE_MICROS;
    }

    boolean acceptsRequests() {
        return incarnation.phase() == CheckerIncarnation.READY;
    }
}
