package reedmux.simulation.scenario;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import reedmux.simulation.standin.ConsumerStandIn;
import reedmux.simulation.standin.ConsumerStandIn.RequestOutcome;
import reedmux.simulation.standin.ConsumerStandIn.ScenarioRequest;
import reedmux.simulation.standin.DiscoveryStandIn;
import reedmux.simulation.standin.ProviderStandIn;
import reedmux.simulation.standin.StandInServer;

/**
 * A gatekeeper under load whose place is taken by new processes, as an upgrade does it: once as it should go,
 * once by a process that is killed right after its yes, and once more as it should go. One customer asks far
 * beyond its quota all the time, so that counts that were lost or doubled would show.
 */
public final class UpgradeScenario {
    private static final int REQUESTS_PER_SECOND = 120;
    private static final int SECONDS = 32;
    /** The customer who asks for too much, in so many of so many requests. */
    private static final long GREEDY_CUSTOMER = 7;

    private static final int GREEDY_EVERY = 2;
    private static final double RATE = 10;
    private static final double BURST = 40;
    private static final long READY_LIMIT_MILLIS = 6_000;
    private static final long TERMINATION_LIMIT_MILLIS = 8_000;
    private static final long MEMORY_LIMIT_BYTES = 192L << 20;

    private final Path folder;
    private final Path shared;
    private final String config;
    private final InetSocketAddress listen;
    private final ScenarioChecks claims = new ScenarioChecks();
    private int started;

    private UpgradeScenario(Path folder, String config, InetSocketAddress listen) throws IOException {
        this.folder = folder;
        this.config = config;
        this.listen = listen;
        shared = Files.createDirectory(folder.resolve("t"));
    }

    /** A process of the gatekeeper with its own door. */
    private record UpgradedProcess(GatekeeperUnderTest process, InetSocketAddress adminAddress, long startedAt) {
        boolean serves() {
            return GatekeeperUnderTest.adminCommand(adminAddress, "check").startsWith("+OK");
        }
    }

    static ScenarioChecks run(Path folder, Consumer<String> progress) throws IOException, InterruptedException {
        List<GatekeeperUnderTest.GatekeeperAddresses> addresses = GatekeeperUnderTest.freeAddresses(1);
        InetSocketAddress listen = addresses.get(0).consumers();
        List<ProviderStandIn> providers = new ArrayList<>();
        try (DiscoveryStandIn discovery = new DiscoveryStandIn();
                ConsumerStandIn consumers = new ConsumerStandIn(listen)) {
            for (int i = 0; i < 4; i++) {
                providers.add(new ProviderStandIn(8, 16, 15));
                discovery.setPhase("s" + i, providers.get(i).hostPort(), "Ready");
            }
            String config = GatekeeperUnderTest.platformConfig(0, addresses, discovery)
                    .replace(
                            "\"refill\":200.0,\"mostAtOnce\":600.0", "\"refill\":" + RATE + ",\"mostAtOnce\":" + BURST);
            return new UpgradeScenario(folder, config, listen).runPhases(consumers, progress);
        } finally {
            for (ProviderStandIn provider : providers) {
                provider.close();
            }
        }
    }

    private UpgradedProcess start() throws IOException {
        int number = started++;
        InetSocketAddress door = GatekeeperUnderTest.freeAddresses(1).get(0).consumers();
        GatekeeperUnderTest process = new GatekeeperUnderTest(folder.resolve("p" + number), config, null)
                .withEnvironment("TMPDIR", shared.toString())
                .withEnvironment("RELAY_OPERATOR", GatekeeperUnderTest.hostPort(door));
        process.start();
        return new UpgradedProcess(process, door, System.nanoTime());
    }

    /** Waits for its yes; returns the milliseconds since its start, or -1 where it does not come. */
    private static long awaitReady(UpgradedProcess one) throws InterruptedException {
        while (!one.serves()) {
            if (System.nanoTime() - one.startedAt > 2 * READY_LIMIT_MILLIS * 1_000_000) {
                return -1;
            }
            TimeUnit.MILLISECONDS.sleep(20);
        }
        return (System.nanoTime() - one.startedAt) / 1_000_000;
    }

