package reedmux.gatekeeper.policy;

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
import reedmux.gatekeeper.policy.TrafficPolicy.AttemptOutcome;
import reedmux.gatekeeper.policy.TrafficPolicy.CustomerPlan;
import reedmux.gatekeeper.policy.TrafficPolicy.DeploymentLimits;
import reedmux.gatekeeper.policy.TrafficPolicy.ListedServer;
import reedmux.gatekeeper.policy.TrafficPolicy.PolicySettings;
import reedmux.gatekeeper.policy.TrafficPolicy.RequestWithdrawn;
import reedmux.gatekeeper.policy.TrafficPolicy.ServerList;
import reedmux.gatekeeper.policy.TrafficPolicy.ServerListScope;
import reedmux.gatekeeper.policy.TrafficPolicy.ServerStatus;

/** Tests the enforcement of the platform rules, the concurrency limits, and the handling of failing servers. */
class ServerSelectionTest {
    private static final CustomerPlan LARGE_PLAN = SimulatedGroup.quotaPlan(1000, 1000);

    private static List<String> serversOf(SimulatedGroup group, String request) {
        return group.sent.stream()
                .filter(send -> send.request().equals(request))
                .map(SimulatedGroup.RecordedSend::server)
                .toList();
    }

    @Test
    void unsafeRequestThatMayHaveRunFailsWithoutRetryOrRejection() {
        for (AttemptOutcome outcome : List.of(AttemptOutcome.ERROR, AttemptOutcome.RESET, AttemptOutcome.TIMEOUT)) {
            SimulatedGroup group = SimulatedGroup.of(1, LARGE_PLAN);
            group.outcomeOf = sent -> outcome;
            String id = group.request(0, SimulatedGroup.UNSAFE, 1, 0, 1);
            group.run(5 * SimulatedGroup.SECOND);
            assertEquals(1, serversOf(group, id).size());
            assertEquals(List.of(id), group.failed);
            assertTrue(group.rejected.isEmpty());
        }
    }

    @Test
    void unsafeRequestThatNeverRanIsRetriedAtAnotherServer() {
        SimulatedGroup group = SimulatedGroup.of(1, LARGE_PLAN);
        group.outcomeOf = sent -> group.sent.size() == 1 ? AttemptOutcome.OVERLOADED : AttemptOutcome.OK;
        String id = group.request(0, SimulatedGroup.UNSAFE, 1, 0, 1);
        group.run(SimulatedGroup.SECOND);
        assertEquals(2, serversOf(group, id).size());
        assertNotEquals(serversOf(group, id).get(0), serversOf(group, id).get(1));
    }

    @Test
    void keyedRequestIsRetriedWithinItsDeduplicationScope() {
        for (int i = 0; i < 20; i++) {
            SimulatedGroup group = SimulatedGroup.of(1, LARGE_PLAN);
            group.run(i * SimulatedGroup.MS);
            group.outcomeOf = sent -> AttemptOutcome.ERROR;
            String id = group.request(0, SimulatedGroup.KEYED, i, 0, 1);
            group.run(5 * SimulatedGroup.SECOND);
            List<String> servers = serversOf(group, id);
            assertEquals(2, servers.size(), "one retry, at the other server of the cell");
            assertEquals(cell(servers.get(0)), cell(servers.get(1)));
            assertEquals(List.of(id), group.failed, "a rejection would promise a repeat without effect");
        }
    }

    private static int cell(String server) {
        return Integer.parseInt(server.substring(7, server.indexOf(':'))) / 2;
    }

    @Test
    void everyRequestGetsOneFinalAnswerInTime() {
        SimulatedGroup group = SimulatedGroup.of(1, LARGE_PLAN);
        group.outcomeOf = sent -> null;
        for (int i = 0; i < 60; i++) {
            group.request(0, i % 3, i, 0, 1);
            group.run(10 * SimulatedGroup.MS);
        }
        group.run(4100 * SimulatedGroup.MS);
        assertEquals(60, group.failed.size() + group.rejected.size());
    }

