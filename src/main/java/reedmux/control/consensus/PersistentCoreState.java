package reedmux.control.consensus;

/**
 * What a node has to remember of the core over a restart.
 *
 * @param core the core of the latest epoch known; null where none is
 * @param promised the highest ballot promised under that epoch; null for none
 * @param accepted the ballot under which {@code value} was accepted; null for none
 * @param value the next core that was accepted and may be decided on; null for none
 * @param removed whether the node was a member once and was taken out by order, so that it doesn't ask to join
 */
public record PersistentCoreState(
        CoreMembers core, Ballot promised, Ballot accepted, CoreMembers value, boolean removed) {}
