package reedmux.control.consensus;

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
import reedmux.control.configuration.ConfigurationChangeFormat;
import reedmux.control.configuration.ConfigurationItem;
import reedmux.control.configuration.ConfigurationTable;
import reedmux.control.configuration.InvalidConfigurationException;
import reedmux.control.replication.Replica;
import reedmux.control.replication.Watermark;
import reedmux.testing.ScheduleExplorer;

/** Three stores, and every order in which their messages may come in. */
public class ConsensusNodeTest {
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
    public static final class ConsensusTestCluster {
        final ConsensusNode[] agreements = new ConsensusNode[3];
        final Replica[] replicas = new Replica[3];
        final List<Runnable> mail = new ArrayList<>();
        final List<Integer> mailTo = new ArrayList<>();
        final int[] answers = {0, 0, 0, 0};
        final Set<Integer> dead = new HashSet<>();
        final Set<Integer> noDisk = new HashSet<>();
        long now = SECOND;

        ConsensusTestCluster() {
            for (int i = 0; i < 3; i++) {
                start(i, true, new Replica());
            }
            meet();
            adjust(0, 3, call(PLANT));
            drain();
            assertEquals(answers[3], OperationStatus.OK);
        }

        void start(int i, boolean whole, Replica replica) {
            replicas[i] = replica;
            agreements[i] = new ConsensusNode("s" + i, now + i, replica, whole, new Effects(i));
            agreements[i].onQuorumChanged(Quorum.of(List.of("s0", "s1", "s2"), 2));
        }

        void adjust(int at, int number, String body) {
            agreements[at].onChangeRequest(now, body, (status, line) -> answers[number] = status);
        }

        /** Each tells each other all that is in force. */
        void meet() {
            for (int round = 0; round < 2; round++) {
                for (int i = 0; i < 3; i++) {
                    for (int j = 0; j < 3; j++) {
                        if (i != j && !dead.contains(i) && !dead.contains(j)) {
                            replicas[i].mergeWatermarks(List.copyOf(replicas[j].watermarks()));
                            agreements[i].onPeerState(
                                    now,
                                    "s" + j,
                                    agreements[j].isComplete(),
                                    List.copyOf(replicas[j].committed()),
                                    List.copyOf(replicas[j].pending().values()));
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
                        agreements[j].onTick(now);
                    }
                }
                drain();
            }
            meet();
        }

        TreeMap<String, Long> inForce(int at) {
            TreeMap<String, Long> all = new TreeMap<>();
            replicas[at]
                    .committed()
                    .forEach(item -> all.put(item.key() + ' ' + item.body().hashCode(), item.revision()));
            return all;
        }

        private final class Effects implements ConsensusPort {
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
            public void broadcastProposal(Proposal proposal) {
                for (int i = 0; i < 3; i++) {
                    int to = i;
                    send(to, () -> agreements[to].onProposal(now, "s" + self, proposal));
                }
            }

            @Override
            public void sendVote(String to, String call, Ballot ballot, Vote vote) {
                int other = to.charAt(1) - '0';
                send(other, () -> agreements[other].onVote(now, "s" + self, call, ballot, vote));
            }

            @Override
            public void broadcastContactRequest(long id, boolean settled) {
                for (int i = 0; i < 3; i++) {
                    int to = i;
                    send(to, () -> agreements[to].onContactRequest(now, "s" + self, id, settled));
                }
            }

            @Override
            public void sendContactConfirmation(String to, long id) {
                int other = to.charAt(1) - '0';
                List<Watermark> marks = List.copyOf(replicas[self].watermarks());
                List<ConfigurationItem> items = List.copyOf(replicas[self].committed());
                List<Proposal> held = List.copyOf(replicas[self].pending().values());
                send(other, () -> {
                    replicas[other].mergeWatermarks(marks);
                    agreements[other].onPeerState(now, "s" + self, true, items, held);
                    agreements[other].onContactConfirmation(now, "s" + self, id);
                });
            }

            @Override
            public void broadcastDecision(String call, Ballot ballot, boolean inForce, List<ConfigurationItem> items) {
                for (int i = 0; i < 3; i++) {
                    int to = i;
                    send(to, () -> agreements[to].onDecision(now, call, ballot, inForce, items));
                }
            }

            @Override
            public void persistProposal(Proposal proposal) {
                if (!noDisk.contains(self)) {
                    agreements[self].onPersisted(now, proposal.id(), proposal.ballot(), true);
                }
            }

            @Override
            public void persistDecision(String call, Ballot ballot, boolean inForce, List<ConfigurationItem> items) {}

            @Override
            public void notifyConfigurationChanged() {}

            @Override
            public void log(String line) {}
        }
    }

