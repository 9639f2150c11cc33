package reedmux.control.consensus;

import java.util.List;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import reedmux.control.configuration.ConfigurationItem;
import reedmux.control.replication.Replica;

/**
 * Decides on changes of the configuration together with the other nodes. Each change is a separate proposal: there is
 * no leader and no log, and any node may propose.
 *
 * <p>As in three-phase commit, a quorum <em>prepares</em> a proposal: each node checks that it is valid together with
 * its own state, and persists it. Then a quorum <em>precommits</em> the proposal, and finally it is <em>committed</em>
 * and acknowledged. The components and their responsibilities are:
 *
 * <ul>
 *   <li>{@link Proposer}: runs the rounds of this node's proposals.
 *   <li>{@link Acceptor}: prepares proposals and votes; {@link BallotHistory} tracks the minimum ballots for its
 *     votes.
 *   <li>{@link Learner}: applies decisions.
 *   <li>{@link UndecidedProposalRecovery}: recovers proposals that their proposer has not decided.
 *   <li>{@link PeerSynchronization}: tracks the synchronized peers, and when a node that lost its disk may vote
 *     again.
 *   <li>{@link QuorumContacts}: linearizable reads.
 *   <li>{@link OperatorRequests}: handles an operator's requests and replies to them.
 *   <li>{@link InDoubtProposals}: proposals that remain undecided when a core hands over to the next one.
 * </ul>
 *
 * <p>Safety: any two quorums share a node, and a node doesn't prepare two proposals that are invalid together, so two
 * such proposals are never both acknowledged. An acknowledged proposal is precommitted on the disks of a quorum, so it
 * survives the loss of as many disks as the quorum tolerates.
 *
 * <p>Unlike in Paxos, proposals don't compete for a slot: two proposals contend if they are not valid together. Unlike
 * in three-phase commit, a quorum is sufficient instead of all nodes. The ballots make this safe: a node that has taken
 * part in one attempt takes part in no attempt with a lower ballot.
 *
 * <p>Performs no I/O and reads no clock; actions are requested through the {@link ConsensusPort}. Confined to one
 * thread. Times are in microseconds of a monotonic clock and never decrease.
 */
public final class ConsensusNode {
    private final ConsensusContext context;
    private final PeerSynchronization peers;
    private final BallotHistory ballots;
    private final QuorumContacts contacts;
    private final InDoubtProposals inDoubt;
    private final Acceptor acceptor;
    private final Learner learner;
    private final Proposer proposer;
    private final UndecidedProposalRecovery recovery;
    private final OperatorRequests requests;

    /**
     * Creates a node from the state found on the disk.
     *
     * @param self the IP address of this node
     * @param incarnation distinguishes this process from earlier processes of the node
     * @param replica the state found on the disk: the committed items and the pending proposals
     * @param complete whether no part of that state was lost
     */
    public ConsensusNode(String self, long incarnation, Replica replica, boolean complete, ConsensusPort port) {
        context = new ConsensusContext(self, replica, port);
        peers = new PeerSynchronization(context, complete);
        ballots = new BallotHistory(context);
        contacts = new QuorumContacts(context, peers);
        inDoubt = new InDoubtProposals();
        acceptor = new Acceptor(context, peers, ballots, contacts, new OwnVotes());
        learner = new Learner(context, ballots, acceptor, inDoubt, contacts);
        proposer = new Proposer(context, peers, ballots, acceptor, learner);
        recovery = new UndecidedProposalRecovery(context, peers, ballots, acceptor, proposer);
        requests = new OperatorRequests(context, incarnation, peers, contacts, proposer);
        acceptor.onStart();
    }

    private final class OwnVotes implements VoteListener {
        @Override
        public void onOwnVote(String proposalId, Ballot ballot, Vote vote) {
            proposer.onVote(context.self, proposalId, ballot, vote);
        }
    }

    // ---- State -------------------------------------------------------------------------------------

    /** Returns whether nothing acknowledged with a vote of this node can be missing from its state. */
    public boolean isComplete() {
        return peers.isComplete();
    }

    /** Returns whether this node is complete and connected to a quorum whose state it has merged. */
    public boolean isCurrent() {
        return peers.isCurrent();
    }

    /**
     * Returns the start time of the latest contact that a quorum has confirmed, in microseconds; negative if there was
     * none.
     */
    public long lastQuorumContactAt() {
        return contacts.lastQuorumContactAt();
    }

    // ---- Changes of the core -----------------------------------------------------------------------

    /** Installs a new quorum and restarts the rounds and contacts that are in progress. */
    public void onQuorumChanged(Quorum quorum) {
        context.quorum = quorum;
        inDoubt.clear();
        peers.onQuorumChanged();
        contacts.restartAll();
        proposer.restartAll();
    }

    /**
     * Sets whether this node is fenced. While the core is being changed, this node prepares no new proposals and
     * decides nothing.
     */
    public void setFenced(boolean fenced) {
        context.fenced = fenced;
    }

    /** Returns the proposers that may have decided on a pending proposal with this node's vote. */
    public List<String> proposersVotedFor(String proposalId) {
        return acceptor.proposersVotedFor(proposalId);
    }

