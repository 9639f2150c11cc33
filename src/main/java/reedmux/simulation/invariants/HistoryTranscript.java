package reedmux.simulation.invariants;

import java.util.Locale;
import reedmux.simulation.invariants.HistoryChecker.PlanLimits;
import reedmux.simulation.invariants.HistoryChecker.QuotaTolerance;

/** Writes events down in the form that {@link HistoryReader} reads, once it is started. */
final class HistoryTranscript {
    private StringBuilder text;

    void start() {
        text = new StringBuilder();
    }

    /** An event; {@code line} is a format of its words. */
    void appendEvent(long timeMicros, String line, Object... values) {
        if (text != null) {
            text.append(timeMicros)
                    .append(' ')
                    .append(String.format(Locale.ROOT, line, values))
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
