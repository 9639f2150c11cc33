package reedmux.gatekeeper.service;

import java.util.ArrayList;
import java.util.List;

/**
 * Decides which requests of which pool are let in: of those in flight, and of the bytes that they hold, each
 * pool has a part by its weight, may borrow what the others leave, and has its own back at once. For that, a
 * pool that is within its own part is let in even while what it lent is still out: both numbers may so pass
 * their bound by as much as is lent, which is why the bounds are set at half of what there is room for.
 *
 * <p>Times are microseconds. Owned by the thread that runs the turns.
 */
public final class AdmissionControl {
    /** The share of a part that is not lent: what a pool can have without being over the bound. */
    private static final double RESERVED_FRACTION = 0.5;
    /** Advice to those who are turned away, before anything is known, and its bounds. */
    private static final long INITIAL_RETRY_AFTER_MICROS = 100_000;

    private static final long MIN_RETRY_AFTER_MICROS = 20_000;
    private static final long MAX_RETRY_AFTER_MICROS = 5_000_000;
    /** The weight of one more request in the mean time that requests stay. */
    private static final double RESIDENCE_SMOOTHING = 0.05;
    /** Bytes are lent by the block. */
    private static final int BLOCK_BYTES = 1024;

    /** A bound on pools' own, whatever is idle elsewhere. */
    public record AdmissionLimits(int maxInFlight, long maxBytes) {}

    /** What was decided of a request: let in, or turned away with advice when to come back. */
    public record AdmissionDecision(boolean admitted, long retryAfterMicros) {}

    private static final AdmissionDecision ADMITTED = new AdmissionDecision(true, 0);

    private static final class AdmittedUsage {
        AdmissionLimits limits = new AdmissionLimits(Integer.MAX_VALUE, Long.MAX_VALUE);
        int inFlight;
        long usedBlocks;
        double meanResidenceMicros = INITIAL_RETRY_AFTER_MICROS;
    }

    private final SharedBudget requestBudget;
    private final int totalRequests;
    private final int totalBlocks;
    private final List<AdmittedUsage> services = new ArrayList<>();
    private final List<Integer> blockShares = new ArrayList<>();
    private long usedBlocks;

    /** Bounds over all pools: requests in flight, and bytes that they hold. */
    public AdmissionControl(int inFlight, long bytes) {
        requestBudget = new SharedBudget(inFlight, RESERVED_FRACTION);
        totalRequests = inFlight;
        totalBlocks = (int) Math.max(1, bytes / BLOCK_BYTES);
    }

    /** Adds a pool without any part; returns its number. */
    public int addService() {
        services.add(new AdmittedUsage());
        blockShares.add(0);
        return requestBudget.addShare(0);
    }

    /** Sets all pools' parts by their weights, nought for one that is leaving. */
    public void setWeights(List<Double> weights, List<AdmissionLimits> most) {
        double sum = weights.stream().mapToDouble(Double::doubleValue).sum();
        for (boolean grow : new boolean[] {false, true}) {
            for (int i = 0; i < services.size(); i++) {
                int own = sum > 0 ? (int) (totalRequests * weights.get(i) / sum) : 0;
                if (own > requestBudget.guaranteed(i) == grow) {
                    requestBudget.setGuaranteed(i, own);
                }
            }
        }
        for (int i = 0; i < services.size(); i++) {
            blockShares.set(i, sum > 0 ? (int) (totalBlocks * weights.get(i) / sum) : 0);
            services.get(i).limits = most.get(i);
        }
    }

    /** Decides on a request of so many bytes. */
    public AdmissionDecision admit(int pool, long bytes) {
        AdmittedUsage member = services.get(pool);
        long blocks = blocks(bytes);
        boolean fits = member.inFlight < member.limits.maxInFlight()
                && (member.usedBlocks + blocks) * BLOCK_BYTES <= Math.max(BLOCK_BYTES, member.limits.maxBytes())
                && (member.usedBlocks + blocks <= blockShares.get(pool)
                        || usedBlocks + blocks + blocksReservedForOthers(pool) <= totalBlocks);
        if (!fits || !acquireRequest(pool)) {
            return new AdmissionDecision(false, retryAfterMicros(member));
        }
        member.inFlight++;
        member.usedBlocks += blocks;
        usedBlocks += blocks;
        return ADMITTED;
    }

    private boolean acquireRequest(int pool) {
        SharedBudget.BudgetResult answer = requestBudget.tryAcquire(pool);
        if (answer.decision() == SharedBudget.BudgetDecision.RECLAIM) {
            requestBudget.acquireBeyondTotal(pool);
            return true;
        }
        return answer.decision() == SharedBudget.BudgetDecision.GRANTED;
    }

    /** The verdict where a pool's queue is full. */
    public AdmissionDecision rejectQueueFull(int pool) {
        return new AdmissionDecision(false, retryAfterMicros(services.get(pool)));
    }

    /** A request that had been let in is over. */
    public void onRequestEnded(int pool, long bytes, long stayed) {
        AdmittedUsage member = services.get(pool);
        requestBudget.release(pool);
        member.inFlight--;
        member.usedBlocks -= blocks(bytes);
        usedBlocks -= blocks(bytes);
        if (stayed > 0) {
            member.meanResidenceMicros += RESIDENCE_SMOOTHING * (stayed - member.meanResidenceMicros);
        }
    }

    /** When there is likely to be room again: about when half of those in flight are over. */
    private static long retryAfterMicros(AdmittedUsage member) {
        return (long) Math.max(MIN_RETRY_AFTER_MICROS, Math.min(MAX_RETRY_AFTER_MICROS, member.meanResidenceMicros));
    }

    private static long blocks(long bytes) {
        return 1 + bytes / BLOCK_BYTES;
    }

    /** Blocks that are kept for the other pools. */
    private long blocksReservedForOthers(int but) {
        long kept = 0;
        for (int i = 0; i < services.size(); i++) {
            if (i != but) {
                kept += Math.max(0, (long) (RESERVED_FRACTION * blockShares.get(i)) - services.get(i).usedBlocks);
            }
        }
        return kept;
    }

    /** Requests of a pool that are in flight. */
    public int inFlight(int pool) {
        return services.get(pool).inFlight;
    }

    /** Bytes that a pool's requests hold, by the block. */
    public long bytes(int pool) {
        return services.get(pool).usedBlocks * BLOCK_BYTES;
    }
}
