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

/** Each promise of docs/regions.md about the decisions alone, over sequences of events drawn by a seed. */
public final class FailoverPolicyTest {
    private static final long MICROS_PER_MILLI = 1000;
    private static final long MICROS_PER_SECOND = 1000 * MICROS_PER_MILLI;

    private static FailoverRules rules(double share, double rate, double burst, int mostAtOnce) {
        return new FailoverRules(
                "east",
                Set.of("west"),
                new RemoteRequestLimits(4, 50, 20, 0.1, MICROS_PER_SECOND),
                new FailoverTarget(
                        "west",
                        List.of("w1", "w2", "w3"),
                        share,
                        rate,
                        burst,
                        mostAtOnce,
                        50 * MICROS_PER_MILLI,
                        10 * MICROS_PER_MILLI,
                        20 * MICROS_PER_MILLI));
    }

    private static OverflowRequest overflow(long deadline) {
        return new OverflowRequest(deadline, 1, false, true, false, 4);
    }

    /** One that went away, and when. */
    private record ForwardedUnits(long at, double units) {}

    /**
     * Any order of requests, returns, restarts and reloads keeps the budget: over any stretch of time all
     * gatekeepers together send no more units than the rate allows in it and one burst, and no more requests
     * than the share of those taken.
     */
    @Property(tries = 10_000, seed = "21")
    void budgetHoldsOverAllGatekeepers(@ForAll long seed, @ForAll @IntRange(min = 1, max = 5) int members) {
        SplittableRandom random = new SplittableRandom(seed);
        double share = random.nextInt(11) / 10.0;
        double rate = random.nextInt(40);
        double burst = members * (1 + random.nextInt(10));
        FailoverRules rules = rules(share, rate, burst, 3);
        FailoverPolicy[] all = new FailoverPolicy[members];
        List<Deque<ForwardedRequest>> away = new ArrayList<>();
        for (int i = 0; i < members; i++) {
            all[i] = new FailoverPolicy(rules, members, 0, seed + i);
            away.add(new ArrayDeque<>());
        }
        List<ForwardedUnits> sent = new ArrayList<>();
        long taken = 0;
        long now = 0;
        for (int step = 0; step < 120; step++) {
            now += random.nextInt(4) == 0
                    ? random.nextLong(2 * MICROS_PER_SECOND)
                    : random.nextLong(30 * MICROS_PER_MILLI);
            int i = random.nextInt(members);
            int what = random.nextInt(20);
            if (what < 13) {
                all[i].onLocalRequest();
                taken++;
                double units = 1 + random.nextInt(3);
                ForwardDecision decision = all[i].decideForward(
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
                    away.get(i).add(decision.forwarded());
                    assertTrue(away.get(i).size() <= 3, "at once");
                    assertTrue(decision.forwarded().grantedMicros() >= 50 * MICROS_PER_MILLI, "least time");
                    assertTrue(
                            decision.forwarded().grantedMicros()
                                    <= decision.forwarded().timeoutMicros(),
                            "shrinks");
                }
            } else if (what < 18 && !away.get(i).isEmpty()) {
                long took = random.nextLong(MICROS_PER_SECOND);
                all[i].onForwardEnded(
                        now,
                        away.get(i).poll(),
                        ForwardResult.values()[random.nextInt(4)],
                        took,
                        random.nextLong(took + 1) - 1,
                        random.nextLong(MICROS_PER_SECOND));
            } else if (what == 18) {
                all[i] = new FailoverPolicy(rules, members, now, seed + step); // restarted: what was away is lost
                away.get(i).clear();
            } else if (what == 19) {
                all[i].applyRules(rules(share, rate, burst, 3), now);
            }
        }
        assertTrue(sent.size() <= share * taken + 1e-6, "share: " + sent.size() + " of " + taken);
        for (int from = 0; from < sent.size(); from++) {
            double units = 0;
            for (int to = from; to < sent.size(); to++) {
                units += sent.get(to).units();
                double most = rate * (sent.get(to).at() - sent.get(from).at()) / MICROS_PER_SECOND + burst;
                assertTrue(units <= most + 1e-6, units + " units, at most " + most);
            }
        }
    }

    /** No visitor, nothing that may have run, and nothing that has had its calls ever goes away. */
    @Property(tries = 10_000, seed = "22")
    void onlyForwardableRequestsAreForwarded(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        FailoverPolicy regions = new FailoverPolicy(rules(1, 1000, 1000, 100), 1, 0, seed);
        for (int i = 0; i < 20; i++) {
            regions.onLocalRequest();
            OverflowRequest wish = new OverflowRequest(
                    MICROS_PER_SECOND + random.nextLong(2 * MICROS_PER_SECOND),
                    1,
                    random.nextBoolean(),
                    random.nextBoolean(),
                    random.nextBoolean(),
                    random.nextInt(2));
            ForwardDecision decision = regions.decideForward(MICROS_PER_SECOND, wish);
            boolean may = !wish.remote() && (wish.idempotent() || wish.neverRan()) && wish.attemptsLeft() > 0;
            assertTrue(may || decision.forwarded() == null, wish + " " + decision);
            if (decision.forwarded() != null) {
                long left = wish.deadline() - MICROS_PER_SECOND;
                assertTrue(decision.forwarded().timeoutMicros() <= left - 10 * MICROS_PER_MILLI, "a margin is kept");
                assertTrue(
                        decision.forwarded().grantedMicros() <= left - 30 * MICROS_PER_MILLI,
                        "the link's time is taken off");
            } else if (may && i == 0) {
                assertEquals(ForwardDecision.ForwardReason.NO_TIME, decision.reason());
            }
        }
    }

