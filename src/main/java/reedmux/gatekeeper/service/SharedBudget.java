package reedmux.gatekeeper.service;

import java.util.ArrayList;
import java.util.List;

/**
 * Divides a fixed number of things, such as descriptors, between users that each have a guaranteed share. What a user
 * leaves unused others may borrow, except for a reserve. If a user wants one of its share and all are in use, the
 * result names the user that has borrowed the most, which has to release one.
 */
public final class SharedBudget {
    /** The decision on a wish for one more. */
    public enum BudgetDecision {
        /** The user has one more. */
        GRANTED,
        /** The user has all that it may have. */
        REJECTED,
        /** It is one of the user's share, but another user must release one first. */
        RECLAIM
    }

    /** A decision; with {@link BudgetDecision#RECLAIM} the user that must release one, otherwise {@link #NO_USER}. */
    public record BudgetResult(BudgetDecision decision, int reclaimFrom) {}

    private static final int NO_USER = -1;
    private static final BudgetResult GRANTED = new BudgetResult(BudgetDecision.GRANTED, NO_USER);
    private static final BudgetResult REJECTED = new BudgetResult(BudgetDecision.REJECTED, NO_USER);

    /** One user's share, and how much of it is used. */
    private static final class BudgetShare {
        int guaranteed;
        int used;
        /** One of its share was not free; others may not borrow the next one that is. */
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
     * A budget without users.
     *
     * @param total            how many things there are
     * @param reservedFraction the fraction of each share that is never lent, from 0 to 1
     */
    public SharedBudget(int total, double reservedFraction) {
        if (total <= 0 || !(reservedFraction >= 0 && reservedFraction <= 1)) {
            throw new IllegalArgumentException("nothing to divide, or no fraction: " + total + ", " + reservedFraction);
        }
        this.total = total;
        this.reservedFraction = reservedFraction;
    }

    /** Adds a user with its share and returns its number; the shares must not exceed the total. */
    public int addShare(int guaranteed) {
        if (guaranteed < 0 || totalGuaranteed + guaranteed > total) {
            throw new IllegalArgumentException("the shares come to " + (totalGuaranteed + guaranteed) + " of " + total);
        }
        totalGuaranteed += guaranteed;
        shares.add(new BudgetShare(guaranteed));
        return shares.size() - 1;
    }

    /**
     * Changes a user's share; what it uses beyond that is borrowed from then on. Shares that shrink have to be set
     * before those that grow.
     */
    public void setGuaranteed(int user, int guaranteed) {
        BudgetShare share = shares.get(user);
        if (guaranteed < 0 || totalGuaranteed - share.guaranteed + guaranteed > total) {
            throw new IllegalArgumentException(
                    "the shares come to " + (totalGuaranteed - share.guaranteed + guaranteed) + " of " + total);
        }
        totalGuaranteed += guaranteed - share.guaranteed;
        share.guaranteed = guaranteed;
    }

    /** Acquires one for a user, or says why not. */
    public BudgetResult tryAcquire(int user) {
        BudgetShare share = shares.get(user);
        if (share.used < reserved(share) && totalUsed < total) {
            // One of the reserve, which nobody else can have borrowed.
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

    /** Acquires one of a user's share without waiting for one to be released; exceeds the total if all are in use. */
    public void acquireBeyondTotal(int user) {
        shares.get(user).used++;
        shares.get(user).waiting = false;
        totalUsed++;
    }

    /** Releases one. */
    public void release(int user) {
        BudgetShare share = shares.get(user);
        if (share.used == 0) {
            throw new IllegalStateException("user " + user + " has nothing to release");
        }
        share.used--;
        share.waiting = false; // the one released is free for it
        totalUsed--;
    }

    private int reserved(BudgetShare share) {
        return (int) Math.ceil(reservedFraction * share.guaranteed);
    }

    /** What others have not used of their reserves, and one for each that waits if {@code borrows}. */
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

    /** The user that has borrowed the most; exists if all are in use and {@code user} is below its share. */
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

    /** A user's share. */
    public int guaranteed(int user) {
        return shares.get(user).guaranteed;
    }

    /** How many a user has. */
    public int used(int user) {
        return shares.get(user).used;
    }

    /** How many are in use in all. */
    public int used() {
        return totalUsed;
    }
}
