package reedmux.lab.sim;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiPredicate;
import java.util.function.Predicate;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import reedmux.core.Invocation;
import reedmux.lab.rules.RuleChecker;
import reedmux.policy.Gateway.Group;
import reedmux.policy.Gateway.Limits;
import reedmux.policy.Gateway.Plan;
import reedmux.policy.Gateway.Repeat;
import reedmux.policy.Gateway.RequestClass;
import reedmux.policy.Gateway.Rules;
import reedmux.policy.Gateway.Settings;
import reedmux.region.RegionRules;

/**
 * Some regions with their gatekeepers, providers and consumers, and the links between them, in virtual time.
 * Chance comes in streams, one a concern, so that a draw more in one moves no other.
 */
final class World {
    static final long MS = 1000;
    static final long SECOND = 1000 * MS;
    /** Where time begins, above nought as on the program's own clock. */
    static final long BEGIN = 3600 * SECOND;

    private static final long AIM = 1_200 * MS;
    /** The one that asks too much. */
    private static final long HOT = 1;

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
    record Setup(
            String name,
            RegionRules rules,
            int gatekeepers,
            int providers,
            double perSecond,
            long work,
            int cores,
            List<Plan> plans) {

        /** Each customer may take so many units a second, and three times as many at once. */
        Setup(
                String name,
                RegionRules rules,
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
                    List.of(new Plan("single-line", quota, 3 * quota, 0, 0, 0, 0, 1.2, 0, 1.2)));
        }

        Setup(String name, RegionRules rules, int gatekeepers, int providers, double perSecond) {
            this(name, rules, gatekeepers, providers, perSecond, 100 * MS, 2, 30);
        }

        Plan plan(long customer) {
            return plans.get((int) (customer % plans.size()));
        }

