package reedmux.control.consensus;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;
import static reedmux.control.consensus.ConfigurationRequests.change;
import static reedmux.control.consensus.ConfigurationRequests.item;
import static reedmux.control.consensus.ConfigurationRequests.removeRoute;
import static reedmux.control.consensus.ConfigurationRequests.route;
import static reedmux.control.consensus.VirtualCluster.SECOND_MICROS;

import java.util.List;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.testng.Reporter;
import org.testng.annotations.Test;
import reedmux.control.configuration.ConfigurationChangeFormat;
import reedmux.control.configuration.InvalidConfigurationException;
import reedmux.testing.ScheduleExplorer;

/** Explores all delivery orders of the messages between three nodes, and tests the votes of single nodes. */
public class ConsensusNodeTest {
    private static final int MAX_ORDERS = 20_000;

    private static int explore(String scenario, java.util.function.Consumer<ScheduleExplorer> runSchedule) {
        int orders = ScheduleExplorer.exploreAll(MAX_ORDERS, runSchedule);
        Reporter.log(scenario + ": " + orders + " orders", true);
        return orders;
    }

    @Test
    public void routesWithTheSameHostAndPrefixAreNeverBothCommitted() {
        int[] committed = {0};
        int orders = explore("same host and prefix at two nodes", schedule -> {
            FixedCoreCluster cluster = new FixedCoreCluster();
            RecordedReply firstReply = cluster.change(cluster.node(0), change(route("one", 2, "h.example")));
            RecordedReply secondReply = cluster.change(cluster.node(1), change(route("two", 2, "h.example")));
            cluster.messages.deliverAll(schedule::choose);
            cluster.settle();
            cluster.assertAgreed();
            assertFalse(firstReply.isOk() && secondReply.isOk());
            committed[0] += firstReply.isOk() || secondReply.isOk() ? 1 : 0;
            assertTrue(!firstReply.isOk() || cluster.node(2).hasRoute("one", 2));
            assertTrue(!secondReply.isOk() || cluster.node(2).hasRoute("two", 2));
        });
        assertTrue(orders > 100 && committed[0] > 0, orders + " orders, " + committed[0] + " with one route committed");
    }

    @Test
    public void conflictingContentsOfARevisionAreNeverBothAcknowledged() {
        explore("same revision with two contents at two nodes", schedule -> {
            FixedCoreCluster cluster = new FixedCoreCluster();
            RecordedReply firstReply = cluster.change(cluster.node(0), change(route("one", 2, "h.example")));
            RecordedReply secondReply = cluster.change(cluster.node(1), change(route("one", 2, "other.example")));
            cluster.messages.deliverAll(schedule::choose);
            cluster.settle();
            cluster.assertAgreed();
            assertFalse(firstReply.isOk() && secondReply.isOk());
        });
    }

    @Test
    public void acknowledgedChangeSurvivesFailureOfItsProposer() {
        for (boolean wiped : new boolean[] {false, true}) {
            explore("the proposer crashes" + (wiped ? " and loses its disk" : ""), schedule -> {
                FixedCoreCluster cluster = new FixedCoreCluster();
                RecordedReply reply = cluster.change(cluster.node(0), change(route("one", 2, "h.example")));
                cluster.messages.deliverAll(messageCount -> {
                    // The proposer crashes as soon as it has acknowledged the change, with or without losing the
                    // messages it sent.
                    if (reply.isOk() && cluster.isUp(0)) {
                        cluster.setDown(0);
                        if (schedule.choose(2) == 0) {
                            cluster.messages.loseAll();
                            return -1;
                        }
                    }
                    return schedule.choose(messageCount);
                });
                boolean acknowledged = reply.isOk();
                cluster.setDown(0);
                cluster.now += SECOND_MICROS;
                cluster.disconnect(0);
                cluster.settle();
                if (acknowledged) {
                    assertTrue(cluster.node(1).hasRoute("one", 2)
                            && cluster.node(2).hasRoute("one", 2));
                }
                cluster.setAllUp();
                cluster.restart(0, wiped);
                assertFalse(cluster.node(0).consensus.isCurrent());
                cluster.settle();
                cluster.assertAgreed();
                assertTrue(cluster.node(0).consensus.isComplete());
            });
        }
    }

