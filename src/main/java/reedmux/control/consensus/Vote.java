package reedmux.control.consensus;

/**
 * What one acceptor answers to a proposal.
 *
 * <p>The ordinal is what goes over the wire: constants are appended, never reordered or removed.
 */
public enum Vote {
    /** The proposal is on the acceptor's disk. */
    PREPARED,
    /** The proposal is not valid together with what is committed at the acceptor. */
    INVALID,
    /** The proposal is not valid together with another proposal that is pending at the acceptor. */
    BUSY,
    /** The acceptor's disk fails, or the acceptor has lost its disk and does not count itself yet. */
    UNAVAILABLE,
    /** The acceptor has taken part in an attempt with a higher ballot. */
    SUPERSEDED,
    /** One of the revisions was committed with another content, so the proposal can never be committed. */
    CONFLICT,
    /** The proposal is on the acceptor's disk, marked as prepared by a quorum. */
    PRECOMMITTED;

    /** Whether the acceptor has the proposal on its disk. */
    boolean isPrepared() {
        return this == PREPARED || this == PRECOMMITTED;
    }
}