    /** Only a request that has passed just its own region, one that we take from, comes in. */
    @Property(tries = 10_000, seed = "23")
    void neverForwardsInALoop(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        String[] names = {"east", "west", "north", "east-2"};
        List<String> passed = new ArrayList<>();
        for (int i = random.nextInt(1, 4); i > 0; i--) {
            passed.add(names[random.nextInt(names.length)]);
        }
        RemoteRejection refusal = new FailoverPolicy(rules(1, 1, 1, 1), 1, 0, seed)
                .admitRemote(10 * MICROS_PER_SECOND, new RegionPath(passed), 1);
        assertEquals(passed.equals(List.of("west")), refusal == null, passed + " " + refusal);
        assertTrue(refusal == null || refusal.retryAfterMicros() > 0);
    }

    /** Visitors keep to their bounds in any order of events, and stay out while own service suffers. */
    @Property(tries = 10_000, seed = "24")
    void remoteRequestsStayWithinTheirLimits(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        FailoverPolicy regions = new FailoverPolicy(rules(0, 0, 0, 0), 1, 0, seed);
        RegionPath path = new RegionPath(List.of("west"));
        int here = 0;
        long now = 0;
        double units = 0;
        long closedAt = -MICROS_PER_SECOND;
        for (int step = 0; step < 200; step++) {
            now += random.nextLong(100 * MICROS_PER_MILLI);
            int what = random.nextInt(8);
            if (what < 4) {
                RemoteRejection refusal = regions.admitRemote(now, path, 2);
                if (refusal == null) {
                    here++;
                    units += 2;
                    assertTrue(now >= closedAt + MICROS_PER_SECOND, "closed for its hold");
                }
                assertTrue(here <= 4, "at once");
                assertTrue(units <= 20 + 50.0 * now / MICROS_PER_SECOND + 1e-6, "rate");
            } else if (what < 6 && here > 0) {
                regions.onRemoteRequestEnded();
                here--;
            } else if (what == 6) {
                regions.onLocalRequestEnded(now, true);
            } else {
                for (int i = random.nextInt(3); i > 0; i--) {
                    regions.onLocalRequestEnded(now, false);
                    regions.onLocalRequestEnded(now, false);
                    closedAt = now; // two bad ones in a row are over a tenth of any seven
                }
            }
            assertEquals(here, regions.remoteInFlight());
        }
    }

    @Example
    void budgetIsEmptyAfterARestart() {
        FailoverPolicy regions = new FailoverPolicy(rules(1, 10, 100, 10), 1, 5 * MICROS_PER_SECOND, 1);
        regions.onLocalRequest();
        assertEquals(
                ForwardDecision.ForwardReason.RATE,
                regions.decideForward(5 * MICROS_PER_SECOND, overflow(9 * MICROS_PER_SECOND))
                        .reason());
        assertEquals(
                ForwardDecision.ForwardReason.SENT,
                regions.decideForward(5 * MICROS_PER_SECOND + 100 * MICROS_PER_MILLI, overflow(9 * MICROS_PER_SECOND))
                        .reason());
    }

    @Example
    void savedShareIsBounded() {
        FailoverPolicy regions = new FailoverPolicy(rules(0.1, 1000, 1000, 1000), 1, 0, 1);
        for (int i = 0; i < 100_000; i++) {
            regions.onLocalRequest();
        }
        int sent = 0;
        while (regions.decideForward(3600 * MICROS_PER_SECOND, overflow(3610 * MICROS_PER_SECOND))
                        .forwarded()
                != null) {
            sent++;
        }
        assertEquals(20, sent);
    }

