package reedmux.control.consensus;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.IntUnaryOperator;
import org.testng.annotations.Test;
import reedmux.control.configuration.ConfigurationItem;
import reedmux.control.replication.Replica;
import reedmux.testing.ScheduleExplorer;

/**
 * Changes of the core: links that keep their order among themselves, and messages in every order across
 * them.
 */
public class CoreMembershipTest {
    private static final long SECOND = 1_000_000;
    private static final int ORDERS = 500;
    private static final int DRAWN = 500;

    private static String route(String name, String host) {
        return "{\"apply\":{\"signals\":[{\"signalKind\":\"routes\",\"heading\":{\"name\":\"" + name
                + "\",\"revision\":2},\"reference\":{\"host\":\"" + host + "\",\"prefix\":\"/a/\",\"kind\":"
                + "\"effectful\",\"cutoffMs\":1000,\"setpointMs\":100,\"priority\":1,\"plant\":\"desk\","
                + "\"attempts\":1}}]},\"remove\":{}}";
    }

    private static final String PLANT = "{\"apply\":{\"signals\":[{\"signalKind\":\"plants\",\"heading\":{"
            + "\"name\":\"desk\",\"revision\":1},\"reference\":{\"probe\":\"/h\",\"connCeiling\":9}}]},"
            + "\"remove\":{}}";

    /** Stores by ip, what is under way between them, and what the operator was told. */
    private static final class CoreTestCluster {
        final Map<String, CoreTestNode> nodes = new TreeMap<>();
        final Map<String, Deque<Runnable>> mail = new TreeMap<>();
        final Set<String> cut = new TreeSet<>();
        final Map<String, Integer> answers = new HashMap<>();
        /** Which members each epoch had, wherever it was known. */
        final Map<Long, Set<String>> epochs = new TreeMap<>();

        IntUnaryOperator pick = many -> 0;
        long now = SECOND;
        int lives;

        CoreTestCluster(int members) {
            for (int i = 0; i < members; i++) {
                nodes.put("s" + i, new CoreTestNode("s" + i, "n" + i));
            }
            for (CoreTestNode node : nodes.values()) {
                node.core = new PersistentCoreState(CoreMembers.initial(nodes.keySet()), null, null, null, false);
                node.start(true);
            }
            settle(2);
            adjust("s0", PLANT);
            drain();
            assertEquals(answers.get(PLANT), (Integer) 200);
        }

        CoreTestNode add(String ip, String name) {
            CoreTestNode node = new CoreTestNode(ip, name);
            nodes.put(ip, node);
            node.start(false);
            return node;
        }

        void adjust(String at, String body) {
            nodes.get(at).agreement.onChangeRequest(now, body, (status, line) -> answers.put(body, status));
        }

        boolean linked(String one, String other) {
            return nodes.get(one).up && nodes.get(other).up && !cut.contains(one + other) && !cut.contains(other + one);
        }

        /** Links come up and down, and each store tells the others over them. */
        void meet() {
            for (CoreTestNode one : nodes.values()) {
                for (CoreTestNode other : nodes.values()) {
                    if (one == other || !one.up) {
                        continue;
                    } else if (!linked(one.ip, other.ip)) {
                        if (one.links.remove(other.ip)) {
                            one.agreement.onPeerDisconnected(other.ip);
                            one.membership.onPeerDisconnected(now, other.ip);
                        }
                    } else if (one.links.add(other.ip)) {
                        one.membership.onPeerConnected(now, other.ip, other.name);
                        other.announceCore(one.ip);
                    }
                }
            }
            drain();
            for (CoreTestNode one : nodes.values()) {
                for (CoreTestNode other : nodes.values()) {
                    if (one != other && linked(one.ip, other.ip)) {
                        one.agreement.onPeerState(
                                now,
                                other.ip,
                                other.agreement.isComplete(),
                                List.copyOf(other.replica.committed()),
                                List.copyOf(other.replica.pending().values()));
                        other.announceCore(one.ip);
                    }
                }
            }
        }

        void carry(String from, String to, Runnable message) {
            if (nodes.containsKey(to)
                    && linked(from, to)
                    && nodes.get(from).links.contains(to)) {
                CoreTestNode receiver = nodes.get(to);
                int life = receiver.life;
                mail.computeIfAbsent(from + '>' + to, name -> new ArrayDeque<>())
                        .add(() -> {
                            if (receiver.up && receiver.life == life) {
                                message.run();
                            }
                        });
            }
        }

