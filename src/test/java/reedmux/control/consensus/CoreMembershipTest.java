package reedmux.control.consensus;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;
import static reedmux.control.consensus.ConfigurationRequests.change;
import static reedmux.control.consensus.ConfigurationRequests.route;
import static reedmux.control.consensus.VirtualCluster.SECOND_MICROS;

import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.BiConsumer;
import java.util.function.IntUnaryOperator;
import org.testng.Reporter;
import org.testng.annotations.Test;
import reedmux.testing.ScheduleExplorer;

/** Changes of the core, with messages in every order across connections; and single members, message by message. */
public class CoreMembershipTest {
    private static final int EXPLORED_ORDERS = 500;
    private static final int SAMPLED_ORDERS = 500;

    private static String routeChange(String name) {
        return routeChange(name, name + ".example");
    }

    private static String routeChange(String name, String host) {
        return change(route(name, 2, host));
    }

    /** All orders of the last messages, and as many drawn ones. */
    private static int explore(
            String scenario, int members, BiConsumer<ChangingCoreCluster, IntUnaryOperator> runSchedule) {
        int orders = ScheduleExplorer.exploreAll(
                EXPLORED_ORDERS, schedule -> runSchedule.accept(new ChangingCoreCluster(members), schedule::choose));
        for (int seed = 0; seed < SAMPLED_ORDERS; seed++) {
            Random random = new Random(seed);
            runSchedule.accept(new ChangingCoreCluster(members), random::nextInt);
        }
        orders += SAMPLED_ORDERS;
        Reporter.log(scenario + ": " + orders + " orders", true);
        return orders;
    }

    /** Where the change was acknowledged, all members that are up have its route. */
    private static void assertCommittedIfAcknowledged(ChangingCoreCluster cluster, RecordedReply reply, String name) {
        if (reply.isOk()) {
            CoreMembers core = cluster.node("s0").up ? cluster.core("s0") : cluster.core("s1");
            for (String ip : core.ips()) {
                assertTrue(!cluster.node(ip).up || cluster.node(ip).hasRoute(name), name + " is missing at " + ip);
            }
        }
    }

    /** Changes go on while one joins and one leaves; all end with one core and all that was acknowledged. */
    @Test
    public void membersJoinAndLeaveWhileTheConfigurationIsChanged() {
        explore("join and leave", 3, (cluster, choice) -> {
            cluster.join("s3", "n3");
            cluster.settle(1);
            cluster.links.connectionChooser = choice;
            RecordedReply one = null;
            RecordedReply two = null;
            RecordedReply three = null;
            for (int i = 0; i < 12; i++) {
                cluster.tick();
                cluster.links.deliver(14);
                if (i == 3) {
                    one = cluster.change(cluster.node("s0"), routeChange("one"));
                    two = cluster.change(cluster.node("s1"), routeChange("two"));
                } else if (i == 8) {
                    three = cluster.change(cluster.node("s2"), routeChange("three"));
                    cluster.node("s0").membership.requestRemoval(cluster.now, "n2", new RecordedReply());
                }
            }
            cluster.links.deliverAll();
            cluster.settleInOrder(6);
            assertCommittedIfAcknowledged(cluster, one, "one");
            assertCommittedIfAcknowledged(cluster, two, "two");
            assertCommittedIfAcknowledged(cluster, three, "three");
            assertTrue(cluster.core("s0").contains("s3"));
            assertEquals(cluster.core("s0").contains("s2"), cluster.membersByEpoch.size() < 3);
        });
    }

