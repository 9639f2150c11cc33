package reedmux.pool;

import java.util.ArrayList;
import java.util.List;

/**
 * Divides something of which there is a fixed number, such as descriptors, between pools. Each has a part of
 * its own; what it does not use others may borrow, but for a reserve. Where a pool wants one of its own part
 * and all are out, the pool that has borrowed the most is named, to give one back at once.
 */
public final class Lending {
    /** What became of a wish for one more. */
    public enum Verdict {
        /** It has one more. */
        GRANTED,
        /** All that it may have is in use. */
        REFUSED,
        /** It has a right to one, and another pool must give one back first. */
        RECLAIM
    }

    /** A verdict, and for {@link Verdict#RECLAIM} the pool that must give back; else -1. */
    public record Answer(Verdict verdict, int from) {}

    private static final Answer GRANTED = new Answer(Verdict.GRANTED, -1);
    private static final Answer REFUSED = new Answer(Verdict.REFUSED, -1);

    /** One pool's part and use. */
    private static final class Share {
        int own;
        int used;
        /** It has a right to one more that was not there: the next that is free is kept for it. */
        boolean wants;

        Share(int own) {
            this.own = own;
        }
    }

    private final int all;
    private final double reserve;
    private final List<Share> shares = new ArrayList<>();
    private int used;
    private int owned;

    /**
     * A number to divide.
     *
     * @param all     how many there are
     * @param reserve the share of each pool's own part that is not lent while it lies idle, from 0 to 1: what
     *                it can have without waiting for anybody
     */
    public Lending(int all, double reserve) {
        if (all <= 0 || !(reserve >= 0 && reserve <= 1)) {
            throw new IllegalArgumentException("nothing to divide, or no share: " + all + ", " + reserve);
        }
        this.all = all;
        this.reserve = reserve;
    }

    /** Adds a pool with its own part; all parts together are at most the whole. */
    public int add(int own) {
        if (own < 0 || owned + own > all) {
            throw new IllegalArgumentException("the parts come to " + (owned + own) + " of " + all);
        }
        owned += own;
        shares.add(new Share(own));
        return shares.size() - 1;
    }

    /**
     * Sets a pool's own part anew; what it uses beyond that is borrowed from then on. Parts that shrink must
     * be set before those that grow.
     */
    public void part(int pool, int own) {
        Share share = shares.get(pool);
        if (own < 0 || owned - share.own + own > all) {
            throw new IllegalArgumentException("the parts come to " + (owned - share.own + own) + " of " + all);
        }
        owned += own - share.own;
        share.own = own;
    }

    /** Takes one for a pool, or says why not. */
    public Answer take(int pool) {
        Share share = shares.get(pool);
        if (share.used < reserved(share) && used < all) {
            // It is there: nobody else was given the last ones.
        } else if (share.used < share.own) {
            if (used + idleReserve(pool, false) >= all) {
                share.wants = true;
                return new Answer(Verdict.RECLAIM, deepest(pool));
            }
        } else if (used + idleReserve(pool, true) >= all) {
            return REFUSED;
        }
        share.used++;
        share.wants = false;
        used++;
        return GRANTED;
    }

    /** Takes one for a pool that has a right to it and cannot wait until it is given back; all may be out. */
    public void over(int pool) {
        shares.get(pool).used++;
        shares.get(pool).wants = false;
        used++;
    }

    /** Gives one back. */
    public void give(int pool) {
        Share share = shares.get(pool);
        if (share.used == 0) {
            throw new IllegalStateException("pool " + pool + " has nothing to give back");
        }
        share.used--;
        share.wants = false; // it has one itself now
        used--;
    }

    private int reserved(Share share) {
        return (int) Math.ceil(reserve * share.own);
    }

    /** What is kept for the others, beyond what they use. */
    private int idleReserve(int but, boolean borrows) {
        int kept = 0;
        for (int i = 0; i < shares.size(); i++) {
            Share share = shares.get(i);
            if (i != but) {
                kept += Math.max(borrows && share.wants ? 1 : 0, reserved(share) - share.used);
            }
        }
        return kept;
    }

    /**
     * The pool that is furthest over its own part. Where one lacks of its part and all are out, there is
     * one.
     */
    private int deepest(int but) {
        int deepest = -1;
        int most = 0;
        for (int i = 0; i < shares.size(); i++) {
            int over = shares.get(i).used - shares.get(i).own;
            if (i != but && over > most) {
                most = over;
                deepest = i;
            }
        }
        return deepest;
    }

    /** How many a pool may have whatever the others do. */
    public int own(int pool) {
        return shares.get(pool).own;
    }

    public int used(int pool) {
        return shares.get(pool).used;
    }

    /** How many are out in all. */
    public int used() {
        return used;
    }
}
