package reedmux.simulation.region;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiPredicate;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import reedmux.gatekeeper.failover.FailoverRules;
import reedmux.gatekeeper.policy.TrafficPolicy.PolicySettings;

/**
 * Some regions with their gatekeepers, providers and consumers, and the links between them, in virtual time, in
 * microseconds. Random numbers come in streams, one for each concern, so that a draw more in one moves no other.
 */
public final class RegionWorld {
    static final long MILLISECOND = 1000;
    static final long SECOND = 1000 * MILLISECOND;
    /** Where time begins, above 0 as on the program's own clock. */
    static final long BEGIN_MICROS = 3600 * SECOND;

    /** In which a request of usual work should be answered. */
    static final long LATENCY_TARGET_MICROS = 1_200 * MILLISECOND;

    /** What goes wrong with a call on its way to another region. */
    enum LinkFault {
        NONE,
        SILENT,
        REFUSED,
        BREAKS_WRITING,
        BREAKS_AFTER,
        BREAKS_ANSWERING
    }

    /** Faults injected into what surrounds the decisions, to prove that the checker finds them. */
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
    final ConsumerTraffic traffic;
    private final UniformRandomProvider regionLinkRandom;
    /** Probability of each fault of a call between regions, in the order of {@link LinkFault}; else there is none. */
    double[] linkFaults = new double[LinkFault.values().length];
    /** Customers of each region. */
    int customers = 20;
    /** How many gatekeepers each customer has, in a row from the one of its number; 0 for all. */
    int membersPerCustomer;
    /** Share of the requests that come from one customer, far more than its quota. */
    double hotShare;
    /** One way between regions. */
    long regionLinkDelay = 15 * MILLISECOND;
    /** One way within a region. */
    long networkDelay = MILLISECOND;
    /** By how much answers are late in the mean, as threads are not scheduled at once. */
    long jitter;
    /** Share of answers that are 5 to 20 ms late, as in a pause for garbage collection. */
    double pauseShare;
    /** Share of datagrams between gatekeepers that is lost. */
    double datagramLoss = 0.05;
    /** Whether datagrams from one gatekeeper to another are all lost. */
    BiPredicate<Integer, Integer> isCut = (from, to) -> false;

    RegionWorld(long seed, List<RegionSetup> setups) {
        this(seed, setups, InjectedFault.NOTHING);
    }

    RegionWorld(long seed, List<RegionSetup> setups, InjectedFault injectedFault) {
        this.injectedFault = injectedFault;
        ledger = new RequestLedger(
                timeline,
                setups.stream().mapToInt(RegionSetup::gatekeepers).max().orElse(1));
        networkRandom = stream(seed, 1);
        traffic = new ConsumerTraffic(this, stream(seed, 2));
        regionLinkRandom = stream(seed, 3);
        timeline.runUntil(BEGIN_MICROS);
        int stream = 10;
        for (RegionSetup setup : setups) {
            PolicySettings[] settings = new PolicySettings[setup.gatekeepers()];
            for (int i = 0; i < settings.length; i++) {
                settings[i] = setup.settings(i);
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
            traffic.scheduleArrivals(region);
        });
    }

    /** The stream of random numbers for a concern; near seeds give streams that have nothing in common. */
    static UniformRandomProvider stream(long seed, int concern) {
        return RandomSource.XO_RO_SHI_RO_128_PP.create((Long) (seed * 0x9E3779B97F4A7C15L + concern));
    }

    /** The gatekeeper of a name: {@code REGION/NUMBER}, whatever the region calls itself. */
    SimulatedGatekeeper gatekeeper(String gateway) {
        int slash = gateway.indexOf('/');
        return regions.get(gateway.substring(0, slash)).gatekeepers.get(Integer.parseInt(gateway.substring(slash + 1)));
    }

    /** The names of a region's gatekeepers. */
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

    /** Draws by how much an answer is late. */
    long answerDelay() {
        long late = jitter == 0 ? 0 : (long) (-Math.log(1 - networkRandom.nextDouble()) * jitter);
        return pauseShare > 0 && networkRandom.nextDouble() < pauseShare
                ? late + 5 * MILLISECOND + networkRandom.nextLong(15 * MILLISECOND)
                : late;
    }

    // ---- Faults --------------------------------------------------------------------------------------------------
    /** So many of a region's providers behave so from now on; gatekeepers are notified of those that are gone later. */
    void setBehavior(String region, int count, SimulatedProvider.ProviderBehavior behavior) {
        SimulatedRegion target = regions.get(region);
        target.providers.values().stream().limit(count).forEach(provider -> provider.behavior = behavior);
        timeline.in(500 * MILLISECOND, () -> announceProviders(target));
    }

    /** A provider drains, or is ready again, of which all gatekeepers are notified at once. */
    void setDraining(String region, int number, boolean draining) {
        SimulatedRegion target = regions.get(region);
        List.copyOf(target.providers.values()).get(number).draining = draining;
        announceProviders(target);
    }

    /** A provider's process restarts, cold; gatekeepers are notified a while later. */
    void restartProvider(String region, int number) {
        SimulatedRegion target = regions.get(region);
        List.copyOf(target.providers.values()).get(number).restart();
        timeline.in(300 * MILLISECOND, () -> announceProviders(target));
    }

    private void announceProviders(SimulatedRegion region) {
        region.listRevision++;
        region.gatekeepers.forEach(SimulatedGatekeeper::announceProviders);
    }

    /** Kills a gatekeeper and starts it again a while later. */
    void restartGatekeeper(String region, int number, long downTime) {
        SimulatedGatekeeper gatekeeper = regions.get(region).gatekeepers.get(number);
        gatekeeper.kill();
        timeline.in(downTime, gatekeeper::start);
    }

    /** All gatekeepers of a region are notified of other rules. */
    void reloadRules(String region, FailoverRules rules) {
        regions.get(region).rules = rules;
        regions.get(region).gatekeepers.forEach(gatekeeper -> gatekeeper.reloadRules(rules));
    }
}
