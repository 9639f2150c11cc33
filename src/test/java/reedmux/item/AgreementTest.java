package reedmux.item;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.TreeMap;
import org.testng.annotations.Test;

/** Three stores, and every order in which their messages may come in. */
public class AgreementTest {
    private static final long SECOND = 1_000_000;
    private static final String PLANT = item("plants", "desk", 1, "{\"probe\":\"/health\",\"connCeiling\":9}");

    static String item(String kind, String name, int revision, String body) {
        return "{\"signalKind\":\"" + kind + "\",\"heading\":{\"name\":\"" + name + "\",\"revision\":"
                + revision
                + "},\"reference\":" + body + '}';
    }

    static String route(String name, int revision, String host) {
        String body = """
                {"host":"%s","prefix":"/a/","kind":"effectful","cutoffMs":1000,"setpointMs":100,"priority":1,
                 "plant":"desk","attempts":1}""";
        return item("routes", name, revision, String.format(body, host));
    }

    static String call(String... items) {
        return "{\"apply\":{\"signals\":[" + String.join(",", items) + "]},\"remove\":{}}";
    }

    /** Three agreements, the messages between them, and what the operator was told. */
    static final class World {
        final Agreement[] agreements = new Agreement[3];
        final Replica[] replicas = new Replica[3];
        final List<Runnable> mail = new ArrayList<>();
        final List<Integer> mailTo = new ArrayList<>();
        final int[] answers = {0, 0, 0, 0};
        final Set<Integer> dead = new HashSet<>();
        final Set<Integer> noDisk = new HashSet<>();
        long now = SECOND;

        World() {
            for (int i = 0; i < 3; i++) {
                start(i, true, new Replica());
            }
            meet();
            adjust(0, 3, call(PLANT));
            drain();
            assertEquals(answers[3], Agreement.GOOD);
        }

        void start(int i, boolean whole, Replica replica) {
            replicas[i] = replica;
            agreements[i] = new Agreement("s" + i, now + i, replica, whole, new Effects(i));
            agreements[i].quorum(Quorum.of(List.of("s0", "s1", "s2"), 2));
        }

        void adjust(int at, int number, String body) {
            agreements[at].adjust(now, body, (status, line) -> answers[number] = status);
        }

        /** Each tells each other all that is in force. */
        void meet() {
            for (int round = 0; round < 2; round++) {
                for (int i = 0; i < 3; i++) {
                    for (int j = 0; j < 3; j++) {
                        if (i != j && !dead.contains(i) && !dead.contains(j)) {
                            replicas[i].mark(List.copyOf(replicas[j].marks()));
                            agreements[i].met(
                                    now,
                                    "s" + j,
                                    agreements[j].whole(),
                                    List.copyOf(replicas[j].inForce()),
                                    List.copyOf(replicas[j].held().values()));
                        }
                    }
                }
            }
        }

        void drain() {
            deliver(n -> 0);
        }

        void deliver(java.util.function.IntUnaryOperator pick) {
            while (!mail.isEmpty()) {
                int next = pick.applyAsInt(mail.size());
                int to = mailTo.remove(next);
                Runnable message = mail.remove(next);
                if (!dead.contains(to)) {
                    message.run();
                }
            }
        }

        /** Time passes, all that live meet, and what is left undecided is brought to its end. */
        void settle() {
            for (int i = 0; i < 6; i++) {
                now += SECOND;
                meet();
                for (int j = 0; j < 3; j++) {
                    if (!dead.contains(j)) {
                        agreements[j].look(now);
                    }
                }
                drain();
            }
            meet();
        }

        TreeMap<String, Long> inForce(int at) {
            TreeMap<String, Long> all = new TreeMap<>();
            replicas[at]
                    .inForce()
                    .forEach(item -> all.put(item.key() + ' ' + item.body().hashCode(), item.revision()));
            return all;
        }

        private final class Effects implements Agreement.Effects {
            private final int self;

            Effects(int self) {
                this.self = self;
            }

            private void send(int to, Runnable message) {
                if (!dead.contains(self) && to != self) {
                    mail.add(message);
                    mailTo.add(to);
                }
            }

            @Override
            public void propose(Proposal proposal) {
                for (int i = 0; i < 3; i++) {
                    int to = i;
                    send(to, () -> agreements[to].asked(now, "s" + self, proposal));
                }
            }

            @Override
            public void vote(String to, String call, Ballot ballot, Agreement.Vote vote) {
                int other = to.charAt(1) - '0';
                send(other, () -> agreements[other].counted(now, "s" + self, call, ballot, vote));
            }

            @Override
            public void confirm(long id, boolean settled) {
                for (int i = 0; i < 3; i++) {
                    int to = i;
                    send(to, () -> agreements[to].confirm(now, "s" + self, id, settled));
                }
            }

