package reedmux.proxy.quota;

import java.util.HashMap;
import java.util.Map;
import reedmux.common.quota.QuotaUpdate;

/**
 * The totals received from each member, so that a repeated, late or lost datagram neither counts units twice nor loses
 * them: what is counted is the difference to the last total of the same incarnation and generation of the sender.
 */
final class ReceivedTotals {
    private final Map<String, SenderTotals> bySender = new HashMap<>();

    /** The totals by tenant of a sender's latest generation. */
    private record SenderTotals(
            long incarnation, long generation, long previousIncarnation, Map<String, Double> totals) {}

    /**
     * The totals by tenant that an update is to be compared with; the caller enters the new ones. Empty where the
     * sender's totals have begun anew, null where the update is of an earlier generation or incarnation: its totals
     * have been counted already.
     */
    Map<String, Double> baselineOf(QuotaUpdate update) {
        SenderTotals known = bySender.get(update.sender());
        if (known == null) {
            // No incarnation was seen before: any number but the sender's own will do.
            return begin(update, update.incarnation() - 1);
        }
        if (known.previousIncarnation() == update.incarnation()) {
            return null;
        }
        if (known.incarnation() != update.incarnation()) {
            return begin(update, known.incarnation());
        }
        if (update.generation() < known.generation()) {
            return null;
        }
        return update.generation() > known.generation() ? begin(update, known.previousIncarnation()) : known.totals();
    }

    private Map<String, Double> begin(QuotaUpdate update, long previousIncarnation) {
        Map<String, Double> totals = new HashMap<>();
        bySender.put(
                update.sender(),
                new SenderTotals(update.incarnation(), update.generation(), previousIncarnation, totals));
        return totals;
    }
}