        /** In which a request should be answered, in microseconds: slow work has more time. */
        long aim() {
            return Math.max(AIM, 6 * work);
        }
    }

    /** A region at work. */
    static final class Region {
        final Setup setup;
        final Settings[] settings;
        final List<SimNode> nodes = new ArrayList<>();
        final Map<String, SimProvider> providers = new LinkedHashMap<>();
        /** As gatekeepers started from now on are told. */
        RegionRules rules;

        double perSecond;
        long listRevision;

        Region(Setup setup, Settings[] settings) {
            this.setup = setup;
            this.settings = settings;
            rules = setup.rules();
            perSecond = setup.perSecond();
        }

        /** Of those that may have new work the one that started last, or {@code chosen} if all are old. */
        SimProvider newest(SimProvider chosen) {
            SimProvider newest = chosen;
            for (SimProvider provider : providers.values()) {
                newest = provider.startedAt > newest.startedAt && !provider.draining && provider.reachable()
                        ? provider
                        : newest;
            }
            return newest;
        }
    }

    /** Faults put into what surrounds the decisions, to prove that a checker finds them. */
    enum Planted {
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

    final Planted planted;
    final Timeline time = new Timeline();
    final Ledger ledger;
    final Map<String, Region> regions = new LinkedHashMap<>();
    final UniformRandomProvider network;
    private final UniformRandomProvider arrivals;
    private final UniformRandomProvider links;
    /**
     * Chance of each fault of a call between regions, in the order of {@link LinkFault}; the rest is
     * none.
     */
    double[] linkFaults = new double[LinkFault.values().length];
    /** Of each region; every one may take 30 units a second and 90 at once. */
    int customers = 20;
    /** How many gatekeepers each customer has, in a row from the one of its number; nought for all. */
    int spread;
    /** Share of the requests that one customer asks, far more than its quota. */
    double hot;
    /** One way between regions, and within one, in microseconds. */
    long linkDelay = 15 * MS;

    long delay = MS;
    /**
     * How an answer may be late by chance, as threads and collectors hold it up: mean and share of
     * pauses.
     */
    long jitter;

    double pauses;
    /** Share of datagrams between gatekeepers that is lost, and whether one cannot reach another at all. */
    double loss = 0.05;

    BiPredicate<Integer, Integer> cut = (from, to) -> false;
    private long ids;

    World(long seed, List<Setup> setups) {
        this(seed, setups, Planted.NOTHING);
    }

    World(long seed, List<Setup> setups, Planted planted) {
        this.planted = planted;
        ledger = new Ledger(
                time, setups.stream().mapToInt(Setup::gatekeepers).max().orElse(1));
        network = stream(seed, 1);
        arrivals = stream(seed, 2);
        links = stream(seed, 3);
        time.run(BEGIN);
        int stream = 10;
        for (Setup setup : setups) {
            Settings[] settings = new Settings[setup.gatekeepers()];
            for (int i = 0; i < settings.length; i++) {
                settings[i] = settings(i, settings.length, setup);
            }
            Region region = new Region(setup, settings);
            regions.put(setup.name(), region);
            UniformRandomProvider work = stream(seed, stream++);
            for (int i = 0; i < setup.providers(); i++) {
                String id = setup.name() + "-s" + i;
                region.providers.put(
                        id, new SimProvider(id, time, ledger, work, setup.cores(), 4 * setup.cores(), setup.work()));
            }
            for (int i = 0; i < settings.length; i++) {
                region.nodes.add(new SimNode(this, region, i, seed * 31 + stream++));
            }
        }
        regions.values().forEach(region -> {
            region.nodes.forEach(SimNode::start);
            arrive(region);
        });
    }

    /** A stream of chance of its own for a concern; near seeds give streams that have nothing in common. */
    static UniformRandomProvider stream(long seed, int concern) {
        return RandomSource.XO_RO_SHI_RO_128_PP.create((Long) (seed * 0x9E3779B97F4A7C15L + concern));
    }

    private static Settings settings(int self, int members, Setup setup) {
        return new Settings(
                self,
                members,
                0,
                false,
                true,
                8,
                2 * MS,
                List.of(
                        new RequestClass("check", Repeat.SAFE, Group.ALL, 0, setup.aim(), 4 * SECOND, 1, 0, false),
                        new RequestClass("reject", Repeat.UNSAFE, Group.ALL, 0, setup.aim(), 4 * SECOND, 3, 0, false)),
                setup.plans(),
                new Rules(Ledger.SLACK, 10 * SECOND, 0.18, 16 * SECOND, 250 * MS, 4, SECOND),
                new Limits(true, true, true, members > 1, false, 4, SECOND, 100, 256, 50 * MS));
    }

    /** The node that a gateway's name stands for: {@code REGION/NUMBER}, whatever the region calls itself. */
    SimNode node(String gateway) {
        int slash = gateway.indexOf('/');
        return regions.get(gateway.substring(0, slash)).nodes.get(Integer.parseInt(gateway.substring(slash + 1)));
    }

    /** The gateways of a region, by name. */
    static List<String> gateways(String region, int count) {
        List<String> all = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            all.add(region + '/' + i);
        }
        return all;
    }

    LinkFault drawLinkFault() {
        double drawn = links.nextDouble();
        for (LinkFault fault : LinkFault.values()) {
            drawn -= linkFaults[fault.ordinal()];
            if (drawn < 0) {
                return fault;
            }
        }
        return LinkFault.NONE;
    }

    long linkTime() {
        return (long) (linkDelay * (0.8 + 0.4 * links.nextDouble()));
    }

    /** What an answer takes longer than it should. */
    long held() {
        long held = jitter == 0 ? 0 : (long) (-Math.log(1 - network.nextDouble()) * jitter);
        return pauses > 0 && network.nextDouble() < pauses ? held + 5 * MS + network.nextLong(15 * MS) : held;
    }

    // ---- Consumers ---------------------------------------------------------------------------------
    private void arrive(Region region) {
        if (region.perSecond <= 0) {
            time.in(100 * MS, () -> arrive(region));
            return;
        }
        time.in((long) (-Math.log(1 - arrivals.nextDouble()) / region.perSecond * SECOND), () -> {
            request(region);
            arrive(region);
        });
    }

    /** A consumer that asks again as soon as it has an answer, whatever that was, until a time. */
    void askInTurn(Region region, long customer, long until) {
        if (time.now() >= until) {
            return;
        }
        int kind = arrivals.nextInt(2);
        long deadline = time.now() + 2 * region.setup.aim();
        String id = region.setup.name() + '-' + ++ids;
        SimNode node = region.nodes.get((int) (customer % region.nodes.size()));
        taken(region, node, id, kind, customer, 1, deadline, region.setup.aim());
        node.take(id, kind, customer, deadline, 1, () -> time.in(100, () -> askInTurn(region, customer, until)));
    }

    private void taken(
            Region region, SimNode node, String id, int kind, long customer, double units, long deadline, long aim) {
        Plan plan = region.setup.plan(customer);
        ledger.taken(
                region.setup.name(),
                node.name(),
                id,
                kind == 0,
                new RuleChecker.Plan(
                        plan.rate(), plan.burst(), plan.ceilingRate(), plan.ceilingBurst(), plan.ceilingSlack()),
                customer,
                units,
                deadline,
                aim);
    }

    private void request(Region region) {
        int kind = arrivals.nextInt(2);
        long customer = hot > 0 && arrivals.nextDouble() < hot ? HOT : arrivals.nextInt(customers);
        double units = 1 + arrivals.nextInt(3);
        long deadline = time.now() + 2 * SECOND + arrivals.nextLong(2 * SECOND);
        boolean leaves = arrivals.nextInt(200) == 0;
        int members = region.nodes.size();
        SimNode node = region.nodes.get(
                spread == 0 ? arrivals.nextInt(members) : (int) ((customer + arrivals.nextInt(spread)) % members));
        String id = region.setup.name() + '-' + ++ids;
        if (!node.alive()) {
            return; // the consumer gets no connection, and nobody owes it an answer
        }
        taken(region, node, id, kind, customer, units, deadline, AIM);
        Invocation invocation = node.take(id, kind, customer, deadline, units);
        if (leaves) {
            time.in(50 * MS + arrivals.nextLong(SECOND), () -> node.consumerLeaves(invocation));
        }
    }

    // ---- What goes wrong ---------------------------------------------------------------------------
    /**
     * So many of a region's providers get into a mood; those that are gone are known to be so a while
     * later.
     */
    void providers(String region, int count, SimProvider.Mood mood) {
        Region of = regions.get(region);
        of.providers.values().stream().limit(count).forEach(provider -> provider.mood = mood);
        time.in(500 * MS, () -> tell(of));
    }

    /** A provider drains, or is ready again, as all gatekeepers are told at once. */
    void drain(String region, int number, boolean drains) {
        Region of = regions.get(region);
        List.copyOf(of.providers.values()).get(number).draining = drains;
        tell(of);
    }

    /** A provider's process starts anew, cold; gatekeepers are told a while later. */
    void startAnew(String region, int number) {
        Region of = regions.get(region);
        List.copyOf(of.providers.values()).get(number).startAnew();
        time.in(300 * MS, () -> tell(of));
    }

    private void tell(Region region) {
        region.listRevision++;
        region.nodes.forEach(SimNode::tellProviders);
    }

    /** Kills a gatekeeper and has it start anew a while later. */
    void restart(String region, int number, long away) {
        SimNode node = regions.get(region).nodes.get(number);
        node.kill();
        time.in(away, node::start);
    }

    /** All gatekeepers of a region are told other rules. */
    void reload(String region, RegionRules rules) {
        regions.get(region).rules = rules;
        regions.get(region).nodes.forEach(node -> node.reload(rules));
    }

    /** Counts over the living gatekeepers of a region. */
    long count(String region, Predicate<SimNode> what) {
        return regions.get(region).nodes.stream().filter(what).count();
    }
}
