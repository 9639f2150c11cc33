package reedmux.control.consensus;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;
import static reedmux.control.consensus.ConsensusNodeTest.assertAgreed;
import static reedmux.control.consensus.ConsensusNodeTest.call;
import static reedmux.control.consensus.ConsensusNodeTest.has;
import static reedmux.control.consensus.ConsensusNodeTest.item;
import static reedmux.control.consensus.ConsensusNodeTest.route;

import java.util.ArrayList;
import java.util.List;
import java.util.function.IntUnaryOperator;
import org.testng.Reporter;
import org.testng.annotations.Test;
import reedmux.control.configuration.ConfigurationChangeFormat;
import reedmux.control.configuration.InvalidConfigurationException;
import reedmux.control.consensus.ConsensusNodeTest.ConsensusTestCluster;
import reedmux.control.replication.Replica;
import reedmux.control.replication.WatermarkTable;
import reedmux.testing.ScheduleExplorer;

/** What three stores answer from what they have, in every order of their messages. */
public class QuorumContactTest {
    private static final int MOST = 10_000;
    private static final long SECOND = 1_000_000;
    private static final String ONE = call(route("one", 5, "h.example"));
    private static final String OTHER = call(route("one", 5, "other.example"));
    private static final String NEEDS = call(route("two", 6, "g.example").replace("\"desk\"", "\"shelf\""));
    private static final String SHELF = call(item("plants", "shelf", 5, "{\"probe\":\"/health\",\"connCeiling\":9}"));

    /** What goes on besides the delivery of messages. */
    private enum ContactFault {
        NONE,
        LOSS,
        RESTART,
        WIPE
    }

    private static void told(String what, int orders) {
        Reporter.log(what + ": " + orders + " orders", true);
    }

    /** Delivers all; before one of the messages, in each place, something is done. */
    private static void deliver(ConsensusTestCluster world, ScheduleExplorer orders, Runnable once) {
        int[] left = {once == null ? 0 : 1};
        IntUnaryOperator pick = many -> {
            if (left[0] > 0 && orders.choose(4) == 0) {
                left[0]--;
                once.run();
                if (world.mail.isEmpty()) {
                    world.mail.add(() -> {});
                    world.mailTo.add(0);
                }
            }
            return orders.choose(world.mail.size());
        };
        world.deliver(pick);
    }

    private static void restart(ConsensusTestCluster world, int at, boolean wiped) {
        for (int i = world.mail.size() - 1; i >= 0; i--) { // its links end, and what was on its way to it
            if (world.mailTo.get(i) == at) {
                world.mail.remove(i);
                world.mailTo.remove(i);
            }
        }
        world.start(at, !wiped, wiped ? new Replica() : world.replicas[at]);
    }

    private static int answer(ConsensusTestCluster world, int at, String body) {
        int[] status = {0};
        world.agreements[at].onChangeRequest(world.now, body, (told, line) -> status[0] = told);
        world.drain();
        if (status[0] == 0) {
            world.settle();
        }
        return status[0];
    }

    @Test
    public void twoOperatorsAreNeverBothConfirmedUnderOneNumber() {
        for (ContactFault trouble : ContactFault.values()) {
            int[] refused = {0};
            told("one number, two contents, " + trouble, ScheduleExplorer.exploreAllOrSample(MOST, orders -> {
                ConsensusTestCluster world = new ConsensusTestCluster();
                world.adjust(0, 0, ONE);
                world.adjust(1, 1, OTHER);
                deliver(
                        world,
                        orders,
                        switch (trouble) {
                            case NONE -> null;
                            case LOSS ->
                                () -> {
                                    int lost = orders.choose(world.mail.size());
                                    world.mail.remove(lost);
                                    world.mailTo.remove(lost);
                                };
                            case RESTART -> () -> restart(world, orders.choose(3), false);
                            case WIPE -> () -> restart(world, orders.choose(3), true);
                        });
                world.settle();
                assertFalse(world.answers[0] == OperationStatus.OK && world.answers[1] == OperationStatus.OK);
                refused[0] += world.answers[0] == OperationStatus.CONFLICT ? 1 : 0;
                refused[0] += world.answers[1] == OperationStatus.CONFLICT ? 1 : 0;
                // Sent again, and elsewhere, until the answer is clear: for ever the same.
                int one = answer(world, orders.choose(3), ONE);
                int other = answer(world, 2, OTHER);
                assertEquals(one + other, OperationStatus.OK + OperationStatus.CONFLICT, one + " and " + other);
                boolean holds = one == OperationStatus.OK;
                assertNotEquals(world.answers[0], holds ? OperationStatus.CONFLICT : OperationStatus.OK);
                assertNotEquals(world.answers[1], holds ? OperationStatus.OK : OperationStatus.CONFLICT);
                assertAgreed(world);
            }));
            assertTrue(trouble != ContactFault.NONE || refused[0] > 0);
        }
    }

