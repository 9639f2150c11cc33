package reedmux.control.consensus;

import java.util.List;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import reedmux.control.configuration.ConfigurationItem;
import reedmux.control.replication.Replica;

/**
 * One node's part in deciding on changes of the configuration. Each change is a proposal of its own: there is no
 * leader and no log, and any node may propose.
 *
 * <p>Phases, as in three-phase commit: a quorum <em>prepares</em> a proposal, each node checking that it is valid
 * together with what it has, and writing it to its disk; a quorum <em>precommits</em> it; then it is <em>committed</em>
 * and acknowledged. What each role does, and its invariants:
 *
 * <ul>
 *   <li>{@link Proposer}: the rounds of the proposals of this node.
 *   <li>{@link Acceptor}: prepares proposals and votes; {@link BallotHistory} has the ballots it must not go below.
 *   <li>{@link Learner}: carries out decisions.
 *   <li>{@link UndecidedProposalRecovery}: completes what nobody decides any more.
 *   <li>{@link PeerSynchronization}: when a node that lost its disk counts again, and which peers are in touch.
 *   <li>{@link QuorumContacts}: linearizable reads.
 *   <li>{@link OperatorRequests}: from an operator's request to the answer.
 *   <li>{@link InDoubtProposals}: what is left open when a core hands over to the next one.
 * </ul>
 *
 * <p>Safety: any two quorums share a node, and a node doesn't prepare two proposals that are invalid together, so two
 * such proposals are never both acknowledged. An acknowledged proposal is precommitted on the disks of a quorum, so it
 * outlives the loss of as many disks as the quorum allows for.
 *
 * <p>It differs from Paxos in that proposals have no slot to contend for: validity together with other proposals
 * decides whether two contend. It differs from three-phase commit in that a quorum suffices in place of all, which the
 * ballots make safe: a node that has taken part in one attempt takes part in none with a lower ballot.
 *
 * <p>Pure: no I/O, no clock; what is to be done goes to the {@link ConsensusPort}. Confined to one thread. Times are
 * in microseconds of a monotonic clock and never go back.
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
     * Begins with what was found on the disk.
     *
     * @param self the ip of this node
     * @param incarnation tells this process from the earlier ones of the node
     * @param replica what was on the disk: the committed items and the pending proposals
     * @param complete whether nothing of it was lost
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

    /** Whether nothing that was acknowledged with a vote of this node can be missing here. */
    public boolean isComplete() {
        return peers.isComplete();
    }

    /** Whether this node is complete and connected to a quorum whose state is merged here. */
    public boolean isCurrent() {
        return peers.isCurrent();
    }

    /** When the last contact that a quorum has confirmed began, in microseconds; negative where there was none. */
    public long lastQuorumContactAt() {
        return contacts.lastQuorumContactAt();
    }

    // ---- Changes of the core -----------------------------------------------------------------------

    /** Other nodes decide from now on; rounds and contacts that are under way begin again among them. */
    public void onQuorumChanged(Quorum quorum) {
        context.quorum = quorum;
        inDoubt.clear();
        peers.onQuorumChanged();
        contacts.restartAll();
        proposer.restartAll();
    }

    /** While the core is being changed nothing new is prepared here and nothing is decided. */
    public void setFenced(boolean fenced) {
        context.fenced = fenced;
    }

    /** The proposers that may have decided on a pending proposal with this node's vote. */
    public List<String> proposersVotedFor(String proposalId) {
        return acceptor.proposersVotedFor(proposalId);
    }

    /**
     * Takes over all that a fenced node has. A proposal that is not precommitted there gives way to what is pending
     * here: nobody has committed it with the vote of that node, nor can any more. A precommitted one stays in doubt
     * where it can't be pending here.
     *
     * @param proposers for each of the pending proposals, who may have decided on it
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

    /** Whether the states that these fenced nodes have handed over leave no proposal in doubt. */
    public boolean resolvesInDoubtProposals(Set<String> handedOver) {
        return inDoubt.areResolvedBy(handedOver);
    }

    // ---- Peers -------------------------------------------------------------------------------------

    /**
     * A peer has told all that is committed and pending there, up to now.
     *
     * @param peerComplete whether the peer counts itself
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
            // The simulation looks for this line.
            context.port.log("whole again, with " + context.replica.committed().size() + " items");
            context.port.notifyConfigurationChanged();
        }
        if (!wasCurrent && peers.isCurrent()) {
            recovery.recoverOverdueProposals(); // what was found pending on the disk waits for nobody
        }
    }

    private void merge(List<ConfigurationItem> items) {
        if (!context.replica.merge(items).isEmpty()) {
            context.port.notifyConfigurationChanged();
        }
    }

    /** A peer can't be reached any more: what is committed there from now on is not known here. */
    public void onPeerDisconnected(String peer) {
        peers.onPeerDisconnected(peer);
        if (!peers.isCurrent()) {
            contacts.failAll();
        }
    }

    // ---- Contact with a quorum ---------------------------------------------------------------------

    /**
     * Seeks contact with a quorum.
     *
     * @param settled whether everything acknowledged before is to be committed here by then
     * @param callback is told once whether a quorum has been in touch since now
     */
    public void contactQuorum(long time, boolean settled, Consumer<Boolean> callback) {
        context.now = time;
        contacts.begin(time, settled, callback);
    }

    /** A peer asks for contact; with {@code settled}, once what is pending here now is decided. */
    public void onContactRequest(long time, String peer, long contactId, boolean settled) {
        context.now = time;
        contacts.onRequest(peer, contactId, settled);
    }

    /** A peer has been in touch since it was asked, and all that was committed there is merged here. */
    public void onContactConfirmation(long time, String peer, long contactId) {
        context.now = time;
        contacts.onConfirmation(peer, contactId);
    }

    // ---- The operator ------------------------------------------------------------------------------

    /**
     * A request to change items.
     *
     * @param reply is told once an {@link OperationStatus} and a line, or JSON, for the operator
     */
    public void onChangeRequest(long time, String body, BiConsumer<Integer, String> reply) {
        context.now = time;
        requests.onChange(body, reply);
    }

    /**
     * A request for all committed items.
     *
     * @param reply is told once an {@link OperationStatus}, and the items as JSON or a line for the operator
     */
    public void onReadRequest(long time, BiConsumer<Integer, String> reply) {
        context.now = time;
        requests.onRead(reply);
    }

    // ---- Proposals ---------------------------------------------------------------------------------

    /** A peer asks for a vote on a proposal. */
    public void onProposal(long time, String peer, Proposal proposal) {
        context.now = time;
        acceptor.onProposal(peer, proposal);
    }

    /** The disk has written a pending proposal under that ballot, or has failed to. */
    public void onPersisted(long time, String proposalId, Ballot ballot, boolean written) {
        context.now = time;
        acceptor.onPersisted(proposalId, ballot, written);
    }

    /** A peer has voted. */
    public void onVote(long time, String peer, String proposalId, Ballot ballot, Vote vote) {
        context.now = time;
        proposer.onVote(peer, proposalId, ballot, vote);
    }

    /** A peer has decided: the items are committed, or the proposal is dropped. */
    public void onDecision(
            long time, String proposalId, Ballot ballot, boolean committed, List<ConfigurationItem> items) {
        context.now = time;
        learner.onDecision(proposalId, ballot, committed, items);
    }

    /** To be called several times a second: time-outs, repeated rounds and recoveries. */
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