    @Test
    public void wipedNodeDoesNotVoteBeforeMergingThePeerStates() {
        FixedCoreCluster cluster = new FixedCoreCluster();
        cluster.restart(0, true);
        RecordedReply reply = cluster.change(cluster.node(1), change(route("one", 2, "h.example")));
        cluster.setDown(2); // only the wiped node could complete the quorum
        cluster.deliverInOrder();
        assertNotEquals(reply.status, OperationStatus.OK);
        cluster.setAllUp();
        cluster.settle();
        cluster.assertAgreed();
    }

    @Test
    public void changeIsNotAcknowledgedBeforeAQuorumHasPersistedIt() {
        FixedCoreCluster cluster = new FixedCoreCluster();
        cluster.node(1).disk = VirtualNode.Disk.STALLED;
        cluster.node(2).disk = VirtualNode.Disk.STALLED;
        RecordedReply reply = cluster.change(cluster.node(0), change(route("one", 2, "h.example")));
        cluster.deliverInOrder();
        assertEquals(reply.status, 0);
        cluster.now += SECOND_MICROS;
        cluster.tick(0);
        assertEquals(reply.status, OperationStatus.UNAVAILABLE);
    }

    @Test
    public void invalidChangesAreRejectedWithAReasonAndChangeNothing() {
        String[] invalid = {
            "{\"apply\":{\"signals\":[" + route("x", 3, "h.example"),
            change(route("x", 3, "")),
            change(route("x", 3, "h.example").replace("/a/", "a/")),
            change(route("x", 3, "h.example").replace("\"desk\"", "\"nowhere\"")),
            change(route("x", 3, "h.example"), route("y", 3, "H.example")),
            change(route("x", 3, "h.example")
                    .replace("\"plant\":\"desk\"", "\"split\":[{\"plant\":\"desk\",\"gain\":-1}]")),
            change(item("tenants", "t", 3, "{\"keys\":[\"k\"]}"), item("tenants", "u", 3, "{\"keys\":[\"k\"]}")),
            "{\"apply\":{},\"remove\":{\"plants\":[{\"name\":\"desk\",\"revision\":3}]},\"x\":"
        };
        for (String body : invalid) {
            FixedCoreCluster cluster = new FixedCoreCluster();
            TreeMap<String, Long> committedBefore = cluster.committed(0);
            RecordedReply reply = cluster.change(cluster.node(0), body);
            cluster.deliverInOrder();
            assertEquals(reply.status, OperationStatus.INVALID, body);
            assertTrue(reply.text.length() > 10, body);
            cluster.settle();
            assertEquals(cluster.committed(2), committedBefore);
        }
    }

    @Test
    public void onlyTheCommittedContentOfARevisionIsAcknowledged() {
        FixedCoreCluster cluster = new FixedCoreCluster();
        cluster.change(cluster.node(0), change(route("one", 5, "h.example")));
        cluster.deliverInOrder();
        TreeMap<String, Long> committedBefore = cluster.committed(0);
        RecordedReply otherContentReply = cluster.change(cluster.node(1), change(route("one", 5, "other.example")));
        RecordedReply olderRevisionReply = cluster.change(cluster.node(2), change(route("one", 4, "third.example")));
        RecordedReply sameContentReply = cluster.change(cluster.node(1), change(route("one", 5, "h.example")));
        cluster.deliverInOrder();
        assertEquals(otherContentReply.status, OperationStatus.CONFLICT);
        assertEquals(olderRevisionReply.status, OperationStatus.OK);
        assertEquals(sameContentReply.status, OperationStatus.OK);
        cluster.settle();
        assertEquals(cluster.committed(1), committedBefore);
    }

    @Test
    public void removedItemStaysRemoved() {
        FixedCoreCluster cluster = new FixedCoreCluster();
        cluster.change(cluster.node(0), change(route("one", 5, "h.example")));
        cluster.deliverInOrder();
        cluster.change(cluster.node(1), removeRoute("one", 7));
        cluster.deliverInOrder();
        cluster.change(cluster.node(2), change(route("one", 6, "h.example")));
        cluster.deliverInOrder();
        RecordedReply read = cluster.read(cluster.node(2));
        cluster.deliverInOrder();
        assertEquals(read.status, OperationStatus.OK);
        assertFalse(read.text.contains("h.example"));
    }

    // ---- One node, vote by vote --------------------------------------------------------------------

    /** Creates one of five members, with the service committed. */
    private static SingleNodeCluster oneOfFive() throws InvalidConfigurationException {
        SingleNodeCluster cluster = SingleNodeCluster.ofMembers("s0", "s1", "s2", "s3", "s4");
        cluster.node.replica.merge(ConfigurationChangeFormat.parse(ConfigurationRequests.SERVICE));
        return cluster;
    }

