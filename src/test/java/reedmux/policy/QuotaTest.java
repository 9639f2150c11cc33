package reedmux.policy;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import reedmux.policy.Gateway.Plan;

/** The quota over a heap of gateways, also through lost, doubled and garbled messages, cuts and restarts. */
class QuotaTest {
    private static final long CUSTOMER = 77;

    private static int[] near(int self, int group, int first, int spread) {
        return new Brain(Group.settings(self, group, Group.quota(1, 1)), 1).neighbours(first, spread);
    }

    /** Checks one set's tree: mutual links, one root, each parent above its children; returns the depth. */
    private static int depthOfTree(int group, int first, int spread, Map<Integer, Set<Integer>> met) {
        Map<Integer, int[]> nearOf = new HashMap<>();
        for (int i = 0; i < spread; i++) {
            int self = (first + i) % group;
            nearOf.put(self, near(self, group, first, spread));
            Arrays.stream(nearOf.get(self))
                    .filter(peer -> peer >= 0)
                    .forEach(peer ->
                            met.computeIfAbsent(self, m -> new HashSet<>()).add(peer));
        }
        int deepest = 0;
        for (int member : nearOf.keySet()) {
            int depth = 1;
            for (int at = member; nearOf.get(at)[0] >= 0; at = nearOf.get(at)[0]) {
                int[] parent = nearOf.get(nearOf.get(at)[0]);
                assertTrue(parent[1] == at || parent[2] == at, "a parent knows its child");
                assertTrue(++depth <= spread, "no ring");
            }
            deepest = Math.max(deepest, depth);
        }
        assertEquals(1, nearOf.values().stream().filter(one -> one[0] < 0).count(), "one root");
        return deepest;
    }

    @Test
    void setsOfAllSizesAreShallowTrees() {
        for (int group : new int[] {1, 2, 3, 7, 64, 100, 440}) {
            for (int spread = 1; spread <= group; spread += 1 + spread / 3) {
                for (int first : new int[] {0, group / 3, group - 1}) { // the last ones wrap round
                    int depth = depthOfTree(group, first, spread, new HashMap<>());
                    int log = 32 - Integer.numberOfLeadingZeros(spread);
                    assertTrue(depth <= 2 * log + 1, group + "/" + first + "/" + spread + ": " + depth);
                }
            }
        }
    }

    @Test
    void theTreesOfManySetsShareTheirEdges() {
        Map<Integer, Set<Integer>> met = new HashMap<>();
        for (int i = 0; i < 150; i++) {
            depthOfTree(440, i * 37 % 440, 20 + i * 11 % 170, met);
        }
        double mean = met.values().stream().mapToInt(Set::size).average().orElseThrow();
        int most = met.values().stream().mapToInt(Set::size).max().orElseThrow();
        assertTrue(mean < 8 && most <= 40, "distinct neighbours: mean " + mean + ", most " + most);
    }

    @Test
    void aloneItSpendsTheBurstThenTheRate() {
        Group group = Group.of(1, Group.quota(5, 10));
        assertEquals(10, group.traffic(0, CUSTOMER, 1, 1, 100));
        assertEquals(50, group.traffic(0, CUSTOMER, 1, 10 * Group.MS, 10 * Group.SECOND), 2);
    }

    @Test
    void trueUnitsFollowWithTheAnswer() {
        for (double[] trueUnitsAndRoom : new double[][] {{5, 5}, {0.5, 9}}) {
            Group group = Group.of(1, Group.quota(0.001, 10));
            group.ends = sent -> null;
            String id = group.request(0, Group.SAFE, CUSTOMER, 0, 1, 1);
            String server = group.sent.get(0).server();
            group.give(
                    0,
                    new Gateway.AttemptEnded(id, true, server, 0, trueUnitsAndRoom[0], Group.MS, Gateway.Outcome.OK));
            group.ends = sent -> Gateway.Outcome.OK;
            assertEquals(trueUnitsAndRoom[1], group.traffic(0, CUSTOMER, 1, 60 * Group.MS, Group.SECOND));
        }
    }

    @Test
    void refusalsComeWithAdvice() {
        Group group = Group.of(1, Group.quota(5, 10));
        group.traffic(0, CUSTOMER, 1, 1, 100);
        assertEquals(0.2 * Group.SECOND, group.refused.get(0).retryAfter(), 1000);
    }