    /** The first copy has died, newer versions have come since, one drops it, and the disk was compacted. */
    @Test
    public void whatWasTakenIsAcknowledgedAgainByAnyStore() {
        for (boolean wiped : new boolean[] {false, true}) {
            String how = wiped ? "wiped" : "dead";
            told("sent again after newer versions, " + how, ScheduleExplorer.exploreAllOrSample(MOST, orders -> {
                ConsensusTestCluster world = new ConsensusTestCluster();
                world.adjust(0, 0, ONE);
                world.deliver(many -> {
                    if (world.answers[0] == OperationStatus.OK && world.dead.isEmpty()) {
                        world.dead.add(0);
                    }
                    return orders.choose(many);
                });
                world.dead.add(0);
                world.agreements[1].onPeerDisconnected("s0");
                world.agreements[2].onPeerDisconnected("s0");
                world.settle();
                boolean taken = world.answers[0] == OperationStatus.OK;
                int newer = orders.choose(3);
                if (newer > 0) {
                    assertEquals(answer(world, 1, call(route("one", 7, "h.example"))), OperationStatus.OK);
                }
                if (newer > 1) {
                    String drop = "{\"remove\":{\"routes\":[{\"name\":\"one\",\"revision\":9}]}}";
                    assertEquals(answer(world, 2, drop), OperationStatus.OK);
                }
                world.start(2, true, compacted(world.replicas[2]));
                world.settle();
                boolean first = orders.choose(2) == 0;
                int one = first ? answer(world, 2, ONE) : 0;
                int other = answer(world, 1, OTHER);
                one = first ? one : answer(world, 2, ONE);
                if (taken) {
                    assertEquals(one, OperationStatus.OK);
                }
                assertEquals(one + other, OperationStatus.OK + OperationStatus.CONFLICT, one + " and " + other);
                world.dead.clear();
                world.start(0, !wiped, wiped ? new Replica() : world.replicas[0]);
                world.settle();
                assertEquals(answer(world, 0, OTHER), other);
                assertEquals(answer(world, 0, ONE), one);
                assertAgreed(world);
                assertFalse(newer == 2
                        && world.replicas[0].committed().stream()
                                .anyMatch(item -> item.key().equals("routes/one") && !item.isDeleted()));
            }));
        }
    }

    /** As a disk gives it back after its file has begun anew. */
    private static Replica compacted(Replica replica) {
        Replica next = new Replica();
        next.merge(replica.committed());
        next.mergeWatermarks(List.copyOf(replica.watermarks()));
        replica.pending().values().forEach(next::addPending);
        return next;
    }