    static void assertAgreed(ConsensusTestCluster world) {
        assertEquals(world.inForce(1), world.inForce(0));
        assertEquals(world.inForce(2), world.inForce(0));
        try {
            ConfigurationTable.of(world.replicas[0].committed());
        } catch (InvalidConfigurationException e) {
            throw new AssertionError("in force and invalid: " + e.getMessage());
        }
        for (int i = 0; i < 3; i++) {
            assertTrue(world.replicas[i].pending().isEmpty());
        }
    }

    static boolean has(ConsensusTestCluster world, int at, String key, long revision) {
        return world.replicas[at].committed().stream()
                .anyMatch(item -> item.key().equals(key) && item.revision() == revision);
    }

    @Test
    public void twoCallsForOneHostAndPrefixNeverBothComeIntoForce() {
        int[] both = {0};
        int plays = ScheduleExplorer.exploreAll(20_000, orders -> {
            ConsensusTestCluster world = new ConsensusTestCluster();
            world.adjust(0, 0, call(route("one", 2, "h.example")));
            world.adjust(1, 1, call(route("two", 2, "h.example")));
            world.deliver(orders::choose);
            world.settle();
            assertAgreed(world);
            assertFalse(world.answers[0] == OperationStatus.OK && world.answers[1] == OperationStatus.OK);
            both[0] += world.answers[0] == OperationStatus.OK || world.answers[1] == OperationStatus.OK ? 1 : 0;
            for (int i = 0; i < 2; i++) {
                if (world.answers[i] == OperationStatus.OK) {
                    assertTrue(has(world, 2, i == 0 ? "routes/one" : "routes/two", 2));
                }
            }
        });
        assertTrue(plays > 100 && both[0] > 0, plays + " orders, " + both[0] + " with one in force");
    }

    @Test
    public void ofTwoContentsWithOneRevisionOneHoldsEverywhere() {
        ScheduleExplorer.exploreAll(20_000, orders -> {
            ConsensusTestCluster world = new ConsensusTestCluster();
            world.adjust(0, 0, call(route("one", 2, "h.example")));
            world.adjust(1, 1, call(route("one", 2, "other.example")));
            world.deliver(orders::choose);
            world.settle();
            assertAgreed(world);
            assertFalse(world.answers[0] == OperationStatus.OK && world.answers[1] == OperationStatus.OK);
        });
    }

    @Test
    public void whatWasAcknowledgedOutlivesTheStoreThatAcknowledgedIt() {
        for (boolean wiped : new boolean[] {false, true}) {
            ScheduleExplorer.exploreAll(20_000, orders -> {
                ConsensusTestCluster world = new ConsensusTestCluster();
                world.adjust(0, 0, call(route("one", 2, "h.example")));
                world.deliver(many -> {
                    // The store that was asked may die before any message comes in, and takes those it has
                    // sent along.
                    if (world.answers[0] == OperationStatus.OK && world.dead.isEmpty()) {
                        world.dead.add(0);
                        if (orders.choose(2) == 0) {
                            world.mail.clear();
                            world.mailTo.clear();
                            world.mail.add(() -> {});
                            world.mailTo.add(0);
                            return 0;
                        }
                    }
                    return orders.choose(many);
                });
                boolean acknowledged = world.answers[0] == OperationStatus.OK;
                world.dead.add(0);
                world.now += SECOND;
                world.agreements[1].onPeerDisconnected("s0");
                world.agreements[2].onPeerDisconnected("s0");
                world.settle();
                if (acknowledged) {
                    assertTrue(has(world, 1, "routes/one", 2) && has(world, 2, "routes/one", 2));
                }
                world.dead.clear();
                world.start(0, !wiped, wiped ? new Replica() : world.replicas[0]);
                assertFalse(world.agreements[0].isCurrent());
                world.settle();
                assertAgreed(world);
                assertTrue(world.agreements[0].isComplete());
            });
        }
    }

    @Test
    public void aWipedStoreDoesNotVouchBeforeItHasMetTheOthers() {
        ConsensusTestCluster world = new ConsensusTestCluster();
        world.start(0, false, new Replica());
        world.adjust(1, 0, call(route("one", 2, "h.example")));
        world.dead.add(2); // so that only the wiped one could make up the number
        world.drain();
        assertNotEquals(world.answers[0], OperationStatus.OK);
        world.dead.clear();
        world.settle();
        assertAgreed(world);
    }