        void drain() {
            deliver(Integer.MAX_VALUE);
        }

        /** Delivers so many messages at the most; which link comes next is picked. */
        void deliver(int most) {
            for (int i = 0; i < most; i++) {
                mail.values().removeIf(Deque::isEmpty);
                List<String> ways = new ArrayList<>(mail.keySet());
                ways.removeIf(way -> way.startsWith("frozen"));
                if (ways.isEmpty()) {
                    return;
                }
                mail.get(ways.get(pick.applyAsInt(ways.size()))).poll().run();
            }
        }

        void look() {
            now += SECOND / 5;
            meet();
            for (CoreTestNode node : nodes.values()) {
                if (node.up) {
                    node.agreement.onTick(now);
                    node.membership.onTick(now);
                    node.keepCount();
                }
            }
        }

        void settle(int seconds) {
            for (int i = 0; i < 5 * seconds; i++) {
                look();
                drain();
            }
        }

        boolean has(String at, String route) {
            return nodes.get(at).replica.committed().stream()
                    .anyMatch(item -> item.name().equals(route));
        }

        CoreMembers core(String at) {
            return nodes.get(at).membership.core();
        }

        /** All that are up have one core, of these, and it takes changes. */
        void assertCore(String... members) {
            for (CoreTestNode node : nodes.values()) {
                if (node.up) {
                    assertEquals(new TreeSet<>(node.membership.core().ips()), new TreeSet<>(List.of(members)), node.ip);
                    assertEquals(
                            node.membership.epoch(),
                            nodes.get(members[0]).membership.epoch());
                    assertFalse(node.membership.isFenced());
                }
            }
            pick = many -> 0;
            adjust(members[0], route("last", "last.example"));
            drain();
            settle(2);
            assertEquals(answers.get(route("last", "last.example")), (Integer) 200);
        }

        public final class CoreTestNode implements ConsensusPort, CoreMembershipPort {
            final String ip;
            final String name;
            final Set<String> links = new TreeSet<>();
            Replica replica = new Replica();
            PersistentCoreState core;
            ConsensusNode agreement;
            CoreMembership membership;
            boolean up;
            int life;

            CoreTestNode(String ip, String name) {
                this.ip = ip;
                this.name = name;
            }

            void start(boolean whole) {
                up = true;
                life = ++lives;
                agreement = new ConsensusNode(ip, life, replica, whole, this);
                membership = new CoreMembership(ip, 2, core, whole, this);
                coreChanged();
            }

            void die() {
                up = false;
                links.clear();
                for (CoreTestNode other : nodes.values()) {
                    other.links.remove(ip);
                    if (other.up) {
                        other.agreement.onPeerDisconnected(ip);
                        other.membership.onPeerDisconnected(now, ip);
                    }
                }
                mail.keySet().removeIf(way -> way.startsWith(ip + '>') || way.endsWith('>' + ip));
            }

            void wipe() {
                replica = new Replica();
                core = null;
            }

            void keepCount() {
                if (agreement.isComplete()) {
                    membership.onDiskRecovered(now);
                }
                CoreMembers known = membership.core();
                if (known != null) {
                    Set<String> before = epochs.putIfAbsent(known.epoch(), new TreeSet<>(known.ips()));
                    assertTrue(
                            before == null || before.equals(new TreeSet<>(known.ips())),
                            "two cores of epoch " + known.epoch() + ": " + before + " and " + known);
                }
            }

            private void toAll(Consumer<CoreTestNode> message) {
                for (CoreTestNode other : nodes.values()) {
                    if (other != this) {
                        carry(ip, other.ip, () -> message.accept(other));
                    }
                }
            }

            @Override
            public void broadcastProposal(Proposal proposal) {
                long epoch = membership.epoch();
                toAll(other -> {
                    if (other.membership.acceptsEpoch(ip, epoch)) {
                        other.agreement.onProposal(now, ip, proposal);
                    }
                });
            }

            @Override
            public void sendVote(String to, String call, Ballot ballot, Vote vote) {
                carry(ip, to, () -> nodes.get(to).agreement.onVote(now, ip, call, ballot, vote));
            }

