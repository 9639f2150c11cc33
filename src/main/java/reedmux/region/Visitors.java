package reedmux.region;

import reedmux.region.Refusal.Why;

/**
 * Whether a request that another region sends is taken in. Own consumers come first: while they are not
 * served as they should be, and for a while after, nobody else is. How many visitors may be here at once
 * grows by the second while own service is well and is halved when it suffers; and where it suffers again
 * soon after each opening, the pauses between get longer. So a region that has no room to spare finds that
 * out with few visitors and asks rarely, at the cost of some seconds until a region that has room is used.
 */
final class Visitors {
    /** Microseconds after which one that found us full may come again. */
    private static final long FULL_ADVICE = 500_000;
    /** Advice to one that may never come: it is a fault in the settings, which somebody must mend. */
    private static final long FAULT_ADVICE = 10_000_000;
    /** Share of the bound under which own service must fall before visitors are taken in again. */
    private static final double REOPEN = 0.5;

    /** Visitors at once at the start, and how many more a second while own service is well. */
    private static final double WINDOW_FIRST = 2;

    private static final double WINDOW_GROWTH = 2;
    /** How often a pause is doubled, and for how many pauses after an opening it counts as again. */
    private static final int MOST_DOUBLINGS = 5;

    private static final int AGAIN = 4;

    private final OwnService own = new OwnService();
    private final Bucket bucket;
    private final int members;
    private RegionRules rules;
    private int here;
    private long closedUntil = Long.MIN_VALUE;
    private long pause;
    private int doublings;
    private double window = WINDOW_FIRST;
    private long grownAt;

    Visitors(RegionRules rules, int members, long now) {
        this.members = members;
        this.rules = rules;
        bucket = new Bucket(rules.visitors().rate() / members, rules.visitors().burst() / members, now);
        grownAt = now;
    }

    void adopt(RegionRules told, long now) {
        rules = told;
        bucket.bounds(told.visitors().rate() / members, told.visitors().burst() / members, now);
    }

    /** One of our own consumers' requests has ended, or our providers could not take it. */
    void ownEnded(long now, boolean good) {
        own.note(now, good);
        if (!good) {
            judge(now);
        }
    }

    private void judge(long now) {
        boolean closed = now < closedUntil;
        if (own.badShare(now) <= rules.visitors().suffersAt() * (closed ? REOPEN : 1)) {
            if (!closed) {
                window = Math.min(rules.visitors().mostAtOnce(), window + WINDOW_GROWTH * (now - grownAt) / 1e6);
            }
            grownAt = now;
            return;
        }
        grownAt = now;
        if (!closed) {
            boolean again = pause > 0 && now - closedUntil < AGAIN * pause;
            doublings = again ? Math.min(MOST_DOUBLINGS, doublings + 1) : 0;
            pause = rules.visitors().hold() << doublings;
            window = Math.max(1, window / 2);
        }
        closedUntil = Math.max(closedUntil, now + (closed ? rules.visitors().hold() : pause));
    }

    /** Takes in a visitor and returns null, or says why not. */
    Refusal admit(long now, Path path, double units) {
        if (path.regions().size() != 1 || path.regions().contains(rules.name())) {
            return new Refusal(Why.TRAVELLED, FAULT_ADVICE);
        } else if (!rules.takesFrom().contains(path.from())) {
            return new Refusal(Why.STRANGER, FAULT_ADVICE);
        }
        judge(now);
        if (now < closedUntil) {
            return new Refusal(Why.SUFFERING, closedUntil - now);
        } else if (here >= Math.min(rules.visitors().mostAtOnce(), (int) window)) {
            return new Refusal(Why.FULL, FULL_ADVICE);
        } else if (!bucket.holds(units, now)) {
            return new Refusal(Why.RATE, bucket.until(units, now));
        }
        bucket.take(units);
        here++;
        return null;
    }

    void left() {
        here--;
    }

    int here() {
        return here;
    }
}
