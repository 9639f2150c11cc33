package reedmux.control.consensus;

/** Hears once how the rounds of one proposal ended. */
interface RoundListener {

    /** The proposal is committed. */
    void onCommitted();

    /** The proposal was dropped and can't be committed any more; the same items may be proposed anew. */
    void onDropped();

    /** The rounds were given up; the proposal may still be committed by a recovery. */
    void onAbandoned();
}
