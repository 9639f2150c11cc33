package reedmux.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import reedmux.config.ProviderListReader;
import reedmux.core.Clock;
import reedmux.core.ProviderList;
import reedmux.http.Calls;
import reedmux.http.ProviderClient;
import reedmux.policy.Gateway.Scope;

/** How long a call to discovery is waited for; no time passes here. */
final class WatchTest {
    private final List<Long> limits = new ArrayList<>();

    /** Notes the limits that are set and lets none of them end a call. */
    private final class Timers extends ScheduledThreadPoolExecutor {
        Timers() {
            super(1);
        }

        @Override
        public ScheduledFuture<?> schedule(Runnable task, long delay, TimeUnit unit) {
            limits.add(unit.toMillis(delay));
            return super.schedule(() -> {}, 1, TimeUnit.HOURS);
        }
    }

    /**
     * After a mass restart discovery took over a second, and calls given up after one stood last in turn
     * again: three of six that started with a list of long before had it still seconds later.
     */
    @Test
    void theFirstListIsWaitedForThoughManyAskAtOnce() {
        Clock clock = new Clock();
        Timers timers = new Timers();
        Calls calls = new Calls(
                (host, remote, local, timeout, attachment, callback) -> new CompletableFuture<>(),
                clock,
                Calls.Room.of(4),
                1_000_000);
        List<String> log = new ArrayList<>();
        try (Watch watch = new Watch(
                new ProviderClient(calls, event -> {}, () -> {}),
                new InetSocketAddress("127.0.0.1", 9),
                new ProviderListReader(List.of(), List.of(), clock),
                new ProviderList(Scope.CACHED, 0, List.of()),
                event -> {},
                log::add,
                timers)) {
            watch.ask();
        } finally {
            timers.shutdownNow();
        }
        assertEquals(1, limits.size());
        assertTrue(limits.get(0) >= 4_000, limits + "");
        assertTrue(limits.get(0) <= 6_000, "by then all counts as told: " + limits);
        assertEquals(List.of(), log);
    }
}
