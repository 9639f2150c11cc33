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
    private final ConnectionPermits firstPermits = budget.permitsOf(budget.addService());
    private final ConnectionPermits secondPermits = budget.permitsOf(budget.addService());

    private int acquireAll(ConnectionPermits permits) {
        int acquired = 0;
        while (permits.tryAcquire()) {
            acquired++;
        }
        return acquired;
    }

    @Example
    void reclaimsIdleBorrowedDescriptorsAtOnce() {
        budget.setWeights(new double[] {1, 1});
        AtomicInteger idleConnections = new AtomicInteger(3);
        budget.setEvictor(0, () -> {
            boolean evicted = idleConnections.getAndDecrement() > 0;
            if (evicted) {
                firstPermits.release();
            }
            return evicted;
        });
        assertEquals(15, acquireAll(firstPermits), "half of the other's part is kept for it");
        for (int i = 0; i < 8; i++) {
            assertTrue(secondPermits.tryAcquire(), "five are kept, three are idle and closed for it");
        }
        assertFalse(secondPermits.tryAcquire(), "all that is left is in use");
        assertEquals(12, budget.used(0));
        firstPermits.release();
        assertFalse(firstPermits.tryAcquire(), "what is free belongs to the one that lacks of its part");
        assertTrue(secondPermits.tryAcquire());
    }

    @Example
    void sharesFollowTheWeights() {
        budget.setWeights(new double[] {3, 1});
        assertEquals(17, acquireAll(firstPermits));
        budget.setWeights(new double[] {0, 1});
        assertFalse(firstPermits.tryAcquire());
        budget.setEvictor(0, () -> false);
        assertEquals(3, acquireAll(secondPermits), "one that leaves keeps its connections until its calls end");
    }
}