    /** What only the lost member and one other have is handed over first: then that other may be lost, too. */
    @Test
    public void secondMemberLossAfterAReplacementLosesNoAcknowledgedChange() {
        int[] replaced = {0};
        int orders = explore("second loss", 3, (cluster, choice) -> {
            cluster.partition("s0", "s1");
            cluster.partition("s2", "s1");
            cluster.connect();
            RecordedReply reply = cluster.change(cluster.node("s0"), routeChange("one"));
            cluster.links.deliverAll();
            assertEquals(reply.status, OperationStatus.OK);
            assertFalse(cluster.node("s1").hasRoute("one"));
            cluster.crash(cluster.node("s2"));
            cluster.healAll();
            cluster.join("s3", "n2");
            cluster.links.connectionChooser = choice;
            for (int i = 0; i < 20 && cluster.core("s1").epoch() == 0; i++) {
                cluster.now += ChangingCoreCluster.TICK_MICROS;
                for (VirtualNode node : cluster.nodes.values()) {
                    tickWithoutStateOfPeers(cluster, node);
                }
                cluster.links.deliver(10);
            }
            if (!cluster.core("s1").contains("s3")) {
                return;
            }
            replaced[0]++;
            assertTrue(cluster.node("s1").hasRoute("one") || cluster.node("s3").hasRoute("one"));
            cluster.crash(cluster.node("s0"));
            cluster.settleInOrder(6);
            assertTrue(cluster.node("s1").hasRoute("one") && cluster.node("s3").hasRoute("one"));
        });
        assertTrue(replaced[0] > orders / 2, replaced[0] + " of " + orders);
        Reporter.log("second loss: replaced in " + replaced[0], true);
    }

    /** The candidate learns by a handover alone, and s1 has not been told of the change yet. */
    private static void tickWithoutStateOfPeers(ChangingCoreCluster cluster, VirtualNode node) {
        for (VirtualNode other : cluster.nodes.values()) {
            if (cluster.canConnect(node, other)) {
                cluster.connect(node, other);
            }
        }
        if (!node.up) {
            return;
        }
        List<VirtualNode> others = cluster.nodes.values().stream()
                .filter(other -> other != node && other.up)
                .toList();
        if (node.ip.equals("s3")) {
            for (VirtualNode other : others) {
                node.consensus.onPeerState(cluster.now, other.ip, true, List.of(), List.of());
            }
        }
        for (VirtualNode other : others) {
            node.announceCore(other.ip);
        }
        node.membership.onTick(cluster.now);
    }

    /** Two nodes take themselves for the leader: of their changes one holds in each epoch. */
    @Test
    public void concurrentCoreChangesAreSerialized() {
        explore("two changes", 5, (cluster, choice) -> {
            cluster.join("s4", "n4");
            cluster.settle(2);
            cluster.partition("s0", "s1");
            cluster.connect();
            cluster.links.connectionChooser = choice;
            cluster.node("s0").membership.requestRemoval(cluster.now, "n3", new RecordedReply());
            cluster.node("s1").membership.requestRemoval(cluster.now, "n2", new RecordedReply());
            for (int i = 0; i < 6; i++) {
                cluster.tick();
                cluster.links.deliver(9);
            }
            cluster.healAll();
            cluster.links.deliverAll();
            cluster.settleInOrder(8);
            assertEquals(cluster.core("s1").ips(), cluster.core("s0").ips());
            assertEquals(cluster.core("s4").epoch(), cluster.core("s0").epoch());
        });
    }

    /** The power goes at any message of a change, at all nodes; with their disks it is carried through or not. */
    @Test
    public void incompleteCoreChangeIsCompletedAfterAPowerLoss() {
        for (boolean wiped : new boolean[] {false, true}) {
            explore("power" + (wiped ? ", a disk lost" : ""), 3, (cluster, choice) -> {
                cluster.join("s3", "n3");
                cluster.settle(1);
                RecordedReply reply = cluster.change(cluster.node("s1"), routeChange("one"));
                for (int i = 0; i < 3; i++) {
                    cluster.tick();
                }
                cluster.links.connectionChooser = choice;
                cluster.links.deliver(4 + choice.applyAsInt(30));
                for (VirtualNode node : cluster.nodes.values()) {
                    cluster.crash(node);
                }
                cluster.links.loseAll();
                if (wiped) {
                    ChangingCoreCluster.wipe(cluster.node("s2"));
                }
                for (VirtualNode node : cluster.nodes.values()) {
                    node.start(!(wiped && node.ip.equals("s2")) && !node.ip.equals("s3"));
                }
                cluster.settleInOrder(12);
                assertCommittedIfAcknowledged(cluster, reply, "one");
                cluster.assertCore("s0", "s1", "s2", "s3");
            });
        }
    }

