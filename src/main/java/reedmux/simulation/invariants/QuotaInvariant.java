package reedmux.simulation.invariants;

import java.util.HashMap;
import java.util.Map;
import reedmux.simulation.invariants.HistoryChecker.HistoryRule;
import reedmux.simulation.invariants.HistoryChecker.PlanLimits;
import reedmux.simulation.invariants.HistoryChecker.QuotaTolerance;
import reedmux.simulation.invariants.HistoryChecker.RuleParameters;

/**
 * What each customer's delivered requests take stays within its plan: the quota as a leaky bucket over the group, which
 * a tolerance may pass, and the rate limit as a token bucket, which only its slack may.
 */
final class QuotaInvariant {
    private static final double SECOND = HistoryChecker.MICROS_PER_SECOND;

    private static final class CustomerUsage {
        /** Units over what the quota's rate has drained. */
        double level;
        /** What is left of the rate limit. */
        double tokens;

        long at;
    }

    private final RuleParameters parameters;
    private final ViolationLog log;
    private final Map<String, CustomerUsage> usageOfCustomer = new HashMap<>();
    private QuotaTolerance tolerance;

    QuotaInvariant(RuleParameters parameters, ViolationLog log) {
        this.parameters = parameters;
        this.log = log;
        tolerance = parameters.quotaTolerance();
    }

    void setTolerance(QuotaTolerance tolerance) {
        this.tolerance = tolerance;
    }

    /** A customer's request was delivered to a provider for the first time. */
    void onDelivered(long at, String id, String customer, PlanLimits plan, double units) {
        CustomerUsage usage = usageOfCustomer.get(customer);
        if (usage == null) {
            usage = new CustomerUsage();
            usage.tokens = plan.rateLimitBurst();
            usage.at = at;
            usageOfCustomer.put(customer, usage);
        }
        double passed = (at - usage.at) / SECOND;
        usage.at = at;
        if (plan.quotaRate() > 0) {
            log.countCheck(HistoryRule.QUOTA);
            usage.level = Math.max(0, usage.level - plan.quotaRate() * passed) + units;
            checkLevel(at, id, customer, plan, usage.level - plan.quotaBurst());
        }
        if (plan.rateLimit() > 0) {
            log.countCheck(HistoryRule.CEILING);
            usage.tokens = Math.min(plan.rateLimitBurst(), usage.tokens + plan.rateLimit() * passed) - units;
            checkTokens(at, id, customer, plan, usage.tokens);
        }
    }

    private void checkLevel(long at, String id, String customer, PlanLimits plan, double over) {
        double max = tolerance.bursts() * plan.quotaBurst() + plan.quotaRate() * tolerance.time() / SECOND;
        if (over > max + HistoryChecker.ROUNDING_TOLERANCE) {
            String what = id + " lifts " + customer + " " + over + " units over its quota, at most " + max;
            log.add(HistoryRule.QUOTA, at, what);
        }
    }

    private void checkTokens(long at, String id, String customer, PlanLimits plan, double tokens) {
        double min = -plan.rateLimitSlack() - plan.rateLimit() * parameters.rateLimitSlackTime() / SECOND;
        if (tokens < min - HistoryChecker.ROUNDING_TOLERANCE) {
            String what = id + " leaves " + customer + " " + tokens + " units of its ceiling, at least " + min;
            log.add(HistoryRule.CEILING, at, what);
        }
    }
}
