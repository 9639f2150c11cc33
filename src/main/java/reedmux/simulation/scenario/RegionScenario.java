package reedmux.simulation.scenario;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import reedmux.simulation.standin.ConsumerStandIn;
import reedmux.simulation.standin.ConsumerStandIn.RequestOutcome;
import reedmux.simulation.standin.ConsumerStandIn.ScenarioRequest;
import reedmux.simulation.standin.DiscoveryStandIn;
import reedmux.simulation.standin.ProviderStandIn;
import reedmux.simulation.standin.RegionLinkStandIn;
import reedmux.simulation.standin.RegionLinkStandIn.LinkCrossing;
import reedmux.simulation.standin.StandInServer;

/**
 * Two small regions of real gatekeepers on loopback, each the other's last resort, through days on which
 * their providers go, links break and gatekeepers die. Takes about 35 s.
 */
public final class RegionScenario {
    private static final int GATEKEEPERS = 2;
    private static final int PROVIDERS = 3;
    private static final int CUSTOMERS = 12;
    private static final int DEADLINE_MILLIS = 2_000;
    private static final int REQUESTS_PER_SECOND = 30;
    /** Less than what east is asked, about 45 units a second, so that the budget is what bounds. */
    private static final double RATE = 24;

    private static final double BURST = 24;
    /** Between the time on which a decision rests and the line's note of it, in seconds. */
    private static final double RECORDING_DELAY_SECONDS = 0.2;

    private static final long TERMINATION_TIMEOUT_MILLIS = 12_000;
    private static final long NANOS_PER_SECOND = 1_000_000_000;

    /** A region and all that stands round it. */
    private static final class ScenarioRegion {
        final String name;
        final DiscoveryStandIn discovery = new DiscoveryStandIn();
        final List<ProviderStandIn> providers = new ArrayList<>();
        final List<GatekeeperUnderTest.GatekeeperAddresses> addresses;
        final List<GatekeeperUnderTest> gatekeepers = new ArrayList<>();
        final List<ConsumerStandIn> consumers = new ArrayList<>();
        /** The lines that lead from the other region to our gatekeepers. */
        final List<RegionLinkStandIn> links = new ArrayList<>();

        final Path settings;

        ScenarioRegion(String name, Path folder) throws IOException {
            this.name = name;
            settings = folder.resolve(name + ".star");
            addresses = GatekeeperUnderTest.freeAddresses(GATEKEEPERS);
            for (int i = 0; i < PROVIDERS; i++) {
                providers.add(new ProviderStandIn(4, 16, 25));
                discovery.setPhase(name + "-s" + i, providers.get(i).hostPort(), "Ready");
            }
            for (GatekeeperUnderTest.GatekeeperAddresses address : addresses) {
                links.add(new RegionLinkStandIn(address.regions()));
                consumers.add(new ConsumerStandIn(address.consumers()));
            }
        }

        void writeSettings(ScenarioRegion other, boolean lastResort) throws IOException {
            Files.writeString(
                    settings,
                    regionDeclaration(other)
                            + (lastResort
                                    ? """

                    last_resort(
                        region = "%s",
                        gateways = [%s],
                        budget = budget(share = 1, rate = %s, burst = %s),
                        most_at_once = 32, least_time = "100ms", margin = "20ms", first_guess = "20ms",
                    )
                    """.formatted(
                                                    other.name,
                                                    other.links.stream()
                                                            .map(line -> '"' + line.hostPort() + '"')
                                                            .collect(Collectors.joining(", ")),
                                                    RATE,
                                                    BURST)
                                    : ""));
        }

        private String regionDeclaration(ScenarioRegion other) {
            // Each gatekeeper of a region reads the same file, so the listener's port is told by its number.
            return """
                    region(name = "%s", listen = "%%s", takes_from = ["%s"], connections_in = 48,
                           connections_out = 48, visitors = visitors(most_at_once = 32, rate = 200,
                                   burst = 400,
                                                                     suffers_at = 0.05))
                    """.formatted(name, other.name);
        }

