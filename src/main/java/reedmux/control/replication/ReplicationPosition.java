package reedmux.control.replication;

/**
 * How far a follower has applied the changes of one source. Change numbers belong to one run of the source's process,
 * so that a position says nothing about another incarnation.
 *
 * @param incarnation the incarnation of the source; 0 for none
 * @param change the last change of that incarnation that was applied; 0 for none
 */
public record ReplicationPosition(long incarnation, long change) {
    /** Nothing was applied yet. */
    public static final ReplicationPosition NONE = new ReplicationPosition(0, 0);
}
