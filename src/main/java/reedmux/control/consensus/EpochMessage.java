package reedmux.control.consensus;

/**
 * A message of a Paxos round on the core that succeeds an epoch.
 *
 * @param epoch the epoch whose successor is being decided
 * @param ballot the ballot of the round; in a {@link EpochMessageType#REJECTED} message, the ballot promised to another
 *     proposer
 * @param acceptedBallot in a {@link EpochMessageType#PROMISE} message, the ballot under which a value was accepted
 *     earlier; otherwise null
 * @param value the value to accept or the value accepted earlier; otherwise null
 */
public record EpochMessage(
        EpochMessageType type, long epoch, Ballot ballot, Ballot acceptedBallot, CoreMembers value) {}
