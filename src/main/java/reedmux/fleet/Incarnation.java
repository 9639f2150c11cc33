package reedmux.fleet;

/**
 * What is known of one life of a checker. Of two accounts of one life the later phase holds, and of the
 * rest the higher {@code seq}.
 *
 * @param coldMs how much longer it is slow from its start, as of when this is told
 * @param silent whether nobody has heard from it for a while
 */
public record Incarnation(
        String id,
        String plant,
        String address,
        String zone,
        int capacity,
        int phase,
        long seq,
        long coldMs,
        boolean silent) {
    public static final int READY = 0;
    public static final int DRAINING = 1;
    public static final int GONE = 2;

    Incarnation with(int nextPhase, boolean isSilent, long cold) {
        return new Incarnation(id, plant, address, zone, capacity, nextPhase, seq, cold, isSilent);
    }
}
