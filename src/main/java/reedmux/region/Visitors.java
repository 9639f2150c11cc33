package reedmux.region;

import reedmux.region.Refusal.Why;

/**
 * Whether a request that another region sends is taken in. Own consumers come first: while they are not
 * served as they should be, and for a while after, nobody else is.
 */
final class Visitors {
    /** Microseconds after which one that found us full may come again. */
    private static final long FULL_ADVICE = 500_000;
    /** Advice to one that may never come: it is a fault in the settings, which somebody must mend. */
    private static final long FAULT_ADVICE = 10_000_000;
    /** Share of the bound under which own service must fall before visitors are taken in again. */
    private static final double REOPEN = 0.5;

    private final OwnService own = new OwnService();
    private final Bucket bucket;
    private final int members;
    private RegionRules rules;
    private int here;
    private long closedUntil = Long.MIN_VALUE;

    Visitors(RegionRules rules, int members, long now) {
        this.members = members;
        this.rules = rules;
        bucket = new Bucket(rules.visitors().rate() / members, rules.visitors().burst() / members, now);
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
        double bound = rules.visitors().suffersAt() * (now < closedUntil ? REOPEN : 1);
        if (own.badShare(now) > bound) {
            closedUntil = now + rules.visitors().hold();
        }
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
        } else if (here >= rules.visitors().mostAtOnce()) {
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
