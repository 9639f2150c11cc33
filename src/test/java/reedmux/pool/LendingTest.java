package reedmux.pool;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.SplittableRandom;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import reedmux.pool.Lending.Answer;
import reedmux.pool.Lending.Verdict;

/** Parts that are lent and taken back at once. */
final class LendingTest {

    /**
     * Never more than there are; each gets its own part, at once or when the one that is named gives
     * back.
     */
    @Property(tries = 10_000, seed = "71")
    void everyPoolCanHaveItsOwnPart(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        int all = random.nextInt(5, 60);
        double reserve = random.nextInt(5) / 4.0;
        Lending lending = new Lending(all, reserve);
        int pools = random.nextInt(1, 6);
        int[] own = new int[pools];
        int left = all;
        for (int i = 0; i < pools; i++) {
            own[i] = random.nextInt(left + 1);
            left -= own[i];
            lending.add(own[i]);
        }
        for (int step = 0; step < 200; step++) {
            int pool = random.nextInt(pools);
            int before = lending.used(pool);
            if (random.nextInt(3) == 0) {
                if (before > 0) {
                    lending.give(pool);
                }
                continue;
            }
            int total = lending.used();
            Answer answer = lending.take(pool);
            if (before < own[pool]) {
                assertTrue(answer.verdict() != Verdict.REFUSED, "its own part is never refused");
                assertTrue(total < all || answer.verdict() == Verdict.RECLAIM, "there is no more than all");
            } else {
                assertTrue(answer.verdict() != Verdict.RECLAIM, "nobody gives back for a borrower");
            }
            if (answer.verdict() == Verdict.RECLAIM) {
                assertTrue(lending.used(answer.from()) > own[answer.from()], "only a borrower gives back");
                lending.give(answer.from());
                assertEquals(Verdict.GRANTED, lending.take(pool).verdict());
            }
            assertTrue(lending.used() <= all);
            int sum = 0;
            for (int i = 0; i < pools; i++) {
                sum += lending.used(i);
            }
            assertEquals(sum, lending.used());
        }
    }

    /** What is reserved is had without anybody's giving back, whatever the others have borrowed. */
    @Property(tries = 5_000, seed = "72")
    void theReserveIsThereAtOnce(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        Lending lending = new Lending(40, 0.5);
        int quiet = lending.add(10);
        int greedy = lending.add(10);
        int third = lending.add(10);
        for (int i = 0; i < 100; i++) {
            lending.take(random.nextBoolean() ? greedy : third);
        }
        for (int i = 0; i < 5; i++) {
            assertEquals(Verdict.GRANTED, lending.take(quiet).verdict());
        }
    }

    @Example
    void whatIsIdleIsLent() {
        Lending lending = new Lending(10, 0.2);
        int one = lending.add(5);
        int other = lending.add(5);
        int had = 0;
        while (lending.take(one).verdict() == Verdict.GRANTED) {
            had++;
        }
        assertEquals(9, had, "all but a fifth of the other's five");
        assertEquals(Verdict.GRANTED, lending.take(other).verdict());
        assertEquals(new Answer(Verdict.RECLAIM, one), lending.take(other));
    }

    @Example
    void badValuesAreRefused() {
        assertThrows(IllegalArgumentException.class, () -> new Lending(0, 0.5));
        assertThrows(IllegalArgumentException.class, () -> new Lending(1, Double.NaN));
        Lending lending = new Lending(5, 0);
        lending.add(3);
        assertThrows(IllegalArgumentException.class, () -> lending.add(3));
        assertThrows(IllegalStateException.class, () -> lending.give(0));
    }
}
