package reedmux.lab;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import reedmux.lab.ConsumerStandIn.Asked;
import reedmux.lab.ConsumerStandIn.Told;

/**
 * A gatekeeper under load whose place is taken by new processes, as an upgrade does it: once as it should go,
 * once by a process that is killed right after its yes, and once more as it should go. One customer asks far
 * beyond its quota all the time, so that counts that were lost or doubled would show.
 */
final class UpgradeScene {
    private static final int PER_SECOND = 120;
    private static final int SECONDS = 32;
    /** The customer who asks for too much, in so many of so many requests. */
    private static final long GREEDY = 7;

    private static final int GREEDY_OF = 2;
    private static final double RATE = 10;
    private static final double BURST = 40;
    private static final long YES_MILLIS = 6_000;
    private static final long LEAVE_MILLIS = 8_000;
    private static final long MEMORY = 192L << 20;

    private final Path folder;
    private final Path shared;
    private final String config;
    private final InetSocketAddress listen;
    private final Claims claims = new Claims();
    private int started;

    private UpgradeScene(Path folder, String config, InetSocketAddress listen) throws IOException {
        this.folder = folder;
        this.config = config;
        this.listen = listen;
        shared = Files.createDirectory(folder.resolve("t"));
    }

    /** A process of the gatekeeper with its own door. */
    private record Running(Gatekeeper process, InetSocketAddress door, long startedAt) {
        boolean serves() {
            return Gatekeeper.operator(door, "check").startsWith("+OK");
        }
    }

    static Claims run(Path folder, Consumer<String> progress) throws IOException, InterruptedException {
        List<Gatekeeper.Addresses> addresses = Gatekeeper.free(1);
        InetSocketAddress listen = addresses.get(0).consumers();
        List<ProviderStandIn> providers = new ArrayList<>();
        try (DiscoveryStandIn discovery = new DiscoveryStandIn();
                ConsumerStandIn consumers = new ConsumerStandIn(listen)) {
            for (int i = 0; i < 4; i++) {
                providers.add(new ProviderStandIn(8, 16, 15));
                discovery.list("s" + i, providers.get(i).hostPort(), "Ready");
            }
            String config = Gatekeeper.config(0, addresses, discovery)
                    .replace(
                            "\"refill\":200.0,\"mostAtOnce\":600.0", "\"refill\":" + RATE + ",\"mostAtOnce\":" + BURST);
            return new UpgradeScene(folder, config, listen).play(consumers, progress);
        } finally {
            for (ProviderStandIn provider : providers) {
                provider.close();
            }
        }
    }

    private Running start() throws IOException {
        int number = started++;
        InetSocketAddress door = Gatekeeper.free(1).get(0).consumers();
        Gatekeeper process = new Gatekeeper(folder.resolve("p" + number), config, null)
                .with("TMPDIR", shared.toString())
                .with("RELAY_OPERATOR", Gatekeeper.hostPort(door));
        process.start();
        return new Running(process, door, System.nanoTime());
    }

    /** Waits for its yes; returns the milliseconds since its start, or -1 where it does not come. */
    private static long await(Running one) throws InterruptedException {
        while (!one.serves()) {
            if (System.nanoTime() - one.startedAt > 2 * YES_MILLIS * 1_000_000) {
                return -1;
            }
            TimeUnit.MILLISECONDS.sleep(20);
        }
        return (System.nanoTime() - one.startedAt) / 1_000_000;
    }