    @Test
    void nothingIsSentOrAnsweredAfterTheClientDisconnects() {
        SimulatedGroup group = SimulatedGroup.of(1, LARGE_PLAN);
        group.outcomeOf = sent -> AttemptOutcome.ERROR;
        String id = group.request(0, SimulatedGroup.SAFE, 1, 0, 1);
        group.deliver(0, new RequestWithdrawn(id));
        group.deliver(0, new RequestWithdrawn(id));
        group.run(5 * SimulatedGroup.SECOND);
        assertEquals(1, group.sent.size());
        assertTrue(group.failed.isEmpty() && group.rejected.isEmpty());
    }

    @Test
    void drainingAndRemovedServersReceiveNoRequests() {
        SimulatedGroup group = SimulatedGroup.of(1, LARGE_PLAN);
        group.deliver(
                0,
                new ServerList(
                        ServerListScope.CHANGES,
                        List.of(
                                SimulatedGroup.server(0, ServerStatus.DRAINING, 0),
                                SimulatedGroup.server(1, ServerStatus.GONE, 0))));
        group.deliver(
                0,
                new ServerList(
                        ServerListScope.FULL,
                        List.of(
                                SimulatedGroup.server(0, ServerStatus.DRAINING, 0),
                                SimulatedGroup.server(2, ServerStatus.READY, 0))));
        for (int i = 0; i < 50; i++) {
            group.request(0, i % 3, i, 0, 1);
            group.run(10 * SimulatedGroup.MS);
        }
        String only = SimulatedGroup.server(2, ServerStatus.READY, 0).id();
        assertTrue(group.sent.stream().allMatch(send -> send.server().equals(only)));
    }

    @Test
    void requestsAreRejectedAtOnceWithoutServers() {
        SimulatedGroup group = new SimulatedGroup(List.of(), SimulatedGroup.settings(0, 1, LARGE_PLAN));
        assertTrue(group.wasRejected(group.request(0, SimulatedGroup.UNSAFE, 1, 0, 1)));
    }

    @Test
    void coldServerStaysWithinItsLoadBound() {
        List<ListedServer> servers = new ArrayList<>(SimulatedGroup.servers(3));
        SimulatedGroup group = new SimulatedGroup(servers, SimulatedGroup.settings(0, 1, LARGE_PLAN));
        group.traffic(0, 1, 1, 5 * SimulatedGroup.MS, 5 * SimulatedGroup.SECOND);
        group.deliver(
                0,
                new ServerList(
                        ServerListScope.CHANGES, List.of(SimulatedGroup.server(3, ServerStatus.READY, group.now))));
        int before = group.sent.size();
        group.traffic(0, 1, 1, 5 * SimulatedGroup.MS, 2 * SimulatedGroup.SECOND);
        List<SimulatedGroup.RecordedSend> later = group.sent.subList(before, group.sent.size());
        long cold = later.stream()
                .filter(send -> send.server().equals("10.0.0.3:80"))
                .count();
        assertTrue(cold > 0 && cold < 2 * 1.5 * 0.45 * later.size() / 6, cold + " of " + later.size());
    }

    @Test
    void rateLimitHoldsWithoutPeerMessages() {
        CustomerPlan plan = new CustomerPlan("plan", 100, 100, 0, 10, 20, 2, 1, 0, 1);
        SimulatedGroup group = SimulatedGroup.of(2, plan);
        group.isLost = (from, to) -> true;
        group.run(10 * SimulatedGroup.SECOND);
        int sent = group.traffic(0, 1, 2, SimulatedGroup.MS, SimulatedGroup.SECOND);
        sent += group.traffic(1, 1, 2, SimulatedGroup.MS, SimulatedGroup.SECOND);
        assertTrue(sent <= 20 + 2 * 10 + 2, "sent " + sent);
        group.restart(0);
        assertTrue(group.wasRejected(group.request(0, SimulatedGroup.SAFE, 1, 0, 2)), "a restart keeps no tokens");
    }

