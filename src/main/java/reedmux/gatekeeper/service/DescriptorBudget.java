package reedmux.gatekeeper.service;

import java.util.HashMap;
import java.util.Map;
import java.util.function.BooleanSupplier;
import reedmux.gatekeeper.http.UpstreamConnectionPool;

/**
 * Divides the file descriptors for connections to providers between the services. A service may borrow descriptors that
 * others leave unused. A borrowed descriptor is reclaimed by closing an idle connection of the service that has
 * borrowed the most. If that service has no idle connection, the requesting service must wait until a call ends, which
 * is why a part of each share cannot be borrowed. Thread-safe.
 */
public final class DescriptorBudget {
    private static final double RESERVED_FRACTION = 0.5;

    private final SharedBudget budget;
    private final int total;
    private final Map<Integer, BooleanSupplier> evictors = new HashMap<>();

    /** Creates a budget of {@code total} descriptors. */
    public DescriptorBudget(int total) {
        budget = new SharedBudget(total, RESERVED_FRACTION);
        this.total = total;
    }

    /** Adds a service with an empty share and returns its index. */
    synchronized int addService() {
        return budget.addShare(0);
    }

    /**
     * Sets the function that closes an idle connection of a service and releases its descriptor. It returns false if no
     * connection is idle.
     */
    synchronized void setEvictor(int service, BooleanSupplier evictor) {
        evictors.put(service, evictor);
    }

    /** Sets the shares in proportion to the services' weights. */
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

    /** Returns the connection permits of one service. */
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
            // Called without holding this lock: the evictor first acquires its pool's lock, and then this one to
            // release the descriptor.
            if (evictor == null || !evictor.getAsBoolean()) {
                return false;
            }
        }
    }

    /** Returns the number of descriptors that a service uses. */
    synchronized int used(int service) {
        return budget.used(service);
    }
}
