package reedmux.gatekeeper.service;

import java.util.ArrayList;
import java.util.List;

/**
 * Divides a fixed number of resources, such as descriptors, between users that each have a guaranteed share. Users may
 * borrow what others leave unused, except for a reserved fraction of each share. If a user requests a resource of its
 * share while all are in use, the result identifies the user that has borrowed the most and must release one.
 */
public final class SharedBudget {
    /** The decision on a request for one resource. */
    public enum BudgetDecision {
        /** The user has acquired the resource. */
        GRANTED,
        /** The user may not acquire any more resources at present. */
        REJECTED,
        /** The resource is part of the user's guaranteed share, but another user must release one first. */
        RECLAIM
    }

    /**
     * A decision and, for {@link BudgetDecision#RECLAIM}, the user that must release a resource; otherwise {@link
     * #NO_USER}.
     */
    public record BudgetResult(BudgetDecision decision, int reclaimFrom) {}

    private static final int NO_USER = -1;
    private static final BudgetResult GRANTED = new BudgetResult(BudgetDecision.GRANTED, NO_USER);
    private static final BudgetResult REJECTED = new BudgetResult(BudgetDecision.REJECTED, NO_USER);

    /** The guaranteed share of one user, and the number of resources it uses. */
    private static final class BudgetShare {
        int guaranteed;
        int used;
        /**
         * Whether a resource of its share was unavailable; others may not borrow the next resource that is released.
         */
        boolean waiting;

        BudgetShare(int guaranteed) {
            this.guaranteed = guaranteed;
        }
    }

    private final int total;
    private final double reservedFraction;
    private final List<BudgetShare> shares = new ArrayList<>();
    private int totalUsed;
    private int totalGuaranteed;

    /**
     * Creates a budget without users.
     *
     * @param total            total number of resources
     * @param reservedFraction fraction of each share that cannot be borrowed, from 0 to 1
     */
    public SharedBudget(int total, double reservedFraction) {
        if (total <= 0 || !(reservedFraction >= 0 && reservedFraction <= 1)) {
            throw new IllegalArgumentException("total must be positive and the reserved fraction between 0 and 1: "
                    + total + ", " + reservedFraction);
        }
        this.total = total;
        this.reservedFraction = reservedFraction;
    }

    /** Adds a user with a guaranteed share and returns its index. The sum of the shares must not exceed the total. */
    public int addShare(int guaranteed) {
        if (guaranteed < 0 || totalGuaranteed + guaranteed > total) {
            throw new IllegalArgumentException("share is negative or exceeds the total: sum of shares "
                    + (totalGuaranteed + guaranteed) + ", total " + total);
        }
        totalGuaranteed += guaranteed;
        shares.add(new BudgetShare(guaranteed));
        return shares.size() - 1;
    }

    /**
     * Changes a user's guaranteed share. Resources that it uses beyond the new share count as borrowed. Shares that
     * shrink must be set before those that grow.
     */
    public void setGuaranteed(int user, int guaranteed) {
        BudgetShare share = shares.get(user);
        if (guaranteed < 0 || totalGuaranteed - share.guaranteed + guaranteed > total) {
            throw new IllegalArgumentException("share is negative or exceeds the total: sum of shares "
                    + (totalGuaranteed - share.guaranteed + guaranteed) + ", total " + total);
        }
        totalGuaranteed += guaranteed - share.guaranteed;
        share.guaranteed = guaranteed;
    }

    /** Tries to acquire one resource for a user. */
    public BudgetResult tryAcquire(int user) {
        BudgetShare share = shares.get(user);
        if (share.used < reserved(share) && totalUsed < total) {
            // Part of the reserved fraction, which no other user can have borrowed.
        } else if (share.used < share.guaranteed) {
            if (totalUsed + reservedForOthers(user, false) >= total) {
                share.waiting = true;
                return new BudgetResult(BudgetDecision.RECLAIM, largestBorrower(user));
            }
        } else if (totalUsed + reservedForOthers(user, true) >= total) {
            return REJECTED;
        }
        share.used++;
        share.waiting = false;
        totalUsed++;
        return GRANTED;
    }

    /**
     * Acquires a resource of a user's share without waiting for another to be released. Exceeds the total if all are in
     * use.
     */
    public void acquireBeyondTotal(int user) {
        shares.get(user).used++;
        shares.get(user).waiting = false;
        totalUsed++;
    }

    /** Releases one resource of a user. */
    public void release(int user) {
        BudgetShare share = shares.get(user);
        if (share.used == 0) {
            throw new IllegalStateException("user " + user + " has nothing to release");
        }
        share.used--;
        share.waiting = false; // the released resource is available to this user
        totalUsed--;
    }

    private int reserved(BudgetShare share) {
        return (int) Math.ceil(reservedFraction * share.guaranteed);
    }

    /**
     * Returns the unused reserved resources of the other users and, if {@code borrows}, at least one for each waiting
     * user.
     */
    private int reservedForOthers(int user, boolean borrows) {
        int reserved = 0;
        for (int i = 0; i < shares.size(); i++) {
            BudgetShare share = shares.get(i);
            if (i != user) {
                reserved += Math.max(borrows && share.waiting ? 1 : 0, reserved(share) - share.used);
            }
        }
        return reserved;
    }

    /**
     * Returns the user that has borrowed the most. One exists if all resources are in use and {@code user} is below its
     * share.
     */
    private int largestBorrower(int user) {
        int borrower = NO_USER;
        int most = 0;
        for (int i = 0; i < shares.size(); i++) {
            int borrowed = shares.get(i).used - shares.get(i).guaranteed;
            if (i != user && borrowed > most) {
                most = borrowed;
                borrower = i;
            }
        }
        return borrower;
    }

    /** Returns the guaranteed share of a user. */
    public int guaranteed(int user) {
        return shares.get(user).guaranteed;
    }

    /** Returns the number of resources that a user uses. */
    public int used(int user) {
        return shares.get(user).used;
    }

    /** Returns the number of resources in use by all users. */
    public int used() {
        return totalUsed;
    }
}