            @Override
            public void confirmed(String to, long id) {
                int other = to.charAt(1) - '0';
                List<Mark> marks = List.copyOf(replicas[self].marks());
                List<Item> items = List.copyOf(replicas[self].inForce());
                List<Proposal> held = List.copyOf(replicas[self].held().values());
                send(other, () -> {
                    replicas[other].mark(marks);
                    agreements[other].met(now, "s" + self, true, items, held);
                    agreements[other].confirmed(now, "s" + self, id);
                });
            }

            @Override
            public void tell(String call, Ballot ballot, boolean inForce, List<Item> items) {
                for (int i = 0; i < 3; i++) {
                    int to = i;
                    send(to, () -> agreements[to].decided(now, call, ballot, inForce, items));
                }
            }

            @Override
            public void keepHeld(Proposal proposal) {
                if (!noDisk.contains(self)) {
                    agreements[self].kept(now, proposal.call(), proposal.ballot(), true);
                }
            }

            @Override
            public void keepDecided(String call, Ballot ballot, boolean inForce, List<Item> items) {}

            @Override
            public void changed() {}

            @Override
            public void log(String line) {}
        }
    }

    static void assertAgreed(World world) {
        assertEquals(world.inForce(1), world.inForce(0));
        assertEquals(world.inForce(2), world.inForce(0));
        try {
            Table.of(world.replicas[0].inForce());
        } catch (Invalid e) {
            throw new AssertionError("in force and invalid: " + e.getMessage());
        }
        for (int i = 0; i < 3; i++) {
            assertTrue(world.replicas[i].held().isEmpty());
        }
    }

    static boolean has(World world, int at, String key, long revision) {
        return world.replicas[at].inForce().stream()
                .anyMatch(item -> item.key().equals(key) && item.revision() == revision);
    }

    @Test
    public void twoCallsForOneHostAndPrefixNeverBothComeIntoForce() {
        int[] both = {0};
        int plays = Orders.all(20_000, orders -> {
            World world = new World();
            world.adjust(0, 0, call(route("one", 2, "h.example")));
            world.adjust(1, 1, call(route("two", 2, "h.example")));
            world.deliver(orders::pick);
            world.settle();
            assertAgreed(world);
            assertFalse(world.answers[0] == Agreement.GOOD && world.answers[1] == Agreement.GOOD);
            both[0] += world.answers[0] == Agreement.GOOD || world.answers[1] == Agreement.GOOD ? 1 : 0;
            for (int i = 0; i < 2; i++) {
                if (world.answers[i] == Agreement.GOOD) {
                    assertTrue(has(world, 2, i == 0 ? "routes/one" : "routes/two", 2));
                }
            }
        });
        assertTrue(plays > 100 && both[0] > 0, plays + " orders, " + both[0] + " with one in force");
    }

    @Test
    public void ofTwoContentsWithOneRevisionOneHoldsEverywhere() {
        Orders.all(20_000, orders -> {
            World world = new World();
            world.adjust(0, 0, call(route("one", 2, "h.example")));
            world.adjust(1, 1, call(route("one", 2, "other.example")));
            world.deliver(orders::pick);
            world.settle();
            assertAgreed(world);
            assertFalse(world.answers[0] == Agreement.GOOD && world.answers[1] == Agreement.GOOD);
        });
    }

    @Test
    public void whatWasAcknowledgedOutlivesTheStoreThatAcknowledgedIt() {
        for (boolean wiped : new boolean[] {false, true}) {
            Orders.all(20_000, orders -> {
                World world = new World();
                world.adjust(0, 0, call(route("one", 2, "h.example")));
                world.deliver(many -> {
                    // The store that was asked may die before any message comes in, and takes those it has
                    // sent along.
                    if (world.answers[0] == Agreement.GOOD && world.dead.isEmpty()) {
                        world.dead.add(0);
                        if (orders.pick(2) == 0) {
                            world.mail.clear();
                            world.mailTo.clear();
                            world.mail.add(() -> {});
                            world.mailTo.add(0);
                            return 0;
                        }
                    }
                    return orders.pick(many);
                });
                boolean acknowledged = world.answers[0] == Agreement.GOOD;
                world.dead.add(0);
                world.now += SECOND;
                world.agreements[1].lost("s0");
                world.agreements[2].lost("s0");
                world.settle();
                if (acknowledged) {
                    assertTrue(has(world, 1, "routes/one", 2) && has(world, 2, "routes/one", 2));
                }
                world.dead.clear();
                world.start(0, !wiped, wiped ? new Replica() : world.replicas[0]);
                assertFalse(world.agreements[0].current());
                world.settle();
                assertAgreed(world);
                assertTrue(world.agreements[0].whole());
            });
        }
    }

