package reedmux.control.consensus;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;
import static reedmux.control.consensus.ConfigurationRequests.change;
import static reedmux.control.consensus.ConfigurationRequests.removeRoute;
import static reedmux.control.consensus.ConfigurationRequests.route;
import static reedmux.control.consensus.ConfigurationRequests.service;
import static reedmux.control.consensus.VirtualCluster.SECOND_MICROS;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.testng.Reporter;
import org.testng.annotations.Test;
import reedmux.control.configuration.ConfigurationChangeFormat;
import reedmux.control.configuration.InvalidConfigurationException;
import reedmux.control.replication.Replica;
import reedmux.control.replication.WatermarkTable;
import reedmux.testing.ScheduleExplorer;

/** Tests the replies of three nodes that need a quorum contact but no new decision, in all explored message orders. */
public class QuorumContactTest {
    private static final int MAX_ORDERS = 10_000;
    private static final String FIRST_CONTENT = change(route("one", 5, "h.example"));
    private static final String SECOND_CONTENT = change(route("one", 5, "other.example"));
    /** A route that refers to the service which {@link #SHELF} adds. */
    private static final String NEEDS_SHELF =
            change(route("two", 6, "g.example").replace("\"desk\"", "\"shelf\""));

    private static final String SHELF = change(service("shelf", 5));
    private static final String UNKNOWN_SERVICE =
            change(route("x", 3, "h.example").replace("desk", "none"));

    /** A fault that is injected during message delivery. */
    private enum ContactFault {
        NONE,
        LOSS,
        RESTART,
        WIPE
    }

    private static void explore(String scenario, Consumer<ScheduleExplorer> runSchedule) {
        int orders = ScheduleExplorer.exploreAllOrSample(MAX_ORDERS, runSchedule);
        Reporter.log(scenario + ": " + orders + " orders", true);
    }

    /** Delivers all messages, and injects the fault at most once before any of them. */
    private static void deliverWithFault(FixedCoreCluster cluster, ScheduleExplorer schedule, Runnable fault) {
        int[] faultsLeft = {fault == null ? 0 : 1};
        cluster.messages.deliverAll(messageCount -> {
            if (faultsLeft[0] > 0 && schedule.choose(4) == 0) {
                faultsLeft[0]--;
                fault.run();
                if (cluster.messages.isEmpty()) {
                    return -1;
                }
            }
            return schedule.choose(cluster.messages.size());
        });
    }

    private static Runnable fault(ContactFault fault, FixedCoreCluster cluster, ScheduleExplorer schedule) {
        return switch (fault) {
            case NONE -> null;
            case LOSS -> () -> cluster.messages.lose(schedule.choose(cluster.messages.size()));
            case RESTART -> () -> restart(cluster, schedule.choose(3), false);
            case WIPE -> () -> restart(cluster, schedule.choose(3), true);
        };
    }

    /** Restarts a node. Its old connections are closed, and messages in flight to it are lost. */
    private static void restart(FixedCoreCluster cluster, int index, boolean wiped) {
        cluster.messages.loseAllTo("s" + index);
        cluster.restart(index, wiped);
    }

    @Test
    public void twoContentsWithOneRevisionAreNeverBothAcknowledged() {
        for (ContactFault fault : ContactFault.values()) {
            int[] conflicts = {0};
            explore("same revision with two contents, " + fault, schedule -> {
                FixedCoreCluster cluster = new FixedCoreCluster();
                RecordedReply firstReply = cluster.change(cluster.node(0), FIRST_CONTENT);
                RecordedReply secondReply = cluster.change(cluster.node(1), SECOND_CONTENT);
                deliverWithFault(cluster, schedule, fault(fault, cluster, schedule));
                cluster.settle();
                assertFalse(firstReply.isOk() && secondReply.isOk());
                conflicts[0] += firstReply.status == OperationStatus.CONFLICT ? 1 : 0;
                conflicts[0] += secondReply.status == OperationStatus.CONFLICT ? 1 : 0;
                // A repeated request eventually receives a definite answer, at any node, and that answer never changes.
                int firstContentStatus = cluster.statusOf(schedule.choose(3), FIRST_CONTENT);
                int secondContentStatus = cluster.statusOf(2, SECOND_CONTENT);
                assertEquals(
                        firstContentStatus + secondContentStatus,
                        OperationStatus.OK + OperationStatus.CONFLICT,
                        firstContentStatus + " and " + secondContentStatus);
                boolean firstContentCommitted = firstContentStatus == OperationStatus.OK;
                assertNotEquals(
                        firstReply.status, firstContentCommitted ? OperationStatus.CONFLICT : OperationStatus.OK);
                assertNotEquals(
                        secondReply.status, firstContentCommitted ? OperationStatus.OK : OperationStatus.CONFLICT);
                cluster.assertAgreed();
            });
            assertTrue(fault != ContactFault.NONE || conflicts[0] > 0);
        }
    }