    /** A client told to come back too early only adds load, and one refused has its answer at once. */
    @Test
    void adviceIsTheRealWaitAndComesAtOnce() {
        Plan ceiling = new Plan("plan", 100, 100, 0, 10, 4, 2, 1, 0, 1);
        for (Plan plan : List.of(ceiling, Group.quota(0.5, 3))) { // the second: first sight, of three members
            Group group = Group.of(3, plan);
            group.run(10 * Group.SECOND);
            List<String> ids =
                    List.of(group.request(0, Group.SAFE, CUSTOMER, 0, 3), group.request(0, Group.SAFE, CUSTOMER, 0, 3));
            assertTrue(group.wasSent(ids.get(0)) && group.wasRefused(ids.get(1)), plan + ": at once");
            long wait = group.refused.get(0).retryAfter();
            if (plan == ceiling) { // without spare units of others; first sight ends sooner if packets do
                group.lost = (from, to) -> true;
                group.run(wait - 2 * Group.MS);
                assertTrue(group.wasRefused(group.request(0, Group.SAFE, CUSTOMER, 0, 3)), "too early");
                wait = 3 * Group.MS;
            }
            group.run(wait);
            assertTrue(group.wasSent(group.request(0, Group.SAFE, CUSTOMER, 0, 3)), plan + " after " + wait);
        }
    }

    @Test
    void firstSightIsLimitedToAShareOfTheBurst() {
        Group group = Group.of(3, Group.quota(5, 12));
        assertEquals(4, group.traffic(0, CUSTOMER, 3, 1, 50));
        group.run(Group.SECOND);
        assertTrue(group.traffic(0, CUSTOMER, 3, 1, 50) >= 8);
    }

    @Test
    void whatOneGatewaySpendsAllOthersCount() {
        for (int size = 2; size <= 7; size++) {
            Group group = Group.of(size, Group.quota(0.01, 20));
            group.request(size - 1, Group.SAFE, CUSTOMER, 0, size);
            group.run(3 * Group.SECOND);
            group.traffic(size - 1, CUSTOMER, size, 40 * Group.MS, Group.SECOND);
            group.run(3 * Group.SECOND);
            assertEquals(20, group.sent.size());
            for (int other = 0; other < size - 1; other++) {
                String id = group.request(other, Group.SAFE, CUSTOMER, 0, size);
                assertTrue(group.wasRefused(id), size + "/" + other);
            }
        }
    }

    @Test
    void lostDoubledAndReorderedMessagesMiscountNothing() {
        Group group = Group.of(3, Group.quota(0.01, 50));
        group.duplicateMessages();
        int[] messages = {0};
        group.lost = (from, to) -> ++messages[0] % 3 == 0;
        for (int i = 0; i < 49; i++) {
            group.request(i % 3, Group.SAFE, CUSTOMER, 0, 3);
            group.run(150 * Group.MS);
        }
        group.run(2 * Group.SECOND);
        assertEquals(49, group.sent.size());
        for (int gateway = 0; gateway < 3; gateway++) {
            assertTrue(group.wasRefused(group.request(gateway, Group.SAFE, CUSTOMER, 0, 3, 2)), "counts all");
        }
        assertTrue(group.wasSent(group.request(1, Group.SAFE, CUSTOMER, 0, 3)), "counts nothing twice");
    }

    @Test
    void garbledOrCutMessagesAreIgnoredWhole() {
        Group group = Group.of(2, Group.quota(0.01, 10));
        group.traffic(0, CUSTOMER, 2, 50 * Group.MS, 500 * Group.MS);
        for (byte[] good : group.told.toArray(new byte[0][])) {
            for (int length = 0; length < good.length; length++) {
                group.give(1, new Gateway.PeerMessage(0, Arrays.copyOf(good, length)));
            }
            byte[] bad = good.clone();
            bad[good.length - 1] ^= 0x10;
            group.give(1, new Gateway.PeerMessage(0, bad));
        }
        group.run(Group.SECOND);
        assertTrue(group.wasSent(group.request(1, Group.SAFE, 78, 0, 2)));
    }

    @Test
    void aRestartedGatewayLearnsTheCountFromItsNeighbours() {
        Group group = Group.of(3, Group.quota(0.01, 20));
        assertEquals(20, group.traffic(1, CUSTOMER, 3, 40 * Group.MS, Group.SECOND));
        group.run(Group.SECOND);
        group.stop(0); // the root of the heap
        group.run(300 * Group.MS);
        group.restart(0);
        group.run(Group.SECOND);
        assertTrue(group.wasRefused(group.request(0, Group.SAFE, CUSTOMER, 0, 3)));
        assertTrue(group.wasRefused(group.request(2, Group.SAFE, CUSTOMER, 0, 3)));
    }

