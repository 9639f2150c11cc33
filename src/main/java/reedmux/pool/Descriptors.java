package reedmux.pool;

import java.util.HashMap;
import java.util.Map;
import java.util.function.BooleanSupplier;
import reedmux.http.Calls;

/**
 * Divides the descriptors for connections to providers between the pools: what one does not use others may
 * borrow, and it has it back by the closing of an idle connection of the pool that has borrowed the most.
 * Where that has none idle there is nothing to be had before a call of its ends; for that a share of every
 * part is not lent. For all threads.
 */
public final class Descriptors {
    private static final double RESERVE = 0.5;

    private final Lending lending;
    private final int all;
    private final Map<Integer, BooleanSupplier> givers = new HashMap<>();

    public Descriptors(int all) {
        lending = new Lending(all, RESERVE);
        this.all = all;
    }

    /** Adds a pool without any part. */
    synchronized int add() {
        return lending.add(0);
    }

    /**
     * {@code giver}: closes an idle connection of the pool and gives its place back, or tells there is none.
     */
    synchronized void giver(int pool, BooleanSupplier giver) {
        givers.put(pool, giver);
    }

    synchronized void weights(double[] weights) {
        double sum = 0;
        for (double weight : weights) {
            sum += weight;
        }
        for (boolean grow : new boolean[] {false, true}) {
            for (int i = 0; i < weights.length; i++) {
                int own = (int) (all * weights[i] / sum);
                if (own > lending.own(i) == grow) {
                    lending.part(i, own);
                }
            }
        }
    }

    /** A pool's side of it. */
    Calls.Room room(int pool) {
        return new Calls.Room() {
            @Override
            public boolean take() {
                return Descriptors.this.take(pool);
            }

            @Override
            public void give() {
                synchronized (Descriptors.this) {
                    lending.give(pool);
                }
            }
        };
    }

    private boolean take(int pool) {
        while (true) {
            BooleanSupplier giver;
            synchronized (this) {
                Lending.Answer answer = lending.take(pool);
                if (answer.verdict() != Lending.Verdict.RECLAIM) {
                    return answer.verdict() == Lending.Verdict.GRANTED;
                }
                giver = givers.get(answer.from());
            }
            // Not while we hold the lock: the giver takes its own one first, and then ours to give back.
            if (giver == null || !giver.getAsBoolean()) {
                return false;
            }
        }
    }

    /** Descriptors that a pool uses. */
    synchronized int used(int pool) {
        return lending.used(pool);
    }
}