            @Override
            public void broadcastContactRequest(long id, boolean settled) {
                long epoch = membership.epoch();
                toAll(other -> {
                    if (other.membership.acceptsEpoch(ip, epoch) && !other.membership.isFenced()) {
                        other.agreement.onContactRequest(now, ip, id, settled);
                    }
                });
            }

            @Override
            public void sendContactConfirmation(String to, long id) {
                List<ConfigurationItem> items = List.copyOf(replica.committed());
                carry(ip, to, () -> {
                    nodes.get(to).replica.merge(items);
                    nodes.get(to).agreement.onContactConfirmation(now, ip, id);
                });
            }

            @Override
            public void broadcastDecision(String call, Ballot ballot, boolean inForce, List<ConfigurationItem> items) {
                toAll(other -> other.agreement.onDecision(now, call, ballot, inForce, items));
            }

            @Override
            public void persistProposal(Proposal proposal) {
                agreement.onPersisted(now, proposal.id(), proposal.ballot(), true);
            }

            @Override
            public void persistDecision(String call, Ballot ballot, boolean inForce, List<ConfigurationItem> items) {}

            @Override
            public void notifyConfigurationChanged() {}

            @Override
            public void log(String line) {}

            @Override
            public void sendEpochMessage(String to, EpochMessage step) {
                carry(ip, to, () -> nodes.get(to).membership.onEpochMessage(now, ip, step));
            }

            @Override
            public void announceCore(String to) {
                CoreMembers known = membership.core();
                boolean ready = membership.isCandidate() && agreement.isCurrent();
                boolean fenced = membership.isFenced();
                carry(ip, to, () -> nodes.get(to).membership.onCoreAnnounced(now, ip, known, ready, fenced));
            }

            @Override
            public void requestHandover(String from, long epoch) {
                carry(ip, from, () -> {
                    CoreTestNode other = nodes.get(from);
                    if (other.membership.maySendHandover(ip, epoch)) {
                        List<ConfigurationItem> items = List.copyOf(other.replica.committed());
                        List<Proposal> held =
                                List.copyOf(other.replica.pending().values());
                        List<List<String>> deciders = held.stream()
                                .map(proposal -> other.agreement.proposersVotedFor(proposal.id()))
                                .toList();
                        other.send(ip, () -> {
                            agreement.onHandover(now, items, held, deciders);
                            membership.onHandover(now, from, epoch);
                        });
                    }
                });
            }

            private void send(String to, Runnable message) {
                carry(ip, to, message);
            }

            @Override
            public boolean resolvesDoubts(Set<String> handed) {
                return agreement.resolvesDoubts(handed);
            }

            @Override
            public void persistCore(PersistentCoreState state, Consumer<Boolean> done) {
                core = state;
                done.accept(true);
            }

            @Override
            public void coreChanged() {
                if (membership == null) {
                    return;
                }
                agreement.setFenced(membership.isFenced());
                if (!membership.isFenced()) {
                    agreement.onQuorumChanged(membership.quorum());
                }
                for (String other : List.copyOf(links)) {
                    announceCore(other);
                }
            }
        }
    }

    /** All orders of the last messages, and as many drawn ones. */
    private static int play(BiConsumer<CoreTestCluster, IntUnaryOperator> scene, int members) {
        int plays = ScheduleExplorer.exploreAll(
                ORDERS, orders -> scene.accept(new CoreTestCluster(members), orders::choose));
        for (int seed = 0; seed < DRAWN; seed++) {
            Random random = new Random(seed);
            scene.accept(new CoreTestCluster(members), random::nextInt);
        }
        return plays + DRAWN;
    }

    private static void assertAcknowledgedIsInForce(CoreTestCluster world, String... routes) {
        for (String name : routes) {
            if (Integer.valueOf(200).equals(world.answers.get(route(name, name + ".example")))) {
                for (String ip : world.nodes.get("s0").up
                        ? world.core("s0").ips()
                        : world.core("s1").ips()) {
                    assertTrue(!world.nodes.get(ip).up || world.has(ip, name), name + " is missing at " + ip);
                }
            }
        }
    }

