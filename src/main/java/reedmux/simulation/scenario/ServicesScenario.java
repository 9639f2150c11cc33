package reedmux.simulation.scenario;

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
import reedmux.simulation.standin.ConsumerStandIn;
import reedmux.simulation.standin.ConsumerStandIn.RequestOutcome;
import reedmux.simulation.standin.ConsumerStandIn.ScenarioRequest;
import reedmux.simulation.standin.DiscoveryStandIn;
import reedmux.simulation.standin.ProviderStandIn;
import reedmux.simulation.standin.ProviderStandIn.ProviderStandInBehavior;
import reedmux.simulation.standin.StandInServer;

/**
 * Three services in one gatekeeper on one core: one is asked for ten times what its providers can do, or its
 * providers hang, or a thousand connections are opened for it, and the other two are watched. Then a table
 * that changes fifty times under load. Takes about 90 s.
 */
public final class ServicesScenario {
    private static final String LOUD = "print";
    private static final List<String> QUIET = List.of("inspect", "archive");
    private static final int QUIET_PER_SECOND = 40;
    /** Of the loud service: two providers of two cores and 20 ms each. */
    private static final int LOUD_CAPACITY = 200;

    private static final int DEADLINE_MILLIS = 2_000;
    private static final int SECONDS = 4;
    private static final int ROUNDS = 3;
    private static final int RELOADS = 50;
    private static final int IDLE_CONNECTIONS = 1_000;
    /** Consumers that ask without a pause: as many requests always wait in the gatekeeper. */
    private static final int CLOSED_LOOP_CONSUMERS = 128;

    private static final long NANOS_PER_SECOND = 1_000_000_000;

    /** A service and all that stands round it. */
    private static final class ScenarioService implements AutoCloseable {
        final String name;
        final String host;
        final long ids;
        final DiscoveryStandIn discovery = new DiscoveryStandIn();
        final List<ProviderStandIn> providers = new ArrayList<>();

