package reedmux.control.consensus;

/**
 * The message types of a Paxos round on the next core.
 *
 * <p>Types are encoded by their ordinal on the wire: constants are appended, never reordered or removed.
 */
public enum EpochMessageType {
    /** The proposer requests a promise to take part in no round with a lower ballot. */
    PREPARE,
    /** A member promises. */
    PROMISE,
    /** The proposer requests that a value be accepted. */
    ACCEPT,
    /** A member of the current or the next core has accepted. */
    ACCEPTED,
    /** The receiver has promised a higher ballot, which the message contains. */
    REJECTED
}
