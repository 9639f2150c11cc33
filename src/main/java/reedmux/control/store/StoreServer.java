package reedmux.control.store;

import java.io.IOException;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import reedmux.common.eventloop.Reactor;
import reedmux.common.eventloop.TcpListener;
import reedmux.common.net.SocketAddresses;
import reedmux.common.settings.ProcessSettings;
import reedmux.common.settings.ProcessSettingsException;
import reedmux.common.settings.Program;
import reedmux.common.settings.SettingKeys;
import reedmux.control.configuration.ConfigurationItem;
import reedmux.control.consensus.Ballot;
import reedmux.control.consensus.ConsensusNode;
import reedmux.control.consensus.ConsensusPort;
import reedmux.control.consensus.CoreMembership;
import reedmux.control.consensus.CoreMembershipPort;
import reedmux.control.consensus.EpochMessage;
import reedmux.control.consensus.PersistentCoreState;
import reedmux.control.consensus.Proposal;
import reedmux.control.consensus.Vote;
import reedmux.control.replication.Replica;
import reedmux.control.rpc.MessageCodec;
import reedmux.control.rpc.Messages;
import reedmux.control.rpc.Messages.CoreMembershipNotice;
import reedmux.control.rpc.Messages.CoreRemovalRequest;
import reedmux.control.rpc.Messages.DecisionNotice;
import reedmux.control.rpc.Messages.Hello;
import reedmux.control.rpc.Messages.ProposalRecord;
import reedmux.control.rpc.Messages.ProposeRequest;
import reedmux.control.rpc.Messages.QuorumContactRequest;
import reedmux.control.rpc.Messages.VoteResponse;
import reedmux.control.rpc.RpcConnection;

/**
 * The store program. It persists the configuration on this machine's disk, agrees with the other stores on operators'
 * changes, and publishes committed changes. It implements no protocol itself, but connects the components that do:
 *
 * <ul>
 *   <li>{@link ConsensusNode} decides on changes, and {@link CoreMembership} on the members that take part in this;
 *   <li>{@link ReplicaStorage} makes the {@link Replica} durable;
 *   <li>{@link ChangePublisher} sends changes to followers, and {@link PeerSynchronizer} pulls them from other stores;
 *   <li>{@link PeerConnections} holds the connections to other stores;
 *   <li>{@link MessageDispatcher} dispatches incoming messages to these components.
 * </ul>
 *
 * <p>All components run on the reactor thread, except that the storage also has a thread for disk I/O.
 */
