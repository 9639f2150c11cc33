package reedmux.control.instances;

/**
 * What is known of one life of a checker. Of two accounts of one life the later phase holds, and of the
 * rest the higher {@code sequence}.
 *
 * @param coldMs how much longer it is slow from its start, as of when this is told
 * @param silent whether nobody has heard from it for a while
 */
public record CheckerIncarnation(
        String id,
        String service,
        String address,
        String zone,
        int capacity,
        int phase,
        long sequence,
        long slowStartMillis,
        boolean unresponsive) {
    public static final int READY = 0;
    public static final int DRAINING = 1;
    public static final int GONE = 2;

    CheckerIncarnation withPhase(int nextPhase, boolean isSilent, long cold) {
        return new CheckerIncarnation(id, service, address, zone, capacity, nextPhase, sequence, cold, isSilent);
    }
}
