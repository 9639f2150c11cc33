package reedmux.simulation.region;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiPredicate;
import java.util.function.Predicate;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import reedmux.gatekeeper.failover.FailoverRules;
import reedmux.gatekeeper.policy.TrafficPolicy.CustomerPlan;
import reedmux.gatekeeper.policy.TrafficPolicy.DeduplicationScope;
import reedmux.gatekeeper.policy.TrafficPolicy.DeploymentLimits;
import reedmux.gatekeeper.policy.TrafficPolicy.Idempotency;
import reedmux.gatekeeper.policy.TrafficPolicy.PlatformRules;
import reedmux.gatekeeper.policy.TrafficPolicy.PolicySettings;
import reedmux.gatekeeper.policy.TrafficPolicy.RequestClass;
import reedmux.gatekeeper.reducer.Invocation;
import reedmux.simulation.invariants.HistoryChecker;

/**
 * Some regions with their gatekeepers, providers and consumers, and the links between them, in virtual time.
 * Chance comes in streams, one a concern, so that a draw more in one moves no other.
 */
public final class RegionWorld {
    static final long MILLISECOND = 1000;
    static final long SECOND = 1000 * MILLISECOND;
    /** Where time begins, above nought as on the program's own clock. */
    static final long BEGIN_MICROS = 3600 * SECOND;

    private static final long LATENCY_TARGET_MICROS = 1_200 * MILLISECOND;
    /** The one that asks too much. */
    private static final long HOT_CUSTOMER = 1;

    /** What goes wrong with a call on its way to another region. */
    enum LinkFault {
        NONE,
        SILENT,
        REFUSED,
        BREAKS_WRITING,
        BREAKS_AFTER,
        BREAKS_ANSWERING
    }

