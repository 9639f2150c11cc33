package reedmux.simulation.invariants;

import java.util.HashMap;
import java.util.Map;
import reedmux.simulation.invariants.HistoryChecker.HistoryRule;
import reedmux.simulation.invariants.HistoryChecker.PlanLimits;
import reedmux.simulation.invariants.HistoryChecker.QuotaTolerance;
import reedmux.simulation.invariants.HistoryChecker.RuleParameters;

/**
 * Checks that the delivered requests of each customer stay within its plan. The quota is a leaky bucket for the whole
 * group that may be exceeded by the quota tolerance; the rate limit is a token bucket that may be exceeded only by its
 * slack.
 */
final class QuotaInvariant {
    private static final double MICROS_PER_SECOND = HistoryChecker.MICROS_PER_SECOND;

    private static final class CustomerUsage {
        /** Fill level of the quota's leaky bucket, in units. */
        double level;
        /** Remaining tokens of the rate limit's token bucket, in units; negative when overdrawn. */
        double tokens;

        long updatedAtMicros;
    }

    private final RuleParameters parameters;
    private final ViolationLog log;
    private final Map<String, CustomerUsage> usageByCustomer = new HashMap<>();
    private QuotaTolerance tolerance;

    QuotaInvariant(RuleParameters parameters, ViolationLog log) {
        this.parameters = parameters;
        this.log = log;
        tolerance = parameters.quotaTolerance();
    }

    void setTolerance(QuotaTolerance tolerance) {
        this.tolerance = tolerance;
    }

    /** Charges a request to its customer, at its first delivery to a provider. */
    void onDelivered(long timeMicros, String id, String customer, PlanLimits plan, double units) {
        CustomerUsage usage = usageByCustomer.get(customer);
        if (usage == null) {
            usage = new CustomerUsage();
            usage.tokens = plan.rateLimitBurst();
            usage.updatedAtMicros = timeMicros;
            usageByCustomer.put(customer, usage);
        }
        double elapsedSeconds = (timeMicros - usage.updatedAtMicros) / MICROS_PER_SECOND;
        usage.updatedAtMicros = timeMicros;
        if (plan.quotaRate() > 0) {
            log.countCheck(HistoryRule.QUOTA);
            usage.level = Math.max(0, usage.level - plan.quotaRate() * elapsedSeconds) + units;
            checkLevel(timeMicros, id, customer, plan, usage.level - plan.quotaBurst());
        }
        if (plan.rateLimit() > 0) {
            log.countCheck(HistoryRule.CEILING);
            usage.tokens = Math.min(plan.rateLimitBurst(), usage.tokens + plan.rateLimit() * elapsedSeconds) - units;
            checkTokens(timeMicros, id, customer, plan, usage.tokens);
        }
    }

    private void checkLevel(long timeMicros, String id, String customer, PlanLimits plan, double excess) {
        double max = tolerance.bursts() * plan.quotaBurst() + plan.quotaRate() * tolerance.time() / MICROS_PER_SECOND;
        if (excess > max + HistoryChecker.ROUNDING_TOLERANCE) {
            String description = id + " raises " + customer + " " + excess + " units above its quota, limit " + max;
            log.add(HistoryRule.QUOTA, timeMicros, description);
        }
    }

    private void checkTokens(long timeMicros, String id, String customer, PlanLimits plan, double tokens) {
        double min = -plan.rateLimitSlack() - plan.rateLimit() * parameters.rateLimitSlackTime() / MICROS_PER_SECOND;
        if (tokens < min - HistoryChecker.ROUNDING_TOLERANCE) {
            String description =
                    id + " leaves " + customer + " " + tokens + " tokens of its rate limit, minimum " + min;
            log.add(HistoryRule.CEILING, timeMicros, description);
        }
    }
}
