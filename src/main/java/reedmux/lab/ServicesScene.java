package reedmux.lab;

import java.io.IOException;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import reedmux.lab.ConsumerStandIn.Asked;
import reedmux.lab.ConsumerStandIn.Told;
import reedmux.lab.ProviderStandIn.Does;

/**
 * Three services in one gatekeeper on one core: one is asked for ten times what its providers can do, or its
 * providers hang, or a thousand connections are opened for it, and the other two are watched. Then a table
 * that changes fifty times under load. Takes about 90 s.
 */
final class ServicesScene {
    private static final String LOUD = "print";
    private static final List<String> QUIET = List.of("inspect", "archive");
    private static final int QUIET_PER_SECOND = 40;
    /** Of the loud service: two providers of two cores and 20 ms each. */
    private static final int LOUD_CAPACITY = 200;

    private static final int DEADLINE_MILLIS = 2_000;
    private static final int SECONDS = 4;
    private static final int ROUNDS = 3;
    private static final int RELOADS = 50;
    private static final int IDLE = 1_000;
    /** Consumers that ask without a pause: as many requests always wait in the gatekeeper. */
    private static final int PRESSING = 128;

    private static final long SECOND = 1_000_000_000;

    /** A service and all that stands round it. */
    private static final class Service implements AutoCloseable {
        final String name;
        final String host;
        final long ids;
        final DiscoveryStandIn discovery = new DiscoveryStandIn();
        final List<ProviderStandIn> providers = new ArrayList<>();

        Service(String name, int number, int cores) throws IOException {
            this.name = name;
            host = name + ".example.org";
            ids = (long) number << 48;
            for (int i = 0; i < 2; i++) {
                providers.add(new ProviderStandIn(cores, 8, 20));
                discovery.list(name + "-s" + i, providers.get(i).hostPort(), "Ready");
            }
        }

        @Override
        public void close() throws IOException {
            for (ProviderStandIn provider : providers) {
                provider.close();
            }
            discovery.close();
        }
    }

    private final Path folder;
    private final Consumer<String> progress;
    private final Map<String, Service> services = new HashMap<>();
    private final List<Told> told = new ArrayList<>();
    private final Path settings;
    private long ids;
    private long asked;
    private final AtomicLong pressed = new AtomicLong(1L << 32);
    private final Map<Integer, Integer> outcomes = new ConcurrentHashMap<>();

    private ServicesScene(Path folder, Consumer<String> progress) throws IOException {
        this.folder = folder;
        this.progress = progress;
        settings = folder.resolve("services.star");
        int number = 1;
        for (String name : List.of(QUIET.get(0), LOUD, QUIET.get(1))) {
            services.put(name, new Service(name, number++, name.equals(LOUD) ? 2 : 8));
        }
    }

    static Claims run(Path folder, Consumer<String> progress) throws IOException, InterruptedException {
        ServicesScene scene = new ServicesScene(folder, progress);
        try {
            return scene.play();
        } finally {
            for (Service service : scene.services.values()) {
                service.close();
            }
        }
    }

    // ---- The settings ------------------------------------------------------------------------------
    private String service(String name, String as) {
        return "service(name = \"" + as + "\", discovery = \""
                + services.get(name).discovery.hostPort() + "\")\nroute(host = \"" + services.get(name).host
                + "\", service = \"" + as + "\")\n";
    }

    private void settle(boolean fair, String... further) throws IOException {
        Files.writeString(
                settings,
                "sharing(fair = " + (fair ? "True" : "False") + ")\n" + service(LOUD, LOUD)
                        + service(QUIET.get(1), QUIET.get(1)) + String.join("", further));
    }

    private Gatekeeper gatekeeper(List<Gatekeeper.Addresses> addresses, String name) throws IOException {
        return new Gatekeeper(
                folder.resolve(name), Gatekeeper.config(0, addresses, services.get(QUIET.get(0)).discovery), settings);
    }

    // ---- The load ----------------------------------------------------------------------------------
    /** What was asked of one service, its own consumers' answers apart from others'. */
    private final class Load implements AutoCloseable {
        final Map<String, ConsumerStandIn> consumers = new HashMap<>();

        Load(Gatekeeper.Addresses at) {
            services.forEach((name, service) -> consumers.put(name, new ConsumerStandIn(at.consumers(), service.host)));
        }

