package reedmux.control.consensus;

/** Receives the votes of this node's own acceptor, which are not sent over the network. */
interface VoteListener {
    void onOwnVote(String proposalId, Ballot ballot, Vote vote);
}
