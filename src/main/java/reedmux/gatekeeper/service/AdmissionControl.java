package reedmux.gatekeeper.service;

import java.util.ArrayList;
import java.util.List;

/**
 * Admission control for several services. The limits on requests in flight and on the bytes that they buffer are
 * divided between the services by weight, and a service may borrow what others leave unused. A service within its share
 * is admitted at once, even while others have borrowed from it. Both totals can therefore exceed their limits by the
 * borrowed amount, which is why the limits are set to half of what the memory of the process allows.
 *
 * <p>Times are in microseconds. Used only by the event loop's thread.
 */
public final class AdmissionControl {
    /** The fraction of each share that other services cannot borrow. */
    private static final double RESERVED_FRACTION = 0.5;
    /** Retry delay of rejected requests until a residence time has been measured. */
    private static final long INITIAL_RETRY_AFTER_MICROS = 100_000;

    private static final long MIN_RETRY_AFTER_MICROS = 20_000;
    private static final long MAX_RETRY_AFTER_MICROS = 5_000_000;
    /** Weight of the latest request in the exponential moving average of the residence time. */
    private static final double RESIDENCE_SMOOTHING = 0.05;
    /** Buffered bytes are counted in blocks of this size. */
    private static final int BLOCK_BYTES = 1024;

    /** Limits of a single service, which apply even if other services leave capacity unused. */
    public record AdmissionLimits(int maxInFlight, long maxBytes) {
        /** No limits other than the shares. */
        public static final AdmissionLimits UNLIMITED = new AdmissionLimits(Integer.MAX_VALUE, Long.MAX_VALUE);
    }

    /** The decision on a request and, if it is rejected, the time after which it may be retried. */
    public record AdmissionDecision(boolean admitted, long retryAfterMicros) {}

    private static final AdmissionDecision ADMITTED = new AdmissionDecision(true, 0);

    /** The capacity that one service uses. */
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

    /**
     * Creates an admission control without services.
     *
     * @param maxInFlight limit on the requests in flight, for all services together
     * @param maxBytes    limit on the bytes that these requests buffer
     */
    public AdmissionControl(int maxInFlight, long maxBytes) {
        requestBudget = new SharedBudget(maxInFlight, RESERVED_FRACTION);
        totalRequests = maxInFlight;
        totalBlocks = (int) Math.max(1, maxBytes / BLOCK_BYTES);
    }

    /** Adds a service with an empty share and returns its index. */
    public int addService() {
        services.add(new AdmittedUsage());
        blockShares.add(0);
        return requestBudget.addShare(0);
    }

    /** Sets the shares of all services by weight, which is 0 for a draining service, and the limits of each service. */
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

    /**
     * Decides on a request that buffers {@code bytes} bytes. If it is admitted, {@link #onRequestEnded} must be called
     * when it ends.
     */
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

    /** Returns the rejection of a request for which the queue of its service is full. */
    public AdmissionDecision rejectQueueFull(int service) {
        return new AdmissionDecision(false, retryAfterMicros(services.get(service)));
    }

    /**
     * Records the end of an admitted request, {@code residenceMicros} after its admission, or 0 if it was never
     * started.
     */
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

    /**
     * Returns the mean residence time, after which about half of the requests in flight have ended, within fixed
     * bounds.
     */
    private static long retryAfterMicros(AdmittedUsage usage) {
        return (long) Math.max(MIN_RETRY_AFTER_MICROS, Math.min(MAX_RETRY_AFTER_MICROS, usage.meanResidenceMicros));
    }

    private static long blocksFor(long bytes) {
        return 1 + bytes / BLOCK_BYTES;
    }

    /** Returns the number of unused blocks that are reserved for other services. */
    private long blocksReservedForOthers(int service) {
        long reserved = 0;
        for (int i = 0; i < services.size(); i++) {
            if (i != service) {
                reserved += Math.max(0, (long) (RESERVED_FRACTION * blockShares.get(i)) - services.get(i).usedBlocks);
            }
        }
        return reserved;
    }

    /** Returns the number of admitted requests of a service that are in flight. */
    public int inFlight(int service) {
        return services.get(service).inFlight;
    }

    /** Returns the number of bytes that the requests of a service buffer, rounded up to blocks. */
    public long bufferedBytes(int service) {
        return services.get(service).usedBlocks * BLOCK_BYTES;
    }
}