        void ask(String name) {
            long id = ++ids;
            asked++;
            boolean repeatable = id % 2 == 0;
            consumers
                    .get(name)
                    .ask(new Asked(
                            String.format(Locale.ROOT, "%016x", services.get(name).ids + id),
                            repeatable ? "check" : "reject",
                            repeatable,
                            id % 50,
                            1,
                            DEADLINE_MILLIS,
                            1));
        }

        /** Has so many consumers ask the loud service without a pause until they are told to end. */
        List<Thread> press(int consumers, AtomicBoolean pressing) {
            return IntStream.range(0, consumers)
                    .mapToObj(i -> StandIn.thread("press", () -> {
                        while (pressing.get()) {
                            long id = pressed.incrementAndGet();
                            Told one = this.consumers
                                    .get(LOUD)
                                    .askAndWait(new Asked(
                                            String.format(Locale.ROOT, "%016x", services.get(LOUD).ids + id),
                                            "check",
                                            true,
                                            id % 50,
                                            1,
                                            DEADLINE_MILLIS,
                                            1));
                            outcomes.merge(one.status(), 1, Integer::sum);
                        }
                    }))
                    .toList();
        }

        /** For so many seconds; {@code loud} requests a second to the one service beside the quiet ones. */
        void run(double seconds, int loud) throws InterruptedException {
            long begin = System.nanoTime();
            double[] owe = new double[2];
            for (long step = 0; step < seconds * 200; step++) {
                owe[0] += QUIET_PER_SECOND / 200.0;
                owe[1] += loud / 200.0;
                for (; owe[0] >= 1; owe[0]--) {
                    QUIET.forEach(this::ask);
                }
                for (; owe[1] >= 1; owe[1]--) {
                    ask(LOUD);
                }
                TimeUnit.NANOSECONDS.sleep(Math.max(0, begin + (step + 1) * SECOND / 200 - System.nanoTime()));
            }
        }

        List<Told> finish() throws InterruptedException {
            List<Told> all = new ArrayList<>();
            for (ConsumerStandIn consumer : consumers.values()) {
                consumer.finish();
                all.addAll(consumer.told());
            }
            told.addAll(all);
            return all;
        }

        @Override
        public void close() {
            consumers.values().forEach(ConsumerStandIn::close);
        }
    }

    /** How the quiet services fared in one stretch. */
    private record Fared(double service, double p99, int refusedLoud, int askedLoud) {}

    private Fared stretch(Gatekeeper.Addresses at, int loud) throws InterruptedException {
        try (Load load = new Load(at)) {
            load.run(SECONDS, loud);
            List<Told> all = load.finish();
            long from = services.get(LOUD).ids;
            List<Told> quiet =
                    all.stream().filter(one -> (id(one) >>> 48 << 48) != from).toList();
            double[] millis = quiet.stream().mapToDouble(Told::millis).sorted().toArray();
            List<Told> print =
                    all.stream().filter(one -> (id(one) >>> 48 << 48) == from).toList();
            return new Fared(
                    quiet.stream().filter(one -> one.status() == 200).count() / (double) quiet.size(),
                    millis[(int) (millis.length * 0.99)],
                    (int) print.stream().filter(one -> one.status() != 200).count(),
                    print.size());
        }
    }

    /**
     * As a stretch, with consumers of the loud service that ask without a pause, which takes all the core.
     */
    private Fared pressed(Gatekeeper.Addresses at) throws InterruptedException {
        try (Load load = new Load(at)) {
            AtomicBoolean pressing = new AtomicBoolean(true);
            List<Thread> press = load.press(PRESSING, pressing);
            load.run(SECONDS, 0);
            pressing.set(false);
            for (Thread thread : press) {
                thread.join(DEADLINE_MILLIS);
            }
            List<Told> quiet = load.finish();
            double[] millis = quiet.stream().mapToDouble(Told::millis).sorted().toArray();
            return new Fared(
                    quiet.stream().filter(one -> one.status() == 200).count() / (double) quiet.size(),
                    millis[(int) (millis.length * 0.99)],
                    0,
                    0);
        }
    }

    private static long id(Told one) {
        return Long.parseUnsignedLong(one.asked().id(), 16);
    }

    // ---- The parts ---------------------------------------------------------------------------------
    private Claims play() throws IOException, InterruptedException {
        Claims claims = new Claims();
        flood(claims, true);
        flood(claims, false);
        reloads(claims);
        judge(claims);
        return claims;
    }

