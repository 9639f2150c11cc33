package reedmux.proxy.quota;

/**
 * Estimates how long a unit takes to propagate between any two members of the heap. The longest path has
 * 2(log2(N+1)-1) links, each with a wait for the next send and a network transit. How late this proxy is with its own
 * sends serves as the estimate for all members. Times are in microseconds.
 */
final class PropagationLatency {
    /** Longest network transit of a datagram to a neighbour, without the wait for the send. */
    private static final long MAX_TRANSIT_MICROS = 20_000;
    /** Mean time from one member to its neighbour if both send on time. */
    private static final long MEAN_HOP_MICROS = 22_000;
    /** Number of sends over which the mean lateness is averaged. */
    private static final int LATENESS_AVERAGING_SENDS = 32;

    private final long sendIntervalMicros;
    private int memberCount = 1;
    private long nextSendAt;
    /** Mean delay of sends after the time at which they were due. */
    private long meanLateness;

    /** Creates an estimate; {@code sendIntervalMicros} is the send interval while some tenant is near its burst. */
    PropagationLatency(long sendIntervalMicros, long now) {
        this.sendIntervalMicros = sendIntervalMicros;
        nextSendAt = now;
    }

    void setMemberCount(int count) {
        memberCount = count;
    }

    /** Records that updates are sent now and that the next ones are due after {@code intervalMicros}. */
    void onSend(long intervalMicros, long now) {
        meanLateness += (Math.max(0, now - nextSendAt) - meanLateness) / LATENESS_AVERAGING_SENDS;
        nextSendAt = now + intervalMicros;
    }

    /** Returns the longest propagation time if all members send on time. */
    long maxPropagationMicros() {
        return 2L * heapDepth() * (sendIntervalMicros + MAX_TRANSIT_MICROS);
    }

    /**
     * Returns the expected propagation time if all members are as late as this proxy has recently been. The lateness
     * counts twice for each hop, because a unit waits both to be received and to be forwarded.
     */
    long expectedPropagationMicros(long now) {
        long lateness = Math.max(meanLateness, now - nextSendAt);
        return 2L * heapDepth() * (MEAN_HOP_MICROS + 2 * lateness);
    }

    /** Returns the time after which counts from all members have been received. */
    long settleMicros(long now) {
        return maxPropagationMicros() + expectedPropagationMicros(now);
    }

    private int heapDepth() {
        return Math.max(1, Integer.SIZE - 1 - Integer.numberOfLeadingZeros(memberCount));
    }
}
