package reedmux.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import reedmux.policy.Gateway.Limits;
import reedmux.policy.Gateway.Outcome;
import reedmux.policy.Gateway.Plan;
import reedmux.policy.Gateway.Scope;
import reedmux.policy.Gateway.Server;
import reedmux.policy.Gateway.ServerList;
import reedmux.policy.Gateway.Settings;
import reedmux.policy.Gateway.Status;
import reedmux.policy.Gateway.Withdrawn;

/** The rules' guards, the caps and the care of servers. */
class GuardTest {
    private static final Plan WIDE = Group.quota(1000, 1000);

    private static List<String> serversOf(Group group, String request) {
        return group.sent.stream()
                .filter(s -> s.request().equals(request))
                .map(Group.Sent::server)
                .toList();
    }

    @Test
    void anUnsafeRequestThatMayHaveRunIsFailedNotRepeatedNorRefused() {
        for (Outcome outcome : List.of(Outcome.ERROR, Outcome.RESET, Outcome.TIMEOUT)) {
            Group group = Group.of(1, WIDE);
            group.ends = sent -> outcome;
            String id = group.request(0, Group.UNSAFE, 1, 0, 1);
            group.run(5 * Group.SECOND);
            assertEquals(1, serversOf(group, id).size());
            assertEquals(List.of(id), group.failed);
            assertTrue(group.refused.isEmpty());
        }
    }

    @Test
    void anUnsafeRequestThatNeverRanIsTriedElsewhere() {
        Group group = Group.of(1, WIDE);
        group.ends = sent -> group.sent.size() == 1 ? Outcome.FULL : Outcome.OK;
        String id = group.request(0, Group.UNSAFE, 1, 0, 1);
        group.run(Group.SECOND);
        assertEquals(2, serversOf(group, id).size());
        assertNotEquals(serversOf(group, id).get(0), serversOf(group, id).get(1));
    }

    @Test
    void aKeyedRequestStaysInTheCellThatDropsItsRepeats() {
        for (int i = 0; i < 20; i++) {
            Group group = Group.of(1, WIDE);
            group.run(i * Group.MS);
            group.ends = sent -> Outcome.ERROR;
            String id = group.request(0, Group.KEYED, i, 0, 1);
            group.run(5 * Group.SECOND);
            List<String> servers = serversOf(group, id);
            assertEquals(2, servers.size(), "one repeat on the cell's other server");
            assertEquals(cell(servers.get(0)), cell(servers.get(1)));
            assertEquals(List.of(id), group.failed, "a refusal would promise too much");
        }
    }

    private static int cell(String server) {
        return Integer.parseInt(server.substring(7, server.indexOf(':'))) / 2;
    }

    @Test
    void everyRequestGetsOneFinalAnswerInTime() {
        Group group = Group.of(1, WIDE);
        group.ends = sent -> null;
        for (int i = 0; i < 60; i++) {
            group.request(0, i % 3, i, 0, 1);
            group.run(10 * Group.MS);
        }
        group.run(4100 * Group.MS);
        assertEquals(60, group.failed.size() + group.refused.size());
    }

    @Test
    void nothingIsSentOrAnsweredAfterTheClientLeft() {
        Group group = Group.of(1, WIDE);
        group.ends = sent -> Outcome.ERROR;
        String id = group.request(0, Group.SAFE, 1, 0, 1);
        group.give(0, new Withdrawn(id));
        group.give(0, new Withdrawn(id));
        group.run(5 * Group.SECOND);
        assertEquals(1, group.sent.size());
        assertTrue(group.failed.isEmpty() && group.refused.isEmpty());
    }

    @Test
    void drainingAndGoneServersGetNothing() {
        Group group = Group.of(1, WIDE);
        group.give(
                0,
                new ServerList(
                        Scope.CHANGES, List.of(Group.server(0, Status.DRAINING, 0), Group.server(1, Status.GONE, 0))));
        group.give(
                0,
                new ServerList(
                        Scope.FULL, List.of(Group.server(0, Status.DRAINING, 0), Group.server(2, Status.READY, 0))));
        for (int i = 0; i < 50; i++) {
            group.request(0, i % 3, i, 0, 1);
            group.run(10 * Group.MS);
        }
        String only = Group.server(2, Status.READY, 0).id();
        assertTrue(group.sent.stream().allMatch(s -> s.server().equals(only)));
    }

