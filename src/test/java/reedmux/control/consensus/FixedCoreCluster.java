package reedmux.control.consensus;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.TreeMap;
import reedmux.control.configuration.ConfigurationItem;
import reedmux.control.configuration.ConfigurationTable;
import reedmux.control.configuration.InvalidConfigurationException;
import reedmux.control.replication.Replica;

/** Three members whose messages may come in any order; the core doesn't change. */
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

    /** The process at that index starts anew, with its disk or with an empty one. */
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

    /** A node dies: what is under way to it and from it is lost, and the others notice. */
    void crash(int index) {
        setDown(index);
        messages.loseAllOf("s" + index);
        disconnect(index);
    }

    /** The other nodes notice that one can't be reached. */
    void disconnect(int index) {
        for (int i = 0; i < SIZE; i++) {
            if (i != index) {
                node(i).consensus.onPeerDisconnected("s" + index);
            }
        }
    }

    /** Each node that is up tells each other one all that it has. */
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
        messages.deliverAll(many -> 0);
    }

    void tick(int index) {
        node(index).consensus.onTick(now);
    }

    /** Time passes, all that are up exchange their states, and what is undecided is brought to its end. */
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

    /** The status of a change, which is brought to its end. */
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

    /** All have committed the same, which is valid, and nothing is pending. */
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