    /** The leader is frozen in the middle of a change and wakes after others have made another. */
    @Test
    public void resumedLeaderOfAnOlderEpochIsRejected() {
        explore("frozen leader", 4, (cluster, choice) -> {
            cluster.join("s4", "n4");
            cluster.settle(1);
            cluster.links.connectionChooser = choice;
            for (int i = 0; i < 4; i++) {
                cluster.tick();
            }
            cluster.links.deliver(choice.applyAsInt(25));
            // What it has sent is delivered long after; it hears nothing.
            Map<String, Deque<Runnable>> late = cluster.links.suspendAllFrom("s0");
            for (String other : List.of("s1", "s2", "s3", "s4")) {
                cluster.partition("s0", other);
            }
            cluster.settleInOrder(4);
            cluster.node("s1").membership.requestRemoval(cluster.now, "n3", new RecordedReply());
            cluster.settle(4);
            CoreLeader leader = cluster.node("s1").membership.leader();
            assertEquals(leader.ip(), "s1");
            assertEquals(leader.epoch(), cluster.core("s1").epoch());
            cluster.healAll();
            cluster.connect();
            cluster.links.resume(late);
            cluster.links.connectionChooser = choice;
            cluster.node("s0").membership.onTick(cluster.now);
            cluster.links.deliverAll();
            cluster.settleInOrder(4);
            assertEquals(cluster.core("s0").ips(), cluster.core("s1").ips());
            assertFalse(cluster.core("s0").contains("s3"));
        });
    }

    /** A majority of the first core that slept through two changes decides nothing, and is told of the core. */
    @Test
    public void majorityOfAnOldCoreCannotDecide() {
        for (boolean learns : new boolean[] {false, true}) {
            ChangingCoreCluster cluster = new ChangingCoreCluster(3);
            cluster.crash(cluster.node("s2"));
            cluster.join("s3", "n2");
            cluster.settle(4);
            assertTrue(cluster.core("s0").contains("s3"));
            cluster.crash(cluster.node("s1"));
            cluster.join("s4", "n1");
            cluster.settle(4);
            RecordedReply one = cluster.change(cluster.node("s0"), routeChange("one"));
            cluster.links.deliverAll();
            assertEquals(one.status, OperationStatus.OK);
            for (String old : List.of("s1", "s2")) {
                for (String other : List.of("s0", "s3", "s4")) {
                    cluster.partition(old, other);
                }
            }
            cluster.node("s1").start(true);
            cluster.node("s2").start(true);
            cluster.settle(2);
            RecordedReply two = cluster.change(cluster.node("s2"), routeChange("two", "one.example"));
            cluster.links.deliverAll();
            cluster.settle(2);
            assertNotEquals(two.status, OperationStatus.OK);
            if (learns) {
                cluster.healAll();
                cluster.settle(3);
                cluster.assertCore("s0", "s3", "s4");
                assertFalse(cluster.node("s1").membership.isCandidate(), "who was taken out does not come back");
            }
        }
    }

    /** Without a disk and with no one who knows it, a node has no core; a stale one is taken until a newer comes. */
    @Test
    public void nodeWithoutDiskLearnsTheCoreFromItsPeers() {
        ChangingCoreCluster cluster = new ChangingCoreCluster(3);
        for (String other : List.of("s0", "s1", "s2")) {
            cluster.partition("s3", other);
        }
        cluster.join("s3", "n3");
        cluster.settle(3);
        assertNull(cluster.core("s3"));
        assertFalse(cluster.node("s3").consensus.isCurrent());
        RecordedReply reply = cluster.change(cluster.node("s3"), routeChange("one"));
        assertEquals(reply.status, OperationStatus.UNAVAILABLE);
        // It reaches only a member that was cut off while the others took in another.
        cluster.heal("s3", "s2");
        cluster.partition("s2", "s0");
        cluster.partition("s2", "s1");
        cluster.partition("s2", "s4");
        cluster.partition("s3", "s4");
        cluster.join("s4", "n4");
        cluster.settle(4);
        assertTrue(cluster.core("s0").contains("s4"));
        assertEquals(cluster.core("s3").epoch(), 0);
        assertFalse(cluster.node("s3").consensus.isCurrent());
        cluster.healAll();
        cluster.settle(6); // s2 was taken for dead and has to join again, too
        cluster.assertCore("s0", "s1", "s2", "s3", "s4");
    }