    @Test
    void withNoServerRequestsAreRefusedAtOnce() {
        Group group = new Group(List.of(), Group.settings(0, 1, WIDE));
        assertTrue(group.wasRefused(group.request(0, Group.UNSAFE, 1, 0, 1)));
    }

    @Test
    void aColdServerGetsLessThanItsBudgetInEveryWindow() {
        List<Server> servers = new ArrayList<>(Group.servers(3));
        Group group = new Group(servers, Group.settings(0, 1, WIDE));
        group.traffic(0, 1, 1, 5 * Group.MS, 5 * Group.SECOND);
        group.give(0, new ServerList(Scope.CHANGES, List.of(Group.server(3, Status.READY, group.now))));
        int before = group.sent.size();
        group.traffic(0, 1, 1, 5 * Group.MS, 2 * Group.SECOND);
        List<Group.Sent> later = group.sent.subList(before, group.sent.size());
        long cold = later.stream().filter(s -> s.server().equals("10.0.0.3:80")).count();
        assertTrue(cold > 0 && cold < 2 * 1.5 * 0.45 * later.size() / 6, cold + " of " + later.size());
    }

    @Test
    void theCeilingHoldsWithoutAWord() {
        Plan plan = new Plan("plan", 100, 100, 0, 10, 20, 2, 1, 0, 1);
        Group group = Group.of(2, plan);
        group.lost = (from, to) -> true;
        group.run(10 * Group.SECOND);
        int sent = group.traffic(0, 1, 2, Group.MS, Group.SECOND);
        sent += group.traffic(1, 1, 2, Group.MS, Group.SECOND);
        assertTrue(sent <= 20 + 2 * 10 + 2, "passed " + sent);
        group.restart(0);
        assertTrue(group.wasRefused(group.request(0, Group.SAFE, 1, 0, 2)), "a new life has nothing saved");
    }

    /** Traffic gathers on one gateway: spare units follow, and the sum stays under the ceiling. */
    @Test
    void spareUnitsOfTheCeilingFollowTheirUseAndTheSumHolds() {
        Plan plan = new Plan("plan", 100, 100, 0, 10, 20, 2, 1, 0, 1);
        Group group = Group.of(4, plan);
        int[] messages = {0};
        group.lost = (from, to) -> ++messages[0] % 12 == 0;
        group.run(10 * Group.SECOND);
        int sent = group.traffic(0, 1, 4, 50 * Group.MS, 10 * Group.SECOND);
        assertTrue(sent > 1.3 * (5 + 10 * 10 / 4), "more than its own share: " + sent);
        assertTrue(sent <= 20 + 10 * 10 + 2, "under the ceiling: " + sent);
    }

    /** Hundreds of gateways each sent a fresh server their first request at once. */
    @Test
    void theFirstRequestsOfManyGatewaysToAColdServerAreSpread() {
        Group group = Group.of(60, WIDE);
        group.run(10 * Group.MS);
        for (int i = 0; i < 1500; i++) {
            group.request(i % 60, Group.SAFE, i, i % 60, 1);
            group.run(4 * Group.MS);
        }
        for (int gateway = 0; gateway < 60; gateway++) {
            group.give(gateway, new ServerList(Scope.CHANGES, List.of(Group.server(4, Status.READY, group.now))));
        }
        int before = group.sent.size();
        for (int i = 0; i < 250; i++) {
            group.request(i % 60, Group.SAFE, i, i % 60, 1);
            group.run(4 * Group.MS);
        }
        long cold = group.sent.subList(before, group.sent.size()).stream()
                .filter(s -> s.server().equals("10.0.0.4:80"))
                .count();
        assertTrue(cold < 3 * 0.25 * 250 / 4, "first second: " + cold);
    }

