package reedmux.gatekeeper.service;

import java.util.HashMap;
import java.util.Map;
import java.util.function.BooleanSupplier;
import reedmux.gatekeeper.http.UpstreamConnectionPool;

/**
 * Divides the descriptors for connections to providers between the pools: what one does not use others may
 * borrow, and it has it back by the closing of an idle connection of the pool that has borrowed the most.
 * Where that has none idle there is nothing to be had before a call of its ends; for that a share of every
 * part is not lent. For all threads.
 */
public final class DescriptorBudget {
    private static final double RESERVED_FRACTION = 0.5;

    private final SharedBudget budget;
    private final int total;
    private final Map<Integer, BooleanSupplier> evictors = new HashMap<>();

    public DescriptorBudget(int all) {
        budget = new SharedBudget(all, RESERVED_FRACTION);
        this.total = all;
    }

    /** Adds a pool without any part. */
    synchronized int addService() {
        return budget.addShare(0);
    }

    /**
     * {@code setEvictor}: closes an idle connection of the pool and gives its place back, or tells there is none.
     */
    synchronized void setEvictor(int pool, BooleanSupplier giver) {
        evictors.put(pool, giver);
    }

    synchronized void setWeights(double[] weights) {
        double sum = 0;
        for (double weight : weights) {
            sum += weight;
        }
        for (boolean grow : new boolean[] {false, true}) {
            for (int i = 0; i < weights.length; i++) {
                int own = (int) (total * weights[i] / sum);
                if (own > budget.guaranteed(i) == grow) {
                    budget.setGuaranteed(i, own);
                }
            }
        }
    }

    /** A pool's side of it. */
    UpstreamConnectionPool.ConnectionPermits permitsOf(int pool) {
        return new UpstreamConnectionPool.ConnectionPermits() {
            @Override
            public boolean tryAcquire() {
                return DescriptorBudget.this.tryAcquire(pool);
            }

            @Override
            public void release() {
                synchronized (DescriptorBudget.this) {
                    budget.release(pool);
                }
            }
        };
    }

    private boolean tryAcquire(int pool) {
        while (true) {
            BooleanSupplier giver;
            synchronized (this) {
                SharedBudget.BudgetResult answer = budget.tryAcquire(pool);
                if (answer.decision() != SharedBudget.BudgetDecision.RECLAIM) {
                    return answer.decision() == SharedBudget.BudgetDecision.GRANTED;
                }
                giver = evictors.get(answer.reclaimFrom());
            }
            // Not while we hold the lock: the giver takes its own one first, and then ours to give back.
            if (giver == null || !giver.getAsBoolean()) {
                return false;
            }
        }
    }

    /** Descriptors that a pool uses. */
    synchronized int used(int pool) {
        return budget.used(pool);
    }
}