    /**
     * Guards against losing track of a committed revision: its proposer has crashed, newer revisions or a removal have
     * been committed since, and a disk was compacted. A repeated request must still be acknowledged.
     */
    @Test
    public void committedChangeIsAcknowledgedAgainByAnyNode() {
        for (boolean wiped : new boolean[] {false, true}) {
            explore("repeated after newer revisions, proposer " + (wiped ? "wiped" : "crashed"), schedule -> {
                FixedCoreCluster cluster = new FixedCoreCluster();
                RecordedReply reply = cluster.change(cluster.node(0), FIRST_CONTENT);
                cluster.messages.deliverAll(messageCount -> {
                    if (reply.isOk()) {
                        cluster.setDown(0);
                    }
                    return schedule.choose(messageCount);
                });
                cluster.setDown(0);
                cluster.disconnect(0);
                cluster.settle();
                boolean acknowledged = reply.isOk();
                int newerRevisions = schedule.choose(3);
                if (newerRevisions > 0) {
                    assertEquals(cluster.statusOf(1, change(route("one", 7, "h.example"))), OperationStatus.OK);
                }
                if (newerRevisions > 1) {
                    assertEquals(cluster.statusOf(2, removeRoute("one", 9)), OperationStatus.OK);
                }
                cluster.node(2).replica = compacted(cluster.node(2).replica);
                cluster.restart(2, false);
                cluster.settle();
                boolean firstContentRepeatedFirst = schedule.choose(2) == 0;
                int firstContentStatus = firstContentRepeatedFirst ? cluster.statusOf(2, FIRST_CONTENT) : 0;
                int secondContentStatus = cluster.statusOf(1, SECOND_CONTENT);
                firstContentStatus =
                        firstContentRepeatedFirst ? firstContentStatus : cluster.statusOf(2, FIRST_CONTENT);
                if (acknowledged) {
                    assertEquals(firstContentStatus, OperationStatus.OK);
                }
                assertEquals(
                        firstContentStatus + secondContentStatus,
                        OperationStatus.OK + OperationStatus.CONFLICT,
                        firstContentStatus + " and " + secondContentStatus);
                cluster.setAllUp();
                cluster.restart(0, wiped);
                cluster.settle();
                assertEquals(cluster.statusOf(0, SECOND_CONTENT), secondContentStatus);
                assertEquals(cluster.statusOf(0, FIRST_CONTENT), firstContentStatus);
                cluster.assertAgreed();
                assertFalse(newerRevisions == 2 && cluster.node(0).hasRoute("one"));
            });
        }
    }

    /** Returns the replica as it is read from the disk after a compaction. */
    private static Replica compacted(Replica replica) {
        Replica next = new Replica();
        next.merge(replica.committed());
        next.mergeWatermarks(List.copyOf(replica.watermarks()));
        replica.pending().values().forEach(next::addPending);
        return next;
    }

