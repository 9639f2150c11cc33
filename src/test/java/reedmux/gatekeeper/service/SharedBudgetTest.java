package reedmux.gatekeeper.service;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.SplittableRandom;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import reedmux.gatekeeper.service.SharedBudget.BudgetDecision;
import reedmux.gatekeeper.service.SharedBudget.BudgetResult;

/** Checks that unused shares can be borrowed, and are reclaimed at once. */
final class SharedBudgetTest {

    /**
     * The total is never exceeded, and each user can acquire its whole share, either at once or after the user named in
     * the result has released a resource.
     */
    @Property(tries = 10_000, seed = "71")
    void everyShareCanBeUsedInFull(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        int total = random.nextInt(5, 60);
        double reservedFraction = random.nextInt(5) / 4.0;
        SharedBudget budget = new SharedBudget(total, reservedFraction);
        int userCount = random.nextInt(1, 6);
        int[] guaranteed = new int[userCount];
        int unassigned = total;
        for (int i = 0; i < userCount; i++) {
            guaranteed[i] = random.nextInt(unassigned + 1);
            unassigned -= guaranteed[i];
            budget.addShare(guaranteed[i]);
        }
        for (int step = 0; step < 200; step++) {
            int user = random.nextInt(userCount);
            int usedBefore = budget.used(user);
            if (random.nextInt(3) == 0) {
                if (usedBefore > 0) {
                    budget.release(user);
                }
                continue;
            }
            int totalUsedBefore = budget.used();
            BudgetResult result = budget.tryAcquire(user);
            if (usedBefore < guaranteed[user]) {
                assertTrue(
                        result.decision() != BudgetDecision.REJECTED,
                        "a resource within the guaranteed share must not be rejected");
                assertTrue(
                        totalUsedBefore < total || result.decision() == BudgetDecision.RECLAIM,
                        "no resource may be granted if all are in use");
            } else {
                assertTrue(result.decision() != BudgetDecision.RECLAIM, "no resource may be reclaimed for a borrower");
            }
            if (result.decision() == BudgetDecision.RECLAIM) {
                assertTrue(
                        budget.used(result.reclaimFrom()) > guaranteed[result.reclaimFrom()],
                        "a resource may be reclaimed only from a borrower");
                budget.release(result.reclaimFrom());
                assertEquals(BudgetDecision.GRANTED, budget.tryAcquire(user).decision());
            }
            assertTrue(budget.used() <= total);
            int sum = 0;
            for (int i = 0; i < userCount; i++) {
                sum += budget.used(i);
            }
            assertEquals(sum, budget.used());
        }
    }

    /** The reserved fraction of a share is available without reclaiming, regardless of what others have borrowed. */
    @Property(tries = 5_000, seed = "72")
    void reserveIsAvailableAtOnce(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        SharedBudget budget = new SharedBudget(40, 0.5);
        int idleUser = budget.addShare(10);
        int firstBorrower = budget.addShare(10);
        int secondBorrower = budget.addShare(10);
        for (int i = 0; i < 100; i++) {
            budget.tryAcquire(random.nextBoolean() ? firstBorrower : secondBorrower);
        }
        for (int i = 0; i < 5; i++) {
            assertEquals(BudgetDecision.GRANTED, budget.tryAcquire(idleUser).decision());
        }
    }

    @Example
    void idleCapacityIsLent() {
        SharedBudget budget = new SharedBudget(10, 0.2);
        int borrower = budget.addShare(5);
        int lender = budget.addShare(5);
        int acquired = 0;
        while (budget.tryAcquire(borrower).decision() == BudgetDecision.GRANTED) {
            acquired++;
        }
        assertEquals(9, acquired, "all resources except the reserved fifth of the other share of 5");
        assertEquals(BudgetDecision.GRANTED, budget.tryAcquire(lender).decision());
        assertEquals(new BudgetResult(BudgetDecision.RECLAIM, borrower), budget.tryAcquire(lender));
    }

    @Example
    void rejectsInvalidArguments() {
        assertThrows(IllegalArgumentException.class, () -> new SharedBudget(0, 0.5));
        assertThrows(IllegalArgumentException.class, () -> new SharedBudget(1, Double.NaN));
        SharedBudget budget = new SharedBudget(5, 0);
        budget.addShare(3);
        assertThrows(IllegalArgumentException.class, () -> budget.addShare(3));
        assertThrows(IllegalStateException.class, () -> budget.release(0));
    }
}