        void setProvidersGone(boolean gone) throws IOException {
            for (int i = 0; i < PROVIDERS; i++) {
                if (gone) {
                    providers.get(i).goDown();
                } else {
                    providers.get(i).comeUp();
                }
                discovery.setPhase(name + "-s" + i, providers.get(i).hostPort(), gone ? "Gone" : "Ready");
            }
        }

        Stream<RequestOutcome> outcomes() {
            return consumers.stream().flatMap(consumer -> consumer.outcomes().stream());
        }
    }

    private final Path folder;
    private final Consumer<String> progress;
    private final SplittableRandom random;
    private final ScenarioRegion east;
    private final ScenarioRegion west;
    private long ids;

    private RegionScenario(Path folder, long seed, Consumer<String> progress) throws IOException {
        this.folder = folder;
        this.progress = progress;
        random = new SplittableRandom(seed);
        east = new ScenarioRegion("east", folder);
        west = new ScenarioRegion("west", folder);
    }

    /**
     * Plays the scene.
     *
     * @param folder   for configurations and logs
     * @param progress hears of each part as it begins
     */
    public static ScenarioChecks run(Path folder, long seed, Consumer<String> progress)
            throws IOException, InterruptedException {
        RegionScenario scene = new RegionScenario(folder, seed, progress);
        try {
            return scene.runPhases();
        } finally {
            for (ScenarioRegion region : List.of(scene.east, scene.west)) {
                region.gatekeepers.forEach(GatekeeperUnderTest::close);
                region.consumers.forEach(ConsumerStandIn::close);
                for (StandInServer standIn : Stream.of(region.providers, region.links, List.of(region.discovery))
                        .flatMap(List::stream)
                        .toList()) {
                    standIn.close();
                }
            }
        }
    }

    private void writeSettings(boolean lastResort) throws IOException {
        for (ScenarioRegion region : List.of(east, west)) {
            region.writeSettings(region == east ? west : east, lastResort);
            String whole = Files.readString(region.settings);
            for (int i = 0; i < GATEKEEPERS; i++) {
                Files.writeString(
                        settingsOf(region, i),
                        whole.replace(
                                "%s",
                                GatekeeperUnderTest.hostPort(
                                        region.addresses.get(i).regions())));
            }
        }
    }

    private Path settingsOf(ScenarioRegion region, int number) {
        return folder.resolve(region.name + '-' + number + ".star");
    }

    private void start() throws IOException, InterruptedException {
        writeSettings(true);
        for (ScenarioRegion region : List.of(east, west)) {
            for (int i = 0; i < GATEKEEPERS; i++) {
                GatekeeperUnderTest gatekeeper = new GatekeeperUnderTest(
                        folder.resolve(region.name + '-' + i),
                        GatekeeperUnderTest.platformConfig(i, region.addresses, region.discovery),
                        settingsOf(region, i));
                region.gatekeepers.add(gatekeeper);
                gatekeeper.start();
            }
        }
        for (ScenarioRegion region : List.of(east, west)) {
            for (int i = 0; i < GATEKEEPERS; i++) {
                region.gatekeepers.get(i).awaitReady(region.consumers.get(i));
            }
        }
    }

    /** Has both regions' consumers ask for so many seconds; returns when that began. */
    private long runLoad(String part, double seconds, double east, double west) throws InterruptedException {
        progress.accept(part);
        long begin = System.nanoTime();
        long steps = (long) (seconds * 100);
        double oweEast = 0;
        double oweWest = 0;
        for (long step = 0; step < steps; step++) {
            oweEast += east / 100;
            oweWest += west / 100;
            for (; oweEast >= 1; oweEast--) {
                sendRequest(this.east);
            }
            for (; oweWest >= 1; oweWest--) {
                sendRequest(this.west);
            }
            long wait = begin + (step + 1) * NANOS_PER_SECOND / 100 - System.nanoTime();
            TimeUnit.NANOSECONDS.sleep(Math.max(0, wait));
        }
        return begin;
    }

