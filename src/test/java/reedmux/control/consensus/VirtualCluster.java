package reedmux.control.consensus;

import java.util.Map;
import java.util.TreeMap;

/** Nodes in virtual time, by IP address; the base of all clusters in the tests of consensus and core membership. */
class VirtualCluster {
    static final long SECOND_MICROS = 1_000_000;

    final Map<String, VirtualNode> nodes = new TreeMap<>();
    /** Set by the constructor of each cluster before it starts a node. */
    VirtualNetwork network;

    long now = SECOND_MICROS;
    private long lastIncarnation;

    VirtualNode node(String ip) {
        return nodes.get(ip);
    }

    VirtualNode node(int index) {
        return nodes.get("s" + index);
    }

    /** Adds a node without starting it. */
    VirtualNode add(String ip, String name, PersistentCoreState coreOnDisk) {
        VirtualNode node = new VirtualNode(this, ip, name);
        node.coreOnDisk = coreOnDisk;
        nodes.put(ip, node);
        return node;
    }

    /** Returns the persisted state of a member that has seen no change of the core. */
    static PersistentCoreState firstCore(CoreMembers core) {
        return new PersistentCoreState(core, null, null, null, false);
    }

    long nextIncarnation() {
        return ++lastIncarnation;
    }

    RecordedReply change(VirtualNode node, String body) {
        RecordedReply reply = new RecordedReply();
        node.consensus.onChangeRequest(now, body, reply);
        return reply;
    }

    RecordedReply read(VirtualNode node) {
        RecordedReply reply = new RecordedReply();
        node.consensus.onReadRequest(now, reply);
        return reply;
    }
}
