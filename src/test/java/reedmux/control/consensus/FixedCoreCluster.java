package reedmux.control.consensus;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.TreeMap;
import reedmux.control.configuration.ConfigurationItem;
import reedmux.control.configuration.ConfigurationTable;
import reedmux.control.configuration.InvalidConfigurationException;
import reedmux.control.replication.Replica;

/** Three members of a core that doesn't change. Their messages may arrive in any order. */
final class FixedCoreCluster extends VirtualCluster {
    private static final int SIZE = 3;

    final UnorderedNetwork messages = new UnorderedNetwork();

    FixedCoreCluster() {
        network = messages;
        CoreMembers core = CoreMembers.initial(List.of("s0", "s1", "s2"));
        for (int i = 0; i < SIZE; i++) {
            add("s" + i, "n" + i, firstCore(core));
        }
        for (VirtualNode node : nodes.values()) {
            node.start(true);
        }
        exchangeStates();
        RecordedReply reply = change(node(0), ConfigurationRequests.SERVICE);
        deliverInOrder();
        assertEquals(reply.status, OperationStatus.OK);
    }

    /** Restarts the process at that index, with its disk or with an empty one. */
    void restart(int index, boolean wiped) {
        VirtualNode node = node(index);
        if (wiped) {
            node.replica = new Replica();
        }
        node.start(!wiped);
    }

    void setDown(int index) {
        messages.setDown("s" + index);
    }

    void setUp(int index) {
        messages.setUp("s" + index);
    }

    void setAllUp() {
        for (int i = 0; i < SIZE; i++) {
            setUp(i);
        }
    }

    boolean isUp(int index) {
        return !messages.isDown("s" + index);
    }

    /** Crashes a node: messages in flight to and from it are lost, and the other nodes detect the disconnection. */
    void crash(int index) {
        setDown(index);
        messages.loseAllOf("s" + index);
        disconnect(index);
    }

    /** Makes the other nodes detect that this one is disconnected. */
    void disconnect(int index) {
        for (int i = 0; i < SIZE; i++) {
            if (i != index) {
                node(i).consensus.onPeerDisconnected("s" + index);
            }
        }
    }

    /** Makes each running node send its complete state to every other running node. */
    void exchangeStates() {
        for (int pass = 0; pass < 2; pass++) {
            for (int i = 0; i < SIZE; i++) {
                for (int j = 0; j < SIZE; j++) {
                    if (i != j && isUp(i) && isUp(j)) {
                        node(i).receiveStateOf(node(j));
                    }
                }
            }
        }
    }

    void deliverInOrder() {
        messages.deliverAll(messageCount -> 0);
    }

    void tick(int index) {
        node(index).consensus.onTick(now);
    }

    /** Advances time, exchanges the states of the running nodes, and lets undecided proposals be decided. */
    void settle() {
        for (int i = 0; i < 6; i++) {
            now += SECOND_MICROS;
            exchangeStates();
            for (int j = 0; j < SIZE; j++) {
                if (isUp(j)) {
                    tick(j);
                }
            }
            deliverInOrder();
        }
        exchangeStates();
    }

    /** Sends a change, waits for the reply and returns its status. */
    int statusOf(int index, String body) {
        RecordedReply reply = change(node(index), body);
        deliverInOrder();
        if (reply.status == 0) {
            settle();
        }
        return reply.status;
    }

    TreeMap<String, Long> committed(int index) {
        TreeMap<String, Long> all = new TreeMap<>();
        for (ConfigurationItem item : node(index).replica.committed()) {
            all.put(item.key() + ' ' + item.body().hashCode(), item.revision());
        }
        return all;
    }

    /** Asserts that all nodes have committed the same valid configuration and that no proposal is pending. */
    void assertAgreed() {
        assertEquals(committed(1), committed(0));
        assertEquals(committed(2), committed(0));
        try {
            ConfigurationTable.of(node(0).replica.committed());
        } catch (InvalidConfigurationException e) {
            throw new AssertionError("committed and invalid", e);
        }
        for (VirtualNode node : nodes.values()) {
            assertTrue(node.replica.pending().isEmpty());
        }
    }
}