    @Test
    public void nothingIsAcknowledgedFromMemory() {
        ConsensusTestCluster world = new ConsensusTestCluster();
        world.noDisk.add(1);
        world.noDisk.add(2);
        world.adjust(0, 0, call(route("one", 2, "h.example")));
        world.drain();
        assertEquals(world.answers[0], 0);
        world.now += SECOND;
        world.agreements[0].onTick(world.now);
        assertEquals(world.answers[0], OperationStatus.UNAVAILABLE);
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
            ConsensusTestCluster world = new ConsensusTestCluster();
            TreeMap<String, Long> before = world.inForce(0);
            StringBuilder why = new StringBuilder();
            world.agreements[0].onChangeRequest(world.now, body, (status, line) -> {
                world.answers[0] = status;
                why.append(line);
            });
            world.drain();
            assertEquals(world.answers[0], OperationStatus.INVALID, body);
            assertTrue(why.length() > 10, body);
            world.settle();
            assertEquals(world.inForce(2), before);
        }
    }

    @Test
    public void ofOneRevisionOnlyTheContentThatWasTakenIsAcknowledged() {
        ConsensusTestCluster world = new ConsensusTestCluster();
        world.adjust(0, 0, call(route("one", 5, "h.example")));
        world.drain();
        TreeMap<String, Long> before = world.inForce(0);
        world.adjust(1, 1, call(route("one", 5, "other.example")));
        world.adjust(2, 2, call(route("one", 4, "third.example")));
        world.adjust(1, 0, call(route("one", 5, "h.example")));
        world.drain();
        assertEquals(world.answers[1], OperationStatus.CONFLICT);
        assertEquals(world.answers[2], OperationStatus.OK);
        assertEquals(world.answers[0], OperationStatus.OK);
        world.settle();
        assertEquals(world.inForce(1), before);
    }

    @Test
    public void whatWasDroppedStaysDropped() {
        ConsensusTestCluster world = new ConsensusTestCluster();
        world.adjust(0, 0, call(route("one", 5, "h.example")));
        world.drain();
        world.adjust(1, 1, "{\"remove\":{\"routes\":[{\"name\":\"one\",\"revision\":7}]}}");
        world.drain();
        world.adjust(2, 2, call(route("one", 6, "h.example")));
        world.drain();
        StringBuilder read = new StringBuilder();
        world.agreements[2].onReadRequest(
                world.now, (status, text) -> read.append(status).append(text));
        world.drain();
        assertTrue(read.toString().startsWith("200"));
        assertFalse(read.toString().contains("h.example"));
    }

    /** One store of the three, whose votes are collected; its disk keeps all. */
    private static final class SingleConsensusNode implements ConsensusPort {
        final Replica replica = new Replica();
        final List<String> votes = new ArrayList<>();
        final ConsensusNode agreement = new ConsensusNode("s0", 1, replica, true, this);

        SingleConsensusNode() throws InvalidConfigurationException {
            agreement.onQuorumChanged(Quorum.of(List.of("s0", "s1", "s2", "s3", "s4"), 2));
            replica.merge(ConfigurationChangeFormat.parse(call(PLANT)));
        }

        String asked(String by, long number, String call, String... items) throws InvalidConfigurationException {
            agreement.onProposal(
                    SECOND,
                    by,
                    new Proposal(call, new Ballot(number, by), ConfigurationChangeFormat.parse(call(items))));
            return votes.remove(votes.size() - 1);
        }

        @Override
        public void broadcastProposal(Proposal proposal) {}

        @Override
        public void sendVote(String to, String call, Ballot ballot, Vote vote) {
            votes.add(vote + " under " + ballot);
        }

        @Override
        public void broadcastContactRequest(long id, boolean settled) {}

        @Override
        public void sendContactConfirmation(String to, long id) {}

        @Override
        public void broadcastDecision(String call, Ballot ballot, boolean inForce, List<ConfigurationItem> items) {}

        @Override
        public void persistProposal(Proposal proposal) {
            agreement.onPersisted(SECOND, proposal.id(), proposal.ballot(), true);
        }

        @Override
        public void persistDecision(String call, Ballot ballot, boolean inForce, List<ConfigurationItem> items) {}

        @Override
        public void notifyConfigurationChanged() {}

        @Override
        public void log(String line) {}
    }

