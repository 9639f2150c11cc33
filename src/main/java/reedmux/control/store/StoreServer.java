package reedmux.control.store;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import reedmux.common.eventloop.Reactor;
import reedmux.common.eventloop.TcpListener;
import reedmux.common.net.SocketAddresses;
import reedmux.common.settings.ProcessSettings;
import reedmux.common.settings.ProcessSettingsException;
import reedmux.common.settings.Program;
import reedmux.control.configuration.ConfigurationItem;
import reedmux.control.consensus.Ballot;
import reedmux.control.consensus.ConsensusNode;
import reedmux.control.consensus.CoreMembership;
import reedmux.control.consensus.Proposal;
import reedmux.control.replication.DigestTree;
import reedmux.control.replication.Replica;
import reedmux.control.replication.SnapshotAssembler;
import reedmux.control.replication.Watermark;
import reedmux.control.rpc.MessageCodec;
import reedmux.control.rpc.Messages;
import reedmux.control.rpc.Messages.CaughtUpNotice;
import reedmux.control.rpc.Messages.ChangesRequest;
import reedmux.control.rpc.Messages.ConfigurationChangeRequest;
import reedmux.control.rpc.Messages.ConfigurationReadRequest;
import reedmux.control.rpc.Messages.ConfigurationUpdate;
import reedmux.control.rpc.Messages.CoreMembershipNotice;
import reedmux.control.rpc.Messages.CoreRemovalRequest;
import reedmux.control.rpc.Messages.DecisionNotice;
import reedmux.control.rpc.Messages.DigestMismatch;
import reedmux.control.rpc.Messages.DigestRequest;
import reedmux.control.rpc.Messages.Hello;
import reedmux.control.rpc.Messages.OperatorResponse;
import reedmux.control.rpc.Messages.ProposalRecord;
import reedmux.control.rpc.Messages.ProposeRequest;
import reedmux.control.rpc.Messages.QuorumContactRequest;
import reedmux.control.rpc.Messages.QuorumContactResponse;
import reedmux.control.rpc.Messages.SnapshotChunk;
import reedmux.control.rpc.Messages.SnapshotChunkRequest;
import reedmux.control.rpc.Messages.StateTransferRequest;
import reedmux.control.rpc.Messages.StateTransferResponse;
import reedmux.control.rpc.Messages.VoteResponse;
import reedmux.control.rpc.Messages.WatermarkUpdate;
import reedmux.control.rpc.RpcConnection;
import reedmux.control.rpc.RpcDialer;

/**
 * Keeps the items of the configuration on this machine's disk and tells them to whoever pulls. What is
 * decided on the operator's calls is {@link ConsensusNode}'s; here are its links and its disk.
 */