    @Test
    public void aWipedStoreDoesNotVouchBeforeItHasMetTheOthers() {
        World world = new World();
        world.start(0, false, new Replica());
        world.adjust(1, 0, call(route("one", 2, "h.example")));
        world.dead.add(2); // so that only the wiped one could make up the number
        world.drain();
        assertNotEquals(world.answers[0], Agreement.GOOD);
        world.dead.clear();
        world.settle();
        assertAgreed(world);
    }

    @Test
    public void nothingIsAcknowledgedFromMemory() {
        World world = new World();
        world.noDisk.add(1);
        world.noDisk.add(2);
        world.adjust(0, 0, call(route("one", 2, "h.example")));
        world.drain();
        assertEquals(world.answers[0], 0);
        world.now += SECOND;
        world.agreements[0].look(world.now);
        assertEquals(world.answers[0], Agreement.LATER);
    }

    @Test
    public void invalidCallsChangeNothingAndSayWhy() {
        String[] invalid = {
            "{\"apply\":{\"signals\":[" + route("x", 3, "h.example"),
            call(route("x", 3, "")),
            call(route("x", 3, "h.example").replace("/a/", "a/")),
            call(route("x", 3, "h.example").replace("\"desk\"", "\"nowhere\"")),
            call(route("x", 3, "h.example"), route("y", 3, "H.example")),
            call(route("x", 3, "h.example")
                    .replace("\"plant\":\"desk\"", "\"split\":[{\"plant\":\"desk\",\"gain\":-1}]")),
            call(item("tenants", "t", 3, "{\"keys\":[\"k\"]}"), item("tenants", "u", 3, "{\"keys\":[\"k\"]}")),
            "{\"apply\":{},\"remove\":{\"plants\":[{\"name\":\"desk\",\"revision\":3}]},\"x\":"
        };
        for (String body : invalid) {
            World world = new World();
            TreeMap<String, Long> before = world.inForce(0);
            StringBuilder why = new StringBuilder();
            world.agreements[0].adjust(world.now, body, (status, line) -> {
                world.answers[0] = status;
                why.append(line);
            });
            world.drain();
            assertEquals(world.answers[0], Agreement.WRONG, body);
            assertTrue(why.length() > 10, body);
            world.settle();
            assertEquals(world.inForce(2), before);
        }
    }

    @Test
    public void ofOneRevisionOnlyTheContentThatWasTakenIsAcknowledged() {
        World world = new World();
        world.adjust(0, 0, call(route("one", 5, "h.example")));
        world.drain();
        TreeMap<String, Long> before = world.inForce(0);
        world.adjust(1, 1, call(route("one", 5, "other.example")));
        world.adjust(2, 2, call(route("one", 4, "third.example")));
        world.adjust(1, 0, call(route("one", 5, "h.example")));
        world.drain();
        assertEquals(world.answers[1], Agreement.CONFLICT);
        assertEquals(world.answers[2], Agreement.GOOD);
        assertEquals(world.answers[0], Agreement.GOOD);
        world.settle();
        assertEquals(world.inForce(1), before);
    }

    @Test
    public void whatWasDroppedStaysDropped() {
        World world = new World();
        world.adjust(0, 0, call(route("one", 5, "h.example")));
        world.drain();
        world.adjust(1, 1, "{\"remove\":{\"routes\":[{\"name\":\"one\",\"revision\":7}]}}");
        world.drain();
        world.adjust(2, 2, call(route("one", 6, "h.example")));
        world.drain();
        StringBuilder read = new StringBuilder();
        world.agreements[2].read(
                world.now, (status, text) -> read.append(status).append(text));
        world.drain();
        assertTrue(read.toString().startsWith("200"));
        assertFalse(read.toString().contains("h.example"));
    }

    /** One store of the three, whose votes are collected; its disk keeps all. */
    private static final class Alone implements Agreement.Effects {
        final Replica replica = new Replica();
        final List<String> votes = new ArrayList<>();
        final Agreement agreement = new Agreement("s0", 1, replica, true, this);

        Alone() throws Invalid {
            agreement.quorum(Quorum.of(List.of("s0", "s1", "s2", "s3", "s4"), 2));
            replica.merge(Change.read(call(PLANT)));
        }

        String asked(String by, long number, String call, String... items) throws Invalid {
            agreement.asked(SECOND, by, new Proposal(call, new Ballot(number, by), Change.read(call(items))));
            return votes.remove(votes.size() - 1);
        }

        @Override
        public void propose(Proposal proposal) {}

        @Override
        public void vote(String to, String call, Ballot ballot, Agreement.Vote vote) {
            votes.add(vote + " under " + ballot);
        }

        @Override
        public void confirm(long id, boolean settled) {}