    private Claims play(ConsumerStandIn consumers, Consumer<String> progress) throws IOException, InterruptedException {
        Running first = start();
        await(first);
        long begin = System.nanoTime();
        Thread load = StandIn.thread("load", () -> load(consumers, begin));
        TimeUnit.SECONDS.sleep(3);
        Running second = upgrade(first, "first upgrade", progress);
        TimeUnit.SECONDS.sleep(5);
        long killedAt = System.nanoTime();
        Running dies = start();
        claims.claim("one that dies: yes after, ms", await(dies), YES_MILLIS, dies.serves());
        dies.process.kill();
        TimeUnit.SECONDS.sleep(3);
        long overAt = System.nanoTime();
        String log = second.process.log();
        claims.claim(
                "one that dies: the former serves on",
                second.serves() && log.contains("serving on"),
                true,
                second.serves() && log.contains("serving on"));
        TimeUnit.SECONDS.sleep(2);
        Running last = upgrade(second, "second upgrade", progress);
        load.join();
        consumers.finish();
        judge(consumers.told(), begin, killedAt, overAt);
        last.process.close();
        first.process.close();
        second.process.close();
        return claims;
    }

    private Running upgrade(Running from, String what, Consumer<String> progress)
            throws IOException, InterruptedException {
        Running next = start();
        long yes = await(next);
        claims.claim(what + ": yes after, ms", yes, YES_MILLIS, yes >= 0 && yes <= YES_MILLIS);
        long memory = next.process.memory() + from.process.memory();
        claims.claim(what + ": memory of both, MB", memory >> 20, MEMORY >> 20, memory <= MEMORY);
        claims.note(what + ": descriptors of both", next.process.descriptors() + from.process.descriptors());
        long left = from.process.leave(LEAVE_MILLIS);
        claims.claim(what + ": the former ended after, ms", left, LEAVE_MILLIS, left >= 0);
        progress.accept(what + ": yes after " + yes + " ms, the former ended after " + left + " ms");
        return next;
    }

    private static void load(ConsumerStandIn consumers, long begin) {
        try {
            for (long i = 0; i < (long) SECONDS * PER_SECOND; i++) {
                boolean check = i % 3 != 0;
                consumers.ask(new Asked(
                        String.format(Locale.ROOT, "%016x", i + 1),
                        check ? "check" : "reject",
                        check,
                        i % GREEDY_OF == 0 ? GREEDY : 100 + i,
                        1,
                        3_000,
                        1));
                TimeUnit.NANOSECONDS.sleep(
                        Math.max(0, begin + (i + 1) * 1_000_000_000 / PER_SECOND - System.nanoTime()));
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void judge(List<Told> told, long begin, long killedAt, long overAt) {
        long broken = told.stream()
                .filter(one -> one.status() <= 0 && (one.sentAt() < killedAt || one.sentAt() > overAt))
                .count();
        claims.claim("refused, reset or unread, over two upgrades", broken, 4, broken <= 4);
        claims.note(
                "the same while one was killed",
                told.stream()
                        .filter(one -> one.status() <= 0 && one.sentAt() >= killedAt && one.sentAt() <= overAt)
                        .count());
        long spoilt =
                told.stream().filter(one -> one.status() == 200 && !one.whole()).count();
        claims.claim("served with another's answer", spoilt, 0, spoilt == 0);
        long modest =
                told.stream().filter(one -> one.asked().customer() != GREEDY).count();
        double served = (double) told.stream()
                        .filter(one -> one.asked().customer() != GREEDY && one.status() == 200)
                        .count()
                / modest;
        claims.claim(
                "customers within their quota served",
                String.format(Locale.ROOT, "%.3f", served),
                "0.98",
                served >= 0.98);
        long greedy = told.stream()
                .filter(one -> one.asked().customer() == GREEDY && one.status() == 200)
                .count();
        double seconds = (told.stream().mapToLong(Told::toldAt).max().orElse(begin) - begin) / 1e9;
        double quota = BURST + RATE * seconds;
        claims.claim(
                "the one beyond it served, units",
                greedy,
                String.format(Locale.ROOT, "%.0f", quota * 1.03),
                greedy <= quota * 1.03);
        claims.claim(
                "and what it is owed, units",
                greedy,
                String.format(Locale.ROOT, "%.0f", quota * 0.85),
                greedy >= quota * 0.85);
    }
}
