package reedmux.control.consensus;

/**
 * The core membership state that a node must retain across a restart.
 *
 * @param core the core of the latest known epoch; null if none is known
 * @param promised the highest ballot promised under that epoch; null if there is none
 * @param accepted the ballot under which {@code value} was accepted; null if there is none
 * @param value the next core that was accepted and may be decided; null if there is none
 * @param removed whether the node was a member and was removed permanently, so that it doesn't request to join
 */
public record PersistentCoreState(
        CoreMembers core, Ballot promised, Ballot accepted, CoreMembers value, boolean removed) {}