    private ScenarioChecks runPhases(ConsumerStandIn consumers, Consumer<String> progress)
            throws IOException, InterruptedException {
        UpgradedProcess first = start();
        awaitReady(first);
        long begin = System.nanoTime();
        Thread load = StandInServer.startThread("load", () -> runLoad(consumers, begin));
        TimeUnit.SECONDS.sleep(3);
        UpgradedProcess second = upgrade(first, "first upgrade", progress);
        TimeUnit.SECONDS.sleep(5);
        long killedAt = System.nanoTime();
        UpgradedProcess dies = start();
        claims.check("one that dies: yes after, ms", awaitReady(dies), READY_LIMIT_MILLIS, dies.serves());
        dies.process.kill();
        TimeUnit.SECONDS.sleep(3);
        long overAt = System.nanoTime();
        String log = second.process.log();
        claims.check(
                "one that dies: the former serves on",
                second.serves() && log.contains("serving on"),
                true,
                second.serves() && log.contains("serving on"));
        TimeUnit.SECONDS.sleep(2);
        UpgradedProcess last = upgrade(second, "second upgrade", progress);
        load.join();
        consumers.awaitOutcomes();
        checkOutcomes(consumers.outcomes(), begin, killedAt, overAt);
        last.process.close();
        first.process.close();
        second.process.close();
        return claims;
    }

    private UpgradedProcess upgrade(UpgradedProcess from, String what, Consumer<String> progress)
            throws IOException, InterruptedException {
        UpgradedProcess next = start();
        long yes = awaitReady(next);
        claims.check(what + ": yes after, ms", yes, READY_LIMIT_MILLIS, yes >= 0 && yes <= READY_LIMIT_MILLIS);
        long memory = next.process.memoryBytes() + from.process.memoryBytes();
        claims.check(
                what + ": memory of both, MB", memory >> 20, MEMORY_LIMIT_BYTES >> 20, memory <= MEMORY_LIMIT_BYTES);
        claims.record(what + ": descriptors of both", next.process.openDescriptors() + from.process.openDescriptors());
        long left = from.process.terminate(TERMINATION_LIMIT_MILLIS);
        claims.check(what + ": the former ended after, ms", left, TERMINATION_LIMIT_MILLIS, left >= 0);
        progress.accept(what + ": yes after " + yes + " ms, the former ended after " + left + " ms");
        return next;
    }

    private static void runLoad(ConsumerStandIn consumers, long begin) {
        try {
            for (long i = 0; i < (long) SECONDS * REQUESTS_PER_SECOND; i++) {
                boolean check = i % 3 != 0;
                consumers.send(new ScenarioRequest(
                        String.format(Locale.ROOT, "%016x", i + 1),
                        check ? "check" : "reject",
                        check,
                        i % GREEDY_EVERY == 0 ? GREEDY_CUSTOMER : 100 + i,
                        1,
                        3_000,
                        1));
                TimeUnit.NANOSECONDS.sleep(
                        Math.max(0, begin + (i + 1) * 1_000_000_000 / REQUESTS_PER_SECOND - System.nanoTime()));
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void checkOutcomes(List<RequestOutcome> told, long begin, long killedAt, long overAt) {
        long broken = told.stream()
                .filter(one -> one.status() <= 0 && (one.sentAtNanos() < killedAt || one.sentAtNanos() > overAt))
                .count();
        claims.check("refused, reset or unread, over two upgrades", broken, 4, broken <= 4);
        claims.record(
                "the same while one was killed",
                told.stream()
                        .filter(one ->
                                one.status() <= 0 && one.sentAtNanos() >= killedAt && one.sentAtNanos() <= overAt)
                        .count());
        long spoilt = told.stream()
                .filter(one -> one.status() == 200 && !one.bodyMatches())
                .count();
        claims.check("served with another's answer", spoilt, 0, spoilt == 0);
        long modest = told.stream()
                .filter(one -> one.request().customer() != GREEDY_CUSTOMER)
                .count();
        double served = (double) told.stream()
                        .filter(one -> one.request().customer() != GREEDY_CUSTOMER && one.status() == 200)
                        .count()
                / modest;
        claims.check(
                "customers within their quota served",
                String.format(Locale.ROOT, "%.3f", served),
                "0.98",
                served >= 0.98);
        long greedy = told.stream()
                .filter(one -> one.request().customer() == GREEDY_CUSTOMER && one.status() == 200)
                .count();
        double seconds =
                (told.stream().mapToLong(RequestOutcome::endedAtNanos).max().orElse(begin) - begin) / 1e9;
        double quota = BURST + RATE * seconds;
        claims.check(
                "the one beyond it served, units",
                greedy,
                String.format(Locale.ROOT, "%.0f", quota * 1.03),
                greedy <= quota * 1.03);
        claims.check(
                "and what it is owed, units",
                greedy,
                String.format(Locale.ROOT, "%.0f", quota * 0.85),
                greedy >= quota * 0.85);
    }
}