    private void flood(Claims claims, boolean fair) throws IOException, InterruptedException {
        settle(fair);
        String how = fair ? "taking turns" : "by arrival";
        List<Gatekeeper.Addresses> addresses = Gatekeeper.free(1);
        try (Gatekeeper gatekeeper = gatekeeper(addresses, fair ? "fair" : "arrival");
                ConsumerStandIn probe = new ConsumerStandIn(addresses.get(0).consumers())) {
            claims.note("on one core", gatekeeper.onOneCore() ? "yes" : "no");
            gatekeeper.start();
            gatekeeper.awaitReady(probe);
            stretch(addresses.get(0), LOUD_CAPACITY * 10); // until compiled
            List<Fared> calm = new ArrayList<>();
            List<Fared> loud = new ArrayList<>();
            List<Fared> press = new ArrayList<>();
            for (int i = 0; i < ROUNDS; i++) {
                calm.add(stretch(addresses.get(0), 0));
                loud.add(stretch(addresses.get(0), LOUD_CAPACITY * 10));
                press.add(pressed(addresses.get(0)));
                progress.accept(how + ": calm " + calm.get(i) + ", loud " + loud.get(i) + ", pressed " + press.get(i));
            }
            claims.note(
                    how + ", asked without a pause by " + PRESSING + ": ratio of the p99",
                    text(median(press, false) / median(calm, false)));
            claims.note(how + ", asked without a pause: what came of it", outcomes.toString());
            outcomes.clear();
            double ratio = median(loud, false) / median(calm, false);
            double lost = median(calm, true) - median(loud, true);
            claims.note(
                    how + ": p99 of the quiet, ms, calm and flooded",
                    text(median(calm, false)) + " and " + text(median(loud, false)));
            if (fair) {
                claims.claim(how + ": ratio of the p99", text(ratio), "1.2", ratio <= 1.2);
                claims.claim(how + ": service lost by the quiet", text(lost), "0.01", lost <= 0.01);
            } else {
                claims.note(how + ": ratio of the p99", text(ratio));
                claims.note(how + ": service lost by the quiet", text(lost));
            }
            claims.note(how + ": of the loud refused", loud.get(0).refusedLoud + " of " + loud.get(0).askedLoud);
            if (fair) {
                hang(claims, addresses.get(0), calm);
                crowd(claims, addresses.get(0), calm);
            }
        }
    }

    /** The loud service's providers take all and answer nothing. */
    private void hang(Claims claims, Gatekeeper.Addresses at, List<Fared> calm) throws InterruptedException {
        services.get(LOUD).providers.forEach(provider -> provider.script(id -> Does.HANGS));
        Fared hung = stretch(at, LOUD_CAPACITY);
        services.get(LOUD).providers.forEach(provider -> provider.script(id -> Does.ANSWERS));
        claims.claim(
                "loud providers hang: service of the quiet lost",
                text(median(calm, true) - hung.service),
                "0.01",
                median(calm, true) - hung.service <= 0.01);
        claims.claim(
                "loud providers hang: ratio of the p99",
                text(hung.p99 / median(calm, false)),
                "1.2",
                hung.p99 / median(calm, false) <= 1.2);
    }

    /** A thousand connections for the loud host that ask once at most and stay. */
    private void crowd(Claims claims, Gatekeeper.Addresses at, List<Fared> calm)
            throws IOException, InterruptedException {
        List<Socket> crowd = new ArrayList<>();
        Thread opener = StandIn.thread("crowd", () -> {
            try {
                for (int i = 0; i < IDLE; i++) {
                    Socket socket = new Socket();
                    socket.connect(at.consumers(), 5_000);
                    socket.getOutputStream()
                            .write(("GET /check HTTP/1.1\r\nHost: " + services.get(LOUD).host + "\r\n\r\n")
                                    .getBytes(java.nio.charset.StandardCharsets.US_ASCII));
                    crowd.add(socket);
                }
            } catch (IOException e) {
                progress.accept("the crowd stops at " + crowd.size() + ": " + e);
            }
        });
        Fared crowded = stretch(at, 0);
        opener.join(5_000);
        claims.claim("connections for the loud host that stay", crowd.size(), IDLE, crowd.size() == IDLE);
        claims.claim(
                "with them: service of the quiet lost",
                text(median(calm, true) - crowded.service),
                "0.01",
                median(calm, true) - crowded.service <= 0.01);
        for (Socket socket : crowd) {
            socket.close();
        }
    }

