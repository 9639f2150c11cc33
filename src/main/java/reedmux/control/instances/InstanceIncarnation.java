package reedmux.control.instances;

/**
 * What is known of one incarnation of an instance: one run of a process that serves requests. Each start is another
 * incarnation, with an id of its own. The phase only ever rises, so of two reports on one incarnation the higher phase
 * counts; of everything else, the report with the higher sequence.
 *
 * @param service the service that the instance belongs to
 * @param address {@code ip:port}, where requests are sent
 * @param zone the instance's failure domain
 * @param capacity how many requests it serves at a time
 * @param phase {@link #READY}, {@link #DRAINING} or {@link #GONE}
 * @param sequence the number of the heartbeat that reported this
 * @param slowStartMillis how much longer its slow start lasts, as of the report
 * @param unresponsive whether its heartbeats have timed out
 */
public record InstanceIncarnation(
        String id,
        String service,
        String address,
        String zone,
        int capacity,
        int phase,
        long sequence,
        long slowStartMillis,
        boolean unresponsive) {
    /** Serves requests. */
    public static final int READY = 0;
    /** Completes the requests that it has, and gets no others. */
    public static final int DRAINING = 1;
    /** Has ended, or was replaced at its address. */
    public static final int GONE = 2;

    InstanceIncarnation withStatus(int newPhase, boolean newUnresponsive, long newSlowStartMillis) {
        return new InstanceIncarnation(
                id, service, address, zone, capacity, newPhase, sequence, newSlowStartMillis, newUnresponsive);
    }
}