    /** Traffic moves to one gateway: spare tokens follow it, and the sum stays within the rate limit. */
    @Test
    void spareRateLimitTokensMoveToWhereTheyAreUsed() {
        CustomerPlan plan = new CustomerPlan("plan", 100, 100, 0, 10, 20, 2, 1, 0, 1);
        SimulatedGroup group = SimulatedGroup.of(4, plan);
        int[] messages = {0};
        group.isLost = (from, to) -> ++messages[0] % 12 == 0;
        group.run(10 * SimulatedGroup.SECOND);
        int sent = group.traffic(0, 1, 4, 50 * SimulatedGroup.MS, 10 * SimulatedGroup.SECOND);
        assertTrue(sent > 1.3 * (5 + 10 * 10 / 4), "sent, more than its own share: " + sent);
        assertTrue(sent <= 20 + 10 * 10 + 2, "sent, within the rate limit: " + sent);
    }

    /** Hundreds of gateways used to send a new server their first request at the same time. */
    @Test
    void firstRequestsOfManyGatewaysToAColdServerAreSpreadOverTime() {
        SimulatedGroup group = SimulatedGroup.of(60, LARGE_PLAN);
        group.run(10 * SimulatedGroup.MS);
        for (int i = 0; i < 1500; i++) {
            group.request(i % 60, SimulatedGroup.SAFE, i, i % 60, 1);
            group.run(4 * SimulatedGroup.MS);
        }
        for (int gateway = 0; gateway < 60; gateway++) {
            group.deliver(
                    gateway,
                    new ServerList(
                            ServerListScope.CHANGES, List.of(SimulatedGroup.server(4, ServerStatus.READY, group.now))));
        }
        int before = group.sent.size();
        for (int i = 0; i < 250; i++) {
            group.request(i % 60, SimulatedGroup.SAFE, i, i % 60, 1);
            group.run(4 * SimulatedGroup.MS);
        }
        long cold = group.sent.subList(before, group.sent.size()).stream()
                .filter(send -> send.server().equals("10.0.0.4:80"))
                .count();
        assertTrue(cold < 3 * 0.25 * 250 / 4, "sent to the cold server in the first second: " + cold);
    }

    /**
     * A release left 18 of 60 servers warm. Each gateway took its mean load on these as the mean over its whole window,
     * so the new servers received a fifth of the load of the old ones, which were congested as a result.
     */
    @Test
    void newServersReceiveTheirShareWhileFewServersAreWarm() {
        SimulatedGroup group = new SimulatedGroup(
                SimulatedGroup.servers(60),
                IntStream.range(0, 14)
                        .mapToObj(i -> SimulatedGroup.settings(i, 14, LARGE_PLAN))
                        .toArray(PolicySettings[]::new));
        sendEveryThreeMillis(group, 10);
        long started = group.now;
        List<ListedServer> newServers = new ArrayList<>();
        for (int i = 0; i < 60; i++) {
            if (i % 10 < 7) {
                newServers.add(SimulatedGroup.server(i, ServerStatus.READY, started));
            }
        }
        for (int gateway = 0; gateway < 14; gateway++) {
            group.deliver(gateway, new ServerList(ServerListScope.CHANGES, newServers));
        }
        int before = group.sent.size();
        sendEveryThreeMillis(group, 8);
        Map<String, List<Long>> times = new HashMap<>();
        group.sent
                .subList(before, group.sent.size())
                .forEach(send -> times.computeIfAbsent(send.server(), id -> new ArrayList<>())
                        .add(send.sentAt()));
        double[] sentPerServer = new double[2];
        for (int i = 0; i < 60; i++) {
            List<Long> sendTimes = times.getOrDefault(
                    SimulatedGroup.server(i, ServerStatus.READY, 0).id(), List.of());
            boolean cold = i % 10 < 7;
            sentPerServer[cold ? 1 : 0] += sendTimes.stream()
                            .filter(t -> t > started + 4 * SimulatedGroup.SECOND)
                            .count()
                    / (cold ? 42.0 : 18.0);
            for (long from : cold ? sendTimes : List.<Long>of()) { // a warm server handles 12 requests per second
                double capacity = 12 * (0.25 + 0.75 * (from - started) / (12.0 * SimulatedGroup.SECOND));
                long window = sendTimes.stream()
                        .filter(t -> t >= from && t < from + SimulatedGroup.SECOND)
                        .count();
                assertTrue(window <= 3 * capacity, i + " is overloaded: " + window + " requests, capacity " + capacity);
            }
        }
        assertTrue(
                sentPerServer[1] > sentPerServer[0] / 3,
                "sent to a new server " + sentPerServer[1] + ", to an old server " + sentPerServer[0]);
    }

