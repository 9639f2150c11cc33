package reedmux.gatekeeper.service;

import java.util.ArrayList;
import java.util.List;

/**
 * Admission control over several services. Of the requests in flight, and of the bytes that they buffer, each service
 * has a share by its weight and may borrow what others leave unused. A service within its share is admitted at once,
 * even while others have borrowed from it: so both totals can exceed their limit by what is lent, which is why the
 * limits are set to half of what the process has memory for.
 *
 * <p>Times are microseconds. Owned by the event loop's thread.
 */
public final class AdmissionControl {
    /** The fraction of a share that is never lent. */
    private static final double RESERVED_FRACTION = 0.5;
    /** Advice to rejected requests until a residence time has been measured. */
    private static final long INITIAL_RETRY_AFTER_MICROS = 100_000;

    private static final long MIN_RETRY_AFTER_MICROS = 20_000;
    private static final long MAX_RETRY_AFTER_MICROS = 5_000_000;
    /** The weight of the last request in the mean residence time. */
    private static final double RESIDENCE_SMOOTHING = 0.05;
    /** Bytes are counted in blocks of this size. */
    private static final int BLOCK_BYTES = 1024;

    /** A service's own limits, which hold whatever others leave unused. */
    public record AdmissionLimits(int maxInFlight, long maxBytes) {
        /** No limits but the shares. */
        public static final AdmissionLimits UNLIMITED = new AdmissionLimits(Integer.MAX_VALUE, Long.MAX_VALUE);
    }

    /** Whether a request is admitted; if not, after how long it may be sent again. */
    public record AdmissionDecision(boolean admitted, long retryAfterMicros) {}

    private static final AdmissionDecision ADMITTED = new AdmissionDecision(true, 0);

    /** What one service uses. */
    private static final class AdmittedUsage {
        AdmissionLimits limits = AdmissionLimits.UNLIMITED;
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

    /** Limits over all services: requests in flight, and the bytes that they buffer. */
    public AdmissionControl(int maxInFlight, long maxBytes) {
        requestBudget = new SharedBudget(maxInFlight, RESERVED_FRACTION);
        totalRequests = maxInFlight;
        totalBlocks = (int) Math.max(1, maxBytes / BLOCK_BYTES);
    }

    /** Adds a service without a share; returns its number. */
    public int addService() {
        services.add(new AdmittedUsage());
        blockShares.add(0);
        return requestBudget.addShare(0);
    }

    /** Sets the shares of all services by their weights, 0 for one that drains, and their own limits. */
    public void setWeights(List<Double> weights, List<AdmissionLimits> limits) {
        double sum = weights.stream().mapToDouble(Double::doubleValue).sum();
        for (boolean grow : new boolean[] {false, true}) {
            for (int i = 0; i < services.size(); i++) {
                int share = sum > 0 ? (int) (totalRequests * weights.get(i) / sum) : 0;
                if (share > requestBudget.guaranteed(i) == grow) {
                    requestBudget.setGuaranteed(i, share);
                }
            }
        }
        for (int i = 0; i < services.size(); i++) {
            blockShares.set(i, sum > 0 ? (int) (totalBlocks * weights.get(i) / sum) : 0);
            services.get(i).limits = limits.get(i);
        }
    }

    /** Decides on a request that buffers so many bytes; {@link #onRequestEnded} has to follow if it is admitted. */
    public AdmissionDecision admit(int service, long bytes) {
        AdmittedUsage usage = services.get(service);
        long blocks = blocksFor(bytes);
        boolean fits = usage.inFlight < usage.limits.maxInFlight()
                && (usage.usedBlocks + blocks) * BLOCK_BYTES <= Math.max(BLOCK_BYTES, usage.limits.maxBytes())
                && (usage.usedBlocks + blocks <= blockShares.get(service)
                        || usedBlocks + blocks + blocksReservedForOthers(service) <= totalBlocks);
        if (!fits || !acquireRequest(service)) {
            return new AdmissionDecision(false, retryAfterMicros(usage));
        }
        usage.inFlight++;
        usage.usedBlocks += blocks;
        usedBlocks += blocks;
        return ADMITTED;
    }

    private boolean acquireRequest(int service) {
        SharedBudget.BudgetResult result = requestBudget.tryAcquire(service);
        if (result.decision() == SharedBudget.BudgetDecision.RECLAIM) {
            requestBudget.acquireBeyondTotal(service);
            return true;
        }
        return result.decision() == SharedBudget.BudgetDecision.GRANTED;
    }

    /** The decision on a request for which the service's queue has no place. */
    public AdmissionDecision rejectQueueFull(int service) {
        return new AdmissionDecision(false, retryAfterMicros(services.get(service)));
    }

    /** A request that had been admitted has ended, {@code residenceMicros} after that; 0 if it was never started. */
    public void onRequestEnded(int service, long bytes, long residenceMicros) {
        AdmittedUsage usage = services.get(service);
        requestBudget.release(service);
        usage.inFlight--;
        usage.usedBlocks -= blocksFor(bytes);
        usedBlocks -= blocksFor(bytes);
        if (residenceMicros > 0) {
            usage.meanResidenceMicros += RESIDENCE_SMOOTHING * (residenceMicros - usage.meanResidenceMicros);
        }
    }

    /** After a mean residence time about half of the requests in flight have ended. */
    private static long retryAfterMicros(AdmittedUsage usage) {
        return (long) Math.max(MIN_RETRY_AFTER_MICROS, Math.min(MAX_RETRY_AFTER_MICROS, usage.meanResidenceMicros));
    }

    private static long blocksFor(long bytes) {
        return 1 + bytes / BLOCK_BYTES;
    }

    /** Blocks that the other services have not used of what is never lent. */
    private long blocksReservedForOthers(int service) {
        long reserved = 0;
        for (int i = 0; i < services.size(); i++) {
            if (i != service) {
                reserved += Math.max(0, (long) (RESERVED_FRACTION * blockShares.get(i)) - services.get(i).usedBlocks);
            }
        }
        return reserved;
    }

    /** Requests of a service that are in flight. */
    public int inFlight(int service) {
        return services.get(service).inFlight;
    }

    /** Bytes that a service's requests buffer, rounded up to blocks. */
    public long bufferedBytes(int service) {
        return services.get(service).usedBlocks * BLOCK_BYTES;
    }
}
