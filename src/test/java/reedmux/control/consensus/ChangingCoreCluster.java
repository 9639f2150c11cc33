package reedmux.control.consensus;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import reedmux.control.replication.Replica;

/** Nodes that join and leave the core, with connections that are established and closed. */
final class ChangingCoreCluster extends VirtualCluster {
    static final long TICK_MICROS = SECOND_MICROS / 5;

    final ConnectionNetwork links = new ConnectionNetwork(this);
    /** Ordered pairs of IP addresses between which no connection can be established; both directions are listed. */
    private final Set<String> partitionedPairs = new HashSet<>();
    /** The members of each epoch, as observed at any node. */
    final Map<Long, Set<String>> membersByEpoch = new TreeMap<>();

    /** Creates a cluster whose first core consists of the nodes s0, s1, ... named n0, n1, ... */
    ChangingCoreCluster(int members) {
        network = links;
        TreeSet<String> ips = new TreeSet<>();
        for (int i = 0; i < members; i++) {
            ips.add("s" + i);
        }
        CoreMembers core = CoreMembers.initial(ips);
        for (int i = 0; i < members; i++) {
            add("s" + i, "n" + i, firstCore(core));
        }
        for (VirtualNode node : nodes.values()) {
            node.start(true);
        }
        settle(2);
        RecordedReply reply = change(node(0), ConfigurationRequests.SERVICE);
        links.deliverAll();
        assertEquals(reply.status, OperationStatus.OK);
    }

    /** Adds a new machine with an empty disk. */
    VirtualNode join(String ip, String name) {
        VirtualNode node = add(ip, name, null);
        node.start(false);
        return node;
    }

    void partition(String firstIp, String secondIp) {
        partitionedPairs.add(firstIp + ' ' + secondIp);
        partitionedPairs.add(secondIp + ' ' + firstIp);
    }

    void heal(String firstIp, String secondIp) {
        partitionedPairs.remove(firstIp + ' ' + secondIp);
        partitionedPairs.remove(secondIp + ' ' + firstIp);
    }

    void healAll() {
        partitionedPairs.clear();
    }

    boolean canConnect(VirtualNode first, VirtualNode second) {
        return first != second && first.up && second.up && !partitionedPairs.contains(first.ip + ' ' + second.ip);
    }

    /** Returns whether a connection is established on which the first node sends to the second. */
    boolean maySend(String from, String to) {
        return nodes.containsKey(to)
                && canConnect(node(from), node(to))
                && node(from).connections.contains(to);
    }

    void crash(VirtualNode node) {
        node.up = false;
        node.connections.clear();
        for (VirtualNode other : nodes.values()) {
            other.connections.remove(node.ip);
            if (other.up) {
                other.consensus.onPeerDisconnected(node.ip);
                other.membership.onPeerDisconnected(now, node.ip);
            }
        }
        links.loseAllOf(node.ip);
    }

    static void wipe(VirtualNode node) {
        node.replica = new Replica();
        node.coreOnDisk = null;
    }

    /** Opens and closes connections, and makes the connected nodes exchange their states. */
    void connect() {
        for (VirtualNode node : nodes.values()) {
            for (VirtualNode peer : nodes.values()) {
                if (node == peer || !node.up) {
                    continue;
                }
                if (canConnect(node, peer)) {
                    connect(node, peer);
                } else if (node.connections.remove(peer.ip)) {
                    node.consensus.onPeerDisconnected(peer.ip);
                    node.membership.onPeerDisconnected(now, peer.ip);
                }
            }
        }
        links.deliverAll();
        for (VirtualNode node : nodes.values()) {
            for (VirtualNode peer : nodes.values()) {
                if (canConnect(node, peer)) {
                    node.receiveStateOf(peer);
                    peer.announceCore(node.ip);
                }
            }
        }
    }

    /** Connects one node to another if they are not connected yet. */
    void connect(VirtualNode node, VirtualNode peer) {
        if (node.connections.add(peer.ip)) {
            node.membership.onPeerConnected(now, peer.ip, peer.name);
            peer.announceCore(node.ip);
        }
    }

    void tick() {
        now += TICK_MICROS;
        connect();
        for (VirtualNode node : nodes.values()) {
            if (node.up) {
                node.consensus.onTick(now);
                node.membership.onTick(now);
                if (node.consensus.isComplete()) {
                    node.membership.onDiskRecovered(now);
                }
                assertSingleCorePerEpoch(node);
            }
        }
    }

    private void assertSingleCorePerEpoch(VirtualNode node) {
        CoreMembers core = node.membership.core();
        if (core != null) {
            Set<String> members = new TreeSet<>(core.ips());
            Set<String> previousMembers = membersByEpoch.putIfAbsent(core.epoch(), members);
            assertTrue(
                    previousMembers == null || previousMembers.equals(members),
                    "two cores of epoch " + core.epoch() + ": " + previousMembers + " and " + members);
        }
    }

    /** Advances time and delivers all messages in the selected order. */
    void settle(int seconds) {
        for (int i = 0; i < 5 * seconds; i++) {
            tick();
            links.deliverAll();
        }
    }

    /** Restores a fixed delivery order and advances time. */
    void settleInOrder(int seconds) {
        links.connectionChooser = connectionCount -> 0;
        settle(seconds);
    }

    CoreMembers core(String ip) {
        return node(ip).membership.core();
    }

    /** Asserts that all running nodes have the same core with these members, and that this core commits changes. */
    void assertCore(String... members) {
        for (VirtualNode node : nodes.values()) {
            if (node.up) {
                assertEquals(new TreeSet<>(node.membership.core().ips()), new TreeSet<>(List.of(members)), node.ip);
                assertEquals(
                        node.membership.epoch(), node(members[0]).membership.epoch());
                assertFalse(node.membership.isFenced());
            }
        }
        links.connectionChooser = connectionCount -> 0;
        String route = ConfigurationRequests.route("last", 2, "last.example");
        RecordedReply reply = change(node(members[0]), ConfigurationRequests.change(route));
        links.deliverAll();
        settle(2);
        assertEquals(reply.status, OperationStatus.OK);
    }
}
