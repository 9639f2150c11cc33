package reedmux.simulation.scenario;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import reedmux.simulation.standin.ConsumerStandIn;
import reedmux.simulation.standin.ConsumerStandIn.ScenarioRequest;
import reedmux.simulation.standin.DiscoveryStandIn;
import reedmux.simulation.standin.ProviderStandIn;

/**
 * What a request costs: CPU time of the gatekeeper's process for each, and heap in use after a collection.
 * Two builds take turns, as one alone shows only how busy the machine was.
 */
public final class CostScenario {
    private static final int REQUESTS_PER_SECOND = 150;
    private static final int WARM_UP_SECONDS = 4;
    private static final int SECONDS = 8;
    private static final Pattern HEAP_USED = Pattern.compile("used ([0-9]+)K");

    /** One round: microseconds of CPU a request, KiB of heap, and the share answered with 200. */
    private record CostMeasurement(double cpuMicrosPerRequest, double heapKib, double servedFraction) {}

    private CostScenario() {}

    /**
     * Measures two builds in turns.
     *
     * @param one    a jar, or null for this program
     * @param other  the jar to compare with, or null for this program
     * @param rounds of each
     */
    public static ScenarioChecks run(Path one, Path other, int rounds, Consumer<String> progress)
            throws IOException, InterruptedException {
        List<CostMeasurement> ones = new ArrayList<>();
        List<CostMeasurement> others = new ArrayList<>();
        for (int i = 0; i < rounds; i++) {
            ones.add(measure(one));
            others.add(measure(other));
            progress.accept(String.format(
                    Locale.ROOT,
                    "round %d: %.0f and %.0f us a request",
                    i + 1,
                    ones.get(i).cpuMicrosPerRequest,
                    others.get(i).cpuMicrosPerRequest));
        }
        ScenarioChecks claims = new ScenarioChecks();
        double cpu = ratio(
                ones.stream().mapToDouble(CostMeasurement::cpuMicrosPerRequest).toArray(),
                others.stream()
                        .mapToDouble(CostMeasurement::cpuMicrosPerRequest)
                        .toArray());
        double heap = ratio(
                ones.stream().mapToDouble(CostMeasurement::heapKib).toArray(),
                others.stream().mapToDouble(CostMeasurement::heapKib).toArray());
        claims.record(
                "CPU a request, us, median of each",
                text(median(ones.stream()
                                .mapToDouble(CostMeasurement::cpuMicrosPerRequest)
                                .toArray())) + " and "
                        + text(median(others.stream()
                                .mapToDouble(CostMeasurement::cpuMicrosPerRequest)
                                .toArray())));
        claims.check("CPU a request, median ratio", text(cpu), "1.10", cpu <= 1.1);
        claims.record(
                "heap in use after a collection, KiB, median of each",
                text(median(ones.stream().mapToDouble(CostMeasurement::heapKib).toArray())) + " and "
                        + text(median(others.stream()
                                .mapToDouble(CostMeasurement::heapKib)
                                .toArray())));
        claims.check("heap in use, median ratio", text(heap), "1.10", heap <= 1.1);
        double served = Math.min(
                ones.stream().mapToDouble(CostMeasurement::servedFraction).min().orElse(0),
                others.stream()
                        .mapToDouble(CostMeasurement::servedFraction)
                        .min()
                        .orElse(0));
        claims.check("served in the worst round", text(served), "0.98", served >= 0.98);
        return claims;
    }

    private static CostMeasurement measure(Path jar) throws IOException, InterruptedException {
        Path folder = Files.createTempDirectory("reedmux-cost");
        List<GatekeeperUnderTest.GatekeeperAddresses> addresses = GatekeeperUnderTest.freeAddresses(1);
        List<ProviderStandIn> providers = new ArrayList<>();
        try (DiscoveryStandIn discovery = new DiscoveryStandIn();
                ConsumerStandIn consumers = new ConsumerStandIn(addresses.get(0).consumers())) {
            for (int i = 0; i < 8; i++) {
                providers.add(new ProviderStandIn(8, 16, 15));
                discovery.setPhase("s" + i, providers.get(i).hostPort(), "Ready");
            }
            try (GatekeeperUnderTest gatekeeper = new GatekeeperUnderTest(
                    folder, GatekeeperUnderTest.platformConfig(0, addresses, discovery), null, jar)) {
                gatekeeper.start();
                gatekeeper.awaitReady(consumers);
                load(consumers, WARM_UP_SECONDS, 0);
                long before = gatekeeper.cpuNanos();
                long measured = load(consumers, SECONDS, 1L << 40);
                double cpu = (gatekeeper.cpuNanos() - before) / 1e3 / measured;
                double heap = usedHeapKib(gatekeeper);
                consumers.awaitOutcomes();
                double served = consumers.outcomes().stream()
                                .filter(told -> told.status() == 200)
                                .count()
                        / (double) consumers.outcomes().size();
                return new CostMeasurement(cpu, heap, served);
            }
        } finally {
            for (ProviderStandIn provider : providers) {
                provider.close();
            }
        }
    }

    private static long load(ConsumerStandIn consumers, int seconds, long ids) throws InterruptedException {
        long begin = System.nanoTime();
        long count = (long) seconds * REQUESTS_PER_SECOND;
        for (long i = 0; i < count; i++) {
            consumers.send(new ScenarioRequest(
                    String.format(Locale.ROOT, "%016x", ids + i + 1),
                    i % 2 == 0 ? "check" : "reject",
                    i % 2 == 0,
                    i % 40,
                    1,
                    3_000,
                    1));
            TimeUnit.NANOSECONDS.sleep(
                    Math.max(0, begin + (i + 1) * 1_000_000_000 / REQUESTS_PER_SECOND - System.nanoTime()));
        }
        return count;
    }

    /** Heap in use after a collection, KiB. */
    static double usedHeapKib(GatekeeperUnderTest gatekeeper) throws IOException, InterruptedException {
        String jcmd = Path.of(System.getProperty("java.home"), "bin", "jcmd").toString();
        new ProcessBuilder(jcmd, Long.toString(gatekeeper.pid()), "GC.run")
                .start()
                .waitFor(10, TimeUnit.SECONDS);
        Process info = new ProcessBuilder(jcmd, Long.toString(gatekeeper.pid()), "GC.heap_info").start();
        String text = new String(info.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        Matcher matcher = HEAP_USED.matcher(text);
        double used = 0;
        // The young and the old generation; what follows is the metaspace.
        for (int i = 0; i < 2 && matcher.find(); i++) {
            used += Double.parseDouble(matcher.group(1));
        }
        return used;
    }

    private static double ratio(double[] ones, double[] others) {
        double[] ratios = new double[ones.length];
        Arrays.setAll(ratios, i -> ones[i] / others[i]);
        return median(ratios);
    }

    private static double median(double[] values) {
        double[] sorted = values.clone();
        Arrays.sort(sorted);
        return sorted[sorted.length / 2];
    }

    private static String text(double value) {
        return String.format(Locale.ROOT, "%.3f", value);
    }
}