    private static Proposal proposal(String proposer, long number, String id, String item)
            throws InvalidConfigurationException {
        return new Proposal(id, new Ballot(number, proposer), ConfigurationChangeFormat.parse(change(item)));
    }

    /** Returns the node's reply to a proposal. */
    private static String vote(SingleNodeCluster cluster, String proposer, long number, String id, String item)
            throws InvalidConfigurationException {
        cluster.node.consensus.onProposal(cluster.now, proposer, proposal(proposer, number, id, item));
        return cluster.lastSent();
    }

    /**
     * An attempt with a higher ballot may be counting this node's vote, so a drop under a lower ballot must not revoke
     * it.
     */
    @Test
    public void dropUnderALowerBallotLeavesTheProposalPending() throws InvalidConfigurationException {
        SingleNodeCluster cluster = oneOfFive();
        String routeOne = route("one", 2, "h.example");
        assertEquals(vote(cluster, "s1", 1, "x", routeOne), "PREPARED under 1 of s1");
        assertEquals(vote(cluster, "s2", 2, "x", routeOne), "PREPARED under 2 of s2");
        cluster.node.consensus.onDecision(cluster.now, "x", new Ballot(1, "s1"), false, List.of());
        assertTrue(cluster.node.replica.isPending("x"));
        assertEquals(vote(cluster, "s3", 1, "z", route("two", 2, "h.example")), "BUSY under 1 of s3");
        cluster.node.consensus.onDecision(cluster.now, "x", new Ballot(2, "s2"), false, List.of());
        assertFalse(cluster.node.replica.isPending("x"));
    }

    /**
     * A node that has refused a proposal under one ballot must reject all lower ballots, whatever has been decided
     * since.
     */
    @Test
    public void lowerBallotIsRejected() throws InvalidConfigurationException {
        SingleNodeCluster cluster = oneOfFive();
        String routeOne = route("one", 2, "h.example");
        vote(cluster, "s3", 1, "z", route("two", 2, "h.example"));
        assertEquals(vote(cluster, "s2", 2, "x", routeOne), "BUSY under 2 of s2");
        cluster.node.consensus.onDecision(cluster.now, "z", new Ballot(1, "s3"), false, List.of());
        assertEquals(vote(cluster, "s1", 1, "x", routeOne), "SUPERSEDED under 1 of s1");
        assertEquals(vote(cluster, "s1", 3, "x", routeOne), "PREPARED under 3 of s1");
    }

    /**
     * A node may have lost its vote for a proposal with its disk, so proposals pending at its peers must become pending
     * there too.
     */
    @Test
    public void wipedNodePreparesProposalsPendingAtItsPeers() throws InvalidConfigurationException {
        SingleNodeCluster peer = oneOfFive();
        vote(peer, "s1", 1, "x", route("one", 2, "h.example"));
        SingleNodeCluster wiped =
                new SingleNodeCluster(VirtualCluster.firstCore(CoreMembers.initial(List.of("s0", "s1", "s2"))), false);
        ConsensusNode node = wiped.node.consensus;
        node.onPeerState(wiped.now, "s1", true, List.copyOf(peer.node.replica.committed()), List.of());
        assertFalse(node.isComplete());
        node.onPeerState(
                wiped.now,
                "s2",
                true,
                List.copyOf(peer.node.replica.committed()),
                List.copyOf(peer.node.replica.pending().values()));
        assertTrue(node.isComplete());
        node.onProposal(wiped.now, "s3", proposal("s3", 1, "z", route("two", 2, "h.example")));
        assertEquals(wiped.recorder.sent, List.of("BUSY under 1 of s3"));
    }

    /** A fenced node prepares no new proposals, but continues to vote on proposals that are already pending. */
    @Test
    public void fencedNodePreparesNoNewProposals() throws InvalidConfigurationException {
        SingleNodeCluster cluster = oneOfFive();
        String routeOne = route("one", 2, "h.example");
        assertEquals(vote(cluster, "s1", 1, "x", routeOne), "PREPARED under 1 of s1");
        cluster.node.consensus.setFenced(true);
        assertEquals(vote(cluster, "s2", 2, "x", routeOne), "PREPARED under 2 of s2");
        assertEquals(vote(cluster, "s2", 1, "y", route("three", 2, "three.example")), "BUSY under 1 of s2");
        assertEquals(new TreeSet<>(cluster.node.consensus.proposersVotedFor("x")), Set.of("s1", "s2"));
    }

