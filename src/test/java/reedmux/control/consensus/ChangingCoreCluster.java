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

/** Nodes that join and leave the core, over connections that come up and go down. */
final class ChangingCoreCluster extends VirtualCluster {
    static final long TICK_MICROS = SECOND_MICROS / 5;

    final ConnectionNetwork links = new ConnectionNetwork(this);
    /** Pairs of ips between which no connection can be made, each way. */
    private final Set<String> partition = new HashSet<>();
    /** The members of each epoch, wherever it was known. */
    final Map<Long, Set<String>> membersByEpoch = new TreeMap<>();

    /** The nodes s0, s1, ... named n0, n1, ... are the first core. */
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

    /** A new machine with an empty disk. */
    VirtualNode join(String ip, String name) {
        VirtualNode node = add(ip, name, null);
        node.start(false);
        return node;
    }

    void partition(String firstIp, String secondIp) {
        partition.add(firstIp + ' ' + secondIp);
        partition.add(secondIp + ' ' + firstIp);
    }

    void heal(String firstIp, String secondIp) {
        partition.remove(firstIp + ' ' + secondIp);
        partition.remove(secondIp + ' ' + firstIp);
    }

    void healAll() {
        partition.clear();
    }

    boolean canConnect(VirtualNode first, VirtualNode second) {
        return first != second && first.up && second.up && !partition.contains(first.ip + ' ' + second.ip);
    }

    /** Whether a connection is up on which the first node sends to the second. */
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

    /** Connections come up and go down, and each node tells the others over them. */
    void connect() {
        for (VirtualNode one : nodes.values()) {
            for (VirtualNode other : nodes.values()) {
                if (one == other || !one.up) {
                    continue;
                }
                if (canConnect(one, other)) {
                    connect(one, other);
                } else if (one.connections.remove(other.ip)) {
                    one.consensus.onPeerDisconnected(other.ip);
                    one.membership.onPeerDisconnected(now, other.ip);
                }
            }
        }
        links.deliverAll();
        for (VirtualNode one : nodes.values()) {
            for (VirtualNode other : nodes.values()) {
                if (canConnect(one, other)) {
                    one.receiveStateOf(other);
                    other.announceCore(one.ip);
                }
            }
        }
    }

    /** One node connects to another, if it is not connected yet. */
    void connect(VirtualNode one, VirtualNode other) {
        if (one.connections.add(other.ip)) {
            one.membership.onPeerConnected(now, other.ip, other.name);
            other.announceCore(one.ip);
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

    /** Time passes, and all messages are delivered in one order. */
    void settle(int seconds) {
        for (int i = 0; i < 5 * seconds; i++) {
            tick();
            links.deliverAll();
        }
    }

    /** Messages are delivered in one order again, and time passes. */
    void settleInOrder(int seconds) {
        links.connectionChooser = many -> 0;
        settle(seconds);
    }

    CoreMembers core(String ip) {
        return node(ip).membership.core();
    }

    /** All that are up have one core, of these members, and it takes changes. */
    void assertCore(String... members) {
        for (VirtualNode node : nodes.values()) {
            if (node.up) {
                assertEquals(new TreeSet<>(node.membership.core().ips()), new TreeSet<>(List.of(members)), node.ip);
                assertEquals(
                        node.membership.epoch(), node(members[0]).membership.epoch());
                assertFalse(node.membership.isFenced());
            }
        }
        links.connectionChooser = many -> 0;
        String route = ConfigurationRequests.route("last", 2, "last.example");
        RecordedReply reply = change(node(members[0]), ConfigurationRequests.change(route));
        links.deliverAll();
        settle(2);
        assertEquals(reply.status, OperationStatus.OK);
    }
}