    /**
     * One region.
     *
     * @param rules       what its operators have set, or null for nothing
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
            this(name, rules, gatekeepers, providers, perSecond, 100 * MILLISECOND, 2, 30);
        }

        CustomerPlan plan(long customer) {
            return plans.get((int) (customer % plans.size()));
        }

        /** In which a request should be answered, in microseconds: slow work has more time. */
        long latencyTarget() {
            return Math.max(LATENCY_TARGET_MICROS, 6 * work);
        }
    }

    /** A region at work. */
    static final class SimulatedRegion {
        final RegionSetup setup;
        final PolicySettings[] settings;
        final List<SimulatedGatekeeper> gatekeepers = new ArrayList<>();
        final Map<String, SimulatedProvider> providers = new LinkedHashMap<>();
        /** As gatekeepers started from now on are told. */
        FailoverRules rules;

        double perSecond;
        long listRevision;

        SimulatedRegion(RegionSetup setup, PolicySettings[] settings) {
            this.setup = setup;
            this.settings = settings;
            rules = setup.rules();
            perSecond = setup.perSecond();
        }

        /** Of those that may have new work the one that started last, or {@code chosen} if all are old. */
        SimulatedProvider newest(SimulatedProvider chosen) {
            SimulatedProvider newest = chosen;
            for (SimulatedProvider provider : providers.values()) {
                newest = provider.startedAt > newest.startedAt && !provider.draining && provider.isReachable()
                        ? provider
                        : newest;
            }
            return newest;
        }
    }

    /** Faults put into what surrounds the decisions, to prove that a checker finds them. */
    enum InjectedFault {
        NOTHING,
        LINK_RESENDS,
        CLAIMS_NEVER_RAN,
        ANSWERS_TWICE,
        FORGETS_ANSWERS,
        SENDS_VISITORS_ON,
        WHOLE_BUDGET_EACH,
        TELLS_NO_START,
        SENDS_TO_NEWEST,
        TELLS_DRAINS_LATE,
        WHOLE_CEILING_EACH
    }

    final InjectedFault injectedFault;
    final VirtualTimeline timeline = new VirtualTimeline();
    final RequestLedger ledger;
    final Map<String, SimulatedRegion> regions = new LinkedHashMap<>();
    final UniformRandomProvider networkRandom;
    private final UniformRandomProvider arrivalRandom;
    private final UniformRandomProvider regionLinkRandom;
    /**
     * Chance of each fault of a call between regions, in the order of {@link LinkFault}; the rest is
     * none.
     */
    double[] linkFaults = new double[LinkFault.values().length];
    /** Of each region; every one may take 30 units a second and 90 at once. */
    int customers = 20;
    /** How many gatekeepers each customer has, in a row from the one of its number; nought for all. */
    int membersPerCustomer;
    /** Share of the requests that one customer asks, far more than its quota. */
    double hotShare;
    /** One way between regions, and within one, in microseconds. */
    long regionLinkDelay = 15 * MILLISECOND;

    long networkDelay = MILLISECOND;
    /**
     * How an answer may be late by chance, as threads and collectors hold it up: mean and share of
     * pauses.
     */
    long jitter;

    double pauseShare;
    /** Share of datagrams between gatekeepers that is lost, and whether one cannot reach another at all. */
    double datagramLoss = 0.05;

    BiPredicate<Integer, Integer> isCut = (from, to) -> false;
    private long ids;

    RegionWorld(long seed, List<RegionSetup> setups) {
        this(seed, setups, InjectedFault.NOTHING);
    }

    RegionWorld(long seed, List<RegionSetup> setups, InjectedFault planted) {
        this.injectedFault = planted;
        ledger = new RequestLedger(
                timeline,
                setups.stream().mapToInt(RegionSetup::gatekeepers).max().orElse(1));
        networkRandom = stream(seed, 1);
        arrivalRandom = stream(seed, 2);
        regionLinkRandom = stream(seed, 3);
        timeline.runUntil(BEGIN_MICROS);
        int stream = 10;
        for (RegionSetup setup : setups) {
            PolicySettings[] settings = new PolicySettings[setup.gatekeepers()];
            for (int i = 0; i < settings.length; i++) {
                settings[i] = settings(i, settings.length, setup);
            }
            SimulatedRegion region = new SimulatedRegion(setup, settings);
            regions.put(setup.name(), region);
            UniformRandomProvider work = stream(seed, stream++);
            for (int i = 0; i < setup.providers(); i++) {
                String id = setup.name() + "-s" + i;
                region.providers.put(
                        id,
                        new SimulatedProvider(
                                id, timeline, ledger, work, setup.cores(), 4 * setup.cores(), setup.work()));
            }
            for (int i = 0; i < settings.length; i++) {
                region.gatekeepers.add(new SimulatedGatekeeper(this, region, i, seed * 31 + stream++));
            }
        }
        regions.values().forEach(region -> {
            region.gatekeepers.forEach(SimulatedGatekeeper::start);
            scheduleArrivals(region);
        });
    }

    /** A stream of chance of its own for a concern; near seeds give streams that have nothing in common. */
    static UniformRandomProvider stream(long seed, int concern) {
        return RandomSource.XO_RO_SHI_RO_128_PP.create((Long) (seed * 0x9E3779B97F4A7C15L + concern));
    }

    private static PolicySettings settings(int self, int members, RegionSetup setup) {
        return new PolicySettings(
                self,
                members,
                0,
                false,
                true,
                8,
                2 * MILLISECOND,
                List.of(
                        new RequestClass(
                                "check",
                                Idempotency.SAFE,
                                DeduplicationScope.ALL,
                                0,
                                setup.latencyTarget(),
                                4 * SECOND,
                                1,
                                0,
                                false),
                        new RequestClass(
                                "reject",
                                Idempotency.UNSAFE,
                                DeduplicationScope.ALL,
                                0,
                                setup.latencyTarget(),
                                4 * SECOND,
                                3,
                                0,
                                false)),
                setup.plans(),
                new PlatformRules(
                        RequestLedger.DEADLINE_SLACK_MICROS,
                        10 * SECOND,
                        0.18,
                        16 * SECOND,
                        250 * MILLISECOND,
                        4,
                        SECOND),
                new DeploymentLimits(true, true, true, members > 1, false, 4, SECOND, 100, 256, 50 * MILLISECOND));
    }

    /** The node that a gateway's name stands for: {@code REGION/NUMBER}, whatever the region calls itself. */
    SimulatedGatekeeper gatekeeper(String gateway) {
        int slash = gateway.indexOf('/');
        return regions.get(gateway.substring(0, slash)).gatekeepers.get(Integer.parseInt(gateway.substring(slash + 1)));
    }

    /** The gateways of a region, by name. */
    static List<String> gatewayNames(String region, int count) {
        List<String> all = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            all.add(region + '/' + i);
        }
        return all;
    }

    LinkFault drawLinkFault() {
        double drawn = regionLinkRandom.nextDouble();
        for (LinkFault fault : LinkFault.values()) {
            drawn -= linkFaults[fault.ordinal()];
            if (drawn < 0) {
                return fault;
            }
        }
        return LinkFault.NONE;
    }

    long drawRegionLinkDelay() {
        return (long) (regionLinkDelay * (0.8 + 0.4 * regionLinkRandom.nextDouble()));
    }

    /** What an answer takes longer than it should. */
    long answerDelay() {
        long held = jitter == 0 ? 0 : (long) (-Math.log(1 - networkRandom.nextDouble()) * jitter);
        return pauseShare > 0 && networkRandom.nextDouble() < pauseShare
                ? held + 5 * MILLISECOND + networkRandom.nextLong(15 * MILLISECOND)
                : held;
    }

    // ---- Consumers ---------------------------------------------------------------------------------
    private void scheduleArrivals(SimulatedRegion region) {
        if (region.perSecond <= 0) {
            timeline.in(100 * MILLISECOND, () -> scheduleArrivals(region));
            return;
        }
        timeline.in((long) (-Math.log(1 - arrivalRandom.nextDouble()) / region.perSecond * SECOND), () -> {
            sendRequest(region);
            scheduleArrivals(region);
        });
    }

    /** A consumer that asks again as soon as it has an answer, whatever that was, until a time. */
    void startClosedLoopConsumer(SimulatedRegion region, long customer, long until) {
        if (timeline.now() >= until) {
            return;
        }
        int kind = arrivalRandom.nextInt(2);
        long deadline = timeline.now() + 2 * region.setup.latencyTarget();
        String id = region.setup.name() + '-' + ++ids;
        SimulatedGatekeeper node = region.gatekeepers.get((int) (customer % region.gatekeepers.size()));
        recordAccepted(region, node, id, kind, customer, 1, deadline, region.setup.latencyTarget());
        node.accept(
                id,
                kind,
                customer,
                deadline,
                1,
                () -> timeline.in(100, () -> startClosedLoopConsumer(region, customer, until)));
    }

    private void recordAccepted(
            SimulatedRegion region,
            SimulatedGatekeeper node,
            String id,
            int kind,
            long customer,
            double units,
            long deadline,
            long aim) {
        CustomerPlan plan = region.setup.plan(customer);
        ledger.onAccepted(
                region.setup.name(),
                node.name(),
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
                aim);
    }

    private void sendRequest(SimulatedRegion region) {
        int kind = arrivalRandom.nextInt(2);
        long customer =
                hotShare > 0 && arrivalRandom.nextDouble() < hotShare ? HOT_CUSTOMER : arrivalRandom.nextInt(customers);
        double units = 1 + arrivalRandom.nextInt(3);
        long deadline = timeline.now() + 2 * SECOND + arrivalRandom.nextLong(2 * SECOND);
        boolean leaves = arrivalRandom.nextInt(200) == 0;
        int members = region.gatekeepers.size();
        SimulatedGatekeeper node = region.gatekeepers.get(
                membersPerCustomer == 0
                        ? arrivalRandom.nextInt(members)
                        : (int) ((customer + arrivalRandom.nextInt(membersPerCustomer)) % members));
        String id = region.setup.name() + '-' + ++ids;
        if (!node.isAlive()) {
            return; // the consumer gets no connection, and nobody owes it an answer
        }
        recordAccepted(region, node, id, kind, customer, units, deadline, LATENCY_TARGET_MICROS);
        Invocation invocation = node.accept(id, kind, customer, deadline, units);
        if (leaves) {
            timeline.in(50 * MILLISECOND + arrivalRandom.nextLong(SECOND), () -> node.disconnectConsumer(invocation));
        }
    }

    // ---- What goes wrong ---------------------------------------------------------------------------
    /**
     * So many of a region's providers get into a mood; those that are gone are known to be so a while
     * later.
     */
    void setBehavior(String region, int count, SimulatedProvider.ProviderBehavior mood) {
        SimulatedRegion of = regions.get(region);
        of.providers.values().stream().limit(count).forEach(provider -> provider.behavior = mood);
        timeline.in(500 * MILLISECOND, () -> announceProviders(of));
    }

    /** A provider drains, or is ready again, as all gatekeepers are told at once. */
    void setDraining(String region, int number, boolean drains) {
        SimulatedRegion of = regions.get(region);
        List.copyOf(of.providers.values()).get(number).draining = drains;
        announceProviders(of);
    }

    /** A provider's process starts anew, cold; gatekeepers are told a while later. */
    void restartProvider(String region, int number) {
        SimulatedRegion of = regions.get(region);
        List.copyOf(of.providers.values()).get(number).restart();
        timeline.in(300 * MILLISECOND, () -> announceProviders(of));
    }

    private void announceProviders(SimulatedRegion region) {
        region.listRevision++;
        region.gatekeepers.forEach(SimulatedGatekeeper::announceProviders);
    }

    /** Kills a gatekeeper and has it start anew a while later. */
    void restartGatekeeper(String region, int number, long away) {
        SimulatedGatekeeper node = regions.get(region).gatekeepers.get(number);
        node.kill();
        timeline.in(away, node::start);
    }

    /** All gatekeepers of a region are told other rules. */
    void reloadRules(String region, FailoverRules rules) {
        regions.get(region).rules = rules;
        regions.get(region).gatekeepers.forEach(node -> node.reloadRules(rules));
    }

    /** Counts over the living gatekeepers of a region. */
    long countGatekeepers(String region, Predicate<SimulatedGatekeeper> what) {
        return regions.get(region).gatekeepers.stream().filter(what).count();
    }
}
