package reedmux.region;

import java.util.EnumMap;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * All decisions of one gatekeeper about other regions, told what happens and the time of it in microseconds.
 * Not for several threads.
 */
public final class Regions {
    private final int members;
    private final SplittableRandom random;
    private final Visitors visitors;
    private final Map<Decision.Why, Long> departures = new EnumMap<>(Decision.Why.class);
    private final Map<Refusal.Why, Long> refusals = new EnumMap<>(Refusal.Why.class);
    private RegionRules rules;
    private Outbound outbound;
    private long admitted;

    /**
     * Decisions of one of {@code members} gatekeepers of a region; {@code seed} is their only chance. All
     * budgets start empty, as this may be a restart.
     */
    public Regions(RegionRules rules, int members, long now, long seed) {
        this.rules = rules;
        this.members = members;
        random = new SplittableRandom(seed);
        visitors = new Visitors(rules, members, now);
        outbound = outbound(rules, now);
    }

    private Outbound outbound(RegionRules told, long now) {
        return told.away() == null ? null : new Outbound(told.away(), members, now, random);
    }

    /**
     * Takes over other rules: budgets keep what is in them, up to their new bounds. Where the last resort is
     * taken away, those that are out still come back and are counted off, but none goes any more.
     */
    public void adopt(RegionRules told, long now) {
        visitors.adopt(told, now);
        if (outbound == null) {
            outbound = outbound(told, now);
        } else if (told.away() != null) {
            outbound.adopt(told.away(), now);
        }
        rules = told;
    }

    public RegionRules rules() {
        return rules;
    }

    /** One of our own consumers' requests has come in. */
    public void taken() {
        if (outbound != null) {
            outbound.taken();
        }
    }

    /** One of our own consumers' requests was served in time, or not; each is told once. */
    public void ownEnded(long now, boolean good) {
        visitors.ownEnded(now, good);
    }

    /** Whether a request that our own providers cannot take goes away. */
    public Decision depart(long now, Wish wish) {
        Decision decision = rules.away() == null ? Decision.no(Decision.Why.NONE) : outbound.decide(now, wish);
        departures.merge(decision.why(), 1L, Long::sum);
        return decision;
    }

    /**
     * A request that went away is back.
     *
     * @param took       microseconds from its start here
     * @param tookThere  microseconds that the other region says it had it, or -1
     * @param retryAfter microseconds for which it wants no more, or -1
     */
    public void returned(long now, Departure departure, Return how, long took, long tookThere, long retryAfter) {
        if (outbound != null) {
            outbound.returned(now, departure.gateway(), how, took, tookThere, retryAfter);
        }
    }

    /** Takes in a visitor and returns null, or says why not. */
    public Refusal admit(long now, Path path, double units) {
        Refusal refusal = visitors.admit(now, path, units);
        if (refusal == null) {
            admitted++;
        } else {
            refusals.merge(refusal.why(), 1L, Long::sum);
        }
        return refusal;
    }

    /** A visitor that was taken in has had its answer, or has gone. */
    public void visitorLeft() {
        visitors.left();
    }

    /** Visitors in work. */
    public int here() {
        return visitors.here();
    }

    /** Requests away. */
    public int away() {
        return outbound == null ? 0 : outbound.out();
    }

    /** The estimate of the link's time both ways, in microseconds; -1 without a last resort. */
    public long linkTime() {
        return outbound == null ? -1 : outbound.linkTime();
    }

    /** How many requests went away. */
    public long sent() {
        return departures.getOrDefault(Decision.Why.SENT, 0L);
    }

    /** How many visitors were taken in. */
    public long admitted() {
        return admitted;
    }

    /** All counts since the start in one line, or an empty one while nothing has happened. */
    public String counts() {
        return departures.isEmpty() && refusals.isEmpty() && admitted == 0
                ? ""
                : "away " + departures + ", visitors taken in " + admitted + ", refused " + refusals;
    }
}