    @Test
    void messagesOfAnOlderLifeChangeNothing() {
        Group group = Group.of(2, Group.quota(0.001, 20));
        group.request(1, Group.SAFE, CUSTOMER, 0, 2);
        group.run(Group.SECOND);
        byte[][] older = group.told.toArray(new byte[0][]);
        group.restart(1);
        group.run(Group.SECOND);
        for (int i = 0; i < 5; i++) {
            group.request(0, Group.SAFE, CUSTOMER, 0, 2);
            group.run(30 * Group.MS);
            for (int k = 0; k < older.length; k++) {
                if (group.tellers.get(k) == 1) {
                    group.give(0, new Gateway.PeerMessage(1, older[k]));
                }
            }
        }
        group.run(Group.SECOND);
        // one unit of the old life is too little to be told; five are known from gateway 0
        assertEquals(15, group.traffic(1, CUSTOMER, 2, 60 * Group.MS, 2 * Group.SECOND));
    }

    @Test
    void aDeadRootDoesNotSilenceItsBranches() {
        Group group = Group.of(3, Group.quota(0.01, 20));
        group.request(1, Group.SAFE, CUSTOMER, 0, 3);
        group.request(2, Group.SAFE, CUSTOMER, 0, 3);
        group.run(Group.SECOND);
        group.stop(0);
        group.run(3 * Group.SECOND);
        group.traffic(1, CUSTOMER, 3, 50 * Group.MS, 2 * Group.SECOND);
        group.run(2 * Group.SECOND);
        assertTrue(group.wasRefused(group.request(2, Group.SAFE, CUSTOMER, 0, 3)));
    }

    @Test
    void aHealedCutCountsNothingTwice() {
        Group group = Group.of(3, Group.quota(0.01, 30));
        for (int gateway = 0; gateway < 3; gateway++) {
            group.request(gateway, Group.SAFE, CUSTOMER, 0, 3);
        }
        group.run(Group.SECOND);
        group.lost = (from, to) -> (from == 2) != (to == 2);
        group.run(2 * Group.SECOND);
        group.traffic(0, CUSTOMER, 3, 100 * Group.MS, Group.SECOND);
        group.traffic(2, CUSTOMER, 3, 200 * Group.MS, Group.SECOND);
        group.lost = (from, to) -> false;
        group.run(3 * Group.SECOND);
        assertEquals(18, group.sent.size());
        int after = group.traffic(1, CUSTOMER, 3, 100 * Group.MS, 5 * Group.SECOND);
        assertTrue(after >= 12 && after <= 17, "12 units are left, 5 more if the cut's go untold: " + after);
    }

    /** The first packet to a neighbour goes out before its life is known; it counted twice once. */
    @Test
    void theFirstPacketToANeighbourCountsOnce() {
        Group group = Group.of(7, Group.quota(0.001, 20));
        group.run(10 * Group.MS);
        for (int gateway = 0; gateway < 7; gateway++) {
            group.request(gateway, Group.SAFE, CUSTOMER, 0, 7);
        }
        group.run(3 * Group.SECOND);
        assertEquals(13, group.traffic(3, CUSTOMER, 7, 60 * Group.MS, 3 * Group.SECOND));
    }

    /** A gateway told that it is silent once refuted its own refutation without end. */
    @Test
    void aGatewayCalledSilentSaysOnceThatItIsNot() {
        Group group = Group.of(3, Group.quota(1, 20));
        group.run(Group.SECOND);
        for (int version = 1; version < 4; version++) {
            PeerPacket.Writer packet = new PeerPacket.Writer(
                    new PeerPacket.Names(),
                    9,
                    0,
                    0,
                    version,
                    0,
                    true,
                    40,
                    List.of(new PeerPacket.News(0, version), new PeerPacket.News(70, 1)),
                    256);
            group.give(0, new Gateway.PeerMessage(2, packet.finish()));
        }
        int before = group.told.size();
        group.run(Group.SECOND);
        assertTrue(group.told.size() - before < 100, "no flood: " + (group.told.size() - before));
    }

    /** Entries that make no sense are passed over, the rest of their packet counts. */
    @Test
    void senselessEntriesChangeNothing() {
        Group group = Group.of(2, Group.quota(0.001, 20));
        PeerPacket.Writer packet =
                new PeerPacket.Writer(new PeerPacket.Names(), 9, 0, 0, 1, 0, true, 40, List.of(), 256);
        packet.add(new PeerPacket.Entry(1, 5, 0, 2, 1, null, null, 0));
        packet.add(new PeerPacket.Entry(2, 0, 0, 3, 1, null, null, 0));
        packet.add(new PeerPacket.Entry(3, 0, 2, 1, 1, null, null, 0));
        packet.add(new PeerPacket.Entry(1L << 33, 0, 0, 2, 1, null, null, 0));
        packet.add(new PeerPacket.Entry(4, 0, 0, 2, 1, null, -1, 0));
        packet.add(new PeerPacket.Entry(CUSTOMER, 0, 0, 2, 20, null, null, 0));
        group.give(0, new Gateway.PeerMessage(1, packet.finish()));
        assertTrue(group.wasRefused(group.request(0, Group.SAFE, CUSTOMER, 0, 2)));
        assertEquals(Set.of(CUSTOMER), group.brains[0].accounts.keySet());
    }

