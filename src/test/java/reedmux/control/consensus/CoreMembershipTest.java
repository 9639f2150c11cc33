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

/**
 * Tests changes of the core with messages of different connections in any order, and single members message by message.
 */
public class CoreMembershipTest {
    private static final int EXPLORED_ORDERS = 500;
    private static final int SAMPLED_ORDERS = 500;

    private static String routeChange(String name) {
        return routeChange(name, name + ".example");
    }

    private static String routeChange(String name, String host) {
        return change(route(name, 2, host));
    }

    /** Explores the orders of the last messages, and as many random orders. */
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

    /** Asserts that all running members have the route if the change was acknowledged. */
    private static void assertCommittedIfAcknowledged(ChangingCoreCluster cluster, RecordedReply reply, String name) {
        if (reply.isOk()) {
            CoreMembers core = cluster.node("s0").up ? cluster.core("s0") : cluster.core("s1");
            for (String ip : core.ips()) {
                assertTrue(!cluster.node(ip).up || cluster.node(ip).hasRoute(name), name + " is missing at " + ip);
            }
        }
    }

    /**
     * Configuration changes continue while one member joins and one leaves. All nodes must end with one core and every
     * acknowledged change.
     */
    @Test
    public void membersJoinAndLeaveWhileTheConfigurationIsChanged() {
        explore("join and leave", 3, (cluster, choice) -> {
            cluster.join("s3", "n3");
            cluster.settle(1);
            cluster.links.connectionChooser = choice;
            RecordedReply firstReply = null;
            RecordedReply secondReply = null;
            RecordedReply thirdReply = null;
            for (int i = 0; i < 12; i++) {
                cluster.tick();
                cluster.links.deliver(14);
                if (i == 3) {
                    firstReply = cluster.change(cluster.node("s0"), routeChange("one"));
                    secondReply = cluster.change(cluster.node("s1"), routeChange("two"));
                } else if (i == 8) {
                    thirdReply = cluster.change(cluster.node("s2"), routeChange("three"));
                    cluster.node("s0").membership.requestRemoval(cluster.now, "n2", new RecordedReply());
                }
            }
            cluster.links.deliverAll();
            cluster.settleInOrder(6);
            assertCommittedIfAcknowledged(cluster, firstReply, "one");
            assertCommittedIfAcknowledged(cluster, secondReply, "two");
            assertCommittedIfAcknowledged(cluster, thirdReply, "three");
            assertTrue(cluster.core("s0").contains("s3"));
            assertEquals(cluster.core("s0").contains("s2"), cluster.membersByEpoch.size() < 3);
        });
    }