    /** Another attempt may be counting our vote: what a lower one decides does not take it back. */
    @Test
    public void aDropUnderALowerBallotLeavesWhatIsHeld() throws InvalidConfigurationException {
        SingleConsensusNode store = new SingleConsensusNode();
        assertEquals(store.asked("s1", 1, "x", route("one", 2, "h.example")), "PREPARED under 1 of s1");
        assertEquals(store.asked("s2", 2, "x", route("one", 2, "h.example")), "PREPARED under 2 of s2");
        store.agreement.onDecision(SECOND, "x", new Ballot(1, "s1"), false, List.of());
        assertTrue(store.replica.isPending("x"));
        assertEquals(store.asked("s3", 1, "z", route("two", 2, "h.example")), "BUSY under 1 of s3");
        store.agreement.onDecision(SECOND, "x", new Ballot(2, "s2"), false, List.of());
        assertFalse(store.replica.isPending("x"));
    }

    /** Who has said no under one ballot says nothing else under one before it, whatever has become free. */
    @Test
    public void aLowerBallotIsNotHeeded() throws InvalidConfigurationException {
        SingleConsensusNode store = new SingleConsensusNode();
        store.asked("s3", 1, "z", route("two", 2, "h.example"));
        assertEquals(store.asked("s2", 2, "x", route("one", 2, "h.example")), "BUSY under 2 of s2");
        store.agreement.onDecision(SECOND, "z", new Ballot(1, "s3"), false, List.of());
        assertEquals(store.asked("s1", 1, "x", route("one", 2, "h.example")), "SUPERSEDED under 1 of s1");
        assertEquals(store.asked("s1", 3, "x", route("one", 2, "h.example")), "PREPARED under 3 of s1");
    }

    /** A vote for a call may have gone with the disk: what others hold stands in the way of what contends. */
    @Test
    public void aWipedStoreHoldsWhatTheOthersHold() throws InvalidConfigurationException {
        SingleConsensusNode other = new SingleConsensusNode();
        other.asked("s1", 1, "x", route("one", 2, "h.example"));
        SingleConsensusNode store = new SingleConsensusNode();
        ConsensusNode wiped = new ConsensusNode("s0", 2, store.replica, false, store);
        wiped.onQuorumChanged(Quorum.of(List.of("s0", "s1", "s2"), 2));
        wiped.onPeerState(SECOND, "s1", true, List.copyOf(other.replica.committed()), List.of());
        wiped.onPeerState(
                SECOND,
                "s2",
                true,
                List.copyOf(other.replica.committed()),
                List.copyOf(other.replica.pending().values()));
        assertTrue(wiped.isComplete());
        wiped.onProposal(
                SECOND,
                "s3",
                new Proposal(
                        "z", new Ballot(1, "s3"), ConfigurationChangeFormat.parse(call(route("two", 2, "h.example")))));
        assertEquals(store.votes, List.of("BUSY under 1 of s3"));
    }

    /** While the core is being changed nothing new is held; what is held goes on. */
    @Test
    public void aFencedStoreTakesNothingNew() throws InvalidConfigurationException {
        SingleConsensusNode store = new SingleConsensusNode();
        assertEquals(store.asked("s1", 1, "x", route("one", 2, "h.example")), "PREPARED under 1 of s1");
        store.agreement.setFenced(true);
        assertEquals(store.asked("s2", 2, "x", route("one", 2, "h.example")), "PREPARED under 2 of s2");
        assertEquals(store.asked("s2", 1, "y", route("three", 2, "three.example")), "BUSY under 1 of s2");
        assertEquals(new java.util.TreeSet<>(store.agreement.proposersVotedFor("x")).toString(), "[s1, s2]");
    }

    /**
     * What is handed over is held here; what cannot be stays in doubt while somebody else may decide on
     * it.
     */
    @Test
    public void whatIsHandedOverIsHeldOrInDoubt() throws InvalidConfigurationException {
        SingleConsensusNode store = new SingleConsensusNode();
        store.asked("s1", 1, "x", route("one", 2, "h.example"));
        Proposal beside = new Proposal(
                "z", new Ballot(1, "s3"), ConfigurationChangeFormat.parse(call(route("two", 2, "h.example"))));
        Proposal other = new Proposal(
                "o", new Ballot(1, "s3"), ConfigurationChangeFormat.parse(call(route("o", 2, "o.example"))));
        store.agreement.onHandover(SECOND, List.of(), List.of(beside, other), List.of(List.of("s3"), List.of("s3")));
        assertTrue(store.replica.isPending("o"));
        assertFalse(store.replica.isPending("z"));
        assertFalse(store.agreement.resolvesDoubts(Set.of("s1", "s2")));
        assertTrue(store.agreement.resolvesDoubts(Set.of("s1", "s3")));
    }
}
