package reedmux.item;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;
import static reedmux.item.AgreementTest.assertAgreed;
import static reedmux.item.AgreementTest.call;
import static reedmux.item.AgreementTest.has;
import static reedmux.item.AgreementTest.item;
import static reedmux.item.AgreementTest.route;

import java.util.ArrayList;
import java.util.List;
import java.util.function.IntUnaryOperator;
import org.testng.Reporter;
import org.testng.annotations.Test;
import reedmux.item.AgreementTest.World;

/** What three stores answer from what they have, in every order of their messages. */
public class ContactTest {
    private static final int MOST = 10_000;
    private static final long SECOND = 1_000_000;
    private static final String ONE = call(route("one", 5, "h.example"));
    private static final String OTHER = call(route("one", 5, "other.example"));
    private static final String NEEDS = call(route("two", 6, "g.example").replace("\"desk\"", "\"shelf\""));
    private static final String SHELF = call(item("plants", "shelf", 5, "{\"probe\":\"/health\",\"connCeiling\":9}"));

    /** What goes on besides the delivery of messages. */
    private enum Trouble {
        NONE,
        LOSS,
        RESTART,
        WIPE
    }

    private static void told(String what, int orders) {
        Reporter.log(what + ": " + orders + " orders", true);
    }

    /** Delivers all; before one of the messages, in each place, something is done. */
    private static void deliver(World world, Orders orders, Runnable once) {
        int[] left = {once == null ? 0 : 1};
        IntUnaryOperator pick = many -> {
            if (left[0] > 0 && orders.pick(4) == 0) {
                left[0]--;
                once.run();
                if (world.mail.isEmpty()) {
                    world.mail.add(() -> {});
                    world.mailTo.add(0);
                }
            }
            return orders.pick(world.mail.size());
        };
        world.deliver(pick);
    }

    private static void restart(World world, int at, boolean wiped) {
        for (int i = world.mail.size() - 1; i >= 0; i--) { // its links end, and what was on its way to it
            if (world.mailTo.get(i) == at) {
                world.mail.remove(i);
                world.mailTo.remove(i);
            }
        }
        world.start(at, !wiped, wiped ? new Replica() : world.replicas[at]);
    }

    private static int answer(World world, int at, String body) {
        int[] status = {0};
        world.agreements[at].adjust(world.now, body, (told, line) -> status[0] = told);
        world.drain();
        if (status[0] == 0) {
            world.settle();
        }
        return status[0];
    }

    @Test
    public void twoOperatorsAreNeverBothConfirmedUnderOneNumber() {
        for (Trouble trouble : Trouble.values()) {
            int[] refused = {0};
            told("one number, two contents, " + trouble, Orders.allOrDrawn(MOST, orders -> {
                World world = new World();
                world.adjust(0, 0, ONE);
                world.adjust(1, 1, OTHER);
                deliver(
                        world,
                        orders,
                        switch (trouble) {
                            case NONE -> null;
                            case LOSS ->
                                () -> {
                                    int lost = orders.pick(world.mail.size());
                                    world.mail.remove(lost);
                                    world.mailTo.remove(lost);
                                };
                            case RESTART -> () -> restart(world, orders.pick(3), false);
                            case WIPE -> () -> restart(world, orders.pick(3), true);
                        });
                world.settle();
                assertFalse(world.answers[0] == Agreement.GOOD && world.answers[1] == Agreement.GOOD);
                refused[0] += world.answers[0] == Agreement.CONFLICT ? 1 : 0;
                refused[0] += world.answers[1] == Agreement.CONFLICT ? 1 : 0;
                // Sent again, and elsewhere, until the answer is clear: for ever the same.
                int one = answer(world, orders.pick(3), ONE);
                int other = answer(world, 2, OTHER);
                assertEquals(one + other, Agreement.GOOD + Agreement.CONFLICT, one + " and " + other);
                boolean holds = one == Agreement.GOOD;
                assertNotEquals(world.answers[0], holds ? Agreement.CONFLICT : Agreement.GOOD);
                assertNotEquals(world.answers[1], holds ? Agreement.GOOD : Agreement.CONFLICT);
                assertAgreed(world);
            }));
            assertTrue(trouble != Trouble.NONE || refused[0] > 0);
        }
    }

