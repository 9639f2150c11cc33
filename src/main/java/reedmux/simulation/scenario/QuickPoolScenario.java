package reedmux.simulation.scenario;

import java.io.IOException;
import java.nio.file.Files;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import reedmux.simulation.standin.ConsumerStandIn;
import reedmux.simulation.standin.ConsumerStandIn.RequestOutcome;
import reedmux.simulation.standin.ConsumerStandIn.ScenarioRequest;
import reedmux.simulation.standin.DiscoveryStandIn;
import reedmux.simulation.standin.ProviderStandIn;
import reedmux.simulation.standin.StandInServer;

/**
 * A few providers that answer quickly, and consumers who ask in turn, each the next as soon as the last is
 * answered, far within the quota: who is refused all the same, on real sockets with a machine's real jitter.
 * Once on whatever cores are free, and once on one core beside a neighbour that takes all it can get.
 */
final class QuickPoolScenario {
    private static final int CONSUMERS = 4;
    private static final int CUSTOMERS = 1_000;
    private static final int REQUESTS = 4_000;
    private static final int MAX_SECONDS = 5;
    private static final int[] PROVIDERS = {1, 2, 8};
    private static final int[] WORK_MILLIS = {0, 1, 5, 50};
    private static final int ROUNDS = 3;

    private QuickPoolScenario() {}

    static ScenarioChecks run(Consumer<String> progress) throws IOException, InterruptedException {
        ScenarioChecks claims = new ScenarioChecks();
        for (int providers : PROVIDERS) {
            for (int work : WORK_MILLIS) {
                for (boolean neighbour : new boolean[] {false, true}) {
                    double worst = 0;
                    for (int i = 0; i < (work > 5 || !neighbour ? 1 : ROUNDS); i++) {
                        worst = Math.max(worst, measure(providers, work, neighbour));
                    }
                    String which =
                            providers + " providers of " + work + " ms" + (neighbour ? " beside a busy neighbour" : "");
                    claims.check(
                            which + ": share refused, worst round",
                            String.format(Locale.ROOT, "%.4f", worst),
                            "0.01",
                            worst < 0.01);
                    progress.accept(which + ": " + worst);
                }
            }
        }
        return claims;
    }

    private static double measure(int count, int workMillis, boolean neighbour)
            throws IOException, InterruptedException {
        List<GatekeeperUnderTest.GatekeeperAddresses> addresses = GatekeeperUnderTest.freeAddresses(1);
        List<ProviderStandIn> providers = new ArrayList<>();
        try (DiscoveryStandIn discovery = new DiscoveryStandIn();
                ConsumerStandIn consumers = new ConsumerStandIn(addresses.get(0).consumers())) {
            for (int i = 0; i < count; i++) {
                providers.add(new ProviderStandIn(CONSUMERS, CONSUMERS, workMillis));
                discovery.setPhase("s" + i, providers.get(i).hostPort(), "Ready");
            }
            try (GatekeeperUnderTest gatekeeper = new GatekeeperUnderTest(
                    Files.createTempDirectory("reedmux-quick"),
                    GatekeeperUnderTest.platformConfig(0, addresses, discovery),
                    null)) {
                boolean oneCore = neighbour && gatekeeper.pinToOneCore();
                gatekeeper.start();
                gatekeeper.awaitReady(consumers);
                Process beside = oneCore ? GatekeeperUnderTest.startCpuLoad() : null;
                try {
                    return rejectedFraction(consumers);
                } finally {
                    if (beside != null) {
                        beside.destroyForcibly();
                    }
                }
            }
        } finally {
            for (ProviderStandIn provider : providers) {
                provider.close();
            }
        }
    }

    private static double rejectedFraction(ConsumerStandIn consumers) throws InterruptedException {
        AtomicInteger ids = new AtomicInteger();
        AtomicInteger refused = new AtomicInteger();
        CountDownLatch done = new CountDownLatch(CONSUMERS);
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(MAX_SECONDS);
        for (int i = 0; i < CONSUMERS; i++) {
            StandInServer.startThread("consumer-in-turn", () -> {
                for (int id = ids.incrementAndGet();
                        id <= REQUESTS && System.nanoTime() < end;
                        id = ids.incrementAndGet()) {
                    RequestOutcome told = consumers.sendAndWait(new ScenarioRequest(
                            String.format(Locale.ROOT, "%016x", id),
                            id % 2 == 0 ? "check" : "reject",
                            id % 2 == 0,
                            id % CUSTOMERS,
                            1,
                            3_000,
                            1));
                    if (told.status() != 200) {
                        refused.incrementAndGet();
                    }
                }
                done.countDown();
            });
        }
        done.await();
        return refused.get() / (double) Math.min(REQUESTS, ids.get() - CONSUMERS);
    }
}