    private void sendRequest(ScenarioRegion region) {
        boolean repeatable = random.nextBoolean();
        long id = (region == east ? 0xE000_0000_0000L : 0x3000_0000_0000L) + ++ids;
        region.consumers
                .get(random.nextInt(GATEKEEPERS))
                .send(new ScenarioRequest(
                        String.format("%016x", id),
                        repeatable ? "check" : "reject",
                        repeatable,
                        random.nextInt(CUSTOMERS),
                        1 + random.nextInt(2),
                        DEADLINE_MILLIS,
                        GATEKEEPERS));
    }

    private ScenarioChecks runPhases() throws IOException, InterruptedException {
        progress.accept("starting " + 2 * GATEKEEPERS + " gatekeepers");
        start();
        ScenarioChecks claims = new ScenarioChecks();
        long calm = runLoad("all is well", 3, REQUESTS_PER_SECOND, REQUESTS_PER_SECOND);
        long calmEnd = System.nanoTime();

        east.setProvidersGone(true);
        long gone = runLoad("east's providers are gone", 6, REQUESTS_PER_SECOND, REQUESTS_PER_SECOND);

        RegionLinkStandIn.RegionLinkStandInBehavior[] breaks = RegionLinkStandIn.RegionLinkStandInBehavior.values();
        for (RegionLinkStandIn line : west.links) {
            line.setScript(() -> breaks[(int) (System.nanoTime() >>> 10 & 0xFF) % breaks.length]);
        }
        runLoad("and the line breaks in every way", 3, REQUESTS_PER_SECOND, REQUESTS_PER_SECOND);
        west.links.forEach(line -> line.setScript(() -> RegionLinkStandIn.RegionLinkStandInBehavior.PASSES));
        west.gatekeepers.get(0).kill();
        runLoad("and one of west's gatekeepers is killed", 1.5, REQUESTS_PER_SECOND, 0);
        west.gatekeepers.get(0).start();
        long restarted = runLoad("and starts again", 4, REQUESTS_PER_SECOND, 0);

        east.setProvidersGone(false);
        long back = runLoad("east's providers are back", 7, REQUESTS_PER_SECOND, REQUESTS_PER_SECOND);
        long backEnd = System.nanoTime();

        east.setProvidersGone(true);
        west.setProvidersGone(true);
        long none = runLoad("both regions have none", 3, REQUESTS_PER_SECOND, REQUESTS_PER_SECOND);
        long noneEnd = System.nanoTime();
        west.setProvidersGone(false);

        writeSettings(false);
        for (ScenarioRegion region : List.of(east, west)) {
            for (GatekeeperUnderTest gatekeeper : region.gatekeepers) {
                gatekeeper.sendHangup();
            }
        }
        runLoad("the last resort is turned off under load", 1, REQUESTS_PER_SECOND, 0);
        long off = runLoad("and stays off", 2, REQUESTS_PER_SECOND, 0);
        long offEnd = System.nanoTime();

        progress.accept("leaving");
        boolean all = true;
        for (ScenarioRegion region : List.of(east, west)) {
            for (ConsumerStandIn consumer : region.consumers) {
                all &= consumer.awaitOutcomes();
            }
        }
        long longest = 0;
        boolean ended = true;
        for (ScenarioRegion region : List.of(east, west)) {
            for (GatekeeperUnderTest gatekeeper : region.gatekeepers) {
                long took = gatekeeper.terminate(TERMINATION_TIMEOUT_MILLIS);
                ended &= took >= 0;
                longest = Math.max(longest, took);
            }
        }
        PhaseTimes times = new PhaseTimes(calm, calmEnd, gone, restarted, back, backEnd, none, noneEnd, off, offEnd);
        List<LinkCrossing> fromEast = crossingsInto(west);
        List<LinkCrossing> fromWest = crossingsInto(east);
        checkPhases(claims, times, fromEast, fromWest);
        checkCrossings(claims, fromEast, fromWest);
        checkOutcomes(claims);
        claims.check("every consumer has its answer", all, true, all);
        claims.check("all end after SIGTERM, ms", ended ? longest : "never", "8000", ended && longest < 8_000);
        return claims;
    }

