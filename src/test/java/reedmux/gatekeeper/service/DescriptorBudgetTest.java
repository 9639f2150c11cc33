package reedmux.gatekeeper.service;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.atomic.AtomicInteger;
import net.jqwik.api.Example;
import reedmux.gatekeeper.http.UpstreamConnectionPool.ConnectionPermits;

/** Descriptors that are lent, and reclaimed by closing idle connections. */
final class DescriptorBudgetTest {
    private final DescriptorBudget budget = new DescriptorBudget(20);
    private final ConnectionPermits one = budget.permitsOf(budget.addService());
    private final ConnectionPermits two = budget.permitsOf(budget.addService());

    private int acquireAll(ConnectionPermits room) {
        int taken = 0;
        while (room.tryAcquire()) {
            taken++;
        }
        return taken;
    }

    @Example
    void reclaimsIdleBorrowedDescriptorsAtOnce() {
        budget.setWeights(new double[] {1, 1});
        AtomicInteger idle = new AtomicInteger(3);
        budget.setEvictor(0, () -> {
            boolean any = idle.getAndDecrement() > 0;
            if (any) {
                one.release();
            }
            return any;
        });
        assertEquals(15, acquireAll(one), "half of the other's part is kept for it");
        for (int i = 0; i < 8; i++) {
            assertTrue(two.tryAcquire(), "five are kept, three are idle and closed for it");
        }
        assertFalse(two.tryAcquire(), "all that is left is in use");
        assertEquals(12, budget.used(0));
        one.release();
        assertFalse(one.tryAcquire(), "what is free belongs to the one that lacks of its part");
        assertTrue(two.tryAcquire());
    }

    @Example
    void sharesFollowTheWeights() {
        budget.setWeights(new double[] {3, 1});
        assertEquals(17, acquireAll(one));
        budget.setWeights(new double[] {0, 1});
        assertFalse(one.tryAcquire());
        budget.setEvictor(0, () -> false);
        assertEquals(3, acquireAll(two), "one that leaves keeps its connections until its calls end");
    }
}