    /**
     * A release left 18 of 60 servers warm. Each gateway took its mean on these for the mean on its whole
     * window, so the new ones got a fifth of what the old ones did, which were jammed for it.
     */
    @Test
    void newServersBearTheirPartWhereFewAreWarm() {
        Group group = new Group(
                Group.servers(60),
                IntStream.range(0, 14)
                        .mapToObj(i -> Group.settings(i, 14, WIDE))
                        .toArray(Settings[]::new));
        everyThreeMillis(group, 10);
        long started = group.now;
        List<Server> fresh = new ArrayList<>();
        for (int i = 0; i < 60; i++) {
            if (i % 10 < 7) {
                fresh.add(Group.server(i, Status.READY, started));
            }
        }
        for (int gateway = 0; gateway < 14; gateway++) {
            group.give(gateway, new ServerList(Scope.CHANGES, fresh));
        }
        int before = group.sent.size();
        everyThreeMillis(group, 8);
        Map<String, List<Long>> times = new HashMap<>();
        group.sent
                .subList(before, group.sent.size())
                .forEach(s -> times.computeIfAbsent(s.server(), id -> new ArrayList<>())
                        .add(s.at()));
        double[] late = new double[2];
        for (int i = 0; i < 60; i++) {
            List<Long> at = times.getOrDefault(Group.server(i, Status.READY, 0).id(), List.of());
            boolean cold = i % 10 < 7;
            late[cold ? 1 : 0] +=
                    at.stream().filter(t -> t > started + 4 * Group.SECOND).count() / (cold ? 42.0 : 18.0);
            for (long from : cold ? at : List.<Long>of()) { // each can do 12 requests a second when warm
                double able = 12 * (0.25 + 0.75 * (from - started) / (12.0 * Group.SECOND));
                long window = at.stream()
                        .filter(t -> t >= from && t < from + Group.SECOND)
                        .count();
                assertTrue(window <= 3 * able, i + " fell over: " + window + " of " + able);
            }
        }
        assertTrue(late[1] > late[0] / 3, "sent to a new one " + late[1] + ", to an old one " + late[0]);
    }

    private static void everyThreeMillis(Group group, int seconds) {
        for (int i = 0; i < seconds * 333; i++) {
            group.request(i % 14, Group.SAFE, i % 400, i % 14, 1);
            group.run(3 * Group.MS);
        }
    }

    @Test
    void theCapCountsAttemptsOfAllGateways() {
        Plan plan = new Plan("plan", 0, 0, 4, 0, 0, 0, 1, 0, 1);
        Group group = Group.of(2, plan);
        group.ends = sent -> null;
        group.request(0, Group.UNSAFE, 1, 0, 2);
        group.request(1, Group.UNSAFE, 1, 0, 2);
        group.run(Group.SECOND / 2);
        group.request(0, Group.UNSAFE, 1, 0, 2);
        group.request(0, Group.UNSAFE, 1, 0, 2);
        group.run(Group.SECOND / 2);
        assertTrue(group.wasRefused(group.request(1, Group.UNSAFE, 1, 0, 2)));
        group.run(4 * Group.SECOND);
        assertTrue(group.wasSent(group.request(1, Group.UNSAFE, 1, 0, 2)));
    }

    @Test
    void aServerThatFailsOrHangsIsLeftAloneAndTriedAgainLater() {
        for (Outcome bad : List.of(Outcome.ERROR, Outcome.TIMEOUT, Outcome.CONNECT_FAILED)) {
            Group group = Group.of(1, WIDE);
            boolean[] sick = {true};
            group.ends = s -> sick[0] && s.server().equals("10.0.0.0:80") ? bad : Outcome.OK;
            group.traffic(0, 1, 1, 10 * Group.MS, 5 * Group.SECOND);
            int before = group.sent.size();
            group.traffic(0, 1, 1, 10 * Group.MS, 5 * Group.SECOND);
            assertTrue(share(group, before) < 0.05, bad + " " + share(group, before));
            sick[0] = false;
            group.traffic(0, 1, 1, 10 * Group.MS, 10 * Group.SECOND);
            before = group.sent.size();
            group.traffic(0, 1, 1, 10 * Group.MS, 5 * Group.SECOND);
            assertTrue(share(group, before) > 0.1, bad + " " + share(group, before));
        }
    }

    @Test
    void aClassThatHungIsNotRefusedForGood() {
        Group group = Group.of(1, WIDE);
        boolean[] sick = {true};
        group.ends = s -> sick[0] ? null : Outcome.OK;
        for (int i = 0; i < 300; i++) {
            group.request(0, Group.UNSAFE, 1, 0, 1);
            group.run(50 * Group.MS);
        }
        sick[0] = false;
        group.run(10 * Group.SECOND);
        int before = group.sent.size();
        for (int i = 0; i < 200; i++) {
            group.request(0, Group.UNSAFE, 1, 0, 1);
            group.run(50 * Group.MS);
        }
        assertTrue(group.sent.size() - before > 150, "sent on again: " + (group.sent.size() - before));
    }

