package reedmux.control.consensus;

/** Hears the votes of this node's own acceptor, which take no message. */
interface VoteListener {
    void onOwnVote(String proposalId, Ballot ballot, Vote vote);
}
