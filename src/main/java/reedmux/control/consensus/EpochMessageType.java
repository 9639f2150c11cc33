package reedmux.control.consensus;

/**
 * The messages of a round of Paxos on the next core.
 *
 * <p>The ordinal is what goes over the wire: constants are appended, never reordered or removed.
 */
public enum EpochMessageType {
    /** The proposer asks for a promise to take part in no round with a lower ballot. */
    PREPARE,
    /** A member has promised. */
    PROMISE,
    /** The proposer asks to accept a value. */
    ACCEPT,
    /** A member, or who is to be one, has accepted. */
    ACCEPTED,
    /** The receiver has promised a higher ballot, which is in the message. */
    REJECTED
}