    private static void sendEveryThreeMillis(SimulatedGroup group, int seconds) {
        for (int i = 0; i < seconds * 333; i++) {
            group.request(i % 14, SimulatedGroup.SAFE, i % 400, i % 14, 1);
            group.run(3 * SimulatedGroup.MS);
        }
    }

    @Test
    void concurrencyCapCountsAttemptsOfAllGateways() {
        CustomerPlan plan = new CustomerPlan("plan", 0, 0, 4, 0, 0, 0, 1, 0, 1);
        SimulatedGroup group = SimulatedGroup.of(2, plan);
        group.outcomeOf = sent -> null;
        group.request(0, SimulatedGroup.UNSAFE, 1, 0, 2);
        group.request(1, SimulatedGroup.UNSAFE, 1, 0, 2);
        group.run(SimulatedGroup.SECOND / 2);
        group.request(0, SimulatedGroup.UNSAFE, 1, 0, 2);
        group.request(0, SimulatedGroup.UNSAFE, 1, 0, 2);
        group.run(SimulatedGroup.SECOND / 2);
        assertTrue(group.wasRejected(group.request(1, SimulatedGroup.UNSAFE, 1, 0, 2)));
        group.run(4 * SimulatedGroup.SECOND);
        assertTrue(group.wasSent(group.request(1, SimulatedGroup.UNSAFE, 1, 0, 2)));
    }

    @Test
    void failingOrHangingServerIsAvoidedAndRetriedLater() {
        for (AttemptOutcome bad :
                List.of(AttemptOutcome.ERROR, AttemptOutcome.TIMEOUT, AttemptOutcome.CONNECT_FAILED)) {
            SimulatedGroup group = SimulatedGroup.of(1, LARGE_PLAN);
            boolean[] faulty = {true};
            group.outcomeOf = send -> faulty[0] && send.server().equals("10.0.0.0:80") ? bad : AttemptOutcome.OK;
            group.traffic(0, 1, 1, 10 * SimulatedGroup.MS, 5 * SimulatedGroup.SECOND);
            int before = group.sent.size();
            group.traffic(0, 1, 1, 10 * SimulatedGroup.MS, 5 * SimulatedGroup.SECOND);
            assertTrue(share(group, before) < 0.05, bad + " " + share(group, before));
            faulty[0] = false;
            group.traffic(0, 1, 1, 10 * SimulatedGroup.MS, 10 * SimulatedGroup.SECOND);
            before = group.sent.size();
            group.traffic(0, 1, 1, 10 * SimulatedGroup.MS, 5 * SimulatedGroup.SECOND);
            assertTrue(share(group, before) > 0.1, bad + " " + share(group, before));
        }
    }