        @Override
        public void confirmed(String to, long id) {}

        @Override
        public void tell(String call, Ballot ballot, boolean inForce, List<Item> items) {}

        @Override
        public void keepHeld(Proposal proposal) {
            agreement.kept(SECOND, proposal.call(), proposal.ballot(), true);
        }

        @Override
        public void keepDecided(String call, Ballot ballot, boolean inForce, List<Item> items) {}

        @Override
        public void changed() {}

        @Override
        public void log(String line) {}
    }

    /** Another attempt may be counting our vote: what a lower one decides does not take it back. */
    @Test
    public void aDropUnderALowerBallotLeavesWhatIsHeld() throws Invalid {
        Alone store = new Alone();
        assertEquals(store.asked("s1", 1, "x", route("one", 2, "h.example")), "HELD under 1 of s1");
        assertEquals(store.asked("s2", 2, "x", route("one", 2, "h.example")), "HELD under 2 of s2");
        store.agreement.decided(SECOND, "x", new Ballot(1, "s1"), false, List.of());
        assertTrue(store.replica.holds("x"));
        assertEquals(store.asked("s3", 1, "z", route("two", 2, "h.example")), "BUSY under 1 of s3");
        store.agreement.decided(SECOND, "x", new Ballot(2, "s2"), false, List.of());
        assertFalse(store.replica.holds("x"));
    }

    /** Who has said no under one ballot says nothing else under one before it, whatever has become free. */
    @Test
    public void aLowerBallotIsNotHeeded() throws Invalid {
        Alone store = new Alone();
        store.asked("s3", 1, "z", route("two", 2, "h.example"));
        assertEquals(store.asked("s2", 2, "x", route("one", 2, "h.example")), "BUSY under 2 of s2");
        store.agreement.decided(SECOND, "z", new Ballot(1, "s3"), false, List.of());
        assertEquals(store.asked("s1", 1, "x", route("one", 2, "h.example")), "PASSED under 1 of s1");
        assertEquals(store.asked("s1", 3, "x", route("one", 2, "h.example")), "HELD under 3 of s1");
    }

    /** A vote for a call may have gone with the disk: what others hold stands in the way of what contends. */
    @Test
    public void aWipedStoreHoldsWhatTheOthersHold() throws Invalid {
        Alone other = new Alone();
        other.asked("s1", 1, "x", route("one", 2, "h.example"));
        Alone store = new Alone();
        Agreement wiped = new Agreement("s0", 2, store.replica, false, store);
        wiped.quorum(Quorum.of(List.of("s0", "s1", "s2"), 2));
        wiped.met(SECOND, "s1", true, List.copyOf(other.replica.inForce()), List.of());
        wiped.met(
                SECOND,
                "s2",
                true,
                List.copyOf(other.replica.inForce()),
                List.copyOf(other.replica.held().values()));
        assertTrue(wiped.whole());
        wiped.asked(
                SECOND, "s3", new Proposal("z", new Ballot(1, "s3"), Change.read(call(route("two", 2, "h.example")))));
        assertEquals(store.votes, List.of("BUSY under 1 of s3"));
    }

    /** While the core is being changed nothing new is held; what is held goes on. */
    @Test
    public void aFencedStoreTakesNothingNew() throws Invalid {
        Alone store = new Alone();
        assertEquals(store.asked("s1", 1, "x", route("one", 2, "h.example")), "HELD under 1 of s1");
        store.agreement.fence(true);
        assertEquals(store.asked("s2", 2, "x", route("one", 2, "h.example")), "HELD under 2 of s2");
        assertEquals(store.asked("s2", 1, "y", route("three", 2, "three.example")), "BUSY under 1 of s2");
        assertEquals(new java.util.TreeSet<>(store.agreement.votedFor("x")).toString(), "[s1, s2]");
    }

    /**
     * What is handed over is held here; what cannot be stays in doubt while somebody else may decide on
     * it.
     */
    @Test
    public void whatIsHandedOverIsHeldOrInDoubt() throws Invalid {
        Alone store = new Alone();
        store.asked("s1", 1, "x", route("one", 2, "h.example"));
        Proposal beside = new Proposal("z", new Ballot(1, "s3"), Change.read(call(route("two", 2, "h.example"))));
        Proposal other = new Proposal("o", new Ballot(1, "s3"), Change.read(call(route("o", 2, "o.example"))));
        store.agreement.handed(SECOND, List.of(), List.of(beside, other), List.of(List.of("s3"), List.of("s3")));
        assertTrue(store.replica.holds("o"));
        assertFalse(store.replica.holds("z"));
        assertFalse(store.agreement.settled(Set.of("s1", "s2")));
        assertTrue(store.agreement.settled(Set.of("s1", "s3")));
    }
}
