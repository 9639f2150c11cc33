package reedmux.simulation.region;

import org.apache.commons.rng.UniformRandomProvider;
import reedmux.gatekeeper.policy.TrafficPolicy.CustomerPlan;
import reedmux.gatekeeper.reducer.Invocation;
import reedmux.simulation.invariants.HistoryChecker;

/** The consumers' requests: arrivals at random, of a rate that a scenario may change, or closed loops. */
final class ConsumerTraffic {
    /** The customer that asks far more than its quota, where a scenario has one. */
    private static final long HOT_CUSTOMER = 1;

    private final RegionWorld world;
    private final UniformRandomProvider random;
    private long ids;

    ConsumerTraffic(RegionWorld world, UniformRandomProvider random) {
        this.world = world;
        this.random = random;
    }

    /** Has a region's consumers send requests from now on. */
    void scheduleArrivals(SimulatedRegion region) {
        if (region.perSecond <= 0) {
            world.timeline.in(100 * RegionWorld.MILLISECOND, () -> scheduleArrivals(region));
            return;
        }
        world.timeline.in((long) (-Math.log(1 - random.nextDouble()) / region.perSecond * RegionWorld.SECOND), () -> {
            sendRequest(region);
            scheduleArrivals(region);
        });
    }

    /** A consumer that sends its next request as soon as it has an answer, whatever that was, until a time. */
    void startClosedLoopConsumer(SimulatedRegion region, long customer, long until) {
        if (world.timeline.now() >= until) {
            return;
        }
        int kind = random.nextInt(2);
        long deadline = world.timeline.now() + 2 * region.setup.latencyTarget();
        String id = region.setup.name() + '-' + ++ids;
        SimulatedGatekeeper gatekeeper = region.gatekeepers.get((int) (customer % region.gatekeepers.size()));
        recordAccepted(region, gatekeeper, id, kind, customer, 1, deadline, region.setup.latencyTarget());
        gatekeeper.accept(
                id,
                kind,
                customer,
                deadline,
                1,
                () -> world.timeline.in(100, () -> startClosedLoopConsumer(region, customer, until)));
    }

    private void recordAccepted(
            SimulatedRegion region,
            SimulatedGatekeeper gatekeeper,
            String id,
            int kind,
            long customer,
            double units,
            long deadline,
            long latencyTarget) {
        CustomerPlan plan = region.setup.plan(customer);
        world.ledger.onAccepted(
                region.setup.name(),
                gatekeeper.name(),
                id,
                kind == 0,
                new HistoryChecker.PlanLimits(
                        plan.quotaRate(),
                        plan.quotaBurst(),
                        plan.rateLimit(),
                        plan.rateLimitBurst(),
                        plan.rateLimitSlack()),
                customer,
                units,
                deadline,
                latencyTarget);
    }

    private void sendRequest(SimulatedRegion region) {
        int kind = random.nextInt(2);
        long customer = world.hotShare > 0 && random.nextDouble() < world.hotShare
                ? HOT_CUSTOMER
                : random.nextInt(world.customers);
        double units = 1 + random.nextInt(3);
        long deadline = world.timeline.now() + 2 * RegionWorld.SECOND + random.nextLong(2 * RegionWorld.SECOND);
        boolean disconnects = random.nextInt(200) == 0;
        int members = region.gatekeepers.size();
        SimulatedGatekeeper gatekeeper = region.gatekeepers.get(
                world.membersPerCustomer == 0
                        ? random.nextInt(members)
                        : (int) ((customer + random.nextInt(world.membersPerCustomer)) % members));
        String id = region.setup.name() + '-' + ++ids;
        if (!gatekeeper.isAlive()) {
            return; // the consumer gets no connection, and nobody owes it an answer
        }
        recordAccepted(region, gatekeeper, id, kind, customer, units, deadline, RegionWorld.LATENCY_TARGET_MICROS);
        Invocation invocation = gatekeeper.accept(id, kind, customer, deadline, units);
        if (disconnects) {
            world.timeline.in(
                    50 * RegionWorld.MILLISECOND + random.nextLong(RegionWorld.SECOND),
                    () -> gatekeeper.disconnectConsumer(invocation));
        }
    }
}
