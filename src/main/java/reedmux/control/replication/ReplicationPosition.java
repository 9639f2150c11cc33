package reedmux.control.replication;

/**
 * How far a follower has applied the changes of one source. Each run of the source's process numbers its changes anew,
 * so a position is valid for one incarnation only.
 *
 * @param incarnation the incarnation of the source, or 0 if there is none
 * @param change the last applied change of that incarnation, or 0 if there is none
 */
public record ReplicationPosition(long incarnation, long change) {
    /** The position of a follower that has applied no changes. */
    public static final ReplicationPosition NONE = new ReplicationPosition(0, 0);
}
