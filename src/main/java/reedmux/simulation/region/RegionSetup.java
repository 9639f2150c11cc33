package reedmux.simulation.region;

import java.util.List;
import reedmux.gatekeeper.failover.FailoverRules;
import reedmux.gatekeeper.policy.TrafficPolicy.CustomerPlan;
import reedmux.gatekeeper.policy.TrafficPolicy.DeduplicationScope;
import reedmux.gatekeeper.policy.TrafficPolicy.DeploymentLimits;
import reedmux.gatekeeper.policy.TrafficPolicy.Idempotency;
import reedmux.gatekeeper.policy.TrafficPolicy.PlatformRules;
import reedmux.gatekeeper.policy.TrafficPolicy.PolicySettings;
import reedmux.gatekeeper.policy.TrafficPolicy.RequestClass;

/**
 * One region, as a scenario sets it up.
 *
 * @param rules       the operators' rules on other regions, or null for none
 * @param gatekeepers how many
 * @param providers   how many
 * @param perSecond   consumers' requests a second
 * @param work        a provider's mean work on a request, in microseconds
 * @param cores       of each provider
 * @param plans       of customers, who have them in turn
 */
public record RegionSetup(
        String name,
        FailoverRules rules,
        int gatekeepers,
        int providers,
        double perSecond,
        long work,
        int cores,
        List<CustomerPlan> plans) {

    /** Each customer may take so many units a second, and three times as many at once. */
    RegionSetup(
            String name,
            FailoverRules rules,
            int gatekeepers,
            int providers,
            double perSecond,
            long work,
            int cores,
            double quota) {
        this(
                name,
                rules,
                gatekeepers,
                providers,
                perSecond,
                work,
                cores,
                List.of(new CustomerPlan("single-line", quota, 3 * quota, 0, 0, 0, 0, 1.2, 0, 1.2)));
    }

    RegionSetup(String name, FailoverRules rules, int gatekeepers, int providers, double perSecond) {
        this(name, rules, gatekeepers, providers, perSecond, 100 * RegionWorld.MILLISECOND, 2, 30);
    }

    CustomerPlan plan(long customer) {
        return plans.get((int) (customer % plans.size()));
    }

    /** In which a request should be answered, in microseconds: slow work has more time. */
    long latencyTarget() {
        return Math.max(RegionWorld.LATENCY_TARGET_MICROS, 6 * work);
    }

    /** The settings of one of its gatekeepers. */
    PolicySettings settings(int self) {
        return new PolicySettings(
                self,
                gatekeepers,
                0,
                false,
                true,
                8,
                2 * RegionWorld.MILLISECOND,
                List.of(requestClass("check", Idempotency.SAFE, 1), requestClass("reject", Idempotency.UNSAFE, 3)),
                plans,
                new PlatformRules(
                        RequestLedger.DEADLINE_SLACK_MICROS,
                        10 * RegionWorld.SECOND,
                        SimulatedProvider.COLD_CAPACITY_SHARE,
                        SimulatedProvider.WARM_UP_MICROS,
                        250 * RegionWorld.MILLISECOND,
                        4,
                        RegionWorld.SECOND),
                new DeploymentLimits(
                        true,
                        true,
                        true,
                        gatekeepers > 1,
                        false,
                        4,
                        RegionWorld.SECOND,
                        100,
                        256,
                        50 * RegionWorld.MILLISECOND));
    }

    private RequestClass requestClass(String className, Idempotency idempotency, double value) {
        return new RequestClass(
                className,
                idempotency,
                DeduplicationScope.ALL,
                0,
                latencyTarget(),
                4 * RegionWorld.SECOND,
                value,
                0,
                false);
    }
}
