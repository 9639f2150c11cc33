package reedmux.control.store;

import java.util.ArrayDeque;
import java.util.Deque;
import reedmux.control.replication.ChangeBatch;

/** What a {@link ChangePublisher} knows of one connection over which changes are pulled. */
final class PullSession {
    /** A position that is not known, or not reached. */
    static final long UNKNOWN = -1;

    /** Whether a request of the follower is not answered yet. */
    boolean replyDue;
    /** Whether any request was answered. */
    boolean replied;
    /** Whether the last reply said that this store is not complete, so that the follower does not count it. */
    boolean repliedIncomplete;
    /** The change behind which the follower wants to continue; {@link #UNKNOWN} where it is of another incarnation. */
    long sinceChange = UNKNOWN;
    /** Whether the follower has applied everything up to {@link #sinceChange}, and not only received it. */
    boolean appliedSince;
    /** What is in the key ranges whose digests differ and was not sent yet; null where there is nothing of the kind. */
    ChangeBatch repairBatch;
    /** The change as of which the digests were compared; {@link #UNKNOWN} where none were. */
    long repairReadAtChange = UNKNOWN;
    /** The last change that was sent while this store was complete; {@link #UNKNOWN} for none. */
    long sentUpToChange = UNKNOWN;
    /** Confirmations of contact that the follower is owed, in the order of their changes. */
    final Deque<DueConfirmation> dueConfirmations = new ArrayDeque<>();
    /** For a proxy: the last change when contact with a quorum was confirmed; {@link #UNKNOWN} before it was. */
    long contactAtChange = UNKNOWN;
    /** For a proxy: whether it was told that it has caught up. */
    boolean notifiedCaughtUp;

    /**
     * A confirmation that may be sent once the follower was sent everything up to a change.
     *
     * @param contactId the id of the follower's request
     * @param afterChange the last change when the contact was confirmed here
     */
    record DueConfirmation(long contactId, long afterChange) {}
}