    /** A member whose disk comes back empty at its address is the same member; it has all before it counts. */
    @Test
    public void memberThatLostItsDiskKeepsItsMembership() {
        ChangingCoreCluster cluster = new ChangingCoreCluster(3);
        cluster.crash(cluster.node("s1"));
        ChangingCoreCluster.wipe(cluster.node("s1"));
        cluster.change(cluster.node("s0"), routeChange("one"));
        cluster.links.deliverAll();
        cluster.node("s1").start(false);
        cluster.settle(3);
        assertTrue(cluster.node("s1").hasRoute("one"));
        cluster.assertCore("s0", "s1", "s2");
        assertEquals(cluster.core("s0").epoch(), 0);
    }

    /** A removal is rejected where too few would be left, is idempotent, and takes out who is down. */
    @Test
    public void removalKeepsTheCoreLargeEnough() {
        ChangingCoreCluster cluster = new ChangingCoreCluster(3);
        CoreMembership leader = cluster.node("s0").membership;
        assertEquals(
                immediateRemovalStatus(cluster, cluster.node("s1").membership, "n2"),
                OperationStatus.UNAVAILABLE,
                "not the leader");
        assertEquals(
                immediateRemovalStatus(cluster, leader, "n2"),
                OperationStatus.CONFLICT,
                "three are needed while all are up");
        cluster.crash(cluster.node("s2"));
        cluster.settle(1);
        RecordedReply removal = new RecordedReply();
        leader.requestRemoval(cluster.now, "n2", removal);
        cluster.settle(2);
        assertEquals(removal.status, OperationStatus.OK);
        cluster.assertCore("s0", "s1");
        assertEquals(immediateRemovalStatus(cluster, leader, "n2"), OperationStatus.OK, "the same again");
        assertEquals(
                immediateRemovalStatus(cluster, leader, "n1"), OperationStatus.CONFLICT, "two replicas are promised");
    }

    /** What a removal is answered at once. */
    private static int immediateRemovalStatus(ChangingCoreCluster cluster, CoreMembership membership, String node) {
        RecordedReply reply = new RecordedReply();
        membership.requestRemoval(cluster.now, node, reply);
        return reply.status;
    }

    // ---- One member of three, message by message ---------------------------------------------------

    private static final Ballot SECOND_OF_S1 = new Ballot(2, "s1");

    /** s0, connected to s1 and s2; it has accepted {@code value} under {@code accepted}, unless they are null. */
    private static SingleNodeCluster memberOfThree(Ballot accepted, CoreMembers value, boolean diskIntact) {
        CoreMembers core = CoreMembers.initial(List.of("s0", "s1", "s2"));
        SingleNodeCluster cluster =
                new SingleNodeCluster(new PersistentCoreState(core, accepted, accepted, value, false), diskIntact);
        cluster.node.membership.onPeerConnected(cluster.now, "s1", "n1");
        cluster.node.membership.onPeerConnected(cluster.now, "s2", "n2");
        return cluster;
    }

    private static void receive(
            SingleNodeCluster cluster,
            String from,
            EpochMessageType type,
            Ballot ballot,
            Ballot acceptedBallot,
            CoreMembers value) {
        cluster.node.membership.onEpochMessage(
                cluster.now, from, new EpochMessage(type, 0, ballot, acceptedBallot, value));
    }

    /** The core of epoch 1. */
    private static CoreMembers nextCore(String... ips) {
        Map<String, String> nodeNames = new HashMap<>();
        for (String ip : ips) {
            nodeNames.put(ip, "");
        }
        return new CoreMembers(1, nodeNames);
    }

