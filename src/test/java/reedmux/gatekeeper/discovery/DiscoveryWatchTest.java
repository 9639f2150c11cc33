package reedmux.gatekeeper.discovery;

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
import reedmux.common.time.MonotonicClock;
import reedmux.gatekeeper.config.ProviderListReader;
import reedmux.gatekeeper.http.ProviderClient;
import reedmux.gatekeeper.http.UpstreamConnectionPool;
import reedmux.gatekeeper.policy.TrafficPolicy.ServerListScope;
import reedmux.gatekeeper.reducer.ProviderList;

/** How long a call to discovery is waited for; no time passes here. */
final class DiscoveryWatchTest {
    private final List<Long> timeoutsMillis = new ArrayList<>();

    /** Notes the limits that are set and lets none of them end a call. */
    private final class RecordingTimers extends ScheduledThreadPoolExecutor {
        RecordingTimers() {
            super(1);
        }

        @Override
        public ScheduledFuture<?> schedule(Runnable task, long delay, TimeUnit unit) {
            timeoutsMillis.add(unit.toMillis(delay));
            return super.schedule(() -> {}, 1, TimeUnit.HOURS);
        }
    }

    /**
     * After a mass restart discovery took over a second, and calls given up after one stood last in turn
     * again: three of six that started with a list of long before had it still seconds later.
     */
    @Test
    void firstWatchWaitsAsLongAsTheFullList() {
        MonotonicClock clock = new MonotonicClock();
        RecordingTimers timers = new RecordingTimers();
        UpstreamConnectionPool calls = new UpstreamConnectionPool(
                (host, remote, local, timeout, attachment, callback) -> new CompletableFuture<>(),
                clock,
                UpstreamConnectionPool.ConnectionPermits.fixed(4),
                1_000_000);
        List<String> log = new ArrayList<>();
        try (DiscoveryWatch watch = new DiscoveryWatch(
                new ProviderClient(calls, event -> {}, () -> {}),
                new InetSocketAddress("127.0.0.1", 9),
                new ProviderListReader(List.of(), List.of(), clock),
                new ProviderList(ServerListScope.CACHED, 0, List.of()),
                event -> {},
                log::add,
                timers)) {
            watch.sendRequest();
        } finally {
            timers.shutdownNow();
        }
        assertEquals(1, timeoutsMillis.size());
        assertTrue(timeoutsMillis.get(0) >= 4_000, timeoutsMillis + "");
        assertTrue(timeoutsMillis.get(0) <= 6_000, "by then all counts as told: " + timeoutsMillis);
        assertEquals(List.of(), log);
    }
}