        ScenarioService(String name, int number, int cores) throws IOException {
            this.name = name;
            host = name + ".example.org";
            ids = (long) number << 48;
            for (int i = 0; i < 2; i++) {
                providers.add(new ProviderStandIn(cores, 8, 20));
                discovery.setPhase(name + "-s" + i, providers.get(i).hostPort(), "Ready");
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
    private final Map<String, ScenarioService> services = new HashMap<>();
    private final List<RequestOutcome> allOutcomes = new ArrayList<>();
    private final Path settings;
    private long ids;
    private long sentCount;
    private final AtomicLong closedLoopIds = new AtomicLong(1L << 32);
    private final Map<Integer, Integer> closedLoopStatuses = new ConcurrentHashMap<>();

    private ServicesScenario(Path folder, Consumer<String> progress) throws IOException {
        this.folder = folder;
        this.progress = progress;
        settings = folder.resolve("services.star");
        int number = 1;
        for (String name : List.of(QUIET.get(0), LOUD, QUIET.get(1))) {
            services.put(name, new ScenarioService(name, number++, name.equals(LOUD) ? 2 : 8));
        }
    }

    static ScenarioChecks run(Path folder, Consumer<String> progress) throws IOException, InterruptedException {
        ServicesScenario scene = new ServicesScenario(folder, progress);
        try {
            return scene.runPhases();
        } finally {
            for (ScenarioService service : scene.services.values()) {
                service.close();
            }
        }
    }

    // ---- The settings ------------------------------------------------------------------------------
    private String serviceDeclaration(String name, String as) {
        return "service(name = \"" + as + "\", discovery = \""
                + services.get(name).discovery.hostPort() + "\")\nroute(host = \"" + services.get(name).host
                + "\", service = \"" + as + "\")\n";
    }

    private void writeSettings(boolean fair, String... further) throws IOException {
        Files.writeString(
                settings,
                "sharing(fair = " + (fair ? "True" : "False") + ")\n" + serviceDeclaration(LOUD, LOUD)
                        + serviceDeclaration(QUIET.get(1), QUIET.get(1)) + String.join("", further));
    }

    private GatekeeperUnderTest createGatekeeper(List<GatekeeperUnderTest.GatekeeperAddresses> addresses, String name)
            throws IOException {
        return new GatekeeperUnderTest(
                folder.resolve(name),
                GatekeeperUnderTest.platformConfig(0, addresses, services.get(QUIET.get(0)).discovery),
                settings);
    }

    // ---- The load ----------------------------------------------------------------------------------
    /** What was asked of one service, its own consumers' answers apart from others'. */
    private final class ServicesLoad implements AutoCloseable {
        final Map<String, ConsumerStandIn> consumers = new HashMap<>();

        ServicesLoad(GatekeeperUnderTest.GatekeeperAddresses at) {
            services.forEach((name, service) -> consumers.put(name, new ConsumerStandIn(at.consumers(), service.host)));
        }

        void send(String name) {
            long id = ++ids;
            sentCount++;
            boolean repeatable = id % 2 == 0;
            consumers
                    .get(name)
                    .send(new ScenarioRequest(
                            String.format(Locale.ROOT, "%016x", services.get(name).ids + id),
                            repeatable ? "check" : "reject",
                            repeatable,
                            id % 50,
                            1,
                            DEADLINE_MILLIS,
                            1));
        }

        /** Has so many consumers ask the loud service without a pause until they are told to end. */
        List<Thread> startClosedLoop(int consumers, AtomicBoolean pressing) {
            return IntStream.range(0, consumers)
                    .mapToObj(i -> StandInServer.startThread("press", () -> {
                        while (pressing.get()) {
                            long id = closedLoopIds.incrementAndGet();
                            RequestOutcome one = this.consumers
                                    .get(LOUD)
                                    .sendAndWait(new ScenarioRequest(
                                            String.format(Locale.ROOT, "%016x", services.get(LOUD).ids + id),
                                            "check",
                                            true,
                                            id % 50,
                                            1,
                                            DEADLINE_MILLIS,
                                            1));
                            closedLoopStatuses.merge(one.status(), 1, Integer::sum);
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
                    QUIET.forEach(this::send);
                }
                for (; owe[1] >= 1; owe[1]--) {
                    send(LOUD);
                }
                TimeUnit.NANOSECONDS.sleep(
                        Math.max(0, begin + (step + 1) * NANOS_PER_SECOND / 200 - System.nanoTime()));
            }
        }

        List<RequestOutcome> finish() throws InterruptedException {
            List<RequestOutcome> all = new ArrayList<>();
            for (ConsumerStandIn consumer : consumers.values()) {
                consumer.awaitOutcomes();
                all.addAll(consumer.outcomes());
            }
            allOutcomes.addAll(all);
            return all;
        }

        @Override
        public void close() {
            consumers.values().forEach(ConsumerStandIn::close);
        }
    }

    /** How the quiet services fared in one stretch. */
    private record QuietServiceStats(double servedFraction, double p99Millis, int rejectedLoud, int sentLoud) {}

    private QuietServiceStats measureOpenLoop(GatekeeperUnderTest.GatekeeperAddresses at, int loud)
            throws InterruptedException {
        try (ServicesLoad load = new ServicesLoad(at)) {
            load.run(SECONDS, loud);
            List<RequestOutcome> all = load.finish();
            long from = services.get(LOUD).ids;
            List<RequestOutcome> quiet =
                    all.stream().filter(one -> (id(one) >>> 48 << 48) != from).toList();
            double[] millis =
                    quiet.stream().mapToDouble(RequestOutcome::millis).sorted().toArray();
            List<RequestOutcome> print =
                    all.stream().filter(one -> (id(one) >>> 48 << 48) == from).toList();
            return new QuietServiceStats(
                    quiet.stream().filter(one -> one.status() == 200).count() / (double) quiet.size(),
                    millis[(int) (millis.length * 0.99)],
                    (int) print.stream().filter(one -> one.status() != 200).count(),
                    print.size());
        }
    }

    /**
     * As a stretch, with consumers of the loud service that ask without a pause, which takes all the core.
     */
    private QuietServiceStats measureClosedLoop(GatekeeperUnderTest.GatekeeperAddresses at)
            throws InterruptedException {
        try (ServicesLoad load = new ServicesLoad(at)) {
            AtomicBoolean pressing = new AtomicBoolean(true);
            List<Thread> press = load.startClosedLoop(CLOSED_LOOP_CONSUMERS, pressing);
            load.run(SECONDS, 0);
            pressing.set(false);
            for (Thread thread : press) {
                thread.join(DEADLINE_MILLIS);
            }
            List<RequestOutcome> quiet = load.finish();
            double[] millis =
                    quiet.stream().mapToDouble(RequestOutcome::millis).sorted().toArray();
            return new QuietServiceStats(
                    quiet.stream().filter(one -> one.status() == 200).count() / (double) quiet.size(),
                    millis[(int) (millis.length * 0.99)],
                    0,
                    0);
        }
    }

    private static long id(RequestOutcome one) {
        return Long.parseUnsignedLong(one.request().id(), 16);
    }

    // ---- The parts ---------------------------------------------------------------------------------
    private ScenarioChecks runPhases() throws IOException, InterruptedException {
        ScenarioChecks claims = new ScenarioChecks();
        checkFlood(claims, true);
        checkFlood(claims, false);
        checkReloads(claims);
        checkOutcomes(claims);
        return claims;
    }

    private void checkFlood(ScenarioChecks claims, boolean fair) throws IOException, InterruptedException {
        writeSettings(fair);
        String how = fair ? "taking turns" : "by arrival";
        List<GatekeeperUnderTest.GatekeeperAddresses> addresses = GatekeeperUnderTest.freeAddresses(1);
        try (GatekeeperUnderTest gatekeeper = createGatekeeper(addresses, fair ? "fair" : "arrival");
                ConsumerStandIn probe = new ConsumerStandIn(addresses.get(0).consumers())) {
            claims.record("on one core", gatekeeper.pinToOneCore() ? "yes" : "no");
            gatekeeper.start();
            gatekeeper.awaitReady(probe);
            measureOpenLoop(addresses.get(0), LOUD_CAPACITY * 10); // until compiled
            List<QuietServiceStats> calm = new ArrayList<>();
            List<QuietServiceStats> loud = new ArrayList<>();
            List<QuietServiceStats> press = new ArrayList<>();
            for (int i = 0; i < ROUNDS; i++) {
                calm.add(measureOpenLoop(addresses.get(0), 0));
                loud.add(measureOpenLoop(addresses.get(0), LOUD_CAPACITY * 10));
                press.add(measureClosedLoop(addresses.get(0)));
                progress.accept(how + ": calm " + calm.get(i) + ", loud " + loud.get(i) + ", pressed " + press.get(i));
            }
            claims.record(
                    how + ", asked without a pause by " + CLOSED_LOOP_CONSUMERS + ": ratio of the p99",
                    text(median(press, false) / median(calm, false)));
            claims.record(how + ", asked without a pause: what came of it", closedLoopStatuses.toString());
            closedLoopStatuses.clear();
            double ratio = median(loud, false) / median(calm, false);
            double lost = median(calm, true) - median(loud, true);
            claims.record(
                    how + ": p99 of the quiet, ms, calm and flooded",
                    text(median(calm, false)) + " and " + text(median(loud, false)));
            if (fair) {
                claims.check(how + ": ratio of the p99", text(ratio), "1.2", ratio <= 1.2);
                claims.check(how + ": service lost by the quiet", text(lost), "0.01", lost <= 0.01);
            } else {
                claims.record(how + ": ratio of the p99", text(ratio));
                claims.record(how + ": service lost by the quiet", text(lost));
            }
            claims.record(how + ": of the loud refused", loud.get(0).rejectedLoud + " of " + loud.get(0).sentLoud);
            if (fair) {
                checkHangingProviders(claims, addresses.get(0), calm);
                checkIdleConnections(claims, addresses.get(0), calm);
            }
        }
    }

    /** The loud service's providers take all and answer nothing. */
    private void checkHangingProviders(
            ScenarioChecks claims, GatekeeperUnderTest.GatekeeperAddresses at, List<QuietServiceStats> calm)
            throws InterruptedException {
        services.get(LOUD).providers.forEach(provider -> provider.setScript(id -> ProviderStandInBehavior.HANGS));
        QuietServiceStats hung = measureOpenLoop(at, LOUD_CAPACITY);
        services.get(LOUD).providers.forEach(provider -> provider.setScript(id -> ProviderStandInBehavior.ANSWERS));
        claims.check(
                "loud providers hang: service of the quiet lost",
                text(median(calm, true) - hung.servedFraction),
                "0.01",
                median(calm, true) - hung.servedFraction <= 0.01);
        claims.check(
                "loud providers hang: ratio of the p99",
                text(hung.p99Millis / median(calm, false)),
                "1.2",
                hung.p99Millis / median(calm, false) <= 1.2);
    }

    /** A thousand connections for the loud host that ask once at most and stay. */
    private void checkIdleConnections(
            ScenarioChecks claims, GatekeeperUnderTest.GatekeeperAddresses at, List<QuietServiceStats> calm)
            throws IOException, InterruptedException {
        List<Socket> crowd = new ArrayList<>();
        Thread opener = StandInServer.startThread("crowd", () -> {
            try {
                for (int i = 0; i < IDLE_CONNECTIONS; i++) {
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
        QuietServiceStats crowded = measureOpenLoop(at, 0);
        opener.join(5_000);
        claims.check(
                "connections for the loud host that stay",
                crowd.size(),
                IDLE_CONNECTIONS,
                crowd.size() == IDLE_CONNECTIONS);
        claims.check(
                "with them: service of the quiet lost",
                text(median(calm, true) - crowded.servedFraction),
                "0.01",
                median(calm, true) - crowded.servedFraction <= 0.01);
        for (Socket socket : crowd) {
            socket.close();
        }
    }

    private void checkReloads(ScenarioChecks claims) throws IOException, InterruptedException {
        writeSettings(true);
        List<GatekeeperUnderTest.GatekeeperAddresses> addresses = GatekeeperUnderTest.freeAddresses(1);
        try (GatekeeperUnderTest gatekeeper = createGatekeeper(addresses, "reloads");
                ConsumerStandIn probe = new ConsumerStandIn(addresses.get(0).consumers());
                ServicesLoad load = new ServicesLoad(addresses.get(0))) {
            gatekeeper.start();
            gatekeeper.awaitReady(probe);
            load.run(2, LOUD_CAPACITY / 2);
            double heap = CostScenario.usedHeapKib(gatekeeper);
            long descriptors = gatekeeper.openDescriptors();
            for (int i = 0; i < RELOADS; i++) {
                switch (i % 4) {
                    case 0 ->
                        writeSettings(
                                true,
                                serviceDeclaration(LOUD, "extra-" + i)
                                        .replace(services.get(LOUD).host, "extra.example.org")); // one comes
                    case 1 -> writeSettings(true); // it goes
                    case 2 ->
                        Files.writeString(
                                settings,
                                serviceDeclaration(LOUD, "renamed-" + i)
                                        + serviceDeclaration(QUIET.get(1), QUIET.get(1)));
                    default -> Files.writeString(settings, "service(name = \"broken\")\n");
                }
                gatekeeper.sendHangup();
                load.run(0.25, LOUD_CAPACITY / 2);
                if (i % 10 == 9) {
                    progress.accept((i + 1) + " reloads");
                }
            }
            writeSettings(true);
            gatekeeper.sendHangup();
            load.run(4, LOUD_CAPACITY / 2);
            long lost =
                    load.finish().stream().filter(one -> one.status() != 200).count();
            claims.check(RELOADS + " reloads: requests without their answer", lost, 0, lost == 0);
            String log = gatekeeper.log();
            long swaps = Stream.of(log.split("\n"))
                    .filter(line -> line.contains("services: now"))
                    .count();
            claims.check("tables that took over", swaps, "over 30", swaps > 30);
            long bad = Stream.of(log.split("\n"))
                    .filter(line -> line.contains("the old settings" + " stay"))
                    .count();
            claims.check("broken files that changed nothing", bad, 12, bad == 12);
            double heapAfter = CostScenario.usedHeapKib(gatekeeper);
            long after = gatekeeper.openDescriptors();
            claims.check(
                    "heap in use before and after, KiB",
                    text(heap) + " and " + text(heapAfter),
                    "+1024",
                    heapAfter <= heap + 1024);
            claims.check(
                    "descriptors before and after", descriptors + " and " + after, "+16", after <= descriptors + 16);
        }
    }

    private void checkOutcomes(ScenarioChecks claims) {
        long strange = 0;
        long twice = 0;
        for (ScenarioService service : services.values()) {
            for (ProviderStandIn provider : service.providers) {
                for (String id : provider.runs().keySet()) {
                    strange += Long.parseUnsignedLong(id, 16) >>> 48 << 48 == service.ids ? 0 : 1;
                }
            }
            Map<String, Integer> runs = new HashMap<>();
            service.providers.forEach(
                    provider -> provider.runs().forEach((id, count) -> runs.merge(id, count.get(), Integer::sum)));
            twice += allOutcomes.stream()
                    .filter(one -> !one.request().idempotent()
                            && runs.getOrDefault(one.request().id(), 0) > 1)
                    .count();
        }
        claims.check("requests that ran at another service's provider", strange, 0, strange == 0);
        claims.check("rejects that ran twice", twice, 0, twice == 0);
        claims.check("requests with an outcome", allOutcomes.size(), sentCount, allOutcomes.size() == sentCount);
        long spoilt = allOutcomes.stream()
                .filter(one -> one.status() == 200 && !one.bodyMatches())
                .count();
        claims.check("answers that are another's", spoilt, 0, spoilt == 0);
        long bare = allOutcomes.stream()
                .filter(one -> (one.status() == 429 || one.status() == 503) && one.retryAfterSeconds() < 0)
                .count();
        claims.check("refusals without Retry-After", bare, 0, bare == 0);
        long late = allOutcomes.stream()
                .filter(one -> one.millis() > DEADLINE_MILLIS + 100)
                .count();
        claims.check("answers after the deadline", late, 0, late == 0);
    }

    private static double median(List<QuietServiceStats> fared, boolean service) {
        double[] values = fared.stream()
                .mapToDouble(one -> service ? one.servedFraction : one.p99Millis)
                .toArray();
        Arrays.sort(values);
        return values[values.length / 2];
    }

    private static String text(double value) {
        return String.format(Locale.ROOT, "%.3f", value);
    }
}
