package reedmux.control.consensus;

/**
 * One message of a round of Paxos on the core that succeeds an epoch's.
 *
 * @param epoch the epoch whose successor is decided on
 * @param ballot the ballot of the round; in a {@link EpochMessageType#REJECTED} the one promised to another
 * @param acceptedBallot in a {@link EpochMessageType#PROMISE} the ballot under which a value was accepted before, else
 *     null
 * @param value what is to be accepted, or was accepted before; else null
 */
public record EpochMessage(
        EpochMessageType type, long epoch, Ballot ballot, Ballot acceptedBallot, CoreMembers value) {}