    @Test
    void inOverloadTheLeastWorthIsRefusedFirst() {
        Group group = Group.of(1, WIDE);
        group.ends = sent -> null;
        List<String> least = new ArrayList<>();
        List<String> most = new ArrayList<>();
        for (int i = 0; i < 200; i++) {
            least.add(group.request(0, Group.SAFE, 1, 0, 1));
            most.add(group.request(0, Group.UNSAFE, 1, 0, 1));
        }
        long leastSent = least.stream().filter(group::wasSent).count();
        long mostSent = most.stream().filter(group::wasSent).count();
        assertTrue(leastSent > 0 && leastSent < mostSent && mostSent < 200, leastSent + " " + mostSent);
    }

    @Test
    void aStreamThatHasStartedIsLeftToItsClient() {
        Group group = Group.of(1, WIDE);
        group.ends = sent -> null;
        String id = group.request(0, Group.SAFE, 1, 0, 1);
        String server = serversOf(group, id).get(0);
        group.give(0, new Gateway.StreamStarted(id, server, 0, 20 * Group.MS));
        group.give(0, new Gateway.AttemptEnded(id, true, server, 0, 0, Group.SECOND, Outcome.RESET));
        group.run(5 * Group.SECOND);
        assertEquals(1, group.sent.size());
        assertTrue(group.failed.isEmpty() && group.refused.isEmpty());
    }

    private static double share(Group group, int from) {
        List<Group.Sent> part = group.sent.subList(from, group.sent.size());
        return part.stream().filter(s -> s.server().equals("10.0.0.0:80")).count() / (double) part.size();
    }

    @Test
    void whenAllServersFailMostStayIn() {
        Group group = Group.of(1, WIDE);
        group.ends = sent -> Outcome.ERROR;
        group.traffic(0, 1, 1, 20 * Group.MS, 5 * Group.SECOND);
        List<Group.Sent> last = group.sent.subList(group.sent.size() - 50, group.sent.size());
        long used = last.stream().map(Group.Sent::server).distinct().count();
        assertTrue(used >= 3, "servers in use: " + used);
    }

    @Test
    void whenServersStopAnsweringOnlyABoundedNumberIsOut() {
        Group group = new Group(Group.servers(2), Group.settings(0, 1, WIDE));
        group.ends = sent -> null;
        IntStream.range(0, 200).forEach(i -> group.request(0, Group.UNSAFE, i, 0, 1));
        assertTrue(group.sent.size() <= 48, "out: " + group.sent.size());
        assertEquals(200, group.sent.size() + group.refused.size());
    }

    @Test
    void askedDiscoveryIsWatchedAndAskedAgainAfterAFailure() {
        Gateway.Settings push = Group.settings(0, 1, WIDE);
        Gateway.Settings ask = new Gateway.Settings(
                0,
                1,
                0,
                true,
                false,
                1,
                Group.MS,
                push.classes(),
                push.plans(),
                push.rules(),
                new Limits(false, false, false, false, false, 1, 0, 0, 256, 0));
        Group group = new Group(ask);
        assertEquals(List.of("0 true"), group.watches);
        group.give(0, new ServerList(Scope.FAILED, List.of()));
        group.run(Group.SECOND);
        assertEquals(List.of("0 true", "0 true"), group.watches);
    }

    /**
     * A gateway with under one attempt out fills no bound on attempts. When servers were jammed it went on
     * sending nearly all until each of many servers was known as slow, and then refused for long after.
     */
    @Test
    void whenMostAnswersStayAwayFewRequestsGoOnAndAllAgainSoonAfter() {
        Group group = new Group(Group.servers(70), Group.settings(0, 1, WIDE));
        group.traffic(0, 1, 1, 100 * Group.MS, 5 * Group.SECOND);
        group.ends = sent -> Outcome.TIMEOUT;
        group.traffic(0, 1, 1, 100 * Group.MS, 4 * Group.SECOND);
        int jammed = group.traffic(0, 1, 1, 100 * Group.MS, 4 * Group.SECOND);
        assertTrue(jammed > 0 && jammed < 16, "of 40, in a jam: " + jammed);
        group.ends = sent -> Outcome.OK;
        group.run(3 * Group.SECOND);
        group.traffic(0, 1, 1, 100 * Group.MS, 4 * Group.SECOND);
        int after = group.traffic(0, 1, 1, 100 * Group.MS, 2 * Group.SECOND);
        assertTrue(after >= 18, "of 20, soon after: " + after);
    }