    /** Calls go on while one joins and one leaves; all end with one core and all that was acknowledged. */
    @Test
    public void membersJoinAndLeaveWhileCallsAreMade() {
        int plays = play(
                (world, orders) -> {
                    world.add("s3", "n3");
                    world.settle(1);
                    world.pick = orders;
                    for (int i = 0; i < 12; i++) {
                        world.look();
                        world.deliver(14);
                        if (i == 3) {
                            world.adjust("s0", route("one", "one.example"));
                            world.adjust("s1", route("two", "two.example"));
                        } else if (i == 8) {
                            world.adjust("s2", route("three", "three.example"));
                            world.nodes.get("s0").membership.requestRemoval(world.now, "n2", (status, line) -> {});
                        }
                    }
                    world.drain();
                    world.pick = many -> 0;
                    world.settle(6);
                    assertAcknowledgedIsInForce(world, "one", "two", "three");
                    assertTrue(world.core("s0").contains("s3"));
                    assertTrue(world.core("s0").contains("s2") == (world.epochs.size() < 3));
                },
                3);
        System.out.println("join and leave: " + plays + " orders");
    }

    /**
     * What only the lost member and one other have is handed over first: then that other may be lost,
     * too.
     */
    @Test
    public void aSecondLossRightAfterAReplacementLosesNothing() {
        int[] replaced = {0};
        int plays = play(
                (world, orders) -> {
                    world.cut.add("s0s1");
                    world.cut.add("s2s1");
                    world.meet();
                    world.adjust("s0", route("one", "one.example"));
                    world.drain();
                    assertEquals(world.answers.get(route("one", "one.example")), (Integer) 200);
                    assertFalse(world.has("s1", "one"));
                    world.nodes.get("s2").die();
                    world.cut.clear();
                    world.add("s3", "n2");
                    world.pick = orders;
                    for (int i = 0; i < 20 && world.core("s1").epoch() == 0; i++) {
                        world.now += SECOND / 5;
                        for (CoreTestCluster.CoreTestNode node : world.nodes.values()) {
                            for (CoreTestCluster.CoreTestNode other : world.nodes.values()) {
                                if (node != other && world.linked(node.ip, other.ip) && node.links.add(other.ip)) {
                                    node.membership.onPeerConnected(world.now, other.ip, other.name);
                                    other.announceCore(node.ip);
                                }
                            }
                            if (node.up) { // the joiner learns by asking members alone; s1 has not been told yet
                                if (node.ip.equals("s3")) {
                                    world.nodes.values().stream()
                                            .filter(other -> other != node && other.up)
                                            .forEach(other -> node.agreement.onPeerState(
                                                    world.now, other.ip, true, List.of(), List.of()));
                                }
                                world.nodes.values().stream()
                                        .filter(other -> other != node && other.up)
                                        .forEach(other -> node.announceCore(other.ip));
                                node.membership.onTick(world.now);
                            }
                        }
                        world.deliver(10);
                    }
                    if (!world.core("s1").contains("s3")) {
                        return;
                    }
                    replaced[0]++;
                    assertTrue(world.has("s1", "one") || world.has("s3", "one"));
                    world.nodes.get("s0").die();
                    world.pick = many -> 0;
                    world.settle(6);
                    assertTrue(world.has("s1", "one") && world.has("s3", "one"));
                },
                3);
        assertTrue(replaced[0] > plays / 2, replaced[0] + " of " + plays);
        System.out.println("second loss: " + plays + " orders, replaced in " + replaced[0]);
    }

    /** Two stores take themselves for the first live one: of their changes one holds in each epoch. */
    @Test
    public void twoChangesAtOnceAreMadeOneByOne() {
        int plays = play(
                (world, orders) -> {
                    world.add("s4", "n4");
                    world.settle(2);
                    world.cut.add("s0s1");
                    world.meet();
                    world.pick = orders;
                    world.nodes.get("s0").membership.requestRemoval(world.now, "n3", (status, line) -> {});
                    world.nodes.get("s1").membership.requestRemoval(world.now, "n2", (status, line) -> {});
                    for (int i = 0; i < 6; i++) {
                        world.look();
                        world.deliver(9);
                    }
                    world.cut.clear();
                    world.drain();
                    world.pick = many -> 0;
                    world.settle(8);
                    assertEquals(world.core("s1").ips(), world.core("s0").ips());
                    assertEquals(world.core("s4").epoch(), world.core("s0").epoch());
                },
                5);
        System.out.println("two changes: " + plays + " orders");
    }