    /** A gateway that fails is out, its trial is never one that must not run twice, and it comes back. */
    @Example
    void ejectsAFailingGatewayAndTriesItAgain() {
        FailoverPolicy regions = new FailoverPolicy(rules(1, 1000, 1000, 100), 1, 0, 1);
        long now = 2 * MICROS_PER_SECOND;
        Map<String, Integer> failures = new HashMap<>();
        for (int i = 0; i < 200; i++) {
            regions.onLocalRequest();
            now += 5 * MICROS_PER_MILLI;
            ForwardedRequest sent = regions.decideForward(now, overflow(now + MICROS_PER_SECOND))
                    .forwarded();
            assertNotNull(sent);
            boolean dead = sent.gateway().equals("w1");
            failures.merge(sent.gateway(), 1, Integer::sum);
            regions.onForwardEnded(
                    now, sent, dead ? ForwardResult.FAILED : ForwardResult.ANSWERED, MICROS_PER_MILLI, -1, -1);
        }
        assertEquals(3, failures.get("w1"));
        assertTrue(failures.get("w2") > 60 && failures.get("w3") > 60, failures.toString());
        regions.onLocalRequest();
        ForwardedRequest trial = regions.decideForward(
                        now, new OverflowRequest(now + MICROS_PER_SECOND, 1, true, true, false, 4))
                .forwarded();
        assertEquals("w1", trial.gateway(), "its time is over, and this one may be repeated");
        regions.onForwardEnded(now, trial, ForwardResult.ANSWERED, MICROS_PER_MILLI, 0, -1);
        boolean back = false;
        for (int i = 0; i < 20 && !back; i++) {
            regions.onLocalRequest();
            back = regions.decideForward(now, overflow(now + MICROS_PER_SECOND))
                    .forwarded()
                    .gateway()
                    .equals("w1");
        }
        assertTrue(back);
    }

    @Example
    void honoursRetryAfterOfAGateway() {
        FailoverPolicy regions = new FailoverPolicy(
                new FailoverRules(
                        "east",
                        Set.of(),
                        rules(1, 1, 1, 1).remoteLimits(),
                        new FailoverTarget("west", List.of("w1"), 1, 100, 100, 9, MICROS_PER_MILLI, 0, 0)),
                1,
                0,
                1);
        regions.onLocalRequest();
        regions.onLocalRequest();
        ForwardedRequest sent = regions.decideForward(MICROS_PER_SECOND, overflow(9 * MICROS_PER_SECOND))
                .forwarded();
        regions.onForwardEnded(
                MICROS_PER_SECOND, sent, ForwardResult.REJECTED, MICROS_PER_MILLI, 0, 700 * MICROS_PER_MILLI);
        assertEquals(
                ForwardDecision.ForwardReason.NO_GATEWAY,
                regions.decideForward(MICROS_PER_SECOND + 699 * MICROS_PER_MILLI, overflow(9 * MICROS_PER_SECOND))
                        .reason());
        assertEquals(
                ForwardDecision.ForwardReason.SENT,
                regions.decideForward(MICROS_PER_SECOND + 700 * MICROS_PER_MILLI, overflow(9 * MICROS_PER_SECOND))
                        .reason());
    }

    @Example
    void estimatesTheLinkLatency() {
        FailoverPolicy regions = new FailoverPolicy(rules(1, 1000, 1000, 100), 1, 0, 1);
        assertEquals(20 * MICROS_PER_MILLI, regions.linkLatencyMicros());
        for (int i = 0; i < 50; i++) {
            regions.onLocalRequest();
            ForwardedRequest sent = regions.decideForward(MICROS_PER_SECOND, overflow(9 * MICROS_PER_SECOND))
                    .forwarded();
            regions.onForwardEnded(
                    MICROS_PER_SECOND, sent, ForwardResult.ANSWERED, 130 * MICROS_PER_MILLI, 90 * MICROS_PER_MILLI, -1);
        }
        assertEquals(
                40 * MICROS_PER_MILLI,
                regions.linkLatencyMicros(),
                MICROS_PER_MILLI,
                "40 ms on the way, whatever is done there");
        regions.onLocalRequest();
        ForwardedRequest sent = regions.decideForward(
                        MICROS_PER_SECOND, overflow(MICROS_PER_SECOND + 500 * MICROS_PER_MILLI))
                .forwarded();
        assertEquals(490 * MICROS_PER_MILLI, sent.timeoutMicros());
        assertEquals(450 * MICROS_PER_MILLI, sent.grantedMicros(), 2 * MICROS_PER_MILLI);
        assertNull(
                regions.decideForward(MICROS_PER_SECOND, overflow(MICROS_PER_SECOND + 99 * MICROS_PER_MILLI))
                        .forwarded(),
                "10 and 40 ms off leave under 50");
    }

    @Example
    void withoutATargetNothingIsForwarded() {
        FailoverPolicy regions = new FailoverPolicy(rules(1, 1000, 1000, 100), 1, 0, 1);
        regions.onLocalRequest();
        ForwardedRequest out = regions.decideForward(MICROS_PER_SECOND, overflow(9 * MICROS_PER_SECOND))
                .forwarded();
        regions.applyRules(
                new FailoverRules("east", Set.of("west"), rules(0, 0, 0, 0).remoteLimits(), null), MICROS_PER_SECOND);
        regions.onLocalRequest();
        assertEquals(
                ForwardDecision.ForwardReason.NONE,
                regions.decideForward(MICROS_PER_SECOND, overflow(9 * MICROS_PER_SECOND))
                        .reason());
        regions.onForwardEnded(MICROS_PER_SECOND, out, ForwardResult.ANSWERED, MICROS_PER_MILLI, 0, -1);
        assertEquals(0, regions.forwardedInFlight());
    }
}