    @Test
    void classOfRequestsRecoversAfterItsServersHung() {
        SimulatedGroup group = SimulatedGroup.of(1, LARGE_PLAN);
        boolean[] hanging = {true};
        group.outcomeOf = send -> hanging[0] ? null : AttemptOutcome.OK;
        for (int i = 0; i < 300; i++) {
            group.request(0, SimulatedGroup.UNSAFE, 1, 0, 1);
            group.run(50 * SimulatedGroup.MS);
        }
        hanging[0] = false;
        group.run(10 * SimulatedGroup.SECOND);
        int before = group.sent.size();
        for (int i = 0; i < 200; i++) {
            group.request(0, SimulatedGroup.UNSAFE, 1, 0, 1);
            group.run(50 * SimulatedGroup.MS);
        }
        assertTrue(group.sent.size() - before > 150, "sent after recovery: " + (group.sent.size() - before));
    }

    @Test
    void overloadRejectsTheLeastValuableRequestsFirst() {
        SimulatedGroup group = SimulatedGroup.of(1, LARGE_PLAN);
        group.outcomeOf = sent -> null;
        List<String> least = new ArrayList<>();
        List<String> most = new ArrayList<>();
        for (int i = 0; i < 200; i++) {
            least.add(group.request(0, SimulatedGroup.SAFE, 1, 0, 1));
            most.add(group.request(0, SimulatedGroup.UNSAFE, 1, 0, 1));
        }
        long leastSent = least.stream().filter(group::wasSent).count();
        long mostSent = most.stream().filter(group::wasSent).count();
        assertTrue(leastSent > 0 && leastSent < mostSent && mostSent < 200, leastSent + " " + mostSent);
    }

    @Test
    void startedStreamIsNeitherRetriedNorAnsweredAgain() {
        SimulatedGroup group = SimulatedGroup.of(1, LARGE_PLAN);
        group.outcomeOf = sent -> null;
        String id = group.request(0, SimulatedGroup.SAFE, 1, 0, 1);
        String server = serversOf(group, id).get(0);
        group.deliver(0, new TrafficPolicy.ResponseStreamStarted(id, server, 0, 20 * SimulatedGroup.MS));
        group.deliver(
                0, new TrafficPolicy.AttemptEnded(id, true, server, 0, 0, SimulatedGroup.SECOND, AttemptOutcome.RESET));
        group.run(5 * SimulatedGroup.SECOND);
        assertEquals(1, group.sent.size());
        assertTrue(group.failed.isEmpty() && group.rejected.isEmpty());
    }

    private static double share(SimulatedGroup group, int from) {
        List<SimulatedGroup.RecordedSend> part = group.sent.subList(from, group.sent.size());
        return part.stream().filter(send -> send.server().equals("10.0.0.0:80")).count() / (double) part.size();
    }

    @Test
    void ejectionStopsWhenMostServersFail() {
        SimulatedGroup group = SimulatedGroup.of(1, LARGE_PLAN);
        group.outcomeOf = sent -> AttemptOutcome.ERROR;
        group.traffic(0, 1, 1, 20 * SimulatedGroup.MS, 5 * SimulatedGroup.SECOND);
        List<SimulatedGroup.RecordedSend> last = group.sent.subList(group.sent.size() - 50, group.sent.size());
        long used = last.stream()
                .map(SimulatedGroup.RecordedSend::server)
                .distinct()
                .count();
        assertTrue(used >= 3, "servers in use: " + used);
    }

    @Test
    void attemptsInFlightAreBoundedWhenServersHang() {
        SimulatedGroup group = new SimulatedGroup(SimulatedGroup.servers(2), SimulatedGroup.settings(0, 1, LARGE_PLAN));
        group.outcomeOf = sent -> null;
        IntStream.range(0, 200).forEach(i -> group.request(0, SimulatedGroup.UNSAFE, i, 0, 1));
        assertTrue(group.sent.size() <= 48, "in flight: " + group.sent.size());
        assertEquals(200, group.sent.size() + group.rejected.size());
    }

