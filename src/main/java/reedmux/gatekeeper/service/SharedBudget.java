package reedmux.gatekeeper.service;

import java.util.ArrayList;
import java.util.List;

/**
 * Divides something of which there is a fixed number, such as descriptors, between pools. Each has a part of
 * its own; what it does not use others may borrow, but for a reserve. Where a pool wants one of its own part
 * and all are out, the pool that has borrowed the most is named, to give one back at once.
 */
public final class SharedBudget {
    /** What became of a wish for one more. */
    public enum BudgetDecision {
        /** It has one more. */
        GRANTED,
        /** All that it may have is in use. */
        REJECTED,
        /** It has a right to one, and another pool must give one back first. */
        RECLAIM
    }

    /** A verdict, and for {@link BudgetDecision#RECLAIM} the pool that must give back; else -1. */
    public record BudgetResult(BudgetDecision decision, int reclaimFrom) {}

    private static final BudgetResult GRANTED = new BudgetResult(BudgetDecision.GRANTED, -1);
    private static final BudgetResult REJECTED = new BudgetResult(BudgetDecision.REJECTED, -1);

    /** One pool's part and use. */
    private static final class BudgetShare {
        int guaranteed;
        int used;
        /** It has a right to one more that was not there: the next that is free is kept for it. */
        boolean waiting;

        BudgetShare(int own) {
            this.guaranteed = own;
        }
    }

    private final int total;
    private final double reservedFraction;
    private final List<BudgetShare> shares = new ArrayList<>();
    private int totalUsed;
    private int totalGuaranteed;

    /**
     * A number to divide.
     *
     * @param all     how many there are
     * @param reserve the share of each pool's own part that is not lent while it lies idle, from 0 to 1: what
     *                it can have without waiting for anybody
     */
    public SharedBudget(int all, double reserve) {
        if (all <= 0 || !(reserve >= 0 && reserve <= 1)) {
            throw new IllegalArgumentException("nothing to divide, or no share: " + all + ", " + reserve);
        }
        this.total = all;
        this.reservedFraction = reserve;
    }

    /** Adds a pool with its own part; all parts together are at most the whole. */
    public int addShare(int own) {
        if (own < 0 || totalGuaranteed + own > total) {
            throw new IllegalArgumentException("the parts come to " + (totalGuaranteed + own) + " of " + total);
        }
        totalGuaranteed += own;
        shares.add(new BudgetShare(own));
        return shares.size() - 1;
    }

    /**
     * Sets a pool's own part anew; what it uses beyond that is borrowed from then on. Parts that shrink must
     * be set before those that grow.
     */
    public void setGuaranteed(int pool, int own) {
        BudgetShare share = shares.get(pool);
        if (own < 0 || totalGuaranteed - share.guaranteed + own > total) {
            throw new IllegalArgumentException(
                    "the parts come to " + (totalGuaranteed - share.guaranteed + own) + " of " + total);
        }
        totalGuaranteed += own - share.guaranteed;
        share.guaranteed = own;
    }

    /** Takes one for a pool, or says why not. */
    public BudgetResult tryAcquire(int pool) {
        BudgetShare share = shares.get(pool);
        if (share.used < reserved(share) && totalUsed < total) {
            // It is there: nobody else was given the last ones.
        } else if (share.used < share.guaranteed) {
            if (totalUsed + reservedForOthers(pool, false) >= total) {
                share.waiting = true;
                return new BudgetResult(BudgetDecision.RECLAIM, largestBorrower(pool));
            }
        } else if (totalUsed + reservedForOthers(pool, true) >= total) {
            return REJECTED;
        }
        share.used++;
        share.waiting = false;
        totalUsed++;
        return GRANTED;
    }

    /** Takes one for a pool that has a right to it and cannot wait until it is given back; all may be out. */
    public void acquireBeyondTotal(int pool) {
        shares.get(pool).used++;
        shares.get(pool).waiting = false;
        totalUsed++;
    }

    /** Gives one back. */
    public void release(int pool) {
        BudgetShare share = shares.get(pool);
        if (share.used == 0) {
            throw new IllegalStateException("pool " + pool + " has nothing to give back");
        }
        share.used--;
        share.waiting = false; // it has one itself now
        totalUsed--;
    }

    private int reserved(BudgetShare share) {
        return (int) Math.ceil(reservedFraction * share.guaranteed);
    }

    /** What is kept for the others, beyond what they use. */
    private int reservedForOthers(int but, boolean borrows) {
        int kept = 0;
        for (int i = 0; i < shares.size(); i++) {
            BudgetShare share = shares.get(i);
            if (i != but) {
                kept += Math.max(borrows && share.waiting ? 1 : 0, reserved(share) - share.used);
            }
        }
        return kept;
    }

    /**
     * The pool that is furthest over its own part. Where one lacks of its part and all are out, there is
     * one.
     */
    private int largestBorrower(int but) {
        int deepest = -1;
        int most = 0;
        for (int i = 0; i < shares.size(); i++) {
            int over = shares.get(i).used - shares.get(i).guaranteed;
            if (i != but && over > most) {
                most = over;
                deepest = i;
            }
        }
        return deepest;
    }

    /** How many a pool may have whatever the others do. */
    public int guaranteed(int pool) {
        return shares.get(pool).guaranteed;
    }

    public int used(int pool) {
        return shares.get(pool).used;
    }

    /** How many are out in all. */
    public int used() {
        return totalUsed;
    }
}
