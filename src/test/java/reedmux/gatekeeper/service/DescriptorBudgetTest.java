package reedmux.gatekeeper.service;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.atomic.AtomicInteger;
import net.jqwik.api.Example;
import reedmux.gatekeeper.http.UpstreamConnectionPool.ConnectionPermits;

/** Checks that unused descriptors can be borrowed, and are reclaimed by closing idle connections. */
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
        assertEquals(15, acquireAll(firstPermits), "half of the share of the other service is reserved");
        for (int i = 0; i < 8; i++) {
            assertTrue(
                    secondPermits.tryAcquire(), "5 descriptors are reserved and 3 are reclaimed from idle connections");
        }
        assertFalse(secondPermits.tryAcquire(), "no reserved descriptor and no idle connection is left");
        assertEquals(12, budget.used(0));
        firstPermits.release();
        assertFalse(
                firstPermits.tryAcquire(),
                "a released descriptor must go to the service that is waiting for its share");
        assertTrue(secondPermits.tryAcquire());
    }

    @Example
    void sharesFollowTheWeights() {
        budget.setWeights(new double[] {3, 1});
        assertEquals(17, acquireAll(firstPermits));
        budget.setWeights(new double[] {0, 1});
        assertFalse(firstPermits.tryAcquire());
        budget.setEvictor(0, () -> false);
        assertEquals(
                3, acquireAll(secondPermits), "a service without a share keeps its connections until its calls end");
    }
}