    private void reloads(Claims claims) throws IOException, InterruptedException {
        settle(true);
        List<Gatekeeper.Addresses> addresses = Gatekeeper.free(1);
        try (Gatekeeper gatekeeper = gatekeeper(addresses, "reloads");
                ConsumerStandIn probe = new ConsumerStandIn(addresses.get(0).consumers());
                Load load = new Load(addresses.get(0))) {
            gatekeeper.start();
            gatekeeper.awaitReady(probe);
            load.run(2, LOUD_CAPACITY / 2);
            double heap = CostScene.heap(gatekeeper);
            long descriptors = gatekeeper.descriptors();
            for (int i = 0; i < RELOADS; i++) {
                switch (i % 4) {
                    case 0 ->
                        settle(
                                true,
                                service(LOUD, "extra-" + i)
                                        .replace(services.get(LOUD).host, "extra.example.org")); // one comes
                    case 1 -> settle(true); // it goes
                    case 2 ->
                        Files.writeString(
                                settings, service(LOUD, "renamed-" + i) + service(QUIET.get(1), QUIET.get(1)));
                    default -> Files.writeString(settings, "service(name = \"broken\")\n");
                }
                gatekeeper.hangUp();
                load.run(0.25, LOUD_CAPACITY / 2);
                if (i % 10 == 9) {
                    progress.accept((i + 1) + " reloads");
                }
            }
            settle(true);
            gatekeeper.hangUp();
            load.run(4, LOUD_CAPACITY / 2);
            long lost =
                    load.finish().stream().filter(one -> one.status() != 200).count();
            claims.claim(RELOADS + " reloads: requests without their answer", lost, 0, lost == 0);
            String log = gatekeeper.log();
            long swaps = Stream.of(log.split("\n"))
                    .filter(line -> line.contains("services: now"))
                    .count();
            claims.claim("tables that took over", swaps, "over 30", swaps > 30);
            long bad = Stream.of(log.split("\n"))
                    .filter(line -> line.contains("the old settings" + " stay"))
                    .count();
            claims.claim("broken files that changed nothing", bad, 12, bad == 12);
            double heapAfter = CostScene.heap(gatekeeper);
            long after = gatekeeper.descriptors();
            claims.claim(
                    "heap in use before and after, KiB",
                    text(heap) + " and " + text(heapAfter),
                    "+1024",
                    heapAfter <= heap + 1024);
            claims.claim(
                    "descriptors before and after", descriptors + " and " + after, "+16", after <= descriptors + 16);
        }
    }

    private void judge(Claims claims) {
        long strange = 0;
        long twice = 0;
        for (Service service : services.values()) {
            for (ProviderStandIn provider : service.providers) {
                for (String id : provider.runs().keySet()) {
                    strange += Long.parseUnsignedLong(id, 16) >>> 48 << 48 == service.ids ? 0 : 1;
                }
            }
            Map<String, Integer> runs = new HashMap<>();
            service.providers.forEach(
                    provider -> provider.runs().forEach((id, count) -> runs.merge(id, count.get(), Integer::sum)));
            twice += told.stream()
                    .filter(one -> !one.asked().repeatable()
                            && runs.getOrDefault(one.asked().id(), 0) > 1)
                    .count();
        }
        claims.claim("requests that ran at another service's provider", strange, 0, strange == 0);
        claims.claim("rejects that ran twice", twice, 0, twice == 0);
        claims.claim("requests with an outcome", told.size(), asked, told.size() == asked);
        long spoilt =
                told.stream().filter(one -> one.status() == 200 && !one.whole()).count();
        claims.claim("answers that are another's", spoilt, 0, spoilt == 0);
        long bare = told.stream()
                .filter(one -> (one.status() == 429 || one.status() == 503) && one.retryAfter() < 0)
                .count();
        claims.claim("refusals without Retry-After", bare, 0, bare == 0);
        long late = told.stream()
                .filter(one -> one.millis() > DEADLINE_MILLIS + 100)
                .count();
        claims.claim("answers after the deadline", late, 0, late == 0);
    }

    private static double median(List<Fared> fared, boolean service) {
        double[] values = fared.stream()
                .mapToDouble(one -> service ? one.service : one.p99)
                .toArray();
        Arrays.sort(values);
        return values[values.length / 2];
    }

    private static String text(double value) {
        return String.format(Locale.ROOT, "%.3f", value);
    }
}