public final class StoreServer
        implements Program,
                RpcConnection.RpcConnectionHandler,
                ConsensusNode.ConsensusPort,
                CoreMembership.CoreMembershipPort {
    private static final String PROGRAM_NAME = "store";
    private static final long TICK_INTERVAL_MICROS = 125_000;
    private static final long FORWARD_TIMEOUT_MICROS = 2_000_000;
    /** About how many bytes a frame of items has, and how many items one of a repair. */
    private static final int CHUNK_BYTES = 64 * 1024;

    private static final int REPAIR_CHUNK_ITEMS = 256;
    /** Frames that are kept for all that ask. */
    private static final int MAX_CACHED_BATCHES = 32;

    private static final long SHOW_TIMEOUT_MICROS = 500_000;
    private static final int STATUS_OK = 200;

    private final ProcessSettings boot;
    private final Reactor reactor;
    private final CoreAddresses core;
    private final int replicaCount;
    private final MessageCodec codec = new MessageCodec();
    private final Hello self;
    private final Replica replica = new Replica();
    private final ReplicaStorage storage;
    private final ConsensusNode agreement;
    private final CoreMembership membership;
    /** Under which epoch the agreement counts. */
    private long epoch = -1;

    private final Set<RpcConnection> connections = new LinkedHashSet<>();
    /** Orders that were handed on to the one on duty, by our ids. */
    private final Map<Long, BiConsumer<Integer, String>> forwardedRequests = new HashMap<>();

    private long lastRequestId;
    private boolean ready;
    /** When links with a quorum stood last. */
    private long quorumConnectedAt = -1;

    private final Map<InetSocketAddress, RpcDialer> peerDialers = new HashMap<>();
    /** How far we have come with each of the others. */
    private final Map<String, long[]> positions = new HashMap<>();

    private final Set<RpcConnection> pulling = new LinkedHashSet<>();
    /** Over which link each of the others has asked last. */
    private final Map<String, RpcConnection> proposalConnections = new HashMap<>();
    /** Over which link each of the others has asked for contact last. */
    private final Map<String, RpcConnection> contactConnections = new HashMap<>();
    /** Proxies that are to hear of a contact which begins after their first pull. */
    private final Set<RpcConnection> proxiesAwaitingContact = new LinkedHashSet<>();

    private boolean contactInProgress;
    private final SnapshotAssembler snapshot = new SnapshotAssembler();
    /** What was told since some changes, as of which change, and whether we counted ourselves then. */
    private final Map<Long, EncodedBatch> encodedBatches = new HashMap<>();

    private long encodedAtChange;
    private boolean encodedAsComplete;

    /** Who pulls: from where on, how far it was told, and what it is to hear behind that. */
    private static final class PullSession {
        private boolean replyDue;
        private boolean replied;
        private long sinceChange = -1;
        private boolean mergedSoFar;
        /** What is in the ranges of keys whose digests differ, and is not told yet. */
        private Replica.ChangeBatch repairBatch;
        /** As of which change these ranges were read; below nought where none were. */
        private long repairReadAtChange = -1;
        /** The last change that it has been told by us while we counted ourselves. */
        private long sentUpToChange = -1;
        /** Contacts that it asked for, and as of which change they are answered. */
        private final Deque<long[]> dueConfirmations = new ArrayDeque<>();
        /** For a proxy: as of which change a quorum was in touch; below nought before it was. */
        private long contactAtChange = -1;

        private boolean notifiedCurrent;
    }

    public StoreServer(ProcessSettings boot, Reactor reactor) throws ProcessSettingsException, IOException {
        this.reactor = reactor;
        if (boot.dataDir() == null) {
            throw new ProcessSettingsException(boot.file() + ": dataDir is missing: a store needs a disk");
        }
        this.boot = boot;
        core = new CoreAddresses(boot, true);
        self = new Hello(
                Messages.FORMAT_VERSION,
                PROGRAM_NAME,
                boot.node(),
                boot.ip(),
                boot.zone(),
                reactor.newIncarnationId() ^ (long) boot.node().hashCode() << 32,
                core.machines());
        replicaCount = (int) boot.number("tolerance.machines", 0) + 1;
        storage = new ReplicaStorage(boot.dataDir(), reactor, codec, replica);
        boolean whole = storage.load(boot.coldStart(), core.initialMembers());
        if (!whole) {
            reactor.info("the disk is empty, and this is not the first start: asking the others");
        }
        agreement = new ConsensusNode(boot.ip(), self.incarnation(), replica, whole, this);
        membership = new CoreMembership(boot.ip(), replicaCount, storage.core(), whole, this);
        core.restore(membership.core());
        core.others(boot.storePort()).forEach(this::dial);
        coreChanged();
        new TcpListener(
                reactor,
                SocketAddresses.parse(boot.ip() + ':' + boot.storePort()),
                wire -> RpcConnection.accept(reactor, codec, self, wire, this));
        reactor.scheduleEvery(TICK_INTERVAL_MICROS, this::onTick);
    }

    @Override
    public void beginShutdown() {
        reactor.stop();
    }

    @Override
    public void reload(ProcessSettings next) {
        core.learn(new CoreAddresses(next, false).machines(), boot.storePort()).forEach(this::dial);
    }

    private void dial(InetSocketAddress other) {
        peerDialers.put(other, new RpcDialer(reactor, codec, self, other, this));
    }

    private void onTick() {
        agreement.onTick(reactor.now());
        if (agreement.isCurrent()) {
            quorumConnectedAt = reactor.now();
        }
        startProxyContact();
        membership.onTick(reactor.now());
        boolean now = membership.isCandidate() && agreement.isCurrent();
        if (now != ready) {
            ready = now;
            connections.forEach(this::tellCore);
        }
    }

    // ---- Links -------------------------------------------------------------------------------------
    @Override
    public void onConnected(RpcConnection link) {
        core.learn(link.peer().coreIps(), boot.storePort()).forEach(this::dial);
        connections.add(link);
        tellCore(link);
        if (isOutgoing(link)) {
            membership.onPeerConnected(
                    reactor.now(), link.peer().ip(), link.peer().node());
            requestChanges(link);
        }
    }

    /** Asks for what we lack: from where we are, or after digests were compared where nobody knows that. */
    private void requestChanges(RpcConnection link) {
        String ip = link.peer().ip();
        long life = link.peer().incarnation();
        long[] from = positions.getOrDefault(ip, new long[] {0, 0});
        long arrived = snapshot.resumeFrom(ip, life);
        if (arrived >= 0) {
            link.sendMessage(new SnapshotChunkRequest(life, arrived));
        } else if (from[0] == life || replica.lastChange() == 0) {
            link.sendMessage(new ChangesRequest(from[0], from[1]));
        } else {
            link.sendMessage(new DigestRequest(List.of(), replica.digests().digestsOf(List.of())));
        }
    }

    private boolean isOutgoing(RpcConnection link) {
        return peerDialers.values().stream().anyMatch(dialer -> dialer.connection() == link);
    }

    @Override
    public void onDisconnected(RpcConnection link) {
        pulling.remove(link);
        proxiesAwaitingContact.remove(link);
        connections.remove(link);
        if (link.peer() == null) {
            return; // it ended before it said who it is
        }
        proposalConnections.remove(link.peer().ip(), link);
        contactConnections.remove(link.peer().ip(), link);
        boolean another = peerDialers.values().stream()
                .anyMatch(dialer -> dialer.connection() != null
                        && dialer.connection().peer().ip().equals(link.peer().ip()));
        if (link.peer().program().equals(PROGRAM_NAME) && !another) {
            agreement.onPeerDisconnected(link.peer().ip());
            membership.onPeerDisconnected(reactor.now(), link.peer().ip());
        }
    }

    @Override
    public void onMessage(RpcConnection link, Object message) {
        long now = reactor.now();
        if (message instanceof ChangesRequest pull) {
            onPull(link, pull.incarnation() == self.incarnation() ? pull.sinceChange() : -1, true);
        } else if (message instanceof SnapshotChunkRequest resume) {
            onPull(link, resume.incarnation() == self.incarnation() ? resume.sinceChange() : -1, false);
        } else if (message instanceof SnapshotChunk piece) {
            snapshot.addChunk(link.peer().ip(), piece.incarnation(), piece.upToChange(), piece.items());
            link.sendMessage(new SnapshotChunkRequest(piece.incarnation(), piece.upToChange()));
        } else if (message instanceof DigestRequest compare) {
            onCompareDigests(link, compare);
        } else if (message instanceof DigestMismatch differ) {
            if (differ.ranges().stream().allMatch(range -> range >= 0 && range < DigestTree.RANGES_PER_LEVEL)) {
                link.sendMessage(
                        new DigestRequest(differ.ranges(), replica.digests().digestsOf(differ.ranges())));
            } else {
                link.close();
            }
        } else if (message instanceof ConfigurationUpdate items) {
            onConfigurationUpdate(link, items);
        } else if (message instanceof ProposeRequest ask) {
            proposalConnections.put(link.peer().ip(), link);
            if (membership.acceptsEpoch(link.peer().ip(), ask.epoch())) {
                agreement.onProposal(now, link.peer().ip(), ask.proposal());
            }
        } else if (message instanceof VoteResponse voted) {
            agreement.onVote(now, link.peer().ip(), voted.callId(), voted.ballot(), voted.vote());
        } else if (message instanceof DecisionNotice decided) {
            agreement.onDecision(now, decided.callId(), decided.ballot(), decided.committed(), decided.items());
        } else if (message instanceof ConfigurationChangeRequest adjust) {
            agreement.onChangeRequest(
                    now,
                    adjust.body(),
                    (status, line) -> link.sendMessage(new OperatorResponse(adjust.id(), status, line)));
        } else if (message instanceof ConfigurationReadRequest read) {
            agreement.onReadRequest(
                    now, (status, text) -> link.sendMessage(new OperatorResponse(read.id(), status, text)));
        } else if (message instanceof WatermarkUpdate told) {
            List<Watermark> news = replica.mergeWatermarks(told.watermarks());
            if (!news.isEmpty()) {
                storage.persistWatermarks(news);
            }
        } else if (message instanceof QuorumContactRequest confirm) {
            contactConnections.put(link.peer().ip(), link);
            if (!membership.acceptsEpoch(link.peer().ip(), confirm.epoch()) || membership.isFenced()) {
                return; // a core after that one may be deciding already
            }
            agreement.onContactRequest(now, link.peer().ip(), confirm.id(), confirm.afterPendingDecisions());
        } else if (message instanceof QuorumContactResponse confirmed) {
            agreement.onContactConfirmation(now, link.peer().ip(), confirmed.id());
        } else {
            onMembershipMessage(link, message);
        }
    }

    private static PullSession pullSessionOf(RpcConnection link) {
        PullSession puller = link.attachment();
        if (puller == null) {
            puller = new PullSession();
            link.attachment(puller);
        }
        return puller;
    }

    private void onCompareDigests(RpcConnection link, DigestRequest told) {
        List<Integer> others = replica.digests().differingRanges(told.ranges(), told.digests());
        if (others == null) {
            reactor.error("digests of no sense from " + link.peer().node());
            link.close();
            return;
        }
        PullSession puller = pullSessionOf(link);
        if (told.ranges().isEmpty()) {
            // What changes while ranges are compared is told behind them.
            puller.repairReadAtChange = replica.lastChange();
        }
        if (told.ranges().isEmpty() && !others.isEmpty()) {
            link.sendMessage(new DigestMismatch(others));
        } else {
            puller.repairBatch = others.isEmpty() ? null : replica.batchInRanges(others);
            onPull(link, puller.repairReadAtChange, false);
        }
    }

    /** {@code merged}: what was told up to then is in force there. */
    private void onPull(RpcConnection link, long since, boolean merged) {
        PullSession puller = pullSessionOf(link);
        puller.replyDue = true;
        puller.sinceChange = !merged && since < 0 ? puller.repairReadAtChange : since;
        puller.mergedSoFar = merged;
        puller.sentUpToChange = merged ? since : -1;
        pulling.add(link);
        sendNextBatch(link);
        sendDueNotices(link);
        if (!puller.notifiedCurrent
                && puller.contactAtChange < 0
                && !link.peer().program().equals(PROGRAM_NAME)
                && proxiesAwaitingContact.add(link)) {
            startProxyContact();
        }
    }

    /** Says what waits behind the changes that were told over a link. */
    private void sendDueNotices(RpcConnection link) {
        PullSession puller = pullSessionOf(link);
        while (!puller.dueConfirmations.isEmpty() && puller.dueConfirmations.peek()[1] <= puller.sentUpToChange) {
            link.sendMessage(new QuorumContactResponse(puller.dueConfirmations.poll()[0]));
        }
        if (!puller.notifiedCurrent && puller.contactAtChange >= 0 && puller.contactAtChange <= puller.sentUpToChange) {
            puller.notifiedCurrent = true;
            link.sendMessage(new CaughtUpNotice());
        }
    }

    /** Seeks contact with a quorum for all proxies that have begun to pull since the last time. */
    private void startProxyContact() {
        if (contactInProgress || proxiesAwaitingContact.isEmpty() || !agreement.isCurrent()) {
            return;
        }
        contactInProgress = true;
        agreement.contactQuorum(reactor.now(), false, new ProxyContactCallback(List.copyOf(proxiesAwaitingContact)));
    }

    // A class, as a lambda is linked at run time, in the middle of a start.
    private final class ProxyContactCallback implements Consumer<Boolean> {
        private final List<RpcConnection> asked;

        private ProxyContactCallback(List<RpcConnection> asked) {
            this.asked = asked;
        }

        @Override
        public void accept(Boolean reached) {
            contactInProgress = false;
            if (reached) {
                for (RpcConnection link : asked) {
                    onProxyContact(link);
                }
            }
        }
    }

    private void onProxyContact(RpcConnection link) {
        if (proxiesAwaitingContact.remove(link)) {
            pullSessionOf(link).contactAtChange = replica.lastChange();
            sendNextBatch(link);
            sendDueNotices(link);
        }
    }

    private void onMembershipMessage(RpcConnection link, Object message) {
        long now = reactor.now();
        String from = link.peer().ip();
        if (message instanceof CoreMembershipNotice told) {
            membership.onCoreAnnounced(now, from, told.core(), told.ready(), told.fenced());
        } else if (message instanceof CoreMembership.EpochMessage step) {
            proposalConnections.put(from, link);
            membership.onEpochMessage(now, from, step);
        } else if (message instanceof StateTransferRequest fetch) {
            if (membership.maySendHandover(from, fetch.epoch())) {
                long since = fetch.incarnation() == self.incarnation() ? fetch.sinceChange() : 0;
                link.sendMessage(new WatermarkUpdate(replica.watermarksSince(since)));
                ConfigurationUpdate all = items(since);
                link.sendMessage(new StateTransferResponse(
                        fetch.epoch(),
                        all,
                        all.pendingProposals().stream()
                                .map(proposal -> agreement.proposersVotedFor(proposal.id()))
                                .toList()));
            }
        } else if (message instanceof StateTransferResponse fetched) {
            ConfigurationUpdate told = fetched.update();
            List<ConfigurationItem> news = replica.findMissing(told.items());
            agreement.onHandover(now, told.items(), told.pendingProposals(), fetched.votersByProposal());
            storage.persistItems(news);
            membership.onHandover(now, from, fetched.epoch());
        } else if (message instanceof CoreRemovalRequest leave) {
            leave(leave.node(), (status, line) -> link.sendMessage(new OperatorResponse(leave.id(), status, line)));
        } else if (message instanceof Messages.StoreStatusRequest show) {
            onShowRequest(link, show);
        } else if (message instanceof OperatorResponse outcome) {
            BiConsumer<Integer, String> waits = forwardedRequests.remove(outcome.id());
            if (waits != null) {
                waits.accept(outcome.status(), outcome.body());
            }
        }
    }

    /** Says what is known here, with whether a quorum is in touch now; for that it does not wait long. */
    private void onShowRequest(RpcConnection link, Messages.StoreStatusRequest show) {
        long begun = reactor.now();
        boolean[] said = new boolean[1];
        Consumer<Boolean> say = reached -> {
            if (!said[0]) {
                said[0] = true;
                Map<String, Long> heard = new TreeMap<>();
                peerDialers.values().stream()
                        .map(RpcDialer::connection)
                        .filter(up -> up != null)
                        .forEach(up -> heard.put(up.peer().ip(), up.lastReceivedMicros()));
                link.sendMessage(new OperatorResponse(
                        show.id(),
                        STATUS_OK,
                        new StoreStatus(
                                        boot,
                                        self.incarnation(),
                                        agreement,
                                        membership,
                                        replica,
                                        heard,
                                        quorumConnectedAt,
                                        reactor.now())
                                .toJson(show, reached, begun)));
            }
        };
        reactor.scheduleAfter(SHOW_TIMEOUT_MICROS, () -> say.accept(false));
        agreement.contactQuorum(begun, false, say);
    }

    /** An order to leave is the business of the one on duty. */
    private void leave(String node, BiConsumer<Integer, String> reply) {
        RpcConnection holder =
                membership.isLeader() ? null : connectionTo(membership.leader().ip());
        if (holder == null) {
            membership.requestRemoval(reactor.now(), node, reply);
            return;
        }
        long id = ++lastRequestId;
        forwardedRequests.put(id, reply);
        holder.sendMessage(new CoreRemovalRequest(id, node));
        reactor.scheduleAfter(FORWARD_TIMEOUT_MICROS, () -> forwardedRequests.remove(id));
    }

    private RpcConnection connectionTo(String ip) {
        for (RpcDialer other : peerDialers.values()) {
            if (other.connection() != null && other.connection().peer().ip().equals(ip)) {
                return other.connection();
            }
        }
        return null;
    }

    private ConfigurationUpdate items(long since) {
        return new ConfigurationUpdate(
                self.incarnation(),
                replica.lastChange(),
                agreement.isComplete(),
                replica.committedSince(since),
                List.copyOf(replica.pending().values()));
    }

    /** One frame at a time, so that a snapshot keeps nothing else waiting. */
    private void sendNextBatch(RpcConnection link) {
        PullSession puller = pullSessionOf(link);
        boolean store = link.peer().program().equals(PROGRAM_NAME);
        // One that has come back is told even that there is nothing new: it counts nobody before it is told.
        boolean first = store && !puller.replied;
        if (!puller.replyDue
                || !first && puller.sinceChange >= 0 && puller.mergedSoFar && replica.lastChange() <= puller.sinceChange
                || puller.sinceChange < 0 && !store && !agreement.isComplete()) {
            return;
        }
        puller.replyDue = false;
        puller.replied = true;
        pulling.remove(link);
        long since = Math.max(0, puller.sinceChange);
        if (!store) {
            EncodedBatch frame = encodedBatchSince(since);
            puller.sentUpToChange = frame.last && agreement.isComplete() ? replica.lastChange() : -1;
            link.sendEncoded(frame.bytes);
            return;
        }
        Replica.ChangeBatch piece = puller.repairBatch != null
                ? puller.repairBatch.first(REPAIR_CHUNK_ITEMS)
                : replica.batchSince(since, CHUNK_BYTES);
        if (!piece.watermarks().isEmpty()) {
            link.sendMessage(new WatermarkUpdate(piece.watermarks()));
        }
        if (puller.repairBatch != null) {
            puller.repairBatch = puller.repairBatch.remainder(REPAIR_CHUNK_ITEMS);
            link.sendMessage(new SnapshotChunk(self.incarnation(), -1, piece.items()));
        } else if (!piece.last()) {
            link.sendMessage(new SnapshotChunk(self.incarnation(), piece.upToChange(), piece.items()));
        } else {
            puller.sentUpToChange = agreement.isComplete() ? replica.lastChange() : -1;
            link.sendMessage(new ConfigurationUpdate(
                    self.incarnation(),
                    piece.upToChange(),
                    agreement.isComplete(),
                    piece.items(),
                    List.copyOf(replica.pending().values())));
        }
    }

    /** What is told to programs that hold nothing, as it is written; {@code last}: there is no more. */
    private record EncodedBatch(byte[] bytes, boolean last) {}

    /** What has come into force since a change; it is written once for all that ask from there. */
    private EncodedBatch encodedBatchSince(long since) {
        if (encodedAtChange != replica.lastChange()
                || encodedAsComplete != agreement.isComplete()
                || encodedBatches.size() > MAX_CACHED_BATCHES) {
            encodedBatches.clear();
            encodedAtChange = replica.lastChange();
            encodedAsComplete = agreement.isComplete();
        }
        EncodedBatch frame = encodedBatches.get(since);
        if (frame == null) {
            Replica.ChangeBatch piece = replica.batchSince(since, CHUNK_BYTES);
            frame = new EncodedBatch(
                    codec.encode(
                            piece.last()
                                    ? new ConfigurationUpdate(
                                            self.incarnation(),
                                            piece.upToChange(),
                                            encodedAsComplete,
                                            piece.items(),
                                            List.of())
                                    : new SnapshotChunk(self.incarnation(), piece.upToChange(), piece.items())),
                    piece.last());
            encodedBatches.put(since, frame);
        }
        return frame;
    }

    /** Another store tells what is in force there. */
    private void onConfigurationUpdate(RpcConnection link, ConfigurationUpdate told) {
        positions.put(link.peer().ip(), new long[] {told.incarnation(), told.upToChange()});
        List<ConfigurationItem> all = snapshot.complete(link.peer().ip(), told.incarnation(), told.items());
        List<ConfigurationItem> news = replica.findMissing(all);
        boolean before = agreement.isComplete();
        agreement.onPeerState(reactor.now(), link.peer().ip(), told.complete(), all, told.pendingProposals());
        if (!news.isEmpty()) {
            storage.persistItems(news);
        }
        if (!before && agreement.isComplete()) {
            membership.onDiskRecovered(reactor.now());
            storage.markComplete();
        }
        link.sendMessage(new ChangesRequest(told.incarnation(), told.upToChange()));
        startProxyContact();
    }

    // ---- What the membership calls for ---------------------------------------------------------------
    /** The core as it is known here, and who is on duty. */
    public CoreMembership membership() {
        return membership;
    }

    @Override
    public void sendEpochMessage(String to, CoreMembership.EpochMessage step) {
        RpcConnection link = connectionTo(to);
        if (link == null) {
            link = proposalConnections.get(to);
        }
        if (link != null) {
            link.sendMessage(step);
        }
    }

    @Override
    public void announceCore(String to) {
        RpcConnection link = connectionTo(to);
        if (link == null) {
            link = proposalConnections.get(to);
        }
        if (link != null) {
            tellCore(link);
        }
    }

    private void tellCore(RpcConnection link) {
        link.sendMessage(new CoreMembershipNotice(membership.core(), ready, membership.isFenced()));
    }

    @Override
    public void requestHandover(String from, long of) {
        RpcConnection link = connectionTo(from);
        if (link != null) {
            long[] at = positions.getOrDefault(from, new long[] {0, 0});
            link.sendMessage(new StateTransferRequest(of, at[0], at[1]));
        }
    }

    @Override
    public boolean resolvesDoubts(Set<String> handed) {
        return agreement.resolvesDoubts(handed);
    }

    @Override
    public void persistCore(CoreMembership.PersistentCoreState state, Consumer<Boolean> done) {
        storage.core(state, done);
    }

    @Override
    public void coreChanged() {
        agreement.setFenced(membership.isFenced());
        if (membership.epoch() != epoch) {
            epoch = membership.epoch();
            if (core.adopt(membership.core())) {
                peerDialers.keySet().removeIf(this::disconnectIfRemoved);
                for (InetSocketAddress other : core.others(boot.storePort())) {
                    if (!peerDialers.containsKey(other)) {
                        dial(other);
                    }
                }
            }
            agreement.onQuorumChanged(membership.quorum());
        }
        List.copyOf(connections).forEach(this::tellCore);
    }

    private boolean disconnectIfRemoved(InetSocketAddress other) {
        if (core.isRemoved(other)) {
            peerDialers.get(other).close();
            return true;
        }
        return false;
    }

    // ---- What the agreement calls for ----------------------------------------------------------------
    private void broadcast(Object message) {
        peerDialers.values().stream()
                .filter(other -> other.connection() != null)
                .forEach(other -> other.connection().sendMessage(message));
    }

    @Override
    public void broadcastProposal(Proposal proposal) {
        broadcast(new ProposeRequest(epoch, proposal));
    }

    @Override
    public void sendVote(String to, String call, Ballot ballot, ConsensusNode.Vote vote) {
        RpcConnection link = proposalConnections.get(to);
        if (link != null) {
            link.sendMessage(new VoteResponse(call, ballot, vote));
        }
    }

    @Override
    public void broadcastContactRequest(long id, boolean settled) {
        broadcast(new QuorumContactRequest(epoch, id, settled));
    }

    @Override
    public void sendContactConfirmation(String to, long id) {
        RpcConnection link = contactConnections.get(to);
        if (link != null) {
            pullSessionOf(link).dueConfirmations.add(new long[] {id, replica.lastChange()});
            sendNextBatch(link);
            sendDueNotices(link);
        }
    }

    @Override
    public void broadcastDecision(String call, Ballot ballot, boolean inForce, List<ConfigurationItem> items) {
        broadcast(new DecisionNotice(call, ballot, inForce, items));
    }

    @Override
    public void persistProposal(Proposal proposal) {
        storage.persistPending(
                new ProposalRecord(proposal),
                safe -> agreement.onPersisted(reactor.now(), proposal.id(), proposal.ballot(), safe));
    }

    @Override
    public void persistDecision(String call, Ballot ballot, boolean inForce, List<ConfigurationItem> items) {
        storage.persistDecision(new DecisionNotice(call, ballot, inForce, items));
    }

    @Override
    public void notifyConfigurationChanged() {
        for (RpcConnection link : List.copyOf(pulling)) {
            sendNextBatch(link);
            sendDueNotices(link);
        }
    }

    @Override
    public void log(String line) {
        reactor.info(line);
    }
}
