package reedmux.control.consensus;

/** Receives the outcome of the rounds of one proposal, exactly once. */
interface RoundListener {

    /** The proposal is committed. */
    void onCommitted();

    /** The proposal was dropped and can no longer be committed; the same items may be proposed again. */
    void onDropped();

    /** The rounds were abandoned; a recovery may still commit the proposal. */
    void onAbandoned();
}
