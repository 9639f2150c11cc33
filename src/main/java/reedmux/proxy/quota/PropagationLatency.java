package reedmux.proxy.quota;

/**
 * How long a count takes from any member of the heap to any other, by the heap's depth and by how late this proxy is
 * with its own sends: 2(log2(N+1)-1) links, each with a send and a transit. Times are microseconds.
 */
final class PropagationLatency {
    /** The longest that a datagram is on its way to a neighbour, without waiting for its send. */
    private static final long MAX_TRANSIT_MICROS = 20_000;
    /** Between two members of the heap, in the mean, where both send in time. */
    private static final long MEAN_HOP_MICROS = 22_000;
    /** Over how many sends the mean lateness is taken. */
    private static final int LATENESS_AVERAGING_SENDS = 32;

    private final long sendIntervalMicros;
    private int memberCount = 1;
    private long nextSendAt;
    /** How late sends are in the mean. */
    private long meanLateness;

    /** {@code sendIntervalMicros}: between two sends where counts matter. */
    PropagationLatency(long sendIntervalMicros, long now) {
        this.sendIntervalMicros = sendIntervalMicros;
        nextSendAt = now;
    }

    void setMemberCount(int count) {
        memberCount = count;
    }

    /** Updates are sent now; the next ones are due after an interval. */
    void onSend(long intervalMicros, long now) {
        meanLateness += (Math.max(0, now - nextSendAt) - meanLateness) / LATENESS_AVERAGING_SENDS;
        nextSendAt = now + intervalMicros;
    }

    /** The longest where all send in time. */
    long maxPropagationMicros() {
        return 2L * heapDepth() * (sendIntervalMicros + MAX_TRANSIT_MICROS);
    }

    /**
     * The usual one where all are as late as this proxy lately was: on each hop a unit waits to be received and to be
     * sent on.
     */
    long expectedPropagationMicros(long now) {
        long lateness = Math.max(meanLateness, now - nextSendAt);
        return 2L * heapDepth() * (MEAN_HOP_MICROS + 2 * lateness);
    }

    /** After this time counts have come from all members. */
    long settleMicros(long now) {
        return maxPropagationMicros() + expectedPropagationMicros(now);
    }

    private int heapDepth() {
        return Math.max(1, Integer.SIZE - 1 - Integer.numberOfLeadingZeros(memberCount));
    }
}
