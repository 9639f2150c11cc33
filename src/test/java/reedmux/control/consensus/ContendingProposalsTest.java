package reedmux.control.consensus;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static reedmux.control.consensus.ConfigurationRequests.change;
import static reedmux.control.consensus.ConfigurationRequests.route;
import static reedmux.control.consensus.VirtualCluster.SECOND_MICROS;

import java.util.List;
import org.testng.Reporter;
import org.testng.annotations.Test;
import reedmux.testing.ScheduleExplorer;

/** Tests two contending proposals while a node is lost, in all explored message orders. */
public class ContendingProposalsTest {
    private static final int MAX_ORDERS = 10_000;
    private static final String FIRST_CHANGE = change(route("one", 5, "h.example"));
    /** Conflicts with the first change: it has the same host and prefix. */
    private static final String SAME_HOST = change(route("two", 5, "h.example"));
    /** Has different content under the same revision. */
    private static final String SAME_REVISION = change(route("one", 5, "other.example"));

    private static void deliverAll(FixedCoreCluster cluster, ScheduleExplorer schedule) {
        cluster.messages.deliverAll(schedule::choose);
    }

    private static void tickAll(FixedCoreCluster cluster) {
        cluster.now += SECOND_MICROS;
        for (int i = 0; i < 3; i++) {
            if (cluster.isUp(i)) {
                cluster.tick(i);
            }
        }
    }

    /** Restarts a node without its disk. It exchanges its state with the other nodes in any order. */
    private static void restartWithoutDisk(FixedCoreCluster cluster, int index, ScheduleExplorer schedule) {
        cluster.setUp(index);
        cluster.now += SECOND_MICROS;
        cluster.restart(index, true);
        int first = (index + 1 + schedule.choose(2)) % 3;
        int second = 3 - index - first;
        cluster.node(index).receiveStateOf(cluster.node(first));
        cluster.node(index).receiveStateOf(cluster.node(second));
        cluster.node(first).receiveStateOf(cluster.node(index));
        cluster.node(second).receiveStateOf(cluster.node(index));
    }

    /** Returns the number of acknowledged changes that are not committed at the end. */
    private static int countLost(String scenario, String contending) {
        int[] acknowledged = {0};
        int[] lost = {0};
        int orders = ScheduleExplorer.exploreAllOrSample(MAX_ORDERS, schedule -> {
            FixedCoreCluster cluster = new FixedCoreCluster();
            cluster.change(cluster.node(1), contending);
            RecordedReply reply = cluster.change(cluster.node(0), FIRST_CHANGE);
            while (!reply.isOk()) {
                if (cluster.messages.isEmpty()) {
                    return;
                }
                cluster.messages.deliver(schedule.choose(cluster.messages.size()));
            }
            acknowledged[0]++;
            cluster.crash(0);
            if (schedule.choose(2) == 0) { // messages in flight arrive before the node restarts, or after
                deliverAll(cluster, schedule);
            }
            restartWithoutDisk(cluster, 0, schedule);
            for (int i = 0; i < 2; i++) {
                tickAll(cluster);
                deliverAll(cluster, schedule);
            }
            cluster.settle();
            cluster.assertAgreed();
            lost[0] += cluster.node(1).replica.committed().stream()
                            .anyMatch(item -> item.key().equals("routes/one")
                                    && item.body().contains("\"h.example\""))
                    ? 0
                    : 1;
        });
        Reporter.log(
                scenario + ": " + orders + " orders, " + acknowledged[0] + " acknowledged, of these " + lost[0]
                        + " lost",
                true);
        assertTrue(acknowledged[0] > 0);
        return lost[0];
    }

    /**
     * Guards against losing an acknowledged change: the only node that knows the decision loses its disk while a
     * contending proposal is pending at another node.
     */
    @Test
    public void acknowledgedChangeSurvivesDiskLossDespiteContendingProposal() {
        int lostWithSameHost = countLost("same host and prefix", SAME_HOST);
        int lostWithSameRevision = countLost("same revision with two contents", SAME_REVISION);
        assertEquals(
                lostWithSameHost + lostWithSameRevision, 0, "acknowledged changes that are not committed at any node");
    }

    /**
     * Reproduces world --point 1 --cores 3 --seeds 47: the third node is down, and each of the other nodes has prepared
     * one of two contending proposals. One proposal must yield within the timeout of a round, so that they don't block
     * each other.
     */
    @Test
    public void oneOfTwoContendingProposalsYieldsWhileTheThirdNodeIsDown() {
        for (String contending : List.of(SAME_HOST, SAME_REVISION)) {
            int orders = ScheduleExplorer.exploreAllOrSample(MAX_ORDERS, schedule -> {
                FixedCoreCluster cluster = new FixedCoreCluster();
                cluster.crash(2);
                RecordedReply firstReply = cluster.change(cluster.node(0), FIRST_CHANGE);
                RecordedReply secondReply = cluster.change(cluster.node(1), contending);
                deliverAll(cluster, schedule);
                for (int i = 0; i < 10; i++) {
                    cluster.now += SECOND_MICROS / 8;
                    for (int index = 0; index < 2; index++) {
                        cluster.tick(index);
                        deliverAll(cluster, schedule);
                    }
                }
                assertEquals(
                        (firstReply.isOk() ? 1 : 0) + (secondReply.isOk() ? 1 : 0),
                        1,
                        firstReply.status + " and " + secondReply.status);
                assertTrue(cluster.node(0).replica.pending().isEmpty()
                        && cluster.node(1).replica.pending().isEmpty());
            });
            Reporter.log("two contending proposals, third node down: " + orders + " orders", true);
        }
    }
}