    /**
     * The power goes at any message of a change, at all stores; with their disks it is carried through
     * or not.
     */
    @Test
    public void aChangeThatIsHalfDoneWhenThePowerGoesIsCarriedThrough() {
        for (boolean wiped : new boolean[] {false, true}) {
            int plays = play(
                    (world, orders) -> {
                        world.add("s3", "n3");
                        world.settle(1);
                        world.adjust("s1", route("one", "one.example"));
                        for (int i = 0; i < 3; i++) {
                            world.look();
                        }
                        world.pick = orders;
                        world.deliver(4 + orders.applyAsInt(30));
                        for (CoreTestCluster.CoreTestNode node : world.nodes.values()) {
                            node.die();
                        }
                        world.mail.clear();
                        if (wiped) {
                            world.nodes.get("s2").wipe();
                        }
                        for (CoreTestCluster.CoreTestNode node : world.nodes.values()) {
                            node.start(!(wiped && node.ip.equals("s2")) && !node.ip.equals("s3"));
                        }
                        world.pick = many -> 0;
                        world.settle(12);
                        assertAcknowledgedIsInForce(world, "one");
                        world.assertCore("s0", "s1", "s2", "s3");
                    },
                    3);
            System.out.println("power" + (wiped ? ", a disk lost" : "") + ": " + plays + " orders");
        }
    }

    /** The one on duty is frozen in the middle of a change and wakes after others have made another. */
    @Test
    public void aHolderThatWakesUnderAnOlderEpochIsRefused() {
        int plays = play(
                (world, orders) -> {
                    world.add("s4", "n4");
                    world.settle(1);
                    world.pick = orders;
                    for (int i = 0; i < 4; i++) {
                        world.look();
                    }
                    world.deliver(orders.applyAsInt(25));
                    // What it has said is delivered long after; it hears nothing.
                    Map<String, Deque<Runnable>> late = new TreeMap<>();
                    for (String way : List.copyOf(world.mail.keySet())) {
                        if (way.startsWith("s0>")) {
                            late.put(way, world.mail.remove(way));
                        }
                    }
                    for (String other : List.of("s1", "s2", "s3", "s4")) {
                        world.cut.add("s0" + other);
                    }
                    world.pick = many -> 0;
                    world.settle(4);
                    world.nodes.get("s1").membership.requestRemoval(world.now, "n3", (status, line) -> {});
                    world.settle(4);
                    long epoch = world.core("s1").epoch();
                    CoreLeader duty = world.nodes.get("s1").membership.leader();
                    assertEquals(duty.ip(), "s1");
                    assertEquals(duty.epoch(), epoch);
                    world.cut.clear();
                    world.meet();
                    world.mail.putAll(late);
                    world.pick = orders;
                    world.nodes.get("s0").membership.onTick(world.now);
                    world.drain();
                    world.pick = many -> 0;
                    world.settle(4);
                    assertEquals(world.core("s0").ips(), world.core("s1").ips());
                    assertFalse(world.core("s0").contains("s3"));
                },
                4);
        System.out.println("frozen holder: " + plays + " orders");
    }

    /**
     * A majority of the first core that slept through two changes decides nothing, and is told of the
     * core.
     */
    @Test
    public void anOldMajorityDecidesNothing() {
        for (boolean learns : new boolean[] {false, true}) {
            CoreTestCluster world = new CoreTestCluster(3);
            world.nodes.get("s2").die();
            world.add("s3", "n2");
            world.settle(4);
            assertTrue(world.core("s0").contains("s3"));
            world.nodes.get("s1").die();
            world.add("s4", "n1");
            world.settle(4);
            world.adjust("s0", route("one", "one.example"));
            world.drain();
            assertEquals(world.answers.get(route("one", "one.example")), (Integer) 200);
            for (String one : List.of("s1", "s2")) {
                for (String other : List.of("s0", "s3", "s4")) {
                    world.cut.add(one + other);
                }
            }
            world.nodes.get("s1").start(true);
            world.nodes.get("s2").start(true);
            world.settle(2);
            world.adjust("s2", route("two", "one.example"));
            world.drain();
            world.settle(2);
            assertNotEquals(world.answers.get(route("two", "one.example")), (Integer) 200);
            if (learns) {
                world.cut.clear();
                world.settle(3);
                world.assertCore("s0", "s3", "s4");
                assertFalse(world.nodes.get("s1").membership.isCandidate(), "who was taken out does not come back");
            }
        }
    }