public final class StoreServer
        implements Program, RpcConnection.RpcConnectionHandler, ConsensusPort, CoreMembershipPort {
    /** The program name by which a store identifies itself in its {@link Hello} message. */
    static final String PROGRAM_NAME = "store";

    private static final long TICK_INTERVAL_MICROS = 125_000;

    private final ProcessSettings settings;
    private final Reactor reactor;
    private final CoreAddresses coreAddresses;
    private final MessageCodec codec = new MessageCodec();
    private final Hello self;
    private final Replica replica = new Replica();
    private final ReplicaStorage storage;
    private final ConsensusNode consensus;
    private final CoreMembership membership;
    private final PeerConnections peers;
    private final ChangePublisher publisher;
    private final PeerSynchronizer synchronizer;
    private final MessageDispatcher dispatcher;
    /** All established connections to other stores, registries and proxies. */
    private final Set<RpcConnection> connections = new LinkedHashSet<>();
    /** Epoch of the core whose quorums the consensus uses; negative until the first one is known. */
    private long epoch = -1;
    /** Whether this store is ready to join the core, as last announced to the peers. */
    private boolean ready;

    private final QuorumMonitor quorumMonitor;

    /**
     * Starts a store. When the constructor returns, the store has recovered the readable data on its disk and listens.
     *
     * @throws ProcessSettingsException if the settings specify no data directory
     * @throws IOException if the store's port cannot be bound
     */
    public StoreServer(ProcessSettings settings, Reactor reactor) throws ProcessSettingsException, IOException {
        this.reactor = reactor;
        quorumMonitor = new QuorumMonitor(reactor);
        if (settings.dataDir() == null) {
            throw settings.invalid(SettingKeys.DATA_DIRECTORY, "is missing: a store requires a data directory");
        }
        this.settings = settings;
        coreAddresses = new CoreAddresses(settings, true);
        self = new Hello(
                Messages.FORMAT_VERSION,
                PROGRAM_NAME,
                settings.node(),
                settings.ip(),
                settings.zone(),
                reactor.newIncarnationId() ^ (long) settings.node().hashCode() << Integer.SIZE,
                coreAddresses.machines());
        storage = new ReplicaStorage(settings.dataDir(), reactor, codec, replica);
        boolean complete = storage.load(settings.coldStart(), coreAddresses.initialMembers());
        if (!complete) {
            reactor.info("the disk is empty, and this is not the first start: recovering from the other stores");
        }
        consensus = new ConsensusNode(settings.ip(), self.incarnation(), replica, complete, this);
        int minimumReplicas = settings.wholeNumber(SettingKeys.TOLERATED_MACHINES, 0) + 1;
        membership = new CoreMembership(settings.ip(), minimumReplicas, storage.core(), complete, this);
        peers = new PeerConnections(reactor, codec, self, this);
        publisher = new ChangePublisher(reactor, codec, self.incarnation(), replica, consensus);
        synchronizer = new PeerSynchronizer(reactor, replica, storage, consensus, membership);
        dispatcher = new MessageDispatcher(reactor, peers, publisher, synchronizer, consensus, membership, this);
        coreAddresses.restore(membership.core());
        peers.dial(coreAddresses.peerAddresses(settings.storePort()));
        notifyCoreChanged();
        new TcpListener(
                reactor,
                SocketAddresses.parse(settings.ip() + ':' + settings.storePort()),
                connection -> RpcConnection.accept(reactor, codec, self, connection, this));
        reactor.scheduleEvery(TICK_INTERVAL_MICROS, this::onTick);
    }

    @Override
    public void beginShutdown() {
        reactor.stop();
    }

    /** Dials new seeds. No other setting can change while the store runs. */
    @Override
    public void reload(ProcessSettings newSettings) {
        dialNewMachines(new CoreAddresses(newSettings, false).machines());
    }

    private void dialNewMachines(List<String> machines) {
        peers.dial(coreAddresses.addDiscovered(machines, settings.storePort()));
    }

    private void onTick() {
        consensus.onTick(reactor.now());
        publisher.startProxyContact();
        membership.onTick(reactor.now());
        quorumMonitor.onTick(consensus.isCurrent(), membership.core(), membership.connectedIps());
        boolean readyNow = membership.isCandidate() && consensus.isCurrent();
        if (readyNow != ready) {
            ready = readyNow;
            announceCoreToAll();
        }
    }

    // ---- Connections -------------------------------------------------------------------------------

    @Override
    public void onConnected(RpcConnection connection) {
        dialNewMachines(connection.peer().coreIps());
        connections.add(connection);
        announceCore(connection);
        if (peers.isOutgoing(connection)) {
            membership.onPeerConnected(
                    reactor.now(), connection.peer().ip(), connection.peer().node());
            synchronizer.requestChanges(connection);
        }
    }

    @Override
    public void onDisconnected(RpcConnection connection) {
        publisher.onDisconnected(connection);
        connections.remove(connection);
        if (connection.peer() == null) {
            return; // it was closed before the peer's Hello was received
        }
        peers.onDisconnected(connection);
        String ip = connection.peer().ip();
        boolean isStore = connection.peer().program().equals(PROGRAM_NAME);
        if (isStore && peers.outgoingConnectionTo(ip) == null) {
            consensus.onPeerDisconnected(ip);
            membership.onPeerDisconnected(reactor.now(), ip);
        }
    }

    @Override
    public void onMessage(RpcConnection connection, Object message) {
        dispatcher.dispatch(connection, message);
    }

    /** Returns the current status of this store. */
    StoreStatus status() {
        return new StoreStatus(
                settings,
                self.incarnation(),
                consensus,
                membership,
                replica,
                peers.lastReceivedMicros(),
                quorumMonitor.quorumConnectedAt(),
                reactor.now());
    }

    // ---- CoreMembershipPort ------------------------------------------------------------------------

    @Override
    public void sendEpochMessage(String to, EpochMessage message) {
        RpcConnection connection = peers.connectionTo(to);
        if (connection != null) {
            connection.sendMessage(message);
        }
    }

    @Override
    public void sendRemovalOrder(String to) {
        RpcConnection connection = peers.outgoingConnectionTo(to);
        if (connection != null) {
            connection.sendMessage(CoreRemovalRequest.removalOrder(to));
        }
    }

    @Override
    public void announceCore(String to) {
        RpcConnection connection = peers.connectionTo(to);
        if (connection != null) {
            announceCore(connection);
        }
    }

    private void announceCore(RpcConnection connection) {
        connection.sendMessage(new CoreMembershipNotice(membership.core(), ready, membership.isFenced()));
    }

    @Override
    public void requestHandover(String from, long handoverEpoch) {
        RpcConnection connection = peers.outgoingConnectionTo(from);
        if (connection != null) {
            synchronizer.requestStateTransfer(connection, handoverEpoch);
        }
    }

    @Override
    public boolean resolvesInDoubtProposals(Set<String> handedOver) {
        return consensus.resolvesInDoubtProposals(handedOver);
    }

    @Override
    public void persistCore(PersistentCoreState state, Consumer<Boolean> onOutcome) {
        storage.persistCore(state, onOutcome);
    }

    @Override
    public void notifyCoreChanged() {
        consensus.setFenced(membership.isFenced());
        if (membership.epoch() != epoch) {
            epoch = membership.epoch();
            if (coreAddresses.adopt(membership.core())) {
                peers.closeRemoved(coreAddresses);
                peers.dialMissing(coreAddresses.peerAddresses(settings.storePort()));
            }
            consensus.onQuorumChanged(membership.quorum());
        }
        announceCoreToAll();
    }

    private void announceCoreToAll() {
        for (RpcConnection connection : List.copyOf(connections)) {
            announceCore(connection);
        }
    }

    @Override
    public void reportInvariantViolation(String violation) {
        reactor.invariants().check(false, violation, () -> "epoch " + epoch);
    }

    /** Dials a store that is a candidate for membership, even if it is a former member. */
    void onCandidate(String ip) {
        if (membership.core() != null && !membership.core().contains(ip)) {
            peers.dialMissing(coreAddresses.readmit(ip, settings.storePort()));
        }
    }

    // ---- ConsensusPort -----------------------------------------------------------------------------

    @Override
    public void broadcastProposal(Proposal proposal) {
        peers.broadcast(new ProposeRequest(epoch, proposal));
    }

    @Override
    public void sendVote(String to, String proposalId, Ballot ballot, Vote vote) {
        RpcConnection connection = peers.proposalConnection(to);
        if (connection != null) {
            connection.sendMessage(new VoteResponse(proposalId, ballot, vote));
        }
    }

    @Override
    public void broadcastContactRequest(long contactId, boolean afterPendingDecisions) {
        peers.broadcast(new QuorumContactRequest(epoch, contactId, afterPendingDecisions));
    }

    @Override
    public void sendContactConfirmation(String to, long contactId) {
        RpcConnection connection = peers.contactConnection(to);
        if (connection != null) {
            publisher.confirmContact(connection, contactId);
        }
    }

    @Override
    public void broadcastDecision(String proposalId, Ballot ballot, boolean committed, List<ConfigurationItem> items) {
        peers.broadcast(new DecisionNotice(proposalId, ballot, committed, items));
    }

    @Override
    public void persistProposal(Proposal proposal) {
        storage.persistPending(
                new ProposalRecord(proposal),
                durable -> consensus.onPersisted(reactor.now(), proposal.id(), proposal.ballot(), durable));
    }

    @Override
    public void persistDecision(String proposalId, Ballot ballot, boolean committed, List<ConfigurationItem> items) {
        storage.persistDecision(new DecisionNotice(proposalId, ballot, committed, items));
    }

    @Override
    public void notifyConfigurationChanged() {
        publisher.onConfigurationChanged();
    }

    @Override
    public void log(String line) {
        reactor.info(line);
    }
}