    /** The second comes to another store once the first is acknowledged, wherever that is known by then. */
    @Test
    public void aCallThatNeedsAnEarlierOneIsNeverInvalid() {
        for (int dead = 0; dead < 2; dead++) {
            int[] good = {0};
            boolean dies = dead == 1;
            String how = dies ? ", its store dies" : "";
            told("a call that needs an earlier one" + how, ScheduleExplorer.exploreAllOrSample(MOST, orders -> {
                ConsensusTestCluster world = new ConsensusTestCluster();
                world.adjust(0, 0, SHELF);
                world.deliver(many -> {
                    if (world.answers[0] == OperationStatus.OK && world.answers[1] == 0) {
                        world.answers[1] = -1;
                        if (dies) {
                            world.dead.add(0);
                        }
                        world.adjust(1 + orders.choose(2), 1, NEEDS);
                    }
                    return orders.choose(world.mail.size());
                });
                world.agreements[1].onPeerDisconnected("s0");
                world.agreements[2].onPeerDisconnected("s0");
                world.settle();
                assertTrue(
                        world.answers[1] == OperationStatus.OK || world.answers[1] == OperationStatus.UNAVAILABLE,
                        "answered " + world.answers[1]);
                good[0] += world.answers[1] == OperationStatus.OK ? 1 : 0;
                world.dead.clear();
                world.settle();
                assertEquals(answer(world, 0, NEEDS), OperationStatus.OK);
            }));
            assertTrue(good[0] > 0);
        }
    }

    /** A store that has never heard of a call says what a whole state says. */
    @Test
    public void aReadHasAllThatWasAcknowledgedBeforeItCame() {
        int[] read = {0};
        told("reads once a call is acknowledged", ScheduleExplorer.exploreAllOrSample(MOST, orders -> {
            ConsensusTestCluster world = new ConsensusTestCluster();
            List<String> told = new ArrayList<>();
            world.adjust(0, 0, ONE);
            world.deliver(many -> {
                if (world.answers[0] == OperationStatus.OK && world.answers[1] == 0) {
                    world.answers[1] = -1;
                    world.agreements[1 + orders.choose(2)].onReadRequest(
                            world.now, (status, text) -> told.add(status + text));
                }
                return orders.choose(world.mail.size());
            });
            world.settle();
            assertEquals(told.size(), 1);
            assertTrue(told.get(0).startsWith("503") || told.get(0).contains("h.example"), told.get(0));
            read[0] += told.get(0).startsWith("200") ? 1 : 0;
        }));
        assertTrue(read[0] > 0);
    }

    /** One is cut off and does not know it yet, or was frozen: its links stand, what it has is old. */
    @Test
    public void whoHasNoContactNeitherReadsNorConfirmsNorRefuses() {
        told("cut off, then heard again", ScheduleExplorer.exploreAllOrSample(MOST, orders -> {
            ConsensusTestCluster world = new ConsensusTestCluster();
            world.dead.add(2); // nothing comes in there
            world.adjust(0, 0, SHELF);
            world.drain();
            world.adjust(1, 0, ONE);
            world.drain();
            assertEquals(world.answers[0], OperationStatus.OK);
            world.dead.clear();
            List<Integer> told = new ArrayList<>();
            List<String> asked = List.of(
                    NEEDS,
                    OTHER,
                    "{\"apply\":{\"signals\":[]}}",
                    call(route("x", 3, "h.example").replace("desk", "none")));
            asked.forEach(
                    body -> world.agreements[2].onChangeRequest(world.now, body, (status, line) -> told.add(status)));
            world.agreements[2].onReadRequest(world.now, (status, text) -> told.add(status));
            assertEquals(told, List.of());
            // Its questions reach the others, and it hears them in any order; or not.
            boolean wakes = orders.choose(2) == 0;
            if (wakes) {
                world.deliver(orders::choose);
            } else {
                world.mail.clear();
                world.mailTo.clear();
            }
            world.now += SECOND;
            world.agreements[2].onTick(world.now);
            assertEquals(told.size(), 5);
            if (wakes) {
                told.sort(null);
                assertEquals(told, List.of(200, 200, 200, 400, 409));
            } else {
                assertEquals(told, List.of(503, 503, 503, 503, 503));
            }
            world.settle();
            assertTrue(has(world, 2, "routes/one", 5));
        }));
    }