    /** With servers by the dozen, and a request now and then, a gateway never learnt which of them hang. */
    @Test
    void gatewaysWithFewRequestsKeepToAFewServersEachAndToAllTogether() {
        Settings[] settings = IntStream.range(0, 60)
                .mapToObj(i -> Group.settings(i, 60, WIDE))
                .toArray(Settings[]::new);
        List<Server> servers = IntStream.range(0, 30)
                .mapToObj(i -> new Server("10.0.1." + i + ":80", 0, 0, 0, Status.READY, 1, 0))
                .toList();
        Group group = new Group(servers, settings);
        for (int i = 0; i < 60 * 40; i++) {
            group.request(i % 60, Group.SAFE, i, i % 60, 1);
            group.run(5 * Group.MS);
        }
        Map<Integer, Set<String>> used = new HashMap<>();
        Map<String, Integer> load = new HashMap<>();
        for (Group.Sent sent : group.sent) {
            used.computeIfAbsent(sent.gateway(), g -> new HashSet<>()).add(sent.server());
            load.merge(sent.server(), 1, Integer::sum);
        }
        assertTrue(used.values().stream().allMatch(few -> few.size() <= 4), "servers of a gateway: " + used);
        assertTrue(
                load.size() == 30 && load.values().stream().allMatch(l -> l > 20 && l < 240),
                "of 80 in the mean: " + load);
    }

    @Test
    void aGatewayWhoseFewServersHangTakesOthers() {
        Limits alone = new Limits(true, false, false, false, false, 3, Group.SECOND, 60, 256, 0);
        Group group = new Group(Group.servers(30), Group.settings(0, 60, WIDE, alone));
        group.traffic(0, 1, 1, 300 * Group.MS, 5 * Group.SECOND);
        List<String> own =
                group.sent.stream().map(Group.Sent::server).distinct().toList();
        group.ends = sent -> own.contains(sent.server()) ? Outcome.CONNECT_FAILED : Outcome.OK;
        group.traffic(0, 1, 1, 300 * Group.MS, 5 * Group.SECOND);
        int before = group.refused.size();
        group.traffic(0, 1, 1, 300 * Group.MS, 5 * Group.SECOND);
        assertTrue(group.refused.size() - before <= 2, "refused: " + (group.refused.size() - before));
    }

    /** With an answer a second, a class's mean took 20 s to fall after a jam, and nearly all was refused. */
    @Test
    void slowAnswersOfAJamAreForgottenByAFewGoodOnes() {
        Group group = new Group(Group.servers(70), Group.settings(0, 1, WIDE));
        group.traffic(0, 1, 1, 200 * Group.MS, 5 * Group.SECOND);
        group.slow = 450 * Group.MS;
        group.traffic(0, 1, 1, 200 * Group.MS, 10 * Group.SECOND);
        group.slow = 0;
        group.traffic(0, 1, 1, 200 * Group.MS, 4 * Group.SECOND);
        int after = group.traffic(0, 1, 1, 200 * Group.MS, 3 * Group.SECOND);
        assertTrue(after >= 4, "of 15, on the way back: " + after);
    }

    /** It looked stuck: with one call out that said nothing, others were expected to be late there. */
    @Test
    void aBodyThatStillComesInIsNoLoadAtItsServer() {
        Group group = new Group(Group.servers(1), Group.settings(0, 1, Group.quota(0, 0)));
        group.ends = sent -> null; // answered by the test, or never
        String slow = group.request(0, Group.UNSAFE, 1, 0, 1);
        group.give(0, new Gateway.Arriving(slow, false));
        group.run(900 * Group.MS);
        String other = group.request(0, Group.SAFE, 2, 0, 1);
        assertTrue(group.wasSent(other), "turned away for a body that still comes in");
        group.give(
                0,
                new Gateway.AttemptEnded(
                        other, true, group.sent.get(1).server(), 0, 0, 50 * Group.MS, Gateway.Outcome.OK));
        group.give(0, new Gateway.Arriving(slow, true));
        group.run(900 * Group.MS);
        String late = group.request(0, Group.SAFE, 3, 0, 1);
        assertTrue(group.wasRefused(late), "whole for 0.9 s without a word, it counts");
    }
}