    /** The first copy has died, newer versions have come since, one drops it, and the disk was compacted. */
    @Test
    public void whatWasTakenIsAcknowledgedAgainByAnyStore() {
        for (boolean wiped : new boolean[] {false, true}) {
            String how = wiped ? "wiped" : "dead";
            told("sent again after newer versions, " + how, Orders.allOrDrawn(MOST, orders -> {
                World world = new World();
                world.adjust(0, 0, ONE);
                world.deliver(many -> {
                    if (world.answers[0] == Agreement.GOOD && world.dead.isEmpty()) {
                        world.dead.add(0);
                    }
                    return orders.pick(many);
                });
                world.dead.add(0);
                world.agreements[1].lost("s0");
                world.agreements[2].lost("s0");
                world.settle();
                boolean taken = world.answers[0] == Agreement.GOOD;
                int newer = orders.pick(3);
                if (newer > 0) {
                    assertEquals(answer(world, 1, call(route("one", 7, "h.example"))), Agreement.GOOD);
                }
                if (newer > 1) {
                    String drop = "{\"remove\":{\"routes\":[{\"name\":\"one\",\"revision\":9}]}}";
                    assertEquals(answer(world, 2, drop), Agreement.GOOD);
                }
                world.start(2, true, compacted(world.replicas[2]));
                world.settle();
                boolean first = orders.pick(2) == 0;
                int one = first ? answer(world, 2, ONE) : 0;
                int other = answer(world, 1, OTHER);
                one = first ? one : answer(world, 2, ONE);
                if (taken) {
                    assertEquals(one, Agreement.GOOD);
                }
                assertEquals(one + other, Agreement.GOOD + Agreement.CONFLICT, one + " and " + other);
                world.dead.clear();
                world.start(0, !wiped, wiped ? new Replica() : world.replicas[0]);
                world.settle();
                assertEquals(answer(world, 0, OTHER), other);
                assertEquals(answer(world, 0, ONE), one);
                assertAgreed(world);
                assertFalse(newer == 2
                        && world.replicas[0].inForce().stream()
                                .anyMatch(item -> item.key().equals("routes/one") && !item.dropped()));
            }));
        }
    }

    /** As a disk gives it back after its file has begun anew. */
    private static Replica compacted(Replica replica) {
        Replica next = new Replica();
        next.merge(replica.inForce());
        next.mark(List.copyOf(replica.marks()));
        replica.held().values().forEach(next::hold);
        return next;
    }

    /** The second comes to another store once the first is acknowledged, wherever that is known by then. */
    @Test
    public void aCallThatNeedsAnEarlierOneIsNeverInvalid() {
        for (int dead = 0; dead < 2; dead++) {
            int[] good = {0};
            boolean dies = dead == 1;
            String how = dies ? ", its store dies" : "";
            told("a call that needs an earlier one" + how, Orders.allOrDrawn(MOST, orders -> {
                World world = new World();
                world.adjust(0, 0, SHELF);
                world.deliver(many -> {
                    if (world.answers[0] == Agreement.GOOD && world.answers[1] == 0) {
                        world.answers[1] = -1;
                        if (dies) {
                            world.dead.add(0);
                        }
                        world.adjust(1 + orders.pick(2), 1, NEEDS);
                    }
                    return orders.pick(world.mail.size());
                });
                world.agreements[1].lost("s0");
                world.agreements[2].lost("s0");
                world.settle();
                assertTrue(
                        world.answers[1] == Agreement.GOOD || world.answers[1] == Agreement.LATER,
                        "answered " + world.answers[1]);
                good[0] += world.answers[1] == Agreement.GOOD ? 1 : 0;
                world.dead.clear();
                world.settle();
                assertEquals(answer(world, 0, NEEDS), Agreement.GOOD);
            }));
            assertTrue(good[0] > 0);
        }
    }