    /** It had a part in what was acknowledged, and nobody else can be reached who has. */
    @Test
    public void aStoreThatLostItsDiskDoesNotConfirm() {
        ConsensusTestCluster world = new ConsensusTestCluster();
        world.dead.add(2);
        world.adjust(0, 0, ONE);
        world.drain();
        assertEquals(world.answers[0], OperationStatus.OK);
        world.dead.clear();
        restart(world, 0, true);
        world.dead.add(1);
        List<Integer> told = new ArrayList<>();
        world.agreements[2].onReadRequest(world.now, (status, text) -> told.add(status));
        world.drain();
        world.now += SECOND;
        world.agreements[2].onTick(world.now);
        assertEquals(told, List.of(503));
    }

    /** A contact for a proxy or a show waits for no call, and a call is decided on meanwhile. */
    @Test
    public void aCallIsDecidedOnWhileAContactIsUnderWay() {
        for (int at = 0; at < 2; at++) {
            int asked = at;
            ScheduleExplorer.exploreAllOrSample(MOST, orders -> {
                ConsensusTestCluster world = new ConsensusTestCluster();
                boolean[] reached = {false};
                world.agreements[asked].contactQuorum(world.now, false, told -> reached[0] = told);
                world.adjust(0, 0, ONE);
                world.deliver(orders::choose);
                assertTrue(reached[0]);
                assertEquals(world.answers[0], OperationStatus.OK);
                world.settle();
                assertAgreed(world);
            });
        }
    }

    /** A link is gone, and with it the quorum: that is told at once. */
    @Test
    public void withoutLinksTheAnswerIsAtOnceAndNoRefusal() {
        ConsensusTestCluster world = new ConsensusTestCluster();
        List<Integer> told = new ArrayList<>();
        world.agreements[0].onReadRequest(world.now, (status, text) -> told.add(status));
        world.agreements[0].onPeerDisconnected("s1");
        assertEquals(told, List.of());
        world.agreements[0].onPeerDisconnected("s2");
        assertEquals(told, List.of(503));
        world.agreements[0].onChangeRequest(
                world.now,
                call(route("x", 3, "h.example").replace("desk", "none")),
                (status, line) -> told.add(status));
        assertEquals(told, List.of(503, 503));
    }

    @Test
    public void whatIsBelowTheFloorHasNoClearAnswer() {
        ConsensusTestCluster world = new ConsensusTestCluster();
        for (int i = 1; i <= WatermarkTable.MAX_REVISIONS_PER_ITEM + 20; i++) {
            assertEquals(answer(world, i % 3, call(route("one", i, "h" + i + ".example"))), OperationStatus.OK);
        }
        world.settle();
        assertEquals(answer(world, 0, call(route("one", 19, "h19.example"))), OperationStatus.UNAVAILABLE);
        assertEquals(answer(world, 0, call(route("one", 19, "other.example"))), OperationStatus.UNAVAILABLE);
        for (int i = 20; i < 24; i++) {
            assertEquals(answer(world, 1, call(route("one", i, "h" + i + ".example"))), OperationStatus.OK);
            assertEquals(answer(world, 2, call(route("one", i, "other.example"))), OperationStatus.CONFLICT);
        }
        assertEquals(world.replicas[0].watermarks().size(), WatermarkTable.MAX_REVISIONS_PER_ITEM + 1);
        assertEquals(answer(world, 1, call(route("one", 999, "a"), route("one", 999, "b"))), OperationStatus.INVALID);
    }

    /** What was dropped and answered by 503 does not come into force after its content was refused. */
    @Test
    public void whatWasDroppedIsNotBroughtAgainByWhoWasAway() throws InvalidConfigurationException {
        ConsensusTestCluster world = new ConsensusTestCluster();
        Proposal stale = new Proposal("s2/1/9", new Ballot(1, "s2"), ConfigurationChangeFormat.parse(OTHER));
        world.agreements[0].onDecision(world.now, stale.id(), stale.ballot(), false, List.of());
        world.agreements[1].onDecision(world.now, stale.id(), stale.ballot(), false, List.of());
        world.agreements[2].onProposal(world.now, "s2", stale);
        world.now += 20 * SECOND;
        world.agreements[0].onTick(world.now);
        world.agreements[1].onTick(world.now);
        world.settle();
        assertAgreed(world);
        assertFalse(has(world, 0, "routes/one", 5));
    }
}
