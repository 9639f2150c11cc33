package reedmux.control.consensus;

/**
 * The member that proposes changes of the core, as known to one node: the first member in the order of IP addresses to
 * which that node is connected. Only progress depends on it; if two nodes consider themselves the leader, their ballots
 * determine which one succeeds.
 *
 * @param ip the IP address; empty if no member is known to be up
 * @param epoch the epoch in which the member is the leader
 * @param since the time since when it is the leader, in microseconds of the clock of the reporting node
 */
public record CoreLeader(String ip, long epoch, long since) {}