    /** When the phases began and ended, in nanoseconds of the system's monotonic clock. */
    private record PhaseTimes(
            long calm,
            long calmEnd,
            long eastGone,
            long restarted,
            long eastBack,
            long eastBackEnd,
            long bothGone,
            long bothGoneEnd,
            long off,
            long offEnd) {}

    /** How each phase went for the consumers, and when requests crossed. */
    private void checkPhases(
            ScenarioChecks claims, PhaseTimes at, List<LinkCrossing> fromEast, List<LinkCrossing> fromWest) {
        claims.check(
                "requests that cross while all is well",
                countBetween(fromEast, at.calm(), at.calmEnd()) + countBetween(fromWest, at.calm(), at.calmEnd()),
                0,
                countBetween(fromEast, at.calm(), at.calmEnd()) + countBetween(fromWest, at.calm(), at.calmEnd()) == 0);
        double well = servedFraction(east, at.calm(), at.calmEnd());
        double away = servedFraction(east, at.eastGone() + NANOS_PER_SECOND, at.eastGone() + 6 * NANOS_PER_SECOND);
        double without = servedFraction(east, at.off(), at.offEnd());
        claims.check("east served in time while all is well", formatFraction(well), "0.98", well >= 0.98);
        claims.check("east served with no provider, west as last resort", formatFraction(away), "0.45", away >= 0.45);
        claims.check("east served with no provider, last resort off", formatFraction(without), 0, without == 0);
        double westWell = servedFraction(west, at.eastGone(), at.eastGone() + 6 * NANOS_PER_SECOND);
        claims.check("west's own served meanwhile", formatFraction(westWell), "0.98", westWell >= 0.98);
        double after = servedFraction(east, at.restarted() + NANOS_PER_SECOND, at.eastBack());
        claims.check("east served after a west gatekeeper is back", formatFraction(after), "0.40", after >= 0.4);
        long last = Stream.of(fromEast, fromWest)
                .flatMap(List::stream)
                .mapToLong(LinkCrossing::atNanos)
                .filter(when -> when >= at.eastBack() && when < at.eastBackEnd())
                .max()
                .orElse(at.eastBack());
        claims.check(
                "last crossing after east is back, s",
                formatFraction((last - at.eastBack()) / 1e9),
                "6",
                last - at.eastBack() < 6 * NANOS_PER_SECOND);
        double returned =
                servedFraction(east, at.eastBackEnd() - NANOS_PER_SECOND, at.eastBackEnd() - NANOS_PER_SECOND / 5);
        claims.check("east served by its own again", formatFraction(returned), "0.98", returned >= 0.98);
        double slowest = Stream.of(east, west)
                .flatMap(ScenarioRegion::outcomes)
                .filter(told ->
                        told.sentAtNanos() >= at.bothGone() + NANOS_PER_SECOND && told.sentAtNanos() < at.bothGoneEnd())
                .mapToDouble(RequestOutcome::millis)
                .max()
                .orElse(-1);
        claims.check(
                "both have none: slowest answer, ms", formatFraction(slowest), "500", slowest >= 0 && slowest < 500);
        long offCrossed = countBetween(fromEast, at.off(), at.offEnd()) + countBetween(fromWest, at.off(), at.offEnd());
        claims.check("crossings once it is off", offCrossed, 0, offCrossed == 0);
    }

    /** That no request crossed twice or by a wrong path, and that the budget held and was used. */
    private static void checkCrossings(
            ScenarioChecks claims, List<LinkCrossing> fromEast, List<LinkCrossing> fromWest) {
        Map<String, Long> often = Stream.of(fromEast, fromWest)
                .flatMap(List::stream)
                .collect(Collectors.groupingBy(LinkCrossing::id, Collectors.counting()));
        long twice = often.values().stream().filter(count -> count > 1).count();
        claims.check("requests that crossed", often.size(), "over 200", often.size() > 200);
        claims.check("requests that crossed twice", twice, 0, twice == 0);
        long strange = Stream.concat(
                        fromEast.stream().filter(c -> !c.path().equals("east")),
                        fromWest.stream().filter(c -> !c.path().equals("west")))
                .count();
        claims.check("crossings that do not name just their own region", strange, 0, strange == 0);
        double over = Math.max(maxBudgetExcess(fromEast), maxBudgetExcess(fromWest));
        claims.check("most units sent beyond the budget, any stretch", formatFraction(over), 0, over <= 0);
        claims.check("so near the budget came to its bound", formatFraction(-over), "under 15", -over < 15);
    }

