package reedmux.control.consensus;

import java.util.List;
import reedmux.control.configuration.ConfigurationItem;

/**
 * The learner of a node. It applies the decisions of all proposers.
 *
 * <p>A commit is valid under any ballot. A drop is valid only under the highest ballot seen, because an attempt with a
 * higher ballot may be counting this node's vote.
 */
final class Learner {
    private final ConsensusContext context;
    private final BallotHistory ballots;
    private final Acceptor acceptor;
    private final InDoubtProposals inDoubt;
    private final QuorumContacts contacts;

    Learner(
            ConsensusContext context,
            BallotHistory ballots,
            Acceptor acceptor,
            InDoubtProposals inDoubt,
            QuorumContacts contacts) {
        this.context = context;
        this.ballots = ballots;
        this.acceptor = acceptor;
        this.inDoubt = inDoubt;
        this.contacts = contacts;
    }

    /** Commits a proposal, or drops it if {@code committed} is false. */
    void onDecision(String proposalId, Ballot ballot, boolean committed, List<ConfigurationItem> items) {
        if (!committed && ballots.isSuperseded(proposalId, ballot)) {
            return;
        }
        ballots.record(proposalId, ballot);
        acceptor.remove(proposalId);
        inDoubt.remove(proposalId);
        long lastChangeBefore = context.replica.lastChange();
        context.replica.resolvePending(proposalId, committed, items);
        if (!committed) {
            ballots.recordDropped(proposalId);
        }
        context.port.persistDecision(proposalId, ballot, committed, items);
        if (context.replica.lastChange() != lastChangeBefore) {
            context.port.notifyConfigurationChanged();
        }
        contacts.onProposalResolved(proposalId);
    }
}