    /**
     * The dependent change is sent to another node after the first change is acknowledged, whether or not that node has
     * received the decision.
     */
    @Test
    public void changeThatDependsOnAnAcknowledgedChangeIsNeverInvalid() {
        for (boolean proposerCrashes : new boolean[] {false, true}) {
            int[] acknowledgedCount = {0};
            explore("dependent change" + (proposerCrashes ? ", proposer of the first crashes" : ""), schedule -> {
                FixedCoreCluster cluster = new FixedCoreCluster();
                RecordedReply requiredReply = cluster.change(cluster.node(0), SHELF);
                RecordedReply[] dependentReply = new RecordedReply[1];
                cluster.messages.deliverAll(messageCount -> {
                    if (requiredReply.isOk() && dependentReply[0] == null) {
                        if (proposerCrashes) {
                            cluster.setDown(0);
                        }
                        dependentReply[0] = cluster.change(cluster.node(1 + schedule.choose(2)), NEEDS_SHELF);
                    }
                    return schedule.choose(cluster.messages.size());
                });
                cluster.disconnect(0);
                cluster.settle();
                assertTrue(
                        dependentReply[0].isOk() || dependentReply[0].status == OperationStatus.UNAVAILABLE,
                        "unexpected status " + dependentReply[0].status);
                acknowledgedCount[0] += dependentReply[0].isOk() ? 1 : 0;
                cluster.setAllUp();
                cluster.settle();
                assertEquals(cluster.statusOf(0, NEEDS_SHELF), OperationStatus.OK);
            });
            assertTrue(acknowledgedCount[0] > 0);
        }
    }

    /** A node that has not received a decision yet must still include it in a read. */
    @Test
    public void readReturnsAllPreviouslyAcknowledgedChanges() {
        int[] successfulReads = {0};
        explore("read after an acknowledged change", schedule -> {
            FixedCoreCluster cluster = new FixedCoreCluster();
            RecordedReply reply = cluster.change(cluster.node(0), FIRST_CONTENT);
            RecordedReply[] read = new RecordedReply[1];
            cluster.messages.deliverAll(messageCount -> {
                if (reply.isOk() && read[0] == null) {
                    read[0] = cluster.read(cluster.node(1 + schedule.choose(2)));
                }
                return schedule.choose(cluster.messages.size());
            });
            cluster.settle();
            assertEquals(read[0].replyCount, 1);
            assertTrue(
                    read[0].status == OperationStatus.UNAVAILABLE || read[0].text.contains("h.example"), read[0].text);
            successfulReads[0] += read[0].isOk() ? 1 : 0;
        });
        assertTrue(successfulReads[0] > 0);
    }

    /**
     * Guards against replies from outdated state: a node was partitioned without noticing it, or was frozen, so it
     * seems connected although its state is old.
     */
    @Test
    public void staleNodeAnswersOnlyAfterQuorumContact() {
        explore("partitioned, then reconnected", schedule -> {
            FixedCoreCluster cluster = new FixedCoreCluster();
            cluster.setDown(2);
            cluster.change(cluster.node(0), SHELF);
            cluster.deliverInOrder();
            RecordedReply acknowledged = cluster.change(cluster.node(1), FIRST_CONTENT);
            cluster.deliverInOrder();
            assertEquals(acknowledged.status, OperationStatus.OK);
            cluster.setAllUp();
            List<RecordedReply> replies = new ArrayList<>();
            for (String body : List.of(NEEDS_SHELF, SECOND_CONTENT, "{\"apply\":{\"signals\":[]}}", UNKNOWN_SERVICE)) {
                replies.add(cluster.change(cluster.node(2), body));
            }
            replies.add(cluster.read(cluster.node(2)));
            assertEquals(countOfReplies(replies), 0);
            // Its requests are answered in any order, or all messages are lost.
            boolean confirmed = schedule.choose(2) == 0;
            if (confirmed) {
                cluster.messages.deliverAll(schedule::choose);
            } else {
                cluster.messages.loseAll();
            }
            cluster.now += SECOND_MICROS;
            cluster.tick(2);
            assertEquals(countOfReplies(replies), 5);
            List<Integer> statuses =
                    replies.stream().map(reply -> reply.status).sorted().toList();
            assertEquals(statuses, confirmed ? List.of(200, 200, 200, 400, 409) : List.of(503, 503, 503, 503, 503));
            cluster.settle();
            assertTrue(cluster.node(2).hasRoute("one", 5));
        });
    }

    private static int countOfReplies(List<RecordedReply> replies) {
        return replies.stream().mapToInt(reply -> reply.replyCount).sum();
    }

    /** The wiped node helped to acknowledge the change, and no other node that did is reachable. */
    @Test
    public void nodeThatLostItsDiskDoesNotConfirmAContact() {
        FixedCoreCluster cluster = new FixedCoreCluster();
        cluster.setDown(2);
        RecordedReply reply = cluster.change(cluster.node(0), FIRST_CONTENT);
        cluster.deliverInOrder();
        assertEquals(reply.status, OperationStatus.OK);
        cluster.setAllUp();
        restart(cluster, 0, true);
        cluster.setDown(1);
        RecordedReply read = cluster.read(cluster.node(2));
        cluster.deliverInOrder();
        cluster.now += SECOND_MICROS;
        cluster.tick(2);
        assertEquals(read.status, OperationStatus.UNAVAILABLE);
        assertEquals(read.replyCount, 1);
    }

