package reedmux.control.consensus;

/**
 * The member that proposes changes of the core, as far as one node knows: the first in the order of ips that it is
 * connected to. Only progress depends on it; two that take themselves for the leader are told apart by their ballots.
 *
 * @param ip empty where no member is known to be up
 * @param since since when, in microseconds of the clock of the node that says so
 */
public record CoreLeader(String ip, long epoch, long since) {}
