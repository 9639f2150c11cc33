package reedmux.region;

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
import reedmux.region.RegionRules.Away;
import reedmux.region.RegionRules.Visitors;

/** Each promise of docs/regions.md about the decisions alone, over sequences of events drawn by a seed. */
final class RegionsTest {
    private static final long MS = 1000;
    private static final long SECOND = 1000 * MS;

    private static RegionRules rules(double share, double rate, double burst, int mostAtOnce) {
        return new RegionRules(
                "east",
                Set.of("west"),
                new Visitors(4, 50, 20, 0.1, SECOND),
                new Away("west", List.of("w1", "w2", "w3"), share, rate, burst, mostAtOnce, 50 * MS, 10 * MS, 20 * MS));
    }

    private static Wish wish(long deadline) {
        return new Wish(deadline, 1, false, true, false, 4);
    }

    /** One that went away, and when. */
    private record Sent(long at, double units) {}

    /**
     * Any order of requests, returns, restarts and reloads keeps the budget: over any stretch of time all
     * gatekeepers together send no more units than the rate allows in it and one burst, and no more requests
     * than the share of those taken.
     */
    @Property(tries = 10_000, seed = "21")
    void theBudgetHoldsOverAllGatekeepers(@ForAll long seed, @ForAll @IntRange(min = 1, max = 5) int members) {
        SplittableRandom random = new SplittableRandom(seed);
        double share = random.nextInt(11) / 10.0;
        double rate = random.nextInt(40);
        double burst = members * (1 + random.nextInt(10));
        RegionRules rules = rules(share, rate, burst, 3);
        Regions[] all = new Regions[members];
        List<Deque<Departure>> away = new ArrayList<>();
        for (int i = 0; i < members; i++) {
            all[i] = new Regions(rules, members, 0, seed + i);
            away.add(new ArrayDeque<>());
        }
        List<Sent> sent = new ArrayList<>();
        long taken = 0;
        long now = 0;
        for (int step = 0; step < 120; step++) {
            now += random.nextInt(4) == 0 ? random.nextLong(2 * SECOND) : random.nextLong(30 * MS);
            int i = random.nextInt(members);
            int what = random.nextInt(20);
            if (what < 13) {
                all[i].taken();
                taken++;
                double units = 1 + random.nextInt(3);
                Decision decision = all[i].depart(
                        now,
                        new Wish(
                                now + random.nextLong(SECOND),
                                units,
                                random.nextBoolean(),
                                random.nextInt(4) > 0,
                                random.nextInt(5) == 0,
                                random.nextInt(4)));
                if (decision.departure() != null) {
                    sent.add(new Sent(now, units));
                    away.get(i).add(decision.departure());
                    assertTrue(away.get(i).size() <= 3, "at once");
                    assertTrue(decision.departure().told() >= 50 * MS, "least time");
                    assertTrue(
                            decision.departure().told() <= decision.departure().patience(), "shrinks");
                }
            } else if (what < 18 && !away.get(i).isEmpty()) {
                long took = random.nextLong(SECOND);
                all[i].returned(
                        now,
                        away.get(i).poll(),
                        Return.values()[random.nextInt(4)],
                        took,
                        random.nextLong(took + 1) - 1,
                        random.nextLong(SECOND));
            } else if (what == 18) {
                all[i] = new Regions(rules, members, now, seed + step); // restarted: what was away is lost
                away.get(i).clear();
            } else if (what == 19) {
                all[i].adopt(rules(share, rate, burst, 3), now);
            }
        }
        assertTrue(sent.size() <= share * taken + 1e-6, "share: " + sent.size() + " of " + taken);
        for (int from = 0; from < sent.size(); from++) {
            double units = 0;
            for (int to = from; to < sent.size(); to++) {
                units += sent.get(to).units();
                double most = rate * (sent.get(to).at() - sent.get(from).at()) / SECOND + burst;
                assertTrue(units <= most + 1e-6, units + " units, at most " + most);
            }
        }
    }