    /**
     * Without a disk and with no one who knows it, a store has no core; a stale one's is taken until a
     * newer comes.
     */
    @Test
    public void aStoreWithoutDiskTakesTheCoreFromOthersAndNeverMakesUpItsOwn() {
        CoreTestCluster world = new CoreTestCluster(3);
        for (String other : List.of("s0", "s1", "s2")) {
            world.cut.add("s3" + other);
        }
        world.add("s3", "n3");
        world.settle(3);
        assertNull(world.core("s3"));
        assertFalse(world.nodes.get("s3").agreement.isCurrent());
        world.adjust("s3", route("one", "one.example"));
        assertEquals(world.answers.get(route("one", "one.example")), (Integer) 503);
        // It reaches only a member that was cut off while the others took in another.
        world.cut.remove("s3s2");
        world.cut.add("s2s0");
        world.cut.add("s2s1");
        world.cut.add("s2s4");
        world.cut.add("s3s4");
        world.add("s4", "n4");
        world.settle(4);
        assertTrue(world.core("s0").contains("s4"));
        assertEquals(world.core("s3").epoch(), 0);
        assertFalse(world.nodes.get("s3").agreement.isCurrent());
        world.cut.clear();
        world.settle(4);
        world.assertCore("s0", "s1", "s2", "s3", "s4");
    }

    /**
     * A member whose disk comes back empty at its address is the same member; it has all before it
     * counts.
     */
    @Test
    public void aMemberWithoutItsDiskIsTheSameMember() {
        CoreTestCluster world = new CoreTestCluster(3);
        world.nodes.get("s1").die();
        world.nodes.get("s1").wipe();
        world.adjust("s0", route("one", "one.example"));
        world.drain();
        world.nodes.get("s1").start(false);
        world.settle(3);
        assertTrue(world.has("s1", "one"));
        world.assertCore("s0", "s1", "s2");
        assertEquals(world.core("s0").epoch(), 0);
    }

    /**
     * An order to leave is refused where too few would be left, is the same again, and takes out who is
     * down.
     */
    @Test
    public void ordersToLeave() {
        CoreTestCluster world = new CoreTestCluster(3);
        int[] status = {0};
        CoreMembership holder = world.nodes.get("s0").membership;
        world.nodes.get("s1").membership.requestRemoval(world.now, "n2", (code, line) -> status[0] = code);
        assertEquals(status[0], 503, "not on duty");
        holder.requestRemoval(world.now, "n2", (code, line) -> status[0] = code);
        assertEquals(status[0], 409, "three are needed while all are up");
        world.nodes.get("s2").die();
        world.settle(1);
        holder.requestRemoval(world.now, "n2", (code, line) -> status[0] = code);
        world.settle(2);
        assertEquals(status[0], 200);
        world.assertCore("s0", "s1");
        status[0] = 0;
        holder.requestRemoval(world.now, "n2", (code, line) -> status[0] = code);
        assertEquals(status[0], 200, "the same again");
        holder.requestRemoval(world.now, "n1", (code, line) -> status[0] = code);
        assertEquals(status[0], 409, "two copies are promised");
    }

    /** One member of three, whose steps are collected; its disk keeps what it is told to while it works. */
    private static final class SingleCoreMember implements CoreMembershipPort {
        final List<String> said = new ArrayList<>();
        final CoreMembership membership;
        boolean disk = true;

        SingleCoreMember(Ballot accepted, CoreMembers value, boolean sound) {
            CoreMembers core = CoreMembers.initial(List.of("s0", "s1", "s2"));
            membership = new CoreMembership(
                    "s0", 2, new PersistentCoreState(core, accepted, accepted, value, false), sound, this);
            membership.onPeerConnected(SECOND, "s1", "n1");
            membership.onPeerConnected(SECOND, "s2", "n2");
        }

        void step(String from, EpochMessageType kind, Ballot ballot, Ballot under, CoreMembers value) {
            membership.onEpochMessage(SECOND, from, new EpochMessage(kind, 0, ballot, under, value));
        }

        @Override
        public void sendEpochMessage(String to, EpochMessage step) {
            said.add(step.type() + " to " + to
                    + (step.value() == null ? "" : " " + step.value().ips()));
        }

