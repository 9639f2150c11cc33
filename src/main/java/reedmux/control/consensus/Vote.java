package reedmux.control.consensus;

/**
 * The vote of one acceptor on a proposal.
 *
 * <p>Votes are encoded by their ordinal on the wire: constants are appended, never reordered or removed.
 */
public enum Vote {
    /** The acceptor has persisted the proposal. */
    PREPARED,
    /** The proposal is not valid together with the items committed at the acceptor. */
    INVALID,
    /**
     * The proposal conflicts with another proposal that is pending at the acceptor, one of its revisions is too old to
     * be known there, the acceptor knows that the proposal was dropped, or the acceptor is fenced.
     */
    BUSY,
    /** The acceptor's disk has failed, or the acceptor has lost its disk and has not recovered yet. */
    UNAVAILABLE,
    /** The acceptor has taken part in an attempt with a higher ballot. */
    SUPERSEDED,
    /** One of the revisions was already committed with different content, so the proposal can never be committed. */
    CONFLICT,
    /** The acceptor has persisted the proposal and marked it as prepared by a quorum. */
    PRECOMMITTED;

    /** Returns whether the acceptor has persisted the proposal. */
    boolean isPrepared() {
        return this == PREPARED || this == PRECOMMITTED;
    }
}