    /** No visitor, nothing that may have run, and nothing that has had its calls ever goes away. */
    @Property(tries = 10_000, seed = "22")
    void whatMayNotTravelStays(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        Regions regions = new Regions(rules(1, 1000, 1000, 100), 1, 0, seed);
        for (int i = 0; i < 20; i++) {
            regions.taken();
            Wish wish = new Wish(
                    SECOND + random.nextLong(2 * SECOND),
                    1,
                    random.nextBoolean(),
                    random.nextBoolean(),
                    random.nextBoolean(),
                    random.nextInt(2));
            Decision decision = regions.depart(SECOND, wish);
            boolean may = !wish.visitor() && (wish.repeatable() || wish.neverRan()) && wish.callsLeft() > 0;
            assertTrue(may || decision.departure() == null, wish + " " + decision);
            if (decision.departure() != null) {
                long left = wish.deadline() - SECOND;
                assertTrue(decision.departure().patience() <= left - 10 * MS, "a margin is kept");
                assertTrue(decision.departure().told() <= left - 30 * MS, "the link's time is taken off");
            } else if (may && i == 0) {
                assertEquals(Decision.Why.NO_TIME, decision.why());
            }
        }
    }

    /** Only a request that has passed just its own region, one that we take from, comes in. */
    @Property(tries = 10_000, seed = "23")
    void noLoopWhateverTheNames(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        String[] names = {"east", "west", "north", "east-2"};
        List<String> passed = new ArrayList<>();
        for (int i = random.nextInt(1, 4); i > 0; i--) {
            passed.add(names[random.nextInt(names.length)]);
        }
        Refusal refusal = new Regions(rules(1, 1, 1, 1), 1, 0, seed).admit(10 * SECOND, new Path(passed), 1);
        assertEquals(passed.equals(List.of("west")), refusal == null, passed + " " + refusal);
        assertTrue(refusal == null || refusal.retryAfter() > 0);
    }

    /** Visitors keep to their bounds in any order of events, and stay out while own service suffers. */
    @Property(tries = 10_000, seed = "24")
    void visitorsNeverPassTheirBounds(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        Regions regions = new Regions(rules(0, 0, 0, 0), 1, 0, seed);
        Path path = new Path(List.of("west"));
        int here = 0;
        long now = 0;
        double units = 0;
        long closedAt = -SECOND;
        for (int step = 0; step < 200; step++) {
            now += random.nextLong(100 * MS);
            int what = random.nextInt(8);
            if (what < 4) {
                Refusal refusal = regions.admit(now, path, 2);
                if (refusal == null) {
                    here++;
                    units += 2;
                    assertTrue(now >= closedAt + SECOND, "closed for its hold");
                }
                assertTrue(here <= 4, "at once");
                assertTrue(units <= 20 + 50.0 * now / SECOND + 1e-6, "rate");
            } else if (what < 6 && here > 0) {
                regions.visitorLeft();
                here--;
            } else if (what == 6) {
                regions.ownEnded(now, true);
            } else {
                for (int i = random.nextInt(3); i > 0; i--) {
                    regions.ownEnded(now, false);
                    regions.ownEnded(now, false);
                    closedAt = now; // two bad ones in a row are over a tenth of any seven
                }
            }
            assertEquals(here, regions.here());
        }
    }

    @Example
    void aRestartedGatekeeperHasNothingToSend() {
        Regions regions = new Regions(rules(1, 10, 100, 10), 1, 5 * SECOND, 1);
        regions.taken();
        assertEquals(
                Decision.Why.RATE, regions.depart(5 * SECOND, wish(9 * SECOND)).why());
        assertEquals(
                Decision.Why.SENT,
                regions.depart(5 * SECOND + 100 * MS, wish(9 * SECOND)).why());
    }

    @Example
    void aQuietHourBuysNoFlood() {
        Regions regions = new Regions(rules(0.1, 1000, 1000, 1000), 1, 0, 1);
        for (int i = 0; i < 100_000; i++) {
            regions.taken();
        }
        int sent = 0;
        while (regions.depart(3600 * SECOND, wish(3610 * SECOND)).departure() != null) {
            sent++;
        }
        assertEquals(20, sent);
    }