    /**
     * A handed-over proposal becomes pending. One that is not precommitted is discarded if it conflicts with a pending
     * proposal, because no node can have committed it.
     */
    @Test
    public void handedOverPreparedProposalIsAdoptedUnlessItConflicts() throws InvalidConfigurationException {
        SingleNodeCluster cluster = oneOfFive();
        vote(cluster, "s1", 1, "x", route("one", 2, "h.example"));
        Proposal contending = proposal("s3", 1, "z", route("two", 2, "h.example"));
        Proposal independent = proposal("s3", 1, "o", route("o", 2, "o.example"));
        ConsensusNode node = cluster.node.consensus;
        node.onHandover(
                cluster.now, List.of(), List.of(contending, independent), List.of(List.of("s3"), List.of("s3")));
        assertTrue(cluster.node.replica.isPending("o"));
        assertTrue(cluster.node.replica.isPending("x"));
        assertFalse(cluster.node.replica.isPending("z"));
        assertTrue(node.resolvesInDoubtProposals(Set.of("s1", "s2")));
    }

    /**
     * A precommitted proposal, which may have been committed, replaces a conflicting one that can't have been, and is
     * persisted.
     */
    @Test
    public void handedOverPrecommittedProposalReplacesConflictingPreparedOne() throws InvalidConfigurationException {
        SingleNodeCluster cluster = oneOfFive();
        vote(cluster, "s1", 1, "x", route("one", 2, "h.example"));
        Proposal contending =
                proposal("s3", 1, "z", route("two", 2, "h.example")).asPrecommitted();
        ConsensusNode node = cluster.node.consensus;
        vote(cluster, "s1", 1, "y", route("other", 2, "other.example"));
        node.onHandover(cluster.now, List.of(), List.of(contending), List.of(List.of("s3")));
        assertTrue(cluster.node.replica.pending().get("z").precommitted());
        assertFalse(cluster.node.replica.isPending("x"));
        assertTrue(cluster.node.replica.isPending("y"), "a proposal that does not contend must stay pending");
        assertTrue(node.resolvesInDoubtProposals(Set.of("s1", "s2")));
    }

    /**
     * A proposal that is precommitted at another node becomes precommitted here, so that no later proposal replaces it.
     */
    @Test
    public void preparedProposalBecomesPrecommittedByHandover() throws InvalidConfigurationException {
        SingleNodeCluster cluster = oneOfFive();
        vote(cluster, "s1", 1, "x", route("one", 2, "h.example"));
        Proposal handedOver =
                proposal("s1", 2, "x", route("one", 2, "h.example")).asPrecommitted();
        Proposal contending =
                proposal("s3", 1, "z", route("two", 2, "h.example")).asPrecommitted();
        ConsensusNode node = cluster.node.consensus;
        node.onHandover(cluster.now, List.of(), List.of(handedOver, contending), List.of(List.of("s1"), List.of("s3")));
        assertTrue(cluster.node.replica.pending().get("x").precommitted());
        assertFalse(cluster.node.replica.isPending("z"));
        assertFalse(node.resolvesInDoubtProposals(Set.of("s1", "s2")));
    }

    /** Of two conflicting precommitted proposals, one stays in doubt while another node may still decide on it. */
    @Test
    public void handedOverProposalStaysInDoubtIfItConflictsWithAPrecommittedOne() throws InvalidConfigurationException {
        SingleNodeCluster cluster = oneOfFive();
        vote(cluster, "s1", 1, "x", route("one", 2, "h.example"));
        cluster.node.consensus.onProposal(
                cluster.now,
                "s1",
                proposal("s1", 2, "x", route("one", 2, "h.example")).asPrecommitted());
        Proposal contending =
                proposal("s3", 1, "z", route("two", 2, "h.example")).asPrecommitted();
        ConsensusNode node = cluster.node.consensus;
        node.onHandover(cluster.now, List.of(), List.of(contending), List.of(List.of("s3")));
        assertTrue(cluster.node.replica.isPending("x"));
        assertFalse(cluster.node.replica.isPending("z"));
        assertFalse(node.resolvesInDoubtProposals(Set.of("s1", "s2")));
        assertTrue(node.resolvesInDoubtProposals(Set.of("s1", "s3")));
    }
}
