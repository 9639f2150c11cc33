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

/** Tests the timeouts of calls to discovery, with timers that never expire. */
final class DiscoveryWatchTest {
    private final List<Long> timeoutsMillis = new ArrayList<>();

    /** Records the delays of scheduled tasks and never runs the tasks, so that no call times out. */
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
     * The first call for changes must wait as long as a call for the full list. After many gatekeepers had restarted at
     * the same time, discovery took more than a second to respond. Calls that timed out after one second went to the
     * end of its queue again: three of six gatekeepers that had started with an outdated list still used it seconds
     * later.
     */
    @Test
    void firstWatchWaitsAsLongAsTheFullList() {
        MonotonicClock clock = new MonotonicClock();
        RecordingTimers timers = new RecordingTimers();
        UpstreamConnectionPool connectionPool = new UpstreamConnectionPool(
                (host, remote, local, timeout, attachment, callback) -> new CompletableFuture<>(),
                clock,
                UpstreamConnectionPool.ConnectionPermits.fixed(4),
                1_000_000);
        List<String> log = new ArrayList<>();
        try (DiscoveryWatch watch = new DiscoveryWatch(
                new ProviderClient(connectionPool, event -> {}, () -> {}),
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
        assertTrue(timeoutsMillis.get(0) <= 6_000, "the first call takes too long to time out: " + timeoutsMillis);
        assertEquals(List.of(), log);
    }
}
