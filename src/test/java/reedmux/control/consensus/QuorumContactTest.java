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

/** What three nodes answer without a decision of its own, in every order of their messages. */
public class QuorumContactTest {
    private static final int MAX_ORDERS = 10_000;
    private static final String FIRST_CONTENT = change(route("one", 5, "h.example"));
    private static final String SECOND_CONTENT = change(route("one", 5, "other.example"));
    /** A route that names a service which {@link #SHELF} adds. */
    private static final String NEEDS_SHELF =
            change(route("two", 6, "g.example").replace("\"desk\"", "\"shelf\""));

    private static final String SHELF = change(service("shelf", 5));
    private static final String UNKNOWN_SERVICE =
            change(route("x", 3, "h.example").replace("desk", "none"));

    /** What goes on besides the delivery of messages. */
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

    /** Delivers all messages; a fault happens at most once, before any of them. */
    private static void deliverWithFault(FixedCoreCluster cluster, ScheduleExplorer schedule, Runnable fault) {
        int[] faultsLeft = {fault == null ? 0 : 1};
        cluster.messages.deliverAll(many -> {
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

    /** The connections of the old process end, and what was under way to it is lost. */
    private static void restart(FixedCoreCluster cluster, int index, boolean wiped) {
        cluster.messages.loseAllTo("s" + index);
        cluster.restart(index, wiped);
    }

    @Test
    public void twoContentsWithOneRevisionAreNeverBothAcknowledged() {
        for (ContactFault fault : ContactFault.values()) {
            int[] refused = {0};
            explore("one revision, two contents, " + fault, schedule -> {
                FixedCoreCluster cluster = new FixedCoreCluster();
                RecordedReply first = cluster.change(cluster.node(0), FIRST_CONTENT);
                RecordedReply second = cluster.change(cluster.node(1), SECOND_CONTENT);
                deliverWithFault(cluster, schedule, fault(fault, cluster, schedule));
                cluster.settle();
                assertFalse(first.isOk() && second.isOk());
                refused[0] += first.status == OperationStatus.CONFLICT ? 1 : 0;
                refused[0] += second.status == OperationStatus.CONFLICT ? 1 : 0;
                // Sent again, and elsewhere, until the answer is clear: for ever the same.
                int one = cluster.statusOf(schedule.choose(3), FIRST_CONTENT);
                int other = cluster.statusOf(2, SECOND_CONTENT);
                assertEquals(one + other, OperationStatus.OK + OperationStatus.CONFLICT, one + " and " + other);
                boolean oneHolds = one == OperationStatus.OK;
                assertNotEquals(first.status, oneHolds ? OperationStatus.CONFLICT : OperationStatus.OK);
                assertNotEquals(second.status, oneHolds ? OperationStatus.OK : OperationStatus.CONFLICT);
                cluster.assertAgreed();
            });
            assertTrue(fault != ContactFault.NONE || refused[0] > 0);
        }
    }

    /** The first proposer has died, newer revisions have come since, one removes it, and the disk was compacted. */
    @Test
    public void committedChangeIsAcknowledgedAgainByAnyNode() {
        for (boolean wiped : new boolean[] {false, true}) {
            explore("sent again after newer revisions, " + (wiped ? "wiped" : "dead"), schedule -> {
                FixedCoreCluster cluster = new FixedCoreCluster();
                RecordedReply reply = cluster.change(cluster.node(0), FIRST_CONTENT);
                cluster.messages.deliverAll(many -> {
                    if (reply.isOk()) {
                        cluster.setDown(0);
                    }
                    return schedule.choose(many);
                });
                cluster.setDown(0);
                cluster.disconnect(0);
                cluster.settle();
                boolean acknowledged = reply.isOk();
                int newer = schedule.choose(3);
                if (newer > 0) {
                    assertEquals(cluster.statusOf(1, change(route("one", 7, "h.example"))), OperationStatus.OK);
                }
                if (newer > 1) {
                    assertEquals(cluster.statusOf(2, removeRoute("one", 9)), OperationStatus.OK);
                }
                cluster.node(2).replica = compacted(cluster.node(2).replica);
                cluster.restart(2, false);
                cluster.settle();
                boolean oneFirst = schedule.choose(2) == 0;
                int one = oneFirst ? cluster.statusOf(2, FIRST_CONTENT) : 0;
                int other = cluster.statusOf(1, SECOND_CONTENT);
                one = oneFirst ? one : cluster.statusOf(2, FIRST_CONTENT);
                if (acknowledged) {
                    assertEquals(one, OperationStatus.OK);
                }
                assertEquals(one + other, OperationStatus.OK + OperationStatus.CONFLICT, one + " and " + other);
                cluster.setAllUp();
                cluster.restart(0, wiped);
                cluster.settle();
                assertEquals(cluster.statusOf(0, SECOND_CONTENT), other);
                assertEquals(cluster.statusOf(0, FIRST_CONTENT), one);
                cluster.assertAgreed();
                assertFalse(newer == 2 && cluster.node(0).hasRoute("one"));
            });
        }
    }

    /** As a disk gives it back after a compaction. */
    private static Replica compacted(Replica replica) {
        Replica next = new Replica();
        next.merge(replica.committed());
        next.mergeWatermarks(List.copyOf(replica.watermarks()));
        replica.pending().values().forEach(next::addPending);
        return next;
    }

    /** The second comes to another node once the first is acknowledged, wherever that is known by then. */
    @Test
    public void changeThatDependsOnAnAcknowledgedChangeIsNeverInvalid() {
        for (boolean dies : new boolean[] {false, true}) {
            int[] ok = {0};
            explore("a change that needs an earlier one" + (dies ? ", its proposer dies" : ""), schedule -> {
                FixedCoreCluster cluster = new FixedCoreCluster();
                RecordedReply earlier = cluster.change(cluster.node(0), SHELF);
                RecordedReply[] later = new RecordedReply[1];
                cluster.messages.deliverAll(many -> {
                    if (earlier.isOk() && later[0] == null) {
                        if (dies) {
                            cluster.setDown(0);
                        }
                        later[0] = cluster.change(cluster.node(1 + schedule.choose(2)), NEEDS_SHELF);
                    }
                    return schedule.choose(cluster.messages.size());
                });
                cluster.disconnect(0);
                cluster.settle();
                assertTrue(
                        later[0].isOk() || later[0].status == OperationStatus.UNAVAILABLE,
                        "answered " + later[0].status);
                ok[0] += later[0].isOk() ? 1 : 0;
                cluster.setAllUp();
                cluster.settle();
                assertEquals(cluster.statusOf(0, NEEDS_SHELF), OperationStatus.OK);
            });
            assertTrue(ok[0] > 0);
        }
    }

    /** A node that has never heard of a change says what a complete state says. */
    @Test
    public void readReturnsAllPreviouslyAcknowledgedChanges() {
        int[] ok = {0};
        explore("reads once a change is acknowledged", schedule -> {
            FixedCoreCluster cluster = new FixedCoreCluster();
            RecordedReply reply = cluster.change(cluster.node(0), FIRST_CONTENT);
            RecordedReply[] read = new RecordedReply[1];
            cluster.messages.deliverAll(many -> {
                if (reply.isOk() && read[0] == null) {
                    read[0] = cluster.read(cluster.node(1 + schedule.choose(2)));
                }
                return schedule.choose(cluster.messages.size());
            });
            cluster.settle();
            assertEquals(read[0].replyCount, 1);
            assertTrue(
                    read[0].status == OperationStatus.UNAVAILABLE || read[0].text.contains("h.example"), read[0].text);
            ok[0] += read[0].isOk() ? 1 : 0;
        });
        assertTrue(ok[0] > 0);
    }

    /** One is cut off and does not know it yet, or was frozen: it seems connected, what it has is old. */
    @Test
    public void staleNodeAnswersOnlyAfterQuorumContact() {
        explore("cut off, then heard again", schedule -> {
            FixedCoreCluster cluster = new FixedCoreCluster();
            cluster.setDown(2);
            cluster.change(cluster.node(0), SHELF);
            cluster.deliverInOrder();
            RecordedReply one = cluster.change(cluster.node(1), FIRST_CONTENT);
            cluster.deliverInOrder();
            assertEquals(one.status, OperationStatus.OK);
            cluster.setAllUp();
            List<RecordedReply> replies = new ArrayList<>();
            for (String body : List.of(NEEDS_SHELF, SECOND_CONTENT, "{\"apply\":{\"signals\":[]}}", UNKNOWN_SERVICE)) {
                replies.add(cluster.change(cluster.node(2), body));
            }
            replies.add(cluster.read(cluster.node(2)));
            assertEquals(countOfReplies(replies), 0);
            // Its requests reach the others, and it hears them in any order; or not.
            boolean heard = schedule.choose(2) == 0;
            if (heard) {
                cluster.messages.deliverAll(schedule::choose);
            } else {
                cluster.messages.loseAll();
            }
            cluster.now += SECOND_MICROS;
            cluster.tick(2);
            assertEquals(countOfReplies(replies), 5);
            List<Integer> statuses =
                    replies.stream().map(reply -> reply.status).sorted().toList();
            assertEquals(statuses, heard ? List.of(200, 200, 200, 400, 409) : List.of(503, 503, 503, 503, 503));
            cluster.settle();
            assertTrue(cluster.node(2).hasRoute("one", 5));
        });
    }

    private static int countOfReplies(List<RecordedReply> replies) {
        return replies.stream().mapToInt(reply -> reply.replyCount).sum();
    }

    /** It had a part in what was acknowledged, and nobody else can be reached who has. */
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

    /** A contact for a proxy or a status request waits for no decision, and decisions go on meanwhile. */
    @Test
    public void changeIsCommittedDuringAQuorumContact() {
        for (int index = 0; index < 2; index++) {
            int asked = index;
            ScheduleExplorer.exploreAllOrSample(MAX_ORDERS, schedule -> {
                FixedCoreCluster cluster = new FixedCoreCluster();
                boolean[] reached = {false};
                cluster.node(asked).consensus.contactQuorum(cluster.now, false, success -> reached[0] = success);
                RecordedReply reply = cluster.change(cluster.node(0), FIRST_CONTENT);
                cluster.messages.deliverAll(schedule::choose);
                assertTrue(reached[0]);
                assertEquals(reply.status, OperationStatus.OK);
                cluster.settle();
                cluster.assertAgreed();
            });
        }
    }

    /** A connection is gone, and with it the quorum: that is told at once. */
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

    /** What was dropped and answered as unavailable is not committed after its content was rejected. */
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
