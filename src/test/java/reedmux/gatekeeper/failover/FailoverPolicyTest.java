package reedmux.gatekeeper.failover;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import reedmux.gatekeeper.failover.FailoverRules.FailoverTarget;
import reedmux.gatekeeper.failover.FailoverRules.RemoteRequestLimits;

/**
 * Checks the guarantees of {@link FailoverPolicy}, which docs/regions.md describes, with seeded random sequences of
 * events:
 *
 * <ul>
 *   <li>All gatekeepers together stay within the forwarding budget, even if some of them restart or reload their rules.
 *   <li>Only requests are forwarded that come from a local consumer, may be executed again and have attempts left.
 *   <li>Remote requests are admitted only if they come directly from an accepted region, so that no request loops.
 *   <li>Admitted remote requests stay within their limits, and none is admitted while too many local requests fail.
 * </ul>
 */
public final class FailoverPolicyTest {
    private static final long MICROS_PER_MILLI = 1000;
    private static final long MICROS_PER_SECOND = 1000 * MICROS_PER_MILLI;

    private static FailoverRules createRules(double maxShare, double rate, double burst, int maxConcurrent) {
        return new FailoverRules(
                "east",
                Set.of("west"),
                new RemoteRequestLimits(4, 50, 20, 0.1, MICROS_PER_SECOND),
                new FailoverTarget(
                        "west",
                        List.of("w1", "w2", "w3"),
                        maxShare,
                        rate,
                        burst,
                        maxConcurrent,
                        50 * MICROS_PER_MILLI,
                        10 * MICROS_PER_MILLI,
                        20 * MICROS_PER_MILLI));
    }

    private static OverflowRequest createOverflowRequest(long deadline) {
        return new OverflowRequest(deadline, 1, false, true, false, 4);
    }

    /** The units of a forwarded request, and the time at which it was forwarded. */
    private record ForwardedUnits(long sentAt, double units) {}

    /**
     * For any order of requests, responses, restarts and reloads, all gatekeepers together stay within the budget: in
     * any period they forward at most the units that the rate allows plus one burst, and never more requests than the
     * maximum share of the requests received.
     */
    @Property(tries = 10_000, seed = "21")
    void forwardingBudgetHoldsAcrossAllGatekeepers(
            @ForAll long seed, @ForAll @IntRange(min = 1, max = 5) int gatekeepers) {
        SplittableRandom random = new SplittableRandom(seed);
        double maxShare = random.nextInt(11) / 10.0;
        double rate = random.nextInt(40);
        double burst = gatekeepers * (1 + random.nextInt(10));
        FailoverRules rules = createRules(maxShare, rate, burst, 3);
        FailoverPolicy[] policies = new FailoverPolicy[gatekeepers];
        List<Deque<ForwardedRequest>> inFlight = new ArrayList<>();
        for (int i = 0; i < gatekeepers; i++) {
            policies[i] = new FailoverPolicy(rules, gatekeepers, 0, seed + i);
            inFlight.add(new ArrayDeque<>());
        }
        List<ForwardedUnits> sent = new ArrayList<>();
        long received = 0;
        long now = 0;
        for (int step = 0; step < 120; step++) {
            now += random.nextInt(4) == 0
                    ? random.nextLong(2 * MICROS_PER_SECOND)
                    : random.nextLong(30 * MICROS_PER_MILLI);
            int i = random.nextInt(gatekeepers);
            int action = random.nextInt(20);
            if (action < 13) {
                policies[i].onLocalRequest();
                received++;
                double units = 1 + random.nextInt(3);
                ForwardDecision decision = policies[i].decideForward(
                        now,
                        new OverflowRequest(
                                now + random.nextLong(MICROS_PER_SECOND),
                                units,
                                random.nextBoolean(),
                                random.nextInt(4) > 0,
                                random.nextInt(5) == 0,
                                random.nextInt(4)));
                if (decision.forwarded() != null) {
                    sent.add(new ForwardedUnits(now, units));
                    inFlight.get(i).add(decision.forwarded());
                    assertTrue(inFlight.get(i).size() <= 3, "limit on requests in flight exceeded");
                    assertTrue(
                            decision.forwarded().grantedMicros() >= 50 * MICROS_PER_MILLI,
                            "granted timeout below the minimum");
                    assertTrue(
                            decision.forwarded().grantedMicros()
                                    <= decision.forwarded().timeoutMicros(),
                            "granted timeout exceeds the local timeout");
                }
            } else if (action < 18 && !inFlight.get(i).isEmpty()) {
                long tookMicros = random.nextLong(MICROS_PER_SECOND);
                policies[i].onForwardEnded(
                        now,
                        inFlight.get(i).poll(),
                        ForwardResult.values()[random.nextInt(4)],
                        tookMicros,
                        random.nextLong(tookMicros + 1) - 1,
                        random.nextLong(MICROS_PER_SECOND));
            } else if (action == 18) {
                policies[i] = new FailoverPolicy(
                        rules, gatekeepers, now, seed + step); // a restart loses the requests in flight
                inFlight.get(i).clear();
            } else if (action == 19) {
                policies[i].applyRules(createRules(maxShare, rate, burst, 3), now);
            }
        }
        assertTrue(sent.size() <= maxShare * received + 1e-6, "requests forwarded: " + sent.size() + " of " + received);
        for (int first = 0; first < sent.size(); first++) {
            double units = 0;
            for (int last = first; last < sent.size(); last++) {
                units += sent.get(last).units();
                double maxUnits =
                        rate * (sent.get(last).sentAt() - sent.get(first).sentAt()) / MICROS_PER_SECOND + burst;
                assertTrue(units <= maxUnits + 1e-6, units + " units forwarded, limit " + maxUnits);
            }
        }
    }

