package reedmux.lab;

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
import reedmux.lab.ConsumerStandIn.Asked;
import reedmux.lab.ConsumerStandIn.Told;
import reedmux.lab.LinkStandIn.Crossing;

/**
 * Two small regions of real gatekeepers on loopback, each the other's last resort, through days on which
 * their providers go, links break and gatekeepers die. Takes about 35 s.
 */
public final class RegionScene {
    private static final int GATEKEEPERS = 2;
    private static final int PROVIDERS = 3;
    private static final int CUSTOMERS = 12;
    private static final int DEADLINE_MILLIS = 2_000;
    private static final int PER_SECOND = 30;
    /** Less than what east is asked, about 45 units a second, so that the budget is what bounds. */
    private static final double RATE = 24;

    private static final double BURST = 24;
    /** Between the time on which a decision rests and the line's note of it, in seconds. */
    private static final double NOTED_WITHIN = 0.2;

    private static final long PATIENCE_MILLIS = 12_000;
    private static final long SECOND = 1_000_000_000;

    /** A region and all that stands round it. */
    private static final class Region {
        final String name;
        final DiscoveryStandIn discovery = new DiscoveryStandIn();
        final List<ProviderStandIn> providers = new ArrayList<>();
        final List<Gatekeeper.Addresses> addresses;
        final List<Gatekeeper> gatekeepers = new ArrayList<>();
        final List<ConsumerStandIn> consumers = new ArrayList<>();
        /** The lines that lead from the other region to our gatekeepers. */
        final List<LinkStandIn> lines = new ArrayList<>();

        final Path settings;

        Region(String name, Path folder) throws IOException {
            this.name = name;
            settings = folder.resolve(name + ".star");
            addresses = Gatekeeper.free(GATEKEEPERS);
            for (int i = 0; i < PROVIDERS; i++) {
                providers.add(new ProviderStandIn(4, 16, 25));
                discovery.list(name + "-s" + i, providers.get(i).hostPort(), "Ready");
            }
            for (Gatekeeper.Addresses address : addresses) {
                lines.add(new LinkStandIn(address.regions()));
                consumers.add(new ConsumerStandIn(address.consumers()));
            }
        }