    @Test
    void polledDiscoveryIsPolledAgainAfterAFailure() {
        TrafficPolicy.PolicySettings defaults = SimulatedGroup.settings(0, 1, LARGE_PLAN);
        TrafficPolicy.PolicySettings polling = new TrafficPolicy.PolicySettings(
                0,
                1,
                0,
                true,
                false,
                1,
                SimulatedGroup.MS,
                defaults.classes(),
                defaults.plans(),
                defaults.rules(),
                new DeploymentLimits(false, false, false, false, false, 1, 0, 0, 256, 0));
        SimulatedGroup group = new SimulatedGroup(polling);
        assertEquals(List.of("0 true"), group.watches);
        group.deliver(0, new ServerList(ServerListScope.FAILED, List.of()));
        group.run(SimulatedGroup.SECOND);
        assertEquals(List.of("0 true", "0 true"), group.watches);
    }

    /**
     * A gateway with less than one attempt in flight never reaches a concurrency limit. When servers were congested, it
     * kept sending nearly all requests until each of many servers was known as slow, and then rejected for long.
     */
    @Test
    void throttleBoundsSendsDuringAnOutageAndRecoversSoonAfter() {
        SimulatedGroup group =
                new SimulatedGroup(SimulatedGroup.servers(70), SimulatedGroup.settings(0, 1, LARGE_PLAN));
        group.traffic(0, 1, 1, 100 * SimulatedGroup.MS, 5 * SimulatedGroup.SECOND);
        group.outcomeOf = sent -> AttemptOutcome.TIMEOUT;
        group.traffic(0, 1, 1, 100 * SimulatedGroup.MS, 4 * SimulatedGroup.SECOND);
        int sentDuringOutage = group.traffic(0, 1, 1, 100 * SimulatedGroup.MS, 4 * SimulatedGroup.SECOND);
        assertTrue(sentDuringOutage > 0 && sentDuringOutage < 16, "sent during the outage, of 40: " + sentDuringOutage);
        group.outcomeOf = sent -> AttemptOutcome.OK;
        group.run(3 * SimulatedGroup.SECOND);
        group.traffic(0, 1, 1, 100 * SimulatedGroup.MS, 4 * SimulatedGroup.SECOND);
        int after = group.traffic(0, 1, 1, 100 * SimulatedGroup.MS, 2 * SimulatedGroup.SECOND);
        assertTrue(after >= 18, "sent soon after the outage, of 20: " + after);
    }

    /** With dozens of servers and only occasional requests, a gateway never detected which servers hang. */
    @Test
    void gatewaysWithLittleTrafficEachUseFewServersAndTogetherCoverAll() {
        PolicySettings[] settings = IntStream.range(0, 60)
                .mapToObj(i -> SimulatedGroup.settings(i, 60, LARGE_PLAN))
                .toArray(PolicySettings[]::new);
        List<ListedServer> servers = IntStream.range(0, 30)
                .mapToObj(i -> new ListedServer("10.0.1." + i + ":80", 0, 0, 0, ServerStatus.READY, 1, 0))
                .toList();
        SimulatedGroup group = new SimulatedGroup(servers, settings);
        for (int i = 0; i < 60 * 40; i++) {
            group.request(i % 60, SimulatedGroup.SAFE, i, i % 60, 1);
            group.run(5 * SimulatedGroup.MS);
        }
        Map<Integer, Set<String>> used = new HashMap<>();
        Map<String, Integer> load = new HashMap<>();
        for (SimulatedGroup.RecordedSend sent : group.sent) {
            used.computeIfAbsent(sent.gateway(), g -> new HashSet<>()).add(sent.server());
            load.merge(sent.server(), 1, Integer::sum);
        }
        assertTrue(used.values().stream().allMatch(few -> few.size() <= 4), "servers used by each gateway: " + used);
        assertTrue(
                load.size() == 30 && load.values().stream().allMatch(l -> l > 20 && l < 240),
                "requests by server, 80 on average: " + load);
    }