    /**
     * Remote requests, requests that may have been executed and are not idempotent, and requests without attempts left
     * are never forwarded.
     */
    @Property(tries = 10_000, seed = "22")
    void onlyForwardableRequestsAreForwarded(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        FailoverPolicy policy = new FailoverPolicy(createRules(1, 1000, 1000, 100), 1, 0, seed);
        for (int i = 0; i < 20; i++) {
            policy.onLocalRequest();
            OverflowRequest request = new OverflowRequest(
                    MICROS_PER_SECOND + random.nextLong(2 * MICROS_PER_SECOND),
                    1,
                    random.nextBoolean(),
                    random.nextBoolean(),
                    random.nextBoolean(),
                    random.nextInt(2));
            ForwardDecision decision = policy.decideForward(MICROS_PER_SECOND, request);
            boolean forwardable =
                    !request.remote() && (request.idempotent() || request.neverRan()) && request.attemptsLeft() > 0;
            assertTrue(forwardable || decision.forwarded() == null, request + " " + decision);
            if (decision.forwarded() != null) {
                long remaining = request.deadline() - MICROS_PER_SECOND;
                assertTrue(
                        decision.forwarded().timeoutMicros() <= remaining - 10 * MICROS_PER_MILLI,
                        "the timeout must leave the margin of 10 ms");
                assertTrue(
                        decision.forwarded().grantedMicros() <= remaining - 30 * MICROS_PER_MILLI,
                        "the granted timeout must leave the margin and the link latency of 20 ms");
            } else if (forwardable && i == 0) {
                assertEquals(ForwardDecision.ForwardReason.NO_TIME, decision.reason());
            }
        }
    }

    /** A remote request is admitted only if its path consists of exactly one region, whose requests are accepted. */
    @Property(tries = 10_000, seed = "23")
    void admitsOnlyRequestsDirectlyFromAnAcceptedRegion(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        String[] names = {"east", "west", "north", "east-2"};
        List<String> path = new ArrayList<>();
        for (int i = random.nextInt(1, 4); i > 0; i--) {
            path.add(names[random.nextInt(names.length)]);
        }
        RemoteRejection rejection = new FailoverPolicy(createRules(1, 1, 1, 1), 1, 0, seed)
                .admitRemote(10 * MICROS_PER_SECOND, new RegionPath(path), 1);
        assertEquals(path.equals(List.of("west")), rejection == null, path + " " + rejection);
        assertTrue(rejection == null || rejection.retryAfterMicros() > 0);
    }