    @Test
    void noGatewaysMailPassesItsLimit() {
        Group group = Group.of(60, Group.quota(5, 10));
        group.run(Group.SECOND);
        for (int i = 0; i < 1500; i++) {
            group.request(i * 7 % 60, Group.SAFE, i % 30, 0, 60);
            group.run(4 * Group.MS);
        }
        group.heard.clear();
        for (int i = 0; i < 1000; i++) {
            group.request(i * 7 % 60, Group.SAFE, i % 30, 0, 60);
            group.run(4 * Group.MS);
        }
        int most =
                group.heard.values().stream().mapToInt(Integer::intValue).max().orElseThrow();
        assertTrue(most <= 4 * 60, "most in 4 s: " + most);
    }

    /** One stands still for seconds; its neighbours' silence is its own, and all go on counting together. */
    @Test
    void anOwnStallSilencesNobody() {
        Group group = Group.of(3, Group.quota(0.001, 20));
        group.request(0, Group.SAFE, CUSTOMER, 0, 3);
        group.run(Group.SECOND);
        group.stall(1, 2 * Group.SECOND);
        group.request(0, Group.SAFE, CUSTOMER, 0, 3);
        group.run(5 * Group.SECOND);
        int sent = group.traffic(2, CUSTOMER, 3, 100 * Group.MS, 4 * Group.SECOND);
        assertEquals(18, sent, 1);
    }

    /** Gateways that stand still take in late what waited for them; it was sent round them as well. */
    @Test
    void whatAStalledNeighbourTakesInLateCountsOnce() {
        Group group = Group.of(15, Group.quota(0.001, 60));
        for (int gateway = 0; gateway < 15; gateway++) {
            group.request(gateway, Group.SAFE, CUSTOMER, 0, 15);
        }
        group.run(2 * Group.SECOND);
        for (int round = 0; round < 6; round++) {
            group.stall(new int[] {7, 3, 11}[round % 3], 1800 * Group.MS);
            for (int i = 0; i < 5; i++) {
                group.request(i * 3, Group.SAFE, CUSTOMER, 0, 15);
                group.run(600 * Group.MS);
            }
        }
        group.run(5 * Group.SECOND);
        int room = 60 - group.sent.size();
        int sent = group.traffic(5, CUSTOMER, 15, 400 * Group.MS, 14 * Group.SECOND);
        assertEquals(room, sent, 2, "room: " + room);
    }

    /** A count below nought let a customer's surge through that much longer. */
    @Test
    void afterAQuietTimeABurstGoesThroughAndNoMore() {
        Group group = new Group(
                Group.servers(30),
                IntStream.range(0, 15)
                        .mapToObj(i -> Group.settings(i, 15, Group.quota(20, 10)))
                        .toArray(Gateway.Settings[]::new));
        group.request(3, Group.SAFE, CUSTOMER, 0, 15);
        group.run(5 * Group.SECOND);
        assertEquals(10, group.traffic(3, CUSTOMER, 15, 1, 100));
    }

    @Test
    void sameEventsSameActions() {
        Group one = Group.of(3, Group.quota(5, 20));
        Group two = Group.of(3, Group.quota(5, 20));
        for (Group group : new Group[] {one, two}) {
            for (int i = 0; i < 200; i++) {
                group.request(i % 3, i % 3, i % 7, 0, 3);
                group.run(20 * Group.MS);
            }
        }
        assertEquals(one.sent, two.sent);
        assertEquals(one.refused, two.refused);
        assertEquals(one.told.size(), two.told.size());
        for (int i = 0; i < one.told.size(); i++) {
            assertArrayEquals(one.told.get(i), two.told.get(i));
        }
    }

    @Test
    void everyMessageFits() {
        Group group = Group.of(2, Group.quota(5, 20));
        for (int i = 0; i < 300; i++) {
            group.request(0, Group.SAFE, (1L << 32) + i, 0, 2);
        }
        group.run(3 * Group.SECOND);
        assertTrue(group.told.stream().allMatch(bytes -> bytes.length <= 256));
        assertFalse(group.told.isEmpty());
    }
}
