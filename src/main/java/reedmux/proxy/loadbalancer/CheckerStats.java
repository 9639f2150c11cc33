package reedmux.proxy.loadbalancer;

import java.net.InetSocketAddress;
import reedmux.common.net.SocketAddresses;
import reedmux.control.instances.InstanceIncarnation;

/**
 * Statistics on one incarnation of a checker, collected from this proxy's own traffic: requests in flight, latency,
 * failures and the resulting backoff. All times are in microseconds. Not thread-safe.
 */
public final class CheckerStats {
    /** Weight of a new latency in the moving average. A higher value adapts sooner but also follows noise. */
    private static final double LATENCY_EWMA_WEIGHT = 0.15;
    /** Backoff after the first failure. Each further consecutive failure doubles it, up to the maximum. */
    private static final long INITIAL_BACKOFF_MICROS = 250_000;

    private static final long MAX_BACKOFF_MICROS = 3_000_000;
    private static final int MAX_BACKOFF_DOUBLINGS = 8;
    /** Backoff after a rejection due to overload. It is short because an overloaded checker is healthy. */
    private static final long OVERLOAD_BACKOFF_MICROS = INITIAL_BACKOFF_MICROS / 5;
    /** Upper and lower bounds of the latency of a single response, in multiples of its route's mean latency. */
    private static final double MAX_LATENCY_RATIO = 6;

    private static final double MIN_LATENCY_RATIO = 0.2;
    /** Factor by which the latency of a checker is increased during its slow start. */
    private static final double SLOW_START_PENALTY = 2;
    /**
     * Time after its last response to this proxy during which a checker is not suspect merely because the registries
     * receive no heartbeats from it.
     */
    private static final long UNRESPONSIVE_GRACE_MICROS = 3_000_000;

    private final InetSocketAddress address;
    private InstanceIncarnation incarnation;
    private long slowStartUntil;
    private int inFlight;
    /** Moving average of the checker's latencies, in multiples of each route's mean latency. */
    private double latencyRatio = 1;

    private int consecutiveFailures;
    private long backoffUntil;
    private long lastResponseAt = Long.MIN_VALUE / 2;
    /** When the last attempt ended or the first of the attempts in flight started, whichever is later. */
    private long awaitingSince;
    /** Fraction of the checker's slots that this proxy may use, from 0 (none) to 1 (all). */
    private double slotShare;

    /** Whether this proxy may have one request in flight at the checker even without a share of its slots. */
    private boolean guaranteedSlot;

    CheckerStats(InstanceIncarnation incarnation, long now) {
        address = SocketAddresses.parse(incarnation.address());
        updateIncarnation(incarnation, now);
    }

    void updateIncarnation(InstanceIncarnation next, long now) {
        incarnation = next;
        slowStartUntil = now + next.slowStartMillis() * 1000;
    }

    /** Returns the id of the checker's incarnation. */
    public String id() {
        return incarnation.id();
    }

    /** Returns the last state of the incarnation that the control plane reported. */
    public InstanceIncarnation incarnation() {
        return incarnation;
    }

    /** Returns the address on which the checker accepts requests. */
    public InetSocketAddress address() {
        return address;
    }

    /** Returns the number of attempts that this proxy has sent to the checker and that have not ended. */
    public int inFlight() {
        return inFlight;
    }

    void setSlots(double nextShare, boolean nextGuaranteed) {
        slotShare = nextShare;
        guaranteedSlot = nextGuaranteed;
    }

    /** Returns whether this proxy may have one request in flight at the checker even without a share of its slots. */
    boolean hasGuaranteedSlot() {
        return guaranteedSlot;
    }

    double slotShare() {
        return slotShare;
    }

    /** Returns the average latency in multiples of each route's mean, increased during the checker's slow start. */
    double latencyRatio(long now) {
        return now < slowStartUntil ? SLOW_START_PENALTY * latencyRatio : latencyRatio;
    }

    /** Records that an attempt is sent to the checker. */
    public void onRequestStarted(long now) {
        if (inFlight++ == 0) {
            awaitingSince = now;
        }
    }

    /** Records that an attempt has ended, with or without a response. Called once for each started attempt. */
    public void onRequestEnded(long now) {
        inFlight--;
        awaitingSince = now;
    }

    /**
     * Records that an attempt was cancelled because its client disconnected. This does not count against the checker,
     * unless the checker has been silent for longer than the tolerance: the cancellation then counts as a failure, so
     * that the checker remains suspect as it was while the attempt was in flight.
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

    /**
     * Records a response of the checker and ends its backoff.
     *
     * @param ratio latency of the response in multiples of the route's mean latency, or 0 if unknown
     */
    public void onResponse(long now, double ratio) {
        lastResponseAt = now;
        consecutiveFailures = 0;
        backoffUntil = 0;
        if (ratio > 0) {
            double bounded = Math.max(MIN_LATENCY_RATIO, Math.min(MAX_LATENCY_RATIO, ratio));
            latencyRatio += LATENCY_EWMA_WEIGHT * (bounded - latencyRatio);
        }
    }

    /** Records that the checker could not be reached or that an attempt ended without a complete response. */
    public void onFailure(long now) {
        consecutiveFailures++;
        long backoff = INITIAL_BACKOFF_MICROS << Math.min(MAX_BACKOFF_DOUBLINGS, consecutiveFailures - 1);
        backoffUntil = now + Math.min(MAX_BACKOFF_MICROS, backoff);
    }

    /** Records that the checker rejected a request because it is overloaded. */
    public void onOverloaded(long now) {
        lastResponseAt = now;
        backoffUntil = Math.max(backoffUntil, now + OVERLOAD_BACKOFF_MICROS);
    }

    /** Marks this incarnation as gone because another incarnation responded at its address. */
    public void onAddressReassigned() {
        incarnation = new InstanceIncarnation(
                incarnation.id(),
                incarnation.service(),
                incarnation.address(),
                incarnation.zone(),
                incarnation.capacity(),
                InstanceIncarnation.GONE,
                incarnation.sequence(),
                0,
                incarnation.unresponsive());
    }

    /**
     * Returns whether the checker is suspect, which means that it is chosen only if no other checker is available. A
     * checker is suspect while it is in backoff, if it has requests in flight and has been silent for longer than the
     * tolerance, or if the registries receive no heartbeats from it and it has not responded to this proxy recently.
     */
    public boolean isSuspect(long now, long silenceToleranceMicros) {
        return now < backoffUntil
                || isSilent(now, silenceToleranceMicros)
                || incarnation.unresponsive() && now - lastResponseAt > UNRESPONSIVE_GRACE_MICROS;
    }

    boolean acceptsRequests() {
        return incarnation.phase() == InstanceIncarnation.READY;
    }
}