    /**
     * A change that only the lost member and one other have must be handed over before the replacement is complete.
     * Then that other member may be lost too.
     */
    @Test
    public void secondMemberLossAfterAReplacementLosesNoAcknowledgedChange() {
        int[] replacements = {0};
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
            replacements[0]++;
            assertTrue(cluster.node("s1").hasRoute("one") || cluster.node("s3").hasRoute("one"));
            cluster.crash(cluster.node("s0"));
            cluster.settleInOrder(6);
            assertTrue(cluster.node("s1").hasRoute("one") && cluster.node("s3").hasRoute("one"));
        });
        assertTrue(replacements[0] > orders / 2, replacements[0] + " of " + orders);
        Reporter.log("second loss: replacements completed: " + replacements[0], true);
    }

    /**
     * Ticks a node without the states of its peers: the candidate learns only through a handover, and s1 has not
     * received the change yet.
     */
    private static void tickWithoutStateOfPeers(ChangingCoreCluster cluster, VirtualNode node) {
        for (VirtualNode peer : cluster.nodes.values()) {
            if (cluster.canConnect(node, peer)) {
                cluster.connect(node, peer);
            }
        }
        if (!node.up) {
            return;
        }
        List<VirtualNode> livePeers = cluster.nodes.values().stream()
                .filter(peer -> peer != node && peer.up)
                .toList();
        if (node.ip.equals("s3")) {
            for (VirtualNode peer : livePeers) {
                node.consensus.onPeerState(cluster.now, peer.ip, true, List.of(), List.of());
            }
        }
        for (VirtualNode peer : livePeers) {
            node.announceCore(peer.ip);
        }
        node.membership.onTick(cluster.now);
    }

    /** Two nodes consider themselves the leader. Only one of their changes may succeed in each epoch. */
    @Test
    public void concurrentCoreChangesAreSerialized() {
        explore("concurrent core changes", 5, (cluster, choice) -> {
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

    /**
     * All nodes lose power at an arbitrary message of a core change. After the restart the change must be completed or
     * abandoned as a whole, even if a disk was lost.
     */
    @Test
    public void incompleteCoreChangeIsCompletedAfterAPowerLoss() {
        for (boolean diskLost : new boolean[] {false, true}) {
            explore("power loss" + (diskLost ? ", one disk lost" : ""), 3, (cluster, choice) -> {
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
                if (diskLost) {
                    ChangingCoreCluster.wipe(cluster.node("s2"));
                }
                for (VirtualNode node : cluster.nodes.values()) {
                    node.start(!(diskLost && node.ip.equals("s2")) && !node.ip.equals("s3"));
                }
                cluster.settleInOrder(12);
                assertCommittedIfAcknowledged(cluster, reply, "one");
                cluster.assertCore("s0", "s1", "s2", "s3");
            });
        }
    }

    /** The leader is frozen during a core change and resumes after the other nodes have made another change. */
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
            // Its messages are delivered much later, and it receives none.
            Map<String, Deque<Runnable>> delayedMessages = cluster.links.suspendAllFrom("s0");
            for (String peer : List.of("s1", "s2", "s3", "s4")) {
                cluster.partition("s0", peer);
            }
            cluster.settleInOrder(4);
            cluster.node("s1").membership.requestRemoval(cluster.now, "n3", new RecordedReply());
            cluster.settle(4);
            CoreLeader leader = cluster.node("s1").membership.leader();
            assertEquals(leader.ip(), "s1");
            assertEquals(leader.epoch(), cluster.core("s1").epoch());
            cluster.healAll();
            cluster.connect();
            cluster.links.resume(delayedMessages);
            cluster.links.connectionChooser = choice;
            cluster.node("s0").membership.onTick(cluster.now);
            cluster.links.deliverAll();
            cluster.settleInOrder(4);
            assertEquals(cluster.core("s0").ips(), cluster.core("s1").ips());
            assertFalse(cluster.core("s0").contains("s3"));
        });
    }

    /**
     * A majority of the first core was down during two core changes. It must decide nothing, and must learn the current
     * core.
     */
    @Test
    public void majorityOfAnOldCoreCannotDecide() {
        for (boolean reconnects : new boolean[] {false, true}) {
            ChangingCoreCluster cluster = new ChangingCoreCluster(3);
            cluster.crash(cluster.node("s2"));
            cluster.join("s3", "n2");
            cluster.settle(4);
            assertTrue(cluster.core("s0").contains("s3"));
            cluster.crash(cluster.node("s1"));
            cluster.join("s4", "n1");
            cluster.settle(4);
            RecordedReply currentCoreReply = cluster.change(cluster.node("s0"), routeChange("one"));
            cluster.links.deliverAll();
            assertEquals(currentCoreReply.status, OperationStatus.OK);
            for (String oldMember : List.of("s1", "s2")) {
                for (String currentMember : List.of("s0", "s3", "s4")) {
                    cluster.partition(oldMember, currentMember);
                }
            }
            cluster.node("s1").start(true);
            cluster.node("s2").start(true);
            cluster.settle(2);
            RecordedReply oldCoreReply = cluster.change(cluster.node("s2"), routeChange("two", "one.example"));
            cluster.links.deliverAll();
            cluster.settle(2);
            assertNotEquals(oldCoreReply.status, OperationStatus.OK);
            if (reconnects) {
                cluster.healAll();
                cluster.settle(3);
                cluster.assertCore("s0", "s3", "s4");
                assertFalse(
                        cluster.node("s1").membership.isCandidate(),
                        "a replaced member must not request to join again");
            }
        }
    }

    /**
     * A node without a disk has no core until a peer announces one. It accepts an outdated core until it learns a newer
     * one.
     */
    @Test
    public void nodeWithoutDiskLearnsTheCoreFromItsPeers() {
        ChangingCoreCluster cluster = new ChangingCoreCluster(3);
        for (String memberIp : List.of("s0", "s1", "s2")) {
            cluster.partition("s3", memberIp);
        }
        cluster.join("s3", "n3");
        cluster.settle(3);
        assertNull(cluster.core("s3"));
        assertFalse(cluster.node("s3").consensus.isCurrent());
        RecordedReply reply = cluster.change(cluster.node("s3"), routeChange("one"));
        assertEquals(reply.status, OperationStatus.UNAVAILABLE);
        // It reaches only a member that was partitioned while the other members added a node.
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
        cluster.settle(6); // s2 was considered dead and has to join again, too
        cluster.assertCore("s0", "s1", "s2", "s3", "s4");
    }

    /**
     * A member that restarts at its address with an empty disk is still the same member, and has the full state before
     * it votes.
     */
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

    /** A removal is rejected if too few members would remain, is idempotent, and works for a member that is down. */
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
                "three members must remain while all are up");
        cluster.crash(cluster.node("s2"));
        cluster.settle(1);
        RecordedReply removal = new RecordedReply();
        leader.requestRemoval(cluster.now, "n2", removal);
        cluster.settle(2);
        assertEquals(removal.status, OperationStatus.OK);
        cluster.assertCore("s0", "s1");
        assertEquals(immediateRemovalStatus(cluster, leader, "n2"), OperationStatus.OK, "a repeated removal");
        assertEquals(
                immediateRemovalStatus(cluster, leader, "n1"),
                OperationStatus.CONFLICT,
                "at least two replicas are required");
    }

    /** Returns the status of the immediate reply to a removal request. */
    private static int immediateRemovalStatus(ChangingCoreCluster cluster, CoreMembership membership, String node) {
        RecordedReply reply = new RecordedReply();
        membership.requestRemoval(cluster.now, node, reply);
        return reply.status;
    }

    // ---- One member of three, message by message ---------------------------------------------------

    private static final Ballot SECOND_OF_S1 = new Ballot(2, "s1");

    /**
     * Creates s0, connected to s1 and s2. It has accepted {@code value} under {@code accepted}, unless they are null.
     */
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

    /** Returns the core of epoch 1. */
    private static CoreMembers nextCore(String... ips) {
        Map<String, String> nodeNames = new HashMap<>();
        for (String ip : ips) {
            nodeNames.put(ip, "");
        }
        return new CoreMembers(1, nodeNames);
    }

    /** A value that another node may have decided on takes precedence over the value that this node wants. */
    @Test
    public void valueAcceptedUnderTheHighestBallotIsProposedAgain() {
        SingleNodeCluster cluster = memberOfThree(new Ballot(1, "s0"), nextCore("s0", "s1", "s2", "s3"), true);
        cluster.node.membership.onTick(2 * SECOND_MICROS);
        Ballot ownBallot = new Ballot(2, "s0");
        cluster.recorder.sent.clear();
        CoreMembers acceptedByPeer = nextCore("s0", "s1", "s2", "s4");
        receive(cluster, "s2", EpochMessageType.PROMISE, ownBallot, new Ballot(1, "s1"), acceptedByPeer);
        assertEquals(
                cluster.sentBesidesHandoverRequests(),
                List.of(
                        "ACCEPT to s1 [s0, s1, s2, s4]",
                        "ACCEPT to s2 [s0, s1, s2, s4]",
                        "ACCEPT to s4 [s0, s1, s2, s4]"));
    }

    /** A core is decided by a quorum of the current members and a quorum of the next members, in any order. */
    @Test
    public void quorumsOfBothCoresAreNeeded() {
        for (List<String> order : List.of(List.of("s1", "s2", "s3", "s4"), List.of("s3", "s4", "s1", "s2"))) {
            SingleNodeCluster cluster = memberOfThree(new Ballot(1, "s0"), nextCore("s1", "s3", "s4"), true);
            CoreMembership membership = cluster.node.membership;
            membership.onTick(2 * SECOND_MICROS);
            Ballot ownBallot = new Ballot(2, "s0");
            receive(cluster, "s2", EpochMessageType.PROMISE, ownBallot, null, null);
            for (int i = 0; i < order.size(); i++) {
                assertEquals(membership.epoch(), 0, "after " + i + " of " + order);
                receive(cluster, order.get(i), EpochMessageType.ACCEPTED, ownBallot, null, null);
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