    /** A gateway that fails is out, its trial is never one that must not run twice, and it comes back. */
    @Example
    void aDeadGatewayIsLeftOutAndTriedAgain() {
        Regions regions = new Regions(rules(1, 1000, 1000, 100), 1, 0, 1);
        long now = 2 * SECOND;
        Map<String, Integer> failures = new HashMap<>();
        for (int i = 0; i < 200; i++) {
            regions.taken();
            now += 5 * MS;
            Departure sent = regions.depart(now, wish(now + SECOND)).departure();
            assertNotNull(sent);
            boolean dead = sent.gateway().equals("w1");
            failures.merge(sent.gateway(), 1, Integer::sum);
            regions.returned(now, sent, dead ? Return.FAILED : Return.ANSWERED, MS, -1, -1);
        }
        assertEquals(3, failures.get("w1"));
        assertTrue(failures.get("w2") > 60 && failures.get("w3") > 60, failures.toString());
        regions.taken();
        Departure trial = regions.depart(now, new Wish(now + SECOND, 1, true, true, false, 4))
                .departure();
        assertEquals("w1", trial.gateway(), "its time is over, and this one may be repeated");
        regions.returned(now, trial, Return.ANSWERED, MS, 0, -1);
        boolean back = false;
        for (int i = 0; i < 20 && !back; i++) {
            regions.taken();
            back = regions.depart(now, wish(now + SECOND)).departure().gateway().equals("w1");
        }
        assertTrue(back);
    }

    @Example
    void aRefusalIsHonoured() {
        Regions regions = new Regions(
                new RegionRules(
                        "east",
                        Set.of(),
                        rules(1, 1, 1, 1).visitors(),
                        new Away("west", List.of("w1"), 1, 100, 100, 9, MS, 0, 0)),
                1,
                0,
                1);
        regions.taken();
        regions.taken();
        Departure sent = regions.depart(SECOND, wish(9 * SECOND)).departure();
        regions.returned(SECOND, sent, Return.REFUSED, MS, 0, 700 * MS);
        assertEquals(
                Decision.Why.NO_GATEWAY,
                regions.depart(SECOND + 699 * MS, wish(9 * SECOND)).why());
        assertEquals(
                Decision.Why.SENT,
                regions.depart(SECOND + 700 * MS, wish(9 * SECOND)).why());
    }

    @Example
    void theLinkIsMeasured() {
        Regions regions = new Regions(rules(1, 1000, 1000, 100), 1, 0, 1);
        assertEquals(20 * MS, regions.linkTime());
        for (int i = 0; i < 50; i++) {
            regions.taken();
            Departure sent = regions.depart(SECOND, wish(9 * SECOND)).departure();
            regions.returned(SECOND, sent, Return.ANSWERED, 130 * MS, 90 * MS, -1);
        }
        assertEquals(40 * MS, regions.linkTime(), MS, "40 ms on the way, whatever is done there");
        regions.taken();
        Departure sent = regions.depart(SECOND, wish(SECOND + 500 * MS)).departure();
        assertEquals(490 * MS, sent.patience());
        assertEquals(450 * MS, sent.told(), 2 * MS);
        assertNull(regions.depart(SECOND, wish(SECOND + 99 * MS)).departure(), "10 and 40 ms off leave under 50");
    }

    @Example
    void withoutALastResortNothingGoesAndWhatIsOutComesBack() {
        Regions regions = new Regions(rules(1, 1000, 1000, 100), 1, 0, 1);
        regions.taken();
        Departure out = regions.depart(SECOND, wish(9 * SECOND)).departure();
        regions.adopt(new RegionRules("east", Set.of("west"), rules(0, 0, 0, 0).visitors(), null), SECOND);
        regions.taken();
        assertEquals(Decision.Why.NONE, regions.depart(SECOND, wish(9 * SECOND)).why());
        regions.returned(SECOND, out, Return.ANSWERED, MS, 0, -1);
        assertEquals(0, regions.away());
    }
}
