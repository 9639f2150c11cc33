package reedmux.control.consensus;

import java.util.List;
import reedmux.control.configuration.ConfigurationItem;

/**
 * What a {@link ConsensusNode} asks of the program around it: messages to the other nodes and writes to the disk.
 * Called on the thread that calls the node; an implementation may call back into the node before it returns.
 */
public interface ConsensusPort {

    /** Asks all reachable peers to prepare a proposal; they answer with {@link ConsensusNode#onVote}. */
    void broadcastProposal(Proposal proposal);

    /** Answers the proposer of an attempt. */
    void sendVote(String to, String proposalId, Ballot ballot, Vote vote);

    /**
     * Asks all reachable peers for contact; they answer with {@link ConsensusNode#onContactConfirmation}.
     *
     * @param settled whether a peer answers only once all that is pending there now is decided
     */
    void broadcastContactRequest(long contactId, boolean settled);

    /** Confirms contact, behind everything that is committed here now. */
    void sendContactConfirmation(String to, long contactId);

    /** Tells all reachable peers what was decided; {@code items} is empty where the proposal was dropped. */
    void broadcastDecision(String proposalId, Ballot ballot, boolean committed, List<ConfigurationItem> items);

    /** Writes a pending proposal to the disk; ends with {@link ConsensusNode#onPersisted}. */
    void persistProposal(Proposal proposal);

    /** Writes a decision to the disk. Nothing waits for it: the proposals on a quorum's disks stand for it. */
    void persistDecision(String proposalId, Ballot ballot, boolean committed, List<ConfigurationItem> items);

    /** The committed configuration has changed. */
    void notifyConfigurationChanged();

    /** Writes a line to the log. */
    void log(String line);
}
