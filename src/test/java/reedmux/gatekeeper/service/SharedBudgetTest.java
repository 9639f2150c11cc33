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

/** Shares that are lent and reclaimed at once. */
final class SharedBudgetTest {

    /**
     * Never more than there are; each gets its own part, at once or when the one that is named gives
     * back.
     */
    @Property(tries = 10_000, seed = "71")
    void everyShareCanBeUsedInFull(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        int all = random.nextInt(5, 60);
        double reserve = random.nextInt(5) / 4.0;
        SharedBudget lending = new SharedBudget(all, reserve);
        int pools = random.nextInt(1, 6);
        int[] own = new int[pools];
        int left = all;
        for (int i = 0; i < pools; i++) {
            own[i] = random.nextInt(left + 1);
            left -= own[i];
            lending.addShare(own[i]);
        }
        for (int step = 0; step < 200; step++) {
            int pool = random.nextInt(pools);
            int before = lending.used(pool);
            if (random.nextInt(3) == 0) {
                if (before > 0) {
                    lending.release(pool);
                }
                continue;
            }
            int total = lending.used();
            BudgetResult answer = lending.tryAcquire(pool);
            if (before < own[pool]) {
                assertTrue(answer.decision() != BudgetDecision.REJECTED, "its own part is never refused");
                assertTrue(total < all || answer.decision() == BudgetDecision.RECLAIM, "there is no more than all");
            } else {
                assertTrue(answer.decision() != BudgetDecision.RECLAIM, "nobody gives back for a borrower");
            }
            if (answer.decision() == BudgetDecision.RECLAIM) {
                assertTrue(
                        lending.used(answer.reclaimFrom()) > own[answer.reclaimFrom()], "only a borrower gives back");
                lending.release(answer.reclaimFrom());
                assertEquals(BudgetDecision.GRANTED, lending.tryAcquire(pool).decision());
            }
            assertTrue(lending.used() <= all);
            int sum = 0;
            for (int i = 0; i < pools; i++) {
                sum += lending.used(i);
            }
            assertEquals(sum, lending.used());
        }
    }

    /** The reserve is available without reclaiming, whatever others have borrowed. */
    @Property(tries = 5_000, seed = "72")
    void reserveIsAvailableAtOnce(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        SharedBudget lending = new SharedBudget(40, 0.5);
        int quiet = lending.addShare(10);
        int greedy = lending.addShare(10);
        int third = lending.addShare(10);
        for (int i = 0; i < 100; i++) {
            lending.tryAcquire(random.nextBoolean() ? greedy : third);
        }
        for (int i = 0; i < 5; i++) {
            assertEquals(BudgetDecision.GRANTED, lending.tryAcquire(quiet).decision());
        }
    }

    @Example
    void idleCapacityIsLent() {
        SharedBudget lending = new SharedBudget(10, 0.2);
        int one = lending.addShare(5);
        int other = lending.addShare(5);
        int had = 0;
        while (lending.tryAcquire(one).decision() == BudgetDecision.GRANTED) {
            had++;
        }
        assertEquals(9, had, "all but a fifth of the other's five");
        assertEquals(BudgetDecision.GRANTED, lending.tryAcquire(other).decision());
        assertEquals(new BudgetResult(BudgetDecision.RECLAIM, one), lending.tryAcquire(other));
    }

    @Example
    void rejectsInvalidArguments() {
        assertThrows(IllegalArgumentException.class, () -> new SharedBudget(0, 0.5));
        assertThrows(IllegalArgumentException.class, () -> new SharedBudget(1, Double.NaN));
        SharedBudget lending = new SharedBudget(5, 0);
        lending.addShare(3);
        assertThrows(IllegalArgumentException.class, () -> lending.addShare(3));
        assertThrows(IllegalStateException.class, () -> lending.release(0));
    }
}
