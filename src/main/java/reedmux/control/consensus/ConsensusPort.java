package reedmux.control.consensus;

import java.util.List;
import reedmux.control.configuration.ConfigurationItem;

/**
 * The messages and disk writes that a {@link ConsensusNode} requests from its environment. The methods are called on
 * the thread that calls the node; an implementation may call back into the node before it returns.
 */
public interface ConsensusPort {

    /** Asks all reachable peers to prepare a proposal; they reply through {@link ConsensusNode#onVote}. */
    void broadcastProposal(Proposal proposal);

    /** Sends a vote to the proposer of an attempt. */
    void sendVote(String to, String proposalId, Ballot ballot, Vote vote);

    /**
     * Asks all reachable peers to confirm contact; they reply through {@link ConsensusNode#onContactConfirmation}.
     *
     * @param settled whether a peer replies only after every proposal pending there on receipt of the request is
     *     decided
     */
    void broadcastContactRequest(long contactId, boolean settled);

    /** Confirms contact. The confirmation is sent after everything that is currently committed at this node. */
    void sendContactConfirmation(String to, long contactId);

    /** Broadcasts a decision to all reachable peers; {@code items} is empty if the proposal was dropped. */
    void broadcastDecision(String proposalId, Ballot ballot, boolean committed, List<ConfigurationItem> items);

    /** Persists a pending proposal; the result is passed to {@link ConsensusNode#onPersisted}. */
    void persistProposal(Proposal proposal);

    /**
     * Persists a decision. No caller waits for this write: the proposals on the disks of a quorum already guarantee
     * durability.
     */
    void persistDecision(String proposalId, Ballot ballot, boolean committed, List<ConfigurationItem> items);

    /** Reports that the committed configuration has changed. */
    void notifyConfigurationChanged();

    /** Writes a line to the log. */
    void log(String line);
}