        void settle(Region other, boolean lastResort) throws IOException {
            Files.writeString(
                    settings,
                    region(other)
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
                                                    other.lines.stream()
                                                            .map(line -> '"' + line.hostPort() + '"')
                                                            .collect(Collectors.joining(", ")),
                                                    RATE,
                                                    BURST)
                                    : ""));
        }

        private String region(Region other) {
            // Each gatekeeper of a region reads the same file, so the listener's port is told by its number.
            return """
                    region(name = "%s", listen = "%%s", takes_from = ["%s"], connections_in = 48,
                           connections_out = 48, visitors = visitors(most_at_once = 32, rate = 200,
                                   burst = 400,
                                                                     suffers_at = 0.05))
                    """.formatted(name, other.name);
        }

        void gone(boolean gone) throws IOException {
            for (int i = 0; i < PROVIDERS; i++) {
                if (gone) {
                    providers.get(i).vanish();
                } else {
                    providers.get(i).comeBack();
                }
                discovery.list(name + "-s" + i, providers.get(i).hostPort(), gone ? "Gone" : "Ready");
            }
        }

        Stream<Told> told() {
            return consumers.stream().flatMap(consumer -> consumer.told().stream());
        }
    }

    private final Path folder;
    private final Consumer<String> progress;
    private final SplittableRandom random;
    private final Region east;
    private final Region west;
    private long ids;

    private RegionScene(Path folder, long seed, Consumer<String> progress) throws IOException {
        this.folder = folder;
        this.progress = progress;
        random = new SplittableRandom(seed);
        east = new Region("east", folder);
        west = new Region("west", folder);
    }

    /**
     * Plays the scene.
     *
     * @param folder   for configurations and logs
     * @param progress hears of each part as it begins
     */
    public static Claims run(Path folder, long seed, Consumer<String> progress)
            throws IOException, InterruptedException {
        RegionScene scene = new RegionScene(folder, seed, progress);
        try {
            return scene.play();
        } finally {
            for (Region region : List.of(scene.east, scene.west)) {
                region.gatekeepers.forEach(Gatekeeper::close);
                region.consumers.forEach(ConsumerStandIn::close);
                for (StandIn standIn : Stream.of(region.providers, region.lines, List.of(region.discovery))
                        .flatMap(List::stream)
                        .toList()) {
                    standIn.close();
                }
            }
        }
    }

    private void settle(boolean lastResort) throws IOException {
        for (Region region : List.of(east, west)) {
            region.settle(region == east ? west : east, lastResort);
            String whole = Files.readString(region.settings);
            for (int i = 0; i < GATEKEEPERS; i++) {
                Files.writeString(
                        own(region, i),
                        whole.replace(
                                "%s",
                                Gatekeeper.hostPort(region.addresses.get(i).regions())));
            }
        }
    }

    private Path own(Region region, int number) {
        return folder.resolve(region.name + '-' + number + ".star");
    }

    private void start() throws IOException, InterruptedException {
        settle(true);
        for (Region region : List.of(east, west)) {
            for (int i = 0; i < GATEKEEPERS; i++) {
                Gatekeeper gatekeeper = new Gatekeeper(
                        folder.resolve(region.name + '-' + i),
                        Gatekeeper.config(i, region.addresses, region.discovery),
                        own(region, i));
                region.gatekeepers.add(gatekeeper);
                gatekeeper.start();
            }
        }
        for (Region region : List.of(east, west)) {
            for (int i = 0; i < GATEKEEPERS; i++) {
                region.gatekeepers.get(i).awaitReady(region.consumers.get(i));
            }
        }
    }

    /** Has both regions' consumers ask for so many seconds; returns when that began. */
    private long load(String part, double seconds, double east, double west) throws InterruptedException {
        progress.accept(part);
        long begin = System.nanoTime();
        long steps = (long) (seconds * 100);
        double oweEast = 0;
        double oweWest = 0;
        for (long step = 0; step < steps; step++) {
            oweEast += east / 100;
            oweWest += west / 100;
            for (; oweEast >= 1; oweEast--) {
                ask(this.east);
            }
            for (; oweWest >= 1; oweWest--) {
                ask(this.west);
            }
            long wait = begin + (step + 1) * SECOND / 100 - System.nanoTime();
            TimeUnit.NANOSECONDS.sleep(Math.max(0, wait));
        }
        return begin;
    }

    private void ask(Region region) {
        boolean repeatable = random.nextBoolean();
        long id = (region == east ? 0xE000_0000_0000L : 0x3000_0000_0000L) + ++ids;
        region.consumers
                .get(random.nextInt(GATEKEEPERS))
                .ask(new Asked(
                        String.format("%016x", id),
                        repeatable ? "check" : "reject",
                        repeatable,
                        random.nextInt(CUSTOMERS),
                        1 + random.nextInt(2),
                        DEADLINE_MILLIS,
                        GATEKEEPERS));
    }

    private Claims play() throws IOException, InterruptedException {
        progress.accept("starting " + 2 * GATEKEEPERS + " gatekeepers");
        start();
        Claims claims = new Claims();
        long calm = load("all is well", 3, PER_SECOND, PER_SECOND);
        long calmEnd = System.nanoTime();

        east.gone(true);
        long gone = load("east's providers are gone", 6, PER_SECOND, PER_SECOND);

        LinkStandIn.Does[] breaks = LinkStandIn.Does.values();
        for (LinkStandIn line : west.lines) {
            line.script(() -> breaks[(int) (System.nanoTime() >>> 10 & 0xFF) % breaks.length]);
        }
        load("and the line breaks in every way", 3, PER_SECOND, PER_SECOND);
        west.lines.forEach(line -> line.script(() -> LinkStandIn.Does.PASSES));
        west.gatekeepers.get(0).kill();
        load("and one of west's gatekeepers is killed", 1.5, PER_SECOND, 0);
        west.gatekeepers.get(0).start();
        long restarted = load("and starts again", 4, PER_SECOND, 0);

        east.gone(false);
        long back = load("east's providers are back", 7, PER_SECOND, PER_SECOND);
        long backEnd = System.nanoTime();

        east.gone(true);
        west.gone(true);
        long none = load("both regions have none", 3, PER_SECOND, PER_SECOND);
        long noneEnd = System.nanoTime();
        west.gone(false);

        settle(false);
        for (Region region : List.of(east, west)) {
            for (Gatekeeper gatekeeper : region.gatekeepers) {
                gatekeeper.hangUp();
            }
        }
        load("the last resort is turned off under load", 1, PER_SECOND, 0);
        long off = load("and stays off", 2, PER_SECOND, 0);
        long offEnd = System.nanoTime();

        progress.accept("leaving");
        boolean all = true;
        for (Region region : List.of(east, west)) {
            for (ConsumerStandIn consumer : region.consumers) {
                all &= consumer.finish();
            }
        }
        long longest = 0;
        boolean ended = true;
        for (Region region : List.of(east, west)) {
            for (Gatekeeper gatekeeper : region.gatekeepers) {
                long took = gatekeeper.leave(PATIENCE_MILLIS);
                ended &= took >= 0;
                longest = Math.max(longest, took);
            }
        }
        judge(claims, new long[] {calm, calmEnd, gone, restarted, back, backEnd, none, noneEnd, off, offEnd});
        claims.claim("every consumer has its answer", all, true, all);
        claims.claim("all end after SIGTERM, ms", ended ? longest : "never", "8000", ended && longest < 8_000);
        return claims;
    }

    private void judge(Claims claims, long[] at) {
        List<Crossing> fromEast = crossings(west);
        List<Crossing> fromWest = crossings(east);
        claims.claim(
                "requests that cross while all is well",
                between(fromEast, at[0], at[1]) + between(fromWest, at[0], at[1]),
                0,
                between(fromEast, at[0], at[1]) + between(fromWest, at[0], at[1]) == 0);
        double well = served(east, at[0], at[1]);
        double away = served(east, at[2] + SECOND, at[2] + 6 * SECOND);
        double without = served(east, at[8], at[9]);
        claims.claim("east served in time while all is well", share(well), "0.98", well >= 0.98);
        claims.claim("east served with no provider, west as last resort", share(away), "0.45", away >= 0.45);
        claims.claim("east served with no provider, last resort off", share(without), 0, without == 0);
        double westWell = served(west, at[2], at[2] + 6 * SECOND);
        claims.claim("west's own served meanwhile", share(westWell), "0.98", westWell >= 0.98);
        double after = served(east, at[3] + SECOND, at[4]);
        claims.claim("east served after a west gatekeeper is back", share(after), "0.40", after >= 0.4);
        long last = Stream.of(fromEast, fromWest)
                .flatMap(List::stream)
                .mapToLong(Crossing::at)
                .filter(when -> when >= at[4] && when < at[5])
                .max()
                .orElse(at[4]);
        claims.claim(
                "last crossing after east is back, s", share((last - at[4]) / 1e9), "6", last - at[4] < 6 * SECOND);
        double returned = served(east, at[5] - SECOND, at[5] - SECOND / 5);
        claims.claim("east served by its own again", share(returned), "0.98", returned >= 0.98);
        double slowest = Stream.of(east, west)
                .flatMap(Region::told)
                .filter(told -> told.sentAt() >= at[6] + SECOND && told.sentAt() < at[7])
                .mapToDouble(Told::millis)
                .max()
                .orElse(-1);
        claims.claim("both have none: slowest answer, ms", share(slowest), "500", slowest >= 0 && slowest < 500);
        long offCrossed = between(fromEast, at[8], at[9]) + between(fromWest, at[8], at[9]);
        claims.claim("crossings once it is off", offCrossed, 0, offCrossed == 0);

        Map<String, Long> often = Stream.of(fromEast, fromWest)
                .flatMap(List::stream)
                .collect(Collectors.groupingBy(Crossing::id, Collectors.counting()));
        long twice = often.values().stream().filter(count -> count > 1).count();
        claims.claim("requests that crossed", often.size(), "over 200", often.size() > 200);
        claims.claim("requests that crossed twice", twice, 0, twice == 0);
        long strange = Stream.concat(
                        fromEast.stream().filter(c -> !c.path().equals("east")),
                        fromWest.stream().filter(c -> !c.path().equals("west")))
                .count();
        claims.claim("crossings that do not name just their own region", strange, 0, strange == 0);
        double over = Math.max(excess(fromEast), excess(fromWest));
        claims.claim("most units sent beyond the budget, any stretch", share(over), 0, over <= 0);
        claims.claim("so near the budget came to its bound", share(-over), "under 15", -over < 15);

        Map<String, Integer> runs = new HashMap<>();
        Stream.of(east, west)
                .flatMap(region -> region.providers.stream())
                .forEach(provider -> provider.runs().forEach((id, count) -> runs.merge(id, count.get(), Integer::sum)));
        List<Told> told = Stream.of(east, west).flatMap(Region::told).toList();
        Predicate<Told> ran = one -> runs.getOrDefault(one.asked().id(), 0) > 0;
        long copies = told.stream()
                .filter(one -> !one.asked().repeatable()
                        && runs.getOrDefault(one.asked().id(), 0) > 1)
                .count();
        claims.claim("requests asked", told.size(), ids, told.size() == ids);
        claims.claim("rejects that ran twice", copies, 0, copies == 0);
        long wrong = told.stream()
                .filter(one -> (one.status() == 429 || one.status() == 503)
                        && !one.asked().repeatable())
                .filter(ran)
                .count();
        claims.claim("rejects refused that ran", wrong, 0, wrong == 0);
        long spoilt =
                told.stream().filter(one -> one.status() == 200 && !one.whole()).count();
        claims.claim("answers that are another's", spoilt, 0, spoilt == 0);
        long late = told.stream()
                .filter(one -> one.status() > 0 && one.millis() > DEADLINE_MILLIS + 50)
                .count();
        claims.claim("answers after the deadline", late, 0, late == 0);
        long lost = told.stream()
                .filter(one -> one.status() <= 0 && one.asked().id().startsWith("0000e"))
                .count();
        claims.claim("east's requests without an answer", lost, 0, lost == 0);
        long bare = told.stream()
                .filter(one -> (one.status() == 429 || one.status() == 503) && one.retryAfter() < 0)
                .count();
        claims.claim("refusals without Retry-After", bare, 0, bare == 0);
    }

    private static List<Crossing> crossings(Region into) {
        return into.lines.stream()
                .flatMap(line -> line.crossings().stream())
                .sorted(Comparator.comparingLong(Crossing::at))
                .toList();
    }

    private static long between(List<Crossing> crossings, long from, long to) {
        return crossings.stream()
                .filter(crossing -> crossing.at() >= from && crossing.at() < to)
                .count();
    }

    private static double served(Region region, long from, long to) {
        List<Told> asked = region.told()
                .filter(told -> told.sentAt() >= from && told.sentAt() < to)
                .toList();
        return asked.stream()
                        .filter(told -> told.status() == 200 && told.millis() <= 1_200)
                        .count()
                / (double) Math.max(1, asked.size());
    }

    /** The most by which any stretch of time has more units than rate and burst allow. */
    private static double excess(List<Crossing> crossings) {
        double most = Double.NEGATIVE_INFINITY;
        for (int from = 0; from < crossings.size(); from++) {
            double units = 0;
            for (int to = from; to < crossings.size(); to++) {
                units += crossings.get(to).units();
                double seconds = (crossings.get(to).at() - crossings.get(from).at()) / 1e9 + NOTED_WITHIN;
                most = Math.max(most, units - BURST - RATE * seconds);
            }
        }
        return most;
    }

    private static String share(double value) {
        return String.format(Locale.ROOT, "%.3f", value);
    }
}
