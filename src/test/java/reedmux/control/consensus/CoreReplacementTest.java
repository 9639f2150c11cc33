package reedmux.control.consensus;

import static org.testng.Assert.assertEquals;

import java.util.List;
import java.util.Random;
import org.testng.annotations.Test;

/** Tests which machines are members of the core after replacements, absences and removals. */
public class CoreReplacementTest {

    /** Machines fail permanently one after another, and each is replaced by a machine with another name and address. */
    @Test
    public void replacementsUnderNewNamesDoNotExhaustTheCore() {
        ChangingCoreCluster cluster = new ChangingCoreCluster(3);
        for (int i = 0; i < 5; i++) {
            cluster.crash(cluster.node("s" + i));
            cluster.settle(1);
            cluster.join("s" + (i + 3), "n" + (i + 3));
            cluster.settle(4); // the new member may vote from now on, and the next machine may fail
            assertChangeIsCommitted(cluster, "s" + (i + 2), "r" + i);
        }
        cluster.assertCore("s5", "s6", "s7");
    }

    /** As in the previous test, but each new machine joins before the old one stops, as in planned maintenance. */
    @Test
    public void plannedReplacementsDoNotExhaustTheCore() {
        ChangingCoreCluster cluster = new ChangingCoreCluster(3);
        for (int i = 0; i < 5; i++) {
            cluster.join("s" + (i + 3), "n" + (i + 3));
            cluster.settle(2);
            cluster.crash(cluster.node("s" + i));
            cluster.settle(4);
            assertChangeIsCommitted(cluster, "s" + (i + 2), "r" + i);
        }
        cluster.assertCore("s5", "s6", "s7");
    }

    /** A member that is only temporarily unreachable is replaced by a candidate, and joins again when it returns. */
    @Test
    public void memberConsideredDeadJoinsAgain() {
        ChangingCoreCluster cluster = new ChangingCoreCluster(3);
        cluster.join("s3", "n3");
        cluster.settle(3);
        cluster.assertCore("s0", "s1", "s2", "s3");
        cluster.crash(cluster.node("s1"));
        cluster.settle(3);
        cluster.assertCore("s0", "s2", "s3");
        cluster.node("s1").start(true);
        cluster.settle(3);
        cluster.assertCore("s0", "s1", "s2", "s3");
    }

    /** Dead members are kept if the core would be too small without them. */
    @Test
    public void deadMembersAreKeptIfTheCoreWouldBeTooSmall() {
        ChangingCoreCluster cluster = new ChangingCoreCluster(3);
        cluster.crash(cluster.node("s1"));
        cluster.settle(20);
        cluster.assertCore("s0", "s1", "s2");
        cluster.node("s1").start(true);
        cluster.settle(2);
        cluster.assertCore("s0", "s1", "s2");
        assertEquals(cluster.core("s0").epoch(), 0);
    }

    /** A short absence, such as a restart, doesn't change the core. */
    @Test
    public void restartingMemberStaysInTheCore() {
        ChangingCoreCluster cluster = new ChangingCoreCluster(4);
        cluster.crash(cluster.node("s2"));
        cluster.settle(1);
        cluster.node("s2").start(true);
        cluster.settle(3);
        cluster.assertCore("s0", "s1", "s2", "s3");
        assertEquals(cluster.core("s0").epoch(), 0);
    }

    /** A member removed by the operator doesn't join again, even after a restart. */
    @Test
    public void memberRemovedByTheOperatorDoesNotJoinAgain() {
        ChangingCoreCluster cluster = new ChangingCoreCluster(4);
        RecordedReply removal = new RecordedReply();
        cluster.node("s0").membership.requestRemoval(cluster.now, "n3", removal);
        cluster.settle(2);
        assertEquals(removal.status, OperationStatus.OK);
        cluster.crash(cluster.node("s3"));
        cluster.settle(1);
        cluster.node("s3").start(true);
        cluster.settle(40);
        cluster.assertCore("s0", "s1", "s2");
    }

    /** Contending changes are proposed, some of them by the joining machine, while it replaces a dead member. */
    @Test
    public void contendingChangesDoNotBlockAReplacement() {
        for (int seed = 0; seed < 1500; seed++) {
            ChangingCoreCluster cluster = new ChangingCoreCluster(3);
            Random random = new Random(seed);
            cluster.join("s3", "n3");
            cluster.settle(1);
            cluster.crash(cluster.node("s0"));
            cluster.links.connectionChooser = random::nextInt;
            for (int i = 0; i < 15; i++) {
                String host = "h" + i + ".example";
                for (String proposer : List.of("s3", random.nextBoolean() ? "s1" : "s2")) {
                    String route = ConfigurationRequests.route(proposer + 'r' + i, 2, host);
                    cluster.change(cluster.node(proposer), ConfigurationRequests.change(route));
                }
                cluster.links.deliver(random.nextInt(120));
                cluster.tick();
            }
            cluster.settleInOrder(8);
            assertChangeIsCommitted(cluster, "s1", "last" + seed);
            cluster.assertCore("s1", "s2", "s3");
        }
    }

    /** Two members have lost their disks and recovered, one after the other, before the third member is replaced. */
    @Test
    public void membersRecoveredFromDiskLossSurviveAReplacement() {
        ChangingCoreCluster cluster = new ChangingCoreCluster(3);
        for (String lost : List.of("s1", "s0")) {
            VirtualNode node = cluster.node(lost);
            cluster.crash(node);
            cluster.settle(1);
            ChangingCoreCluster.wipe(node);
            node.start(false);
            cluster.settle(6);
        }
        cluster.crash(cluster.node("s2"));
        cluster.settle(1);
        cluster.join("s3", "n3");
        cluster.settle(6);
        assertChangeIsCommitted(cluster, "s0", "afterwards");
        cluster.assertCore("s0", "s1", "s3");
    }

    private static void assertChangeIsCommitted(ChangingCoreCluster cluster, String ip, String route) {
        RecordedReply reply = cluster.change(
                cluster.node(ip),
                ConfigurationRequests.change(ConfigurationRequests.route(route, 2, route + ".example")));
        cluster.links.deliverAll();
        cluster.settle(1);
        assertEquals(reply.status, OperationStatus.OK, ip + ' ' + cluster.core(ip));
    }
}