    /**
     * A contact for a proxy or a status request doesn't wait for decisions, and decisions continue during the contact.
     */
    @Test
    public void changeIsCommittedDuringAQuorumContact() {
        for (int index = 0; index < 2; index++) {
            int requester = index;
            ScheduleExplorer.exploreAllOrSample(MAX_ORDERS, schedule -> {
                FixedCoreCluster cluster = new FixedCoreCluster();
                boolean[] reached = {false};
                cluster.node(requester).consensus.contactQuorum(cluster.now, false, success -> reached[0] = success);
                RecordedReply reply = cluster.change(cluster.node(0), FIRST_CONTENT);
                cluster.messages.deliverAll(schedule::choose);
                assertTrue(reached[0]);
                assertEquals(reply.status, OperationStatus.OK);
                cluster.settle();
                cluster.assertAgreed();
            });
        }
    }

    /** When the lost connections leave no quorum, pending requests fail immediately. */
    @Test
    public void requestsFailImmediatelyWithoutConnections() {
        FixedCoreCluster cluster = new FixedCoreCluster();
        ConsensusNode node = cluster.node(0).consensus;
        RecordedReply read = cluster.read(cluster.node(0));
        node.onPeerDisconnected("s1");
        assertEquals(read.replyCount, 0);
        node.onPeerDisconnected("s2");
        assertEquals(read.status, OperationStatus.UNAVAILABLE);
        RecordedReply change = cluster.change(cluster.node(0), UNKNOWN_SERVICE);
        assertEquals(change.status, OperationStatus.UNAVAILABLE);
        assertEquals(read.replyCount + change.replyCount, 2);
    }

    @Test
    public void revisionBelowTheLowWatermarkIsAnsweredUnavailable() {
        int retained = WatermarkTable.MAX_REVISIONS_PER_ITEM;
        FixedCoreCluster cluster = new FixedCoreCluster();
        for (int i = 1; i <= retained + 20; i++) {
            assertEquals(cluster.statusOf(i % 3, change(route("one", i, "h" + i + ".example"))), OperationStatus.OK);
        }
        cluster.settle();
        assertEquals(cluster.statusOf(0, change(route("one", 19, "h19.example"))), OperationStatus.UNAVAILABLE);
        assertEquals(cluster.statusOf(0, change(route("one", 19, "other.example"))), OperationStatus.UNAVAILABLE);
        for (int i = 20; i < 24; i++) {
            assertEquals(cluster.statusOf(1, change(route("one", i, "h" + i + ".example"))), OperationStatus.OK);
            assertEquals(cluster.statusOf(2, change(route("one", i, "other.example"))), OperationStatus.CONFLICT);
        }
        assertEquals(cluster.node(0).replica.watermarks().size(), retained + 1);
        String twoContents = change(route("one", 999, "a"), route("one", 999, "b"));
        assertEquals(cluster.statusOf(1, twoContents), OperationStatus.INVALID);
    }

    /** A change that was dropped and answered as unavailable must not be committed after its content was rejected. */
    @Test
    public void droppedProposalIsNotCommittedWhenItsProposerRepeatsIt() throws InvalidConfigurationException {
        FixedCoreCluster cluster = new FixedCoreCluster();
        Proposal stale = new Proposal("s2/1/9", new Ballot(1, "s2"), ConfigurationChangeFormat.parse(SECOND_CONTENT));
        for (int i = 0; i < 2; i++) {
            cluster.node(i).consensus.onDecision(cluster.now, stale.id(), stale.ballot(), false, List.of());
        }
        cluster.node(2).consensus.onProposal(cluster.now, "s2", stale);
        cluster.now += 20 * SECOND_MICROS;
        cluster.tick(0);
        cluster.tick(1);
        cluster.settle();
        cluster.assertAgreed();
        assertFalse(cluster.node(0).hasRoute("one", 5));
    }
}