    @Test
    void gatewayWhoseFewServersFailUsesOthers() {
        DeploymentLimits withoutPeers =
                new DeploymentLimits(true, false, false, false, false, 3, SimulatedGroup.SECOND, 60, 256, 0);
        SimulatedGroup group = new SimulatedGroup(
                SimulatedGroup.servers(30), SimulatedGroup.settings(0, 60, LARGE_PLAN, withoutPeers));
        group.traffic(0, 1, 1, 300 * SimulatedGroup.MS, 5 * SimulatedGroup.SECOND);
        List<String> own = group.sent.stream()
                .map(SimulatedGroup.RecordedSend::server)
                .distinct()
                .toList();
        group.outcomeOf = sent -> own.contains(sent.server()) ? AttemptOutcome.CONNECT_FAILED : AttemptOutcome.OK;
        group.traffic(0, 1, 1, 300 * SimulatedGroup.MS, 5 * SimulatedGroup.SECOND);
        int before = group.rejected.size();
        group.traffic(0, 1, 1, 300 * SimulatedGroup.MS, 5 * SimulatedGroup.SECOND);
        assertTrue(group.rejected.size() - before <= 2, "rejected: " + (group.rejected.size() - before));
    }

    /** With one answer a second, a class's mean took 20 s to fall after congestion: nearly all were rejected. */
    @Test
    void latencyEstimateRecoversQuicklyAfterCongestion() {
        SimulatedGroup group =
                new SimulatedGroup(SimulatedGroup.servers(70), SimulatedGroup.settings(0, 1, LARGE_PLAN));
        group.traffic(0, 1, 1, 200 * SimulatedGroup.MS, 5 * SimulatedGroup.SECOND);
        group.extraLatency = 450 * SimulatedGroup.MS;
        group.traffic(0, 1, 1, 200 * SimulatedGroup.MS, 10 * SimulatedGroup.SECOND);
        group.extraLatency = 0;
        group.traffic(0, 1, 1, 200 * SimulatedGroup.MS, 4 * SimulatedGroup.SECOND);
        int after = group.traffic(0, 1, 1, 200 * SimulatedGroup.MS, 3 * SimulatedGroup.SECOND);
        assertTrue(after >= 4, "sent during recovery, of 15: " + after);
    }

    /** With one attempt in flight that made no progress, other requests were expected to be late at its server. */
    @Test
    void incompleteRequestBodyIsNotCountedAsServerLoad() {
        SimulatedGroup group = new SimulatedGroup(
                SimulatedGroup.servers(1), SimulatedGroup.settings(0, 1, SimulatedGroup.quotaPlan(0, 0)));
        group.outcomeOf = sent -> null; // the test answers, or nothing does
        String slow = group.request(0, SimulatedGroup.UNSAFE, 1, 0, 1);
        group.deliver(0, new TrafficPolicy.RequestBodyProgress(slow, false));
        group.run(900 * SimulatedGroup.MS);
        String other = group.request(0, SimulatedGroup.SAFE, 2, 0, 1);
        assertTrue(group.wasSent(other), "an incomplete body must not cause a rejection");
        group.deliver(
                0,
                new TrafficPolicy.AttemptEnded(
                        other,
                        true,
                        group.sent.get(1).server(),
                        0,
                        0,
                        50 * SimulatedGroup.MS,
                        TrafficPolicy.AttemptOutcome.OK));
        group.deliver(0, new TrafficPolicy.RequestBodyProgress(slow, true));
        group.run(900 * SimulatedGroup.MS);
        String late = group.request(0, SimulatedGroup.SAFE, 3, 0, 1);
        assertTrue(group.wasRejected(late), "a complete request without an answer for 0.9 s counts as load");
    }
}