    /** What another may have decided on goes before what is wanted here. */
    @Test
    public void valueAcceptedUnderTheHighestBallotIsProposedAgain() {
        SingleNodeCluster cluster = memberOfThree(new Ballot(1, "s0"), nextCore("s0", "s1", "s2", "s3"), true);
        cluster.node.membership.onTick(2 * SECOND_MICROS);
        Ballot own = new Ballot(2, "s0");
        cluster.recorder.sent.clear();
        CoreMembers other = nextCore("s0", "s1", "s2", "s4");
        receive(cluster, "s2", EpochMessageType.PROMISE, own, new Ballot(1, "s1"), other);
        assertEquals(
                cluster.sentBesidesHandoverRequests(),
                List.of(
                        "ACCEPT to s1 [s0, s1, s2, s4]",
                        "ACCEPT to s2 [s0, s1, s2, s4]",
                        "ACCEPT to s4 [s0, s1, s2, s4]"));
    }

    /** A core is decided on by a quorum of the members and one of those after it, whichever comes first. */
    @Test
    public void quorumsOfBothCoresAreNeeded() {
        for (List<String> order : List.of(List.of("s1", "s2", "s3", "s4"), List.of("s3", "s4", "s1", "s2"))) {
            SingleNodeCluster cluster = memberOfThree(new Ballot(1, "s0"), nextCore("s1", "s3", "s4"), true);
            CoreMembership membership = cluster.node.membership;
            membership.onTick(2 * SECOND_MICROS);
            Ballot own = new Ballot(2, "s0");
            receive(cluster, "s2", EpochMessageType.PROMISE, own, null, null);
            for (int i = 0; i < order.size(); i++) {
                assertEquals(membership.epoch(), 0, "after " + i + " of " + order);
                receive(cluster, order.get(i), EpochMessageType.ACCEPTED, own, null, null);
                if (membership.epoch() == 1) {
                    assertTrue(i >= 2);
                    break;
                }
            }
            assertEquals(membership.epoch(), 1);
        }
    }

    @Test
    public void acceptedValueSurvivesARestartAndFencesTheNode() {
        assertTrue(memberOfThree(SECOND_OF_S1, nextCore("s0", "s1", "s3"), true)
                .node
                .membership
                .isFenced());
    }

    @Test
    public void senderOfAnotherEpochReceivesTheCurrentCore() {
        SingleNodeCluster cluster = memberOfThree(null, null, true);
        assertTrue(cluster.node.membership.acceptsEpoch("s1", 0));
        assertFalse(cluster.node.membership.acceptsEpoch("s1", -1));
        assertFalse(cluster.node.membership.acceptsEpoch("s1", 1));
        assertEquals(cluster.recorder.sent, List.of("core to s1", "core to s1"));
    }

    @Test
    public void memberThatLostItsDiskPromisesAndAcceptsNothing() {
        SingleNodeCluster cluster = memberOfThree(null, null, false);
        receive(cluster, "s1", EpochMessageType.PREPARE, SECOND_OF_S1, null, null);
        receive(cluster, "s1", EpochMessageType.ACCEPT, SECOND_OF_S1, null, nextCore("s0", "s1", "s3"));
        assertEquals(cluster.recorder.sent, List.of());
        assertFalse(cluster.node.membership.isFenced());
    }

    @Test
    public void messagesAreNotAnsweredBeforeTheStateIsPersisted() {
        SingleNodeCluster cluster = memberOfThree(SECOND_OF_S1, nextCore("s0", "s1", "s3"), true);
        cluster.node.disk = VirtualNode.Disk.FAILING;
        cluster.node.membership.onTick(2 * SECOND_MICROS);
        receive(cluster, "s1", EpochMessageType.PREPARE, new Ballot(9, "s1"), null, null);
        receive(cluster, "s1", EpochMessageType.ACCEPT, new Ballot(9, "s1"), null, nextCore("s1", "s2", "s3"));
        assertEquals(cluster.sentBesidesHandoverRequests(), List.of());
    }
}
