package reedmux.proxy.quota;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import reedmux.common.quota.QuotaUpdate;

/**
 * Stores the last totals received from each member. Only the difference to the last total of the same incarnation and
 * generation of the sender is counted, so that duplicate, late or lost datagrams neither count units twice nor lose
 * them.
 */
final class ReceivedTotals {
    /** How long a sender may still report in a generation that it has left; its totals are retained for this time. */
    private static final long RETENTION_MICROS = 10_000_000;

    private final Map<String, SenderTotals> bySender = new HashMap<>();

    /** The totals by tenant that a sender reported in one generation. */
    private static final class Generation {
        private final Map<String, Double> totals = new HashMap<>();
        private long updatedAt;
    }

    /** The recent generations of a sender, which reports in several of them while members have different views. */
    private static final class SenderTotals {
        private final long incarnation;
        private final long previousIncarnation;
        private final TreeMap<Long, Generation> generations = new TreeMap<>();
        private long discardedUpTo = Long.MIN_VALUE;

        private SenderTotals(long incarnation, long previousIncarnation) {
            this.incarnation = incarnation;
            this.previousIncarnation = previousIncarnation;
        }

        private Map<String, Double> totals(long number, long now) {
            if (number <= discardedUpTo) {
                return null;
            }
            Generation generation = generations.computeIfAbsent(number, any -> new Generation());
            generation.updatedAt = now;
            while (now - generations.firstEntry().getValue().updatedAt > RETENTION_MICROS) {
                discardedUpTo = generations.pollFirstEntry().getKey();
            }
            return generation.totals;
        }
    }

    /**
     * Returns the mutable totals by tenant to compare an update with; the caller stores the new totals in them. The map
     * is empty if the sender's totals have restarted from zero. Returns null if the update is from an earlier
     * incarnation or from a discarded generation, whose totals have been counted already.
     */
    Map<String, Double> baselineOf(QuotaUpdate update, long now) {
        SenderTotals senderTotals = bySender.get(update.sender());
        if (senderTotals != null && senderTotals.previousIncarnation == update.incarnation()) {
            return null;
        }
        if (senderTotals == null || senderTotals.incarnation != update.incarnation()) {
            // Without a previous incarnation, any number other than the sender's own can be used.
            long previous = senderTotals == null ? update.incarnation() - 1 : senderTotals.incarnation;
            senderTotals = new SenderTotals(update.incarnation(), previous);
            bySender.put(update.sender(), senderTotals);
        }
        return senderTotals.totals(update.generation(), now);
    }
}