    /** A store that has never heard of a call says what a whole state says. */
    @Test
    public void aReadHasAllThatWasAcknowledgedBeforeItCame() {
        int[] read = {0};
        told("reads once a call is acknowledged", Orders.allOrDrawn(MOST, orders -> {
            World world = new World();
            List<String> told = new ArrayList<>();
            world.adjust(0, 0, ONE);
            world.deliver(many -> {
                if (world.answers[0] == Agreement.GOOD && world.answers[1] == 0) {
                    world.answers[1] = -1;
                    world.agreements[1 + orders.pick(2)].read(world.now, (status, text) -> told.add(status + text));
                }
                return orders.pick(world.mail.size());
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
        told("cut off, then heard again", Orders.allOrDrawn(MOST, orders -> {
            World world = new World();
            world.dead.add(2); // nothing comes in there
            world.adjust(0, 0, SHELF);
            world.drain();
            world.adjust(1, 0, ONE);
            world.drain();
            assertEquals(world.answers[0], Agreement.GOOD);
            world.dead.clear();
            List<Integer> told = new ArrayList<>();
            List<String> asked = List.of(
                    NEEDS,
                    OTHER,
                    "{\"apply\":{\"signals\":[]}}",
                    call(route("x", 3, "h.example").replace("desk", "none")));
            asked.forEach(body -> world.agreements[2].adjust(world.now, body, (status, line) -> told.add(status)));
            world.agreements[2].read(world.now, (status, text) -> told.add(status));
            assertEquals(told, List.of());
            // Its questions reach the others, and it hears them in any order; or not.
            boolean wakes = orders.pick(2) == 0;
            if (wakes) {
                world.deliver(orders::pick);
            } else {
                world.mail.clear();
                world.mailTo.clear();
            }
            world.now += SECOND;
            world.agreements[2].look(world.now);
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
        World world = new World();
        world.dead.add(2);
        world.adjust(0, 0, ONE);
        world.drain();
        assertEquals(world.answers[0], Agreement.GOOD);
        world.dead.clear();
        restart(world, 0, true);
        world.dead.add(1);
        List<Integer> told = new ArrayList<>();
        world.agreements[2].read(world.now, (status, text) -> told.add(status));
        world.drain();
        world.now += SECOND;
        world.agreements[2].look(world.now);
        assertEquals(told, List.of(503));
    }

    /** A contact for a proxy or a show waits for no call, and a call is decided on meanwhile. */
    @Test
    public void aCallIsDecidedOnWhileAContactIsUnderWay() {
        for (int at = 0; at < 2; at++) {
            int asked = at;
            Orders.allOrDrawn(MOST, orders -> {
                World world = new World();
                boolean[] reached = {false};
                world.agreements[asked].contact(world.now, false, told -> reached[0] = told);
                world.adjust(0, 0, ONE);
                world.deliver(orders::pick);
                assertTrue(reached[0]);
                assertEquals(world.answers[0], Agreement.GOOD);
                world.settle();
                assertAgreed(world);
            });
        }
    }

    /** A link is gone, and with it the quorum: that is told at once. */
    @Test
    public void withoutLinksTheAnswerIsAtOnceAndNoRefusal() {
        World world = new World();
        List<Integer> told = new ArrayList<>();
        world.agreements[0].read(world.now, (status, text) -> told.add(status));
        world.agreements[0].lost("s1");
        assertEquals(told, List.of());
        world.agreements[0].lost("s2");
        assertEquals(told, List.of(503));
        world.agreements[0].adjust(
                world.now,
                call(route("x", 3, "h.example").replace("desk", "none")),
                (status, line) -> told.add(status));
        assertEquals(told, List.of(503, 503));
    }

    @Test
    public void whatIsBelowTheFloorHasNoClearAnswer() {
        World world = new World();
        for (int i = 1; i <= Marks.MOST + 20; i++) {
            assertEquals(answer(world, i % 3, call(route("one", i, "h" + i + ".example"))), Agreement.GOOD);
        }
        world.settle();
        assertEquals(answer(world, 0, call(route("one", 19, "h19.example"))), Agreement.LATER);
        assertEquals(answer(world, 0, call(route("one", 19, "other.example"))), Agreement.LATER);
        for (int i = 20; i < 24; i++) {
            assertEquals(answer(world, 1, call(route("one", i, "h" + i + ".example"))), Agreement.GOOD);
            assertEquals(answer(world, 2, call(route("one", i, "other.example"))), Agreement.CONFLICT);
        }
        assertEquals(world.replicas[0].marks().size(), Marks.MOST + 1);
        assertEquals(answer(world, 1, call(route("one", 999, "a"), route("one", 999, "b"))), Agreement.WRONG);
    }

    /** What was dropped and answered by 503 does not come into force after its content was refused. */
    @Test
    public void whatWasDroppedIsNotBroughtAgainByWhoWasAway() throws Invalid {
        World world = new World();
        Proposal stale = new Proposal("s2/1/9", new Ballot(1, "s2"), Change.read(OTHER));
        world.agreements[0].decided(world.now, stale.call(), stale.ballot(), false, List.of());
        world.agreements[1].decided(world.now, stale.call(), stale.ballot(), false, List.of());
        world.agreements[2].asked(world.now, "s2", stale);
        world.now += 20 * SECOND;
        world.agreements[0].look(world.now);
        world.agreements[1].look(world.now);
        world.settle();
        assertAgreed(world);
        assertFalse(has(world, 0, "routes/one", 5));
    }
}