    /**
     * For any order of events, remote requests stay within their limits, and none is admitted while too many local
     * requests fail.
     */
    @Property(tries = 10_000, seed = "24")
    void remoteRequestsStayWithinTheirLimits(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        FailoverPolicy policy = new FailoverPolicy(createRules(0, 0, 0, 0), 1, 0, seed);
        RegionPath path = new RegionPath(List.of("west"));
        int inFlight = 0;
        long now = 0;
        double admittedUnits = 0;
        long closedAt = -MICROS_PER_SECOND;
        for (int step = 0; step < 200; step++) {
            now += random.nextLong(100 * MICROS_PER_MILLI);
            int action = random.nextInt(8);
            if (action < 4) {
                RemoteRejection rejection = policy.admitRemote(now, path, 2);
                if (rejection == null) {
                    inFlight++;
                    admittedUnits += 2;
                    assertTrue(now >= closedAt + MICROS_PER_SECOND, "admission must stay closed for the backoff");
                }
                assertTrue(inFlight <= 4, "limit on requests in flight exceeded");
                assertTrue(
                        admittedUnits <= 20 + 50.0 * now / MICROS_PER_SECOND + 1e-6,
                        "admitted units exceed the rate and burst");
            } else if (action < 6 && inFlight > 0) {
                policy.onRemoteRequestEnded();
                inFlight--;
            } else if (action == 6) {
                policy.onLocalRequestEnded(now, true);
            } else {
                for (int i = random.nextInt(3); i > 0; i--) {
                    policy.onLocalRequestEnded(now, false);
                    policy.onLocalRequestEnded(now, false);
                    closedAt = now; // 2 failures in a row exceed a failure rate of 0.1 despite the 5 assumed successes
                }
            }
            assertEquals(inFlight, policy.remoteInFlight());
        }
    }

    @Example
    void budgetIsEmptyAfterARestart() {
        FailoverPolicy policy = new FailoverPolicy(createRules(1, 10, 100, 10), 1, 5 * MICROS_PER_SECOND, 1);
        policy.onLocalRequest();
        assertEquals(
                ForwardDecision.ForwardReason.RATE,
                policy.decideForward(5 * MICROS_PER_SECOND, createOverflowRequest(9 * MICROS_PER_SECOND))
                        .reason());
        assertEquals(
                ForwardDecision.ForwardReason.SENT,
                policy.decideForward(
                                5 * MICROS_PER_SECOND + 100 * MICROS_PER_MILLI,
                                createOverflowRequest(9 * MICROS_PER_SECOND))
                        .reason());
    }

    @Example
    void accumulatedRequestBudgetIsBounded() {
        FailoverPolicy policy = new FailoverPolicy(createRules(0.1, 1000, 1000, 1000), 1, 0, 1);
        for (int i = 0; i < 100_000; i++) {
            policy.onLocalRequest();
        }
        int sent = 0;
        while (policy.decideForward(3600 * MICROS_PER_SECOND, createOverflowRequest(3610 * MICROS_PER_SECOND))
                        .forwarded()
                != null) {
            sent++;
        }
        assertEquals(20, sent);
    }

    /**
     * A failing gateway is ejected, receives an idempotent request as its trial, and is used again once the trial
     * succeeds.
     */
    @Example
    void ejectsAFailingGatewayAndTriesItAgain() {
        FailoverPolicy policy = new FailoverPolicy(createRules(1, 1000, 1000, 100), 1, 0, 1);
        long now = 2 * MICROS_PER_SECOND;
        Map<String, Integer> forwardedCounts = new HashMap<>();
        for (int i = 0; i < 200; i++) {
            policy.onLocalRequest();
            now += 5 * MICROS_PER_MILLI;
            ForwardedRequest sent = policy.decideForward(now, createOverflowRequest(now + MICROS_PER_SECOND))
                    .forwarded();
            assertNotNull(sent);
            boolean failing = sent.gateway().equals("w1");
            forwardedCounts.merge(sent.gateway(), 1, Integer::sum);
            policy.onForwardEnded(
                    now, sent, failing ? ForwardResult.FAILED : ForwardResult.ANSWERED, MICROS_PER_MILLI, -1, -1);
        }
        assertEquals(3, forwardedCounts.get("w1"));
        assertTrue(forwardedCounts.get("w2") > 60 && forwardedCounts.get("w3") > 60, forwardedCounts.toString());
        policy.onLocalRequest();
        ForwardedRequest trial = policy.decideForward(
                        now, new OverflowRequest(now + MICROS_PER_SECOND, 1, true, true, false, 4))
                .forwarded();
        assertEquals("w1", trial.gateway(), "the ejection has expired and the request is idempotent");
        policy.onForwardEnded(now, trial, ForwardResult.ANSWERED, MICROS_PER_MILLI, 0, -1);
        boolean chosenAgain = false;
        for (int i = 0; i < 20 && !chosenAgain; i++) {
            policy.onLocalRequest();
            chosenAgain = policy.decideForward(now, createOverflowRequest(now + MICROS_PER_SECOND))
                    .forwarded()
                    .gateway()
                    .equals("w1");
        }
        assertTrue(chosenAgain);
    }

