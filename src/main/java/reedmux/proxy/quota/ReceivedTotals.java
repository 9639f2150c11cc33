package reedmux.proxy.quota;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import reedmux.common.quota.QuotaUpdate;

/**
 * The totals received from each member, so that a repeated, late or lost datagram neither counts units twice nor loses
 * them: what is counted is the difference to the last total of the same incarnation and generation of the sender.
 */
final class ReceivedTotals {
    /** How long a sender reports in a generation that it has left: until then its totals are compared. */
    private static final long RETENTION_MICROS = 10_000_000;

    private final Map<String, SenderTotals> bySender = new HashMap<>();

    /** The totals by tenant of one generation of a sender. */
    private static final class Generation {
        private final Map<String, Double> totals = new HashMap<>();
        private long updatedAt;
    }

    /** The late generations of a sender, which reports in several as long as views differ. */
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
     * The totals by tenant that an update is to be compared with; the caller enters the new ones. Empty where the
     * sender's totals have begun anew, null where the update is of an earlier incarnation, or of a generation that is
     * forgotten: its totals have been counted already.
     */
    Map<String, Double> baselineOf(QuotaUpdate update, long now) {
        SenderTotals senderTotals = bySender.get(update.sender());
        if (senderTotals != null && senderTotals.previousIncarnation == update.incarnation()) {
            return null;
        }
        if (senderTotals == null || senderTotals.incarnation != update.incarnation()) {
            // No incarnation was seen before: any number but the sender's own will do.
            long previous = senderTotals == null ? update.incarnation() - 1 : senderTotals.incarnation;
            senderTotals = new SenderTotals(update.incarnation(), previous);
            bySender.put(update.sender(), senderTotals);
        }
        return senderTotals.totals(update.generation(), now);
    }
}