    /**
     * Takes over the state of a fenced node. A proposal that is not precommitted there is discarded if it conflicts
     * with a proposal pending at this node: no node has committed it with the fenced node's vote, nor can any node do
     * so later. A precommitted proposal stays in doubt if it can't be made pending at this node.
     *
     * @param proposers for each pending proposal, the nodes that may have decided on it
     */
    public void onHandover(
            long time, List<ConfigurationItem> items, List<Proposal> pending, List<List<String>> proposers) {
        context.now = time;
        merge(items);
        for (int i = 0; i < pending.size(); i++) {
            Proposal proposal = pending.get(i);
            String id = proposal.id();
            if (!proposal.precommitted()) {
                acceptor.adopt(proposal);
                continue;
            }
            acceptor.adoptPrecommitted(proposal);
            if (!context.replica.isPending(id) && !ballots.isDropped(id)) {
                inDoubt.add(id, proposers.get(i));
            }
        }
    }

    /** Returns whether no proposal is in doubt after these fenced nodes have handed over their states. */
    public boolean resolvesInDoubtProposals(Set<String> handedOver) {
        return inDoubt.areResolvedBy(handedOver);
    }

    // ---- Peers -------------------------------------------------------------------------------------

    /**
     * Handles the committed items and pending proposals of a peer, which are current as of this message.
     *
     * @param peerComplete whether the peer is complete and may vote
     */
    public void onPeerState(
            long time, String peer, boolean peerComplete, List<ConfigurationItem> items, List<Proposal> pending) {
        context.now = time;
        boolean wasCurrent = peers.isCurrent();
        merge(items);
        if (peerComplete) {
            peers.onCompletePeer(peer, pending);
        }
        if (peers.tryComplete()) {
            acceptor.adoptAll(peers.takePeerProposals());
            // The simulation matches this line.
            context.port.log("whole again, with " + context.replica.committed().size() + " items");
            context.port.notifyConfigurationChanged();
        }
        if (!wasCurrent && peers.isCurrent()) {
            recovery.recoverOverdueProposals(); // proposals found pending on the disk are overdue already
        }
    }

    private void merge(List<ConfigurationItem> items) {
        if (!context.replica.merge(items).isEmpty()) {
            context.port.notifyConfigurationChanged();
        }
    }

    /**
     * Handles the loss of the connection to a peer: this node does not learn of items that the peer commits from now
     * on.
     */
    public void onPeerDisconnected(String peer) {
        peers.onPeerDisconnected(peer);
        if (!peers.isCurrent()) {
            contacts.failAll();
        }
    }

    // ---- Contact with a quorum ---------------------------------------------------------------------

    /**
     * Requests contact with a quorum.
     *
     * @param settled whether everything acknowledged before this call must be committed at this node when the contact
     *     succeeds
     * @param callback receives once whether a quorum has confirmed contact since this call
     */
    public void contactQuorum(long time, boolean settled, Consumer<Boolean> callback) {
        context.now = time;
        contacts.begin(time, settled, callback);
    }

    /**
     * Handles a peer's contact request. If {@code settled} is set, the node confirms after the proposals that are
     * pending now are decided.
     */
    public void onContactRequest(long time, String peer, long contactId, boolean settled) {
        context.now = time;
        contacts.onRequest(peer, contactId, settled);
    }

    /**
     * Handles the confirmation of a contact by a peer; everything committed at that peer has been merged into this
     * node.
     */
    public void onContactConfirmation(long time, String peer, long contactId) {
        context.now = time;
        contacts.onConfirmation(peer, contactId);
    }

    // ---- The operator ------------------------------------------------------------------------------

    /**
     * Handles a request to change items.
     *
     * @param reply receives once an {@link OperationStatus}, and a message or JSON for the operator
     */
    public void onChangeRequest(long time, String body, BiConsumer<Integer, String> reply) {
        context.now = time;
        requests.onChange(body, reply);
    }

    /**
     * Handles a request for all committed items.
     *
     * @param reply receives once an {@link OperationStatus}, and the items as JSON or a message for the operator
     */
    public void onReadRequest(long time, BiConsumer<Integer, String> reply) {
        context.now = time;
        requests.onRead(reply);
    }

    // ---- Proposals ---------------------------------------------------------------------------------

    /** Handles a peer's request for a vote on a proposal. */
    public void onProposal(long time, String peer, Proposal proposal) {
        context.now = time;
        acceptor.onProposal(peer, proposal);
    }

    /** Handles the result of persisting a pending proposal under this ballot. */
    public void onPersisted(long time, String proposalId, Ballot ballot, boolean written) {
        context.now = time;
        acceptor.onPersisted(proposalId, ballot, written);
    }

    /** Handles the vote of a peer. */
    public void onVote(long time, String peer, String proposalId, Ballot ballot, Vote vote) {
        context.now = time;
        proposer.onVote(peer, proposalId, ballot, vote);
    }

    /** Handles the decision of a peer: the items are committed, or the proposal is dropped. */
    public void onDecision(
            long time, String proposalId, Ballot ballot, boolean committed, List<ConfigurationItem> items) {
        context.now = time;
        learner.onDecision(proposalId, ballot, committed, items);
    }

    /** Processes timeouts, repeated rounds and recoveries. Must be called several times a second. */
    public void onTick(long time) {
        context.now = time;
        proposer.onTick();
        contacts.onTick();
        ballots.expireOldEntries();
        if (peers.isCurrent()) {
            recovery.recoverOverdueProposals();
        }
    }
}