    @Example
    void honoursRetryAfterOfAGateway() {
        FailoverPolicy policy = new FailoverPolicy(
                new FailoverRules(
                        "east",
                        Set.of(),
                        createRules(1, 1, 1, 1).remoteLimits(),
                        new FailoverTarget("west", List.of("w1"), 1, 100, 100, 9, MICROS_PER_MILLI, 0, 0)),
                1,
                0,
                1);
        policy.onLocalRequest();
        policy.onLocalRequest();
        ForwardedRequest sent = policy.decideForward(MICROS_PER_SECOND, createOverflowRequest(9 * MICROS_PER_SECOND))
                .forwarded();
        policy.onForwardEnded(
                MICROS_PER_SECOND, sent, ForwardResult.REJECTED, MICROS_PER_MILLI, 0, 700 * MICROS_PER_MILLI);
        assertEquals(
                ForwardDecision.ForwardReason.NO_GATEWAY,
                policy.decideForward(
                                MICROS_PER_SECOND + 699 * MICROS_PER_MILLI,
                                createOverflowRequest(9 * MICROS_PER_SECOND))
                        .reason());
        assertEquals(
                ForwardDecision.ForwardReason.SENT,
                policy.decideForward(
                                MICROS_PER_SECOND + 700 * MICROS_PER_MILLI,
                                createOverflowRequest(9 * MICROS_PER_SECOND))
                        .reason());
    }

    @Example
    void estimatesTheLinkLatency() {
        FailoverPolicy policy = new FailoverPolicy(createRules(1, 1000, 1000, 100), 1, 0, 1);
        assertEquals(20 * MICROS_PER_MILLI, policy.linkLatencyMicros());
        for (int i = 0; i < 50; i++) {
            policy.onLocalRequest();
            ForwardedRequest sent = policy.decideForward(
                            MICROS_PER_SECOND, createOverflowRequest(9 * MICROS_PER_SECOND))
                    .forwarded();
            policy.onForwardEnded(
                    MICROS_PER_SECOND, sent, ForwardResult.ANSWERED, 130 * MICROS_PER_MILLI, 90 * MICROS_PER_MILLI, -1);
        }
        assertEquals(
                40 * MICROS_PER_MILLI,
                policy.linkLatencyMicros(),
                MICROS_PER_MILLI,
                "link latency of 40 ms, without the processing time of the other region");
        policy.onLocalRequest();
        ForwardedRequest sent = policy.decideForward(
                        MICROS_PER_SECOND, createOverflowRequest(MICROS_PER_SECOND + 500 * MICROS_PER_MILLI))
                .forwarded();
        assertEquals(490 * MICROS_PER_MILLI, sent.timeoutMicros());
        assertEquals(450 * MICROS_PER_MILLI, sent.grantedMicros(), 2 * MICROS_PER_MILLI);
        assertNull(
                policy.decideForward(
                                MICROS_PER_SECOND, createOverflowRequest(MICROS_PER_SECOND + 99 * MICROS_PER_MILLI))
                        .forwarded(),
                "99 ms less the margin of 10 ms and the latency of 40 ms is below the minimum of 50 ms");
    }

    @Example
    void forwardsNothingWithoutATarget() {
        FailoverPolicy policy = new FailoverPolicy(createRules(1, 1000, 1000, 100), 1, 0, 1);
        policy.onLocalRequest();
        ForwardedRequest forwarded = policy.decideForward(
                        MICROS_PER_SECOND, createOverflowRequest(9 * MICROS_PER_SECOND))
                .forwarded();
        policy.applyRules(
                new FailoverRules(
                        "east", Set.of("west"), createRules(0, 0, 0, 0).remoteLimits(), null),
                MICROS_PER_SECOND);
        policy.onLocalRequest();
        assertEquals(
                ForwardDecision.ForwardReason.NONE,
                policy.decideForward(MICROS_PER_SECOND, createOverflowRequest(9 * MICROS_PER_SECOND))
                        .reason());
        policy.onForwardEnded(MICROS_PER_SECOND, forwarded, ForwardResult.ANSWERED, MICROS_PER_MILLI, 0, -1);
        assertEquals(0, policy.forwardedInFlight());
    }
}
