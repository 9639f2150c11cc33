package reedmux.control.instances;

/**
 * The known state of one incarnation of an instance. An incarnation is one run of a process that serves requests; each
 * start of the process creates a new incarnation with its own id. The phase never decreases, so the higher phase of two
 * reports takes precedence. All other components are taken from the report with the higher sequence.
 *
 * @param service the service that the instance belongs to
 * @param address the address that requests are sent to, as {@code ip:port}
 * @param zone the instance's failure domain
 * @param capacity the number of requests that it serves concurrently
 * @param phase {@link #READY}, {@link #DRAINING} or {@link #GONE}
 * @param sequence the sequence number of the heartbeat that reported this state
 * @param slowStartMillis the remaining duration of its slow start at the time of the report
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
    /** The instance accepts and serves requests. */
    public static final int READY = 0;
    /** The instance completes its requests in flight and receives no new ones. */
    public static final int DRAINING = 1;
    /** The instance has ended, or another one has replaced it at its address. */
    public static final int GONE = 2;

    InstanceIncarnation withStatus(int newPhase, boolean newUnresponsive, long newSlowStartMillis) {
        return new InstanceIncarnation(
                id, service, address, zone, capacity, newPhase, sequence, newSlowStartMillis, newUnresponsive);
    }
}
