package reedmux.simulation.invariants;

import java.util.Locale;
import reedmux.simulation.invariants.HistoryChecker.PlanLimits;
import reedmux.simulation.invariants.HistoryChecker.QuotaTolerance;

/** Records events in the text format that {@link HistoryReader} reads; does nothing until started. */
final class HistoryTranscript {
    private StringBuilder text;

    void start() {
        text = new StringBuilder();
    }

    /** Appends an event; {@code format} is the format string of its name and values. */
    void appendEvent(long timeMicros, String format, Object... values) {
        if (text != null) {
            text.append(timeMicros)
                    .append(' ')
                    .append(String.format(Locale.ROOT, format, values))
                    .append('\n');
        }
    }

    void appendTolerance(QuotaTolerance tolerance) {
        if (text != null) {
            text.append("tolerance ")
                    .append(tolerance.bursts())
                    .append(' ')
                    .append(tolerance.time())
                    .append('\n');
        }
    }

    static String formatPlan(PlanLimits plan) {
        return plan == null
                ? "-"
                : plan.quotaRate() + "/" + plan.quotaBurst() + "/" + plan.rateLimit() + "/" + plan.rateLimitBurst()
                        + "/" + plan.rateLimitSlack();
    }

    String text() {
        return text.toString();
    }
}