    /** That the responses of all requests are right, and that nothing ran that should not have. */
    private void checkOutcomes(ScenarioChecks claims) {
        Map<String, Integer> runs = new HashMap<>();
        Stream.of(east, west)
                .flatMap(region -> region.providers.stream())
                .forEach(provider -> provider.runs().forEach((id, count) -> runs.merge(id, count.get(), Integer::sum)));
        List<RequestOutcome> told =
                Stream.of(east, west).flatMap(ScenarioRegion::outcomes).toList();
        Predicate<RequestOutcome> ran = one -> runs.getOrDefault(one.request().id(), 0) > 0;
        long copies = told.stream()
                .filter(one -> !one.request().idempotent()
                        && runs.getOrDefault(one.request().id(), 0) > 1)
                .count();
        claims.check("requests asked", told.size(), ids, told.size() == ids);
        claims.check("rejects that ran twice", copies, 0, copies == 0);
        long wrong = told.stream()
                .filter(one -> (one.status() == 429 || one.status() == 503)
                        && !one.request().idempotent())
                .filter(ran)
                .count();
        claims.check("rejects refused that ran", wrong, 0, wrong == 0);
        long spoilt = told.stream()
                .filter(one -> one.status() == 200 && !one.bodyMatches())
                .count();
        claims.check("answers that are another's", spoilt, 0, spoilt == 0);
        long late = told.stream()
                .filter(one -> one.status() > 0 && one.millis() > DEADLINE_MILLIS + 50)
                .count();
        claims.check("answers after the deadline", late, 0, late == 0);
        long lost = told.stream()
                .filter(one -> one.status() <= 0 && one.request().id().startsWith("0000e"))
                .count();
        claims.check("east's requests without an answer", lost, 0, lost == 0);
        long bare = told.stream()
                .filter(one -> (one.status() == 429 || one.status() == 503) && one.retryAfterSeconds() < 0)
                .count();
        claims.check("refusals without Retry-After", bare, 0, bare == 0);
    }

    private static List<LinkCrossing> crossingsInto(ScenarioRegion into) {
        return into.links.stream()
                .flatMap(line -> line.crossings().stream())
                .sorted(Comparator.comparingLong(LinkCrossing::atNanos))
                .toList();
    }

    private static long countBetween(List<LinkCrossing> crossings, long from, long to) {
        return crossings.stream()
                .filter(crossing -> crossing.atNanos() >= from && crossing.atNanos() < to)
                .count();
    }

    private static double servedFraction(ScenarioRegion region, long from, long to) {
        List<RequestOutcome> asked = region.outcomes()
                .filter(told -> told.sentAtNanos() >= from && told.sentAtNanos() < to)
                .toList();
        return asked.stream()
                        .filter(told -> told.status() == 200 && told.millis() <= 1_200)
                        .count()
                / (double) Math.max(1, asked.size());
    }

    /** The most by which any stretch of time has more units than rate and burst allow. */
    private static double maxBudgetExcess(List<LinkCrossing> crossings) {
        double most = Double.NEGATIVE_INFINITY;
        for (int from = 0; from < crossings.size(); from++) {
            double units = 0;
            for (int to = from; to < crossings.size(); to++) {
                units += crossings.get(to).units();
                double seconds =
                        (crossings.get(to).atNanos() - crossings.get(from).atNanos()) / 1e9 + RECORDING_DELAY_SECONDS;
                most = Math.max(most, units - BURST - RATE * seconds);
            }
        }
        return most;
    }

    private static String formatFraction(double value) {
        return String.format(Locale.ROOT, "%.3f", value);
    }
}
