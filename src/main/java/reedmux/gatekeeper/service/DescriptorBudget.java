package reedmux.gatekeeper.service;

import java.util.HashMap;
import java.util.Map;
import java.util.function.BooleanSupplier;
import reedmux.gatekeeper.http.UpstreamConnectionPool;

/**
 * Divides the descriptors for connections to providers between the services. What one leaves unused others may borrow;
 * it is reclaimed by closing an idle connection of the service that has borrowed the most. If that one has no idle
 * connection the service has to wait until a call ends, which is why a part of each share is never lent. For all
 * threads.
 */
public final class DescriptorBudget {
    private static final double RESERVED_FRACTION = 0.5;

    private final SharedBudget budget;
    private final int total;
    private final Map<Integer, BooleanSupplier> evictors = new HashMap<>();

    /** A budget of so many descriptors. */
    public DescriptorBudget(int total) {
        budget = new SharedBudget(total, RESERVED_FRACTION);
        this.total = total;
    }

    /** Adds a service without a share. */
    synchronized int addService() {
        return budget.addShare(0);
    }

    /**
     * Sets what closes an idle connection of a service and releases its descriptor; it returns false if none is idle.
     */
    synchronized void setEvictor(int service, BooleanSupplier evictor) {
        evictors.put(service, evictor);
    }

    /** Sets the shares by the services' weights. */
    synchronized void setWeights(double[] weights) {
        double sum = 0;
        for (double weight : weights) {
            sum += weight;
        }
        for (boolean grow : new boolean[] {false, true}) {
            for (int i = 0; i < weights.length; i++) {
                int share = (int) (total * weights[i] / sum);
                if (share > budget.guaranteed(i) == grow) {
                    budget.setGuaranteed(i, share);
                }
            }
        }
    }

    /** The permits of one service. */
    UpstreamConnectionPool.ConnectionPermits permitsOf(int service) {
        return new UpstreamConnectionPool.ConnectionPermits() {
            @Override
            public boolean tryAcquire() {
                return DescriptorBudget.this.tryAcquire(service);
            }

            @Override
            public void release() {
                synchronized (DescriptorBudget.this) {
                    budget.release(service);
                }
            }
        };
    }

    private boolean tryAcquire(int service) {
        while (true) {
            BooleanSupplier evictor;
            synchronized (this) {
                SharedBudget.BudgetResult result = budget.tryAcquire(service);
                if (result.decision() != SharedBudget.BudgetDecision.RECLAIM) {
                    return result.decision() == SharedBudget.BudgetDecision.GRANTED;
                }
                evictor = evictors.get(result.reclaimFrom());
            }
            // Without our lock: the evictor takes its pool's lock first, and then ours to release the descriptor.
            if (evictor == null || !evictor.getAsBoolean()) {
                return false;
            }
        }
    }

    /** Descriptors that a service uses. */
    synchronized int used(int service) {
        return budget.used(service);
    }
}
