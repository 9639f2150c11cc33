package reedmux.control.store;

import java.util.ArrayDeque;
import java.util.Deque;
import reedmux.control.replication.ChangeBatch;

/** The state that a {@link ChangePublisher} keeps for one connection over which a follower pulls changes. */
final class PullSession {
    /** Marks a position that is unknown or has not been reached. */
    static final long UNKNOWN = -1;

    /** Whether the follower has an unanswered request. */
    boolean replyDue;
    /** Whether at least one request has been answered. */
    boolean replied;
    /** Whether the last reply marked this store as incomplete, so that the follower does not count it. */
    boolean repliedIncomplete;
    /** The change after which the follower continues; {@link #UNKNOWN} if it belongs to another incarnation. */
    long sinceChange = UNKNOWN;
    /** Whether the follower has applied, rather than only received, everything up to {@link #sinceChange}. */
    boolean appliedSince;
    /** The unsent items and watermarks in the key ranges whose digests differ; null if there are none. */
    ChangeBatch repairBatch;
    /** The last change when the digests were compared; {@link #UNKNOWN} if no comparison has taken place. */
    long repairReadAtChange = UNKNOWN;
    /** The change up to which everything has been sent by this store while complete; {@link #UNKNOWN} if none. */
    long sentUpToChange = UNKNOWN;
    /** Contact confirmations still to be sent to the follower, ordered by the change that must precede them. */
    final Deque<DueConfirmation> dueConfirmations = new ArrayDeque<>();
    /** For a proxy: the last change when contact with a quorum was confirmed; {@link #UNKNOWN} until then. */
    long contactAtChange = UNKNOWN;
    /** For a proxy: whether the caught-up notice has been sent. */
    boolean notifiedCaughtUp;

    /**
     * A contact confirmation that may be sent once the follower has been sent everything up to a change.
     *
     * @param contactId the id of the follower's contact request
     * @param afterChange the last change when this store confirmed the contact
     */
    record DueConfirmation(long contactId, long afterChange) {}
}