        @Override
        public void announceCore(String to) {
            said.add("core to " + to);
        }

        @Override
        public void requestHandover(String from, long epoch) {}

        @Override
        public boolean resolvesDoubts(Set<String> handed) {
            return true;
        }

        @Override
        public void persistCore(PersistentCoreState state, Consumer<Boolean> done) {
            done.accept(disk);
        }

        @Override
        public void coreChanged() {}

        @Override
        public void log(String line) {}
    }

    private static CoreMembers with(String... ips) {
        Map<String, String> nodes = new HashMap<>();
        for (String ip : ips) {
            nodes.put(ip, "");
        }
        return new CoreMembers(1, nodes);
    }

    private static final Ballot SECOND_OF_1 = new Ballot(2, "s1");

    /** What another may have decided on goes before what is wanted here. */
    @Test
    public void theHighestThatWasAcceptedIsCarriedThrough() {
        SingleCoreMember store = new SingleCoreMember(new Ballot(1, "s0"), with("s0", "s1", "s2", "s3"), true);
        store.membership.onTick(2 * SECOND);
        Ballot mine = new Ballot(2, "s0");
        store.said.clear();
        store.step("s2", EpochMessageType.PROMISE, mine, new Ballot(1, "s1"), with("s0", "s1", "s2", "s4"));
        assertEquals(
                store.said,
                List.of(
                        "ACCEPT to s1 [s0, s1, s2, s4]",
                        "ACCEPT to s2 [s0, s1, s2, s4]",
                        "ACCEPT to s4 [s0, s1, s2, s4]"));
    }

    /** A core is decided on by a quorum of the members and one of those after it, whichever comes first. */
    @Test
    public void bothQuorumsDecide() {
        for (String[] order : new String[][] {{"s1", "s2", "s3", "s4"}, {"s3", "s4", "s1", "s2"}}) {
            SingleCoreMember store = new SingleCoreMember(new Ballot(1, "s0"), with("s1", "s3", "s4"), true);
            store.membership.onTick(2 * SECOND);
            Ballot mine = new Ballot(2, "s0");
            store.step("s2", EpochMessageType.PROMISE, mine, null, null);
            for (int i = 0; i < order.length; i++) {
                assertEquals(store.membership.epoch(), 0, "after " + i + " of " + List.of(order));
                store.step(order[i], EpochMessageType.ACCEPTED, mine, null, null);
                if (store.membership.epoch() == 1) {
                    assertTrue(i >= 2);
                    break;
                }
            }
            assertEquals(store.membership.epoch(), 1);
        }
    }

    @Test
    public void whatWasAcceptedOutlivesTheProcessAndFences() {
        assertTrue(new SingleCoreMember(SECOND_OF_1, with("s0", "s1", "s3"), true).membership.isFenced());
    }

    @Test
    public void whoActsUnderAnotherEpochIsToldOfTheCore() {
        SingleCoreMember store = new SingleCoreMember(null, null, true);
        assertTrue(store.membership.acceptsEpoch("s1", 0));
        assertFalse(store.membership.acceptsEpoch("s1", -1));
        assertFalse(store.membership.acceptsEpoch("s1", 1));
        assertEquals(store.said, List.of("core to s1", "core to s1"));
    }

    @Test
    public void withoutItsDiskAMemberPromisesAndAcceptsNothing() {
        SingleCoreMember store = new SingleCoreMember(null, null, false);
        store.step("s1", EpochMessageType.PREPARE, SECOND_OF_1, null, null);
        store.step("s1", EpochMessageType.ACCEPT, SECOND_OF_1, null, with("s0", "s1", "s3"));
        assertEquals(store.said, List.of());
        assertFalse(store.membership.isFenced());
    }

    @Test
    public void nothingIsSaidThatIsNotOnDisk() {
        SingleCoreMember store = new SingleCoreMember(SECOND_OF_1, with("s0", "s1", "s3"), true);
        store.disk = false;
        store.membership.onTick(2 * SECOND);
        store.step("s1", EpochMessageType.PREPARE, new Ballot(9, "s1"), null, null);
        store.step("s1", EpochMessageType.ACCEPT, new Ballot(9, "s1"), null, with("s1", "s2", "s3"));
        assertEquals(store.said, List.of());
    }
}
