package reedmux.control.consensus;

import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Consumer;
import reedmux.control.configuration.ConfigurationItem;
import reedmux.control.replication.Replica;
import reedmux.control.replication.Watermark;

/**
 * One node of a {@link VirtualCluster}: its consensus and core membership, its disk, and its messages to the other
 * nodes.
 */
final class VirtualNode implements ConsensusPort, CoreMembershipPort {
    private static final int MINIMUM_REPLICAS = 2;

    /** How the disk handles writes. */
    enum Disk {
        WORKING,
        STALLED,
        FAILING
    }

    final String ip;
    final String name;
    final VirtualCluster cluster;
    /** The IP addresses of the connected nodes; maintained by clusters that simulate connections. */
    final Set<String> connections = new TreeSet<>();
    /** The replica on the disk and in memory. */
    Replica replica = new Replica();

    PersistentCoreState coreOnDisk;
    Disk disk = Disk.WORKING;

    ConsensusNode consensus;
    CoreMembership membership;
    boolean up;
    long incarnation;

    VirtualNode(VirtualCluster cluster, String ip, String name) {
        this.cluster = cluster;
        this.ip = ip;
        this.name = name;
    }

    /** Starts a new process with the state on the disk; {@code complete} states that none of it was lost. */
    void start(boolean complete) {
        up = true;
        incarnation = cluster.nextIncarnation();
        consensus = new ConsensusNode(ip, incarnation, replica, complete, this);
        membership = new CoreMembership(ip, MINIMUM_REPLICAS, coreOnDisk, complete, this);
        notifyCoreChanged();
    }

    boolean hasRoute(String route) {
        return replica.committed().stream().anyMatch(item -> item.key().equals("routes/" + route) && !item.isDeleted());
    }

    boolean hasRoute(String route, long revision) {
        return replica.committed().stream()
                .anyMatch(item -> item.key().equals("routes/" + route) && item.revision() == revision);
    }

    /** Receives the complete state of another node. */
    void receiveStateOf(VirtualNode other) {
        replica.mergeWatermarks(List.copyOf(other.replica.watermarks()));
        consensus.onPeerState(
                cluster.now,
                other.ip,
                other.consensus.isComplete(),
                List.copyOf(other.replica.committed()),
                List.copyOf(other.replica.pending().values()));
    }

    // ---- Consensus ---------------------------------------------------------------------------------

    private void broadcast(String description, Consumer<VirtualNode> message) {
        for (VirtualNode other : cluster.nodes.values()) {
            if (other != this) {
                cluster.network.send(ip, other.ip, description, () -> message.accept(other));
            }
        }
    }

    @Override
    public void broadcastProposal(Proposal proposal) {
        long epoch = membership.epoch();
        broadcast("proposal", other -> {
            if (other.membership.acceptsEpoch(ip, epoch)) {
                other.consensus.onProposal(cluster.now, ip, proposal);
            }
        });
    }

    @Override
    public void sendVote(String to, String proposalId, Ballot ballot, Vote vote) {
        cluster.network.send(
                ip,
                to,
                vote + " under " + ballot,
                () -> cluster.node(to).consensus.onVote(cluster.now, ip, proposalId, ballot, vote));
    }

    @Override
    public void broadcastContactRequest(long contactId, boolean settled) {
        long epoch = membership.epoch();
        broadcast("contact request", other -> {
            if (other.membership.acceptsEpoch(ip, epoch) && !other.membership.isFenced()) {
                other.consensus.onContactRequest(cluster.now, ip, contactId, settled);
            }
        });
    }

    @Override
    public void sendContactConfirmation(String to, long contactId) {
        List<Watermark> watermarks = List.copyOf(replica.watermarks());
        List<ConfigurationItem> items = List.copyOf(replica.committed());
        List<Proposal> pending = List.copyOf(replica.pending().values());
        cluster.network.send(ip, to, "contact confirmation", () -> {
            VirtualNode receiver = cluster.node(to);
            receiver.replica.mergeWatermarks(watermarks);
            receiver.consensus.onPeerState(cluster.now, ip, true, items, pending);
            receiver.consensus.onContactConfirmation(cluster.now, ip, contactId);
        });
    }

    @Override
    public void broadcastDecision(String proposalId, Ballot ballot, boolean committed, List<ConfigurationItem> items) {
        broadcast("decision", other -> other.consensus.onDecision(cluster.now, proposalId, ballot, committed, items));
    }

    @Override
    public void persistProposal(Proposal proposal) {
        if (disk != Disk.STALLED) {
            consensus.onPersisted(cluster.now, proposal.id(), proposal.ballot(), disk == Disk.WORKING);
        }
    }

    @Override
    public void persistDecision(String proposalId, Ballot ballot, boolean committed, List<ConfigurationItem> items) {}

    @Override
    public void notifyConfigurationChanged() {}

    @Override
    public void log(String line) {}

    // ---- The core ----------------------------------------------------------------------------------

    @Override
    public void sendEpochMessage(String to, EpochMessage message) {
        String value = message.value() == null ? "" : " " + message.value().ips();
        cluster.network.send(
                ip,
                to,
                message.type() + " to " + to + value,
                () -> cluster.node(to).membership.onEpochMessage(cluster.now, ip, message));
    }

    @Override
    public void sendRemovalOrder(String to) {
        cluster.network.send(
                ip, to, "removal order", () -> cluster.node(to).membership.onRemovalOrder());
    }

    @Override
    public void announceCore(String to) {
        CoreMembers core = membership.core();
        boolean ready = membership.isCandidate() && consensus.isCurrent();
        boolean fenced = membership.isFenced();
        cluster.network.send(
                ip,
                to,
                "core to " + to,
                () -> cluster.node(to).membership.onCoreAnnounced(cluster.now, ip, core, ready, fenced));
    }

    @Override
    public void requestHandover(String from, long epoch) {
        cluster.network.send(ip, from, "handover request", () -> {
            VirtualNode sender = cluster.node(from);
            if (sender.membership.maySendHandover(ip, epoch)) {
                sender.sendHandover(this, epoch);
            }
        });
    }

    private void sendHandover(VirtualNode receiver, long epoch) {
        List<ConfigurationItem> items = List.copyOf(replica.committed());
        List<Proposal> pending = List.copyOf(replica.pending().values());
        List<List<String>> proposers = pending.stream()
                .map(proposal -> consensus.proposersVotedFor(proposal.id()))
                .toList();
        cluster.network.send(ip, receiver.ip, "handover", () -> {
            receiver.consensus.onHandover(cluster.now, items, pending, proposers);
            receiver.membership.onHandover(cluster.now, ip, epoch);
        });
    }

    @Override
    public boolean resolvesInDoubtProposals(Set<String> handedOver) {
        return consensus.resolvesInDoubtProposals(handedOver);
    }

    @Override
    public void persistCore(PersistentCoreState state, Consumer<Boolean> onDone) {
        if (disk == Disk.WORKING) {
            coreOnDisk = state;
        }
        if (disk != Disk.STALLED) {
            onDone.accept(disk == Disk.WORKING);
        }
    }

    @Override
    public void reportInvariantViolation(String violation) {
        throw new AssertionError(violation);
    }

    @Override
    public void notifyCoreChanged() {
        consensus.setFenced(membership.isFenced());
        if (!membership.isFenced()) {
            consensus.onQuorumChanged(membership.quorum());
        }
        for (String other : List.copyOf(connections)) {
            announceCore(other);
        }
    }
}
