package reedmux.gatekeeper.discovery;

import java.net.InetSocketAddress;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import reedmux.gatekeeper.config.ConfigException;
import reedmux.gatekeeper.config.ProviderListReader;
import reedmux.gatekeeper.http.ProviderClient;
import reedmux.gatekeeper.policy.TrafficPolicy.ServerListScope;
import reedmux.gatekeeper.reducer.CallResult;
import reedmux.gatekeeper.reducer.ProviderList;
import reedmux.gatekeeper.reducer.ReducerEvent;

/**
 * Keeps the list of providers up to date by long polling: the full list first, then changes. Each call is sent as soon
 * as the one before it was answered, since discovery forgets a watcher after 200 ms. If the configuration has a list,
 * the changes since its revision come first. While discovery does not answer or sends what cannot be read, the last
 * list stays in use.
 *
 * <p>Calls end on the I/O thread and time out on the timers' thread; the monitor guards the state.
 */
public final class DiscoveryWatch implements AutoCloseable {
    /**
     * How long discovery holds a call while nothing changes. Until then a dead connection cannot be told from one
     * without changes, so this bounds how old the list may become; shorter waits cost more calls.
     */
    private static final long WATCH_WAIT_MILLIS = 2_000;
    /**
     * The same for the first call. After a restart of many gatekeepers calls were seen to take over 2 s; with a wait
     * of 400 ms a provider that was draining was still in use. This is as long as the full list may take.
     */
    private static final long FIRST_WATCH_WAIT_MILLIS = 4_000;
    /**
     * Time-out of a call for the full list. One discovery serves all gatekeepers and queues their calls, for seconds
     * after many have started at once: whoever retries early goes to the end of the queue.
     */
    private static final long FULL_LIST_TIMEOUT_MILLIS = 4_000;
    /** How much longer than its wait a call for changes may take. */
    private static final long WATCH_GRACE_MILLIS = 2_000;
    /** Backoff after a failed call. */
    private static final long RETRY_DELAY_MILLIS = 100;

    private static final long NO_REVISION = -1;
    private static final int STATUS_OK = 200;

    private final ProviderClient client;
    private final ProviderListReader listReader;
    private final Consumer<ReducerEvent> eventSink;
    private final Consumer<String> log;
    private final ScheduledExecutorService timers;
    private InetSocketAddress discovery;
    private Runnable abortCall = () -> {};
    /** Of the last list; {@link #NO_REVISION} has the full list sent. */
    private long revision;

    private boolean listReceived;
    private boolean failing;
    private boolean closed;

    /**
     * A watch that has sent no call yet.
     *
     * @param known the list whose changes come first, or null for the full list first. Full lists are expensive:
     *              fourteen gatekeepers that asked for one at once kept discovery so busy that nearly all later calls
     *              timed out
     */
    public DiscoveryWatch(
            ProviderClient client,
            InetSocketAddress discovery,
            ProviderListReader listReader,
            ProviderList known,
            Consumer<ReducerEvent> eventSink,
            Consumer<String> log,
            ScheduledExecutorService timers) {
        revision = known != null
                        && known.scope() == ServerListScope.CACHED
                        && !known.providers().isEmpty()
                ? known.revision()
                : NO_REVISION;
        this.timers = timers;
        this.client = client;
        this.discovery = discovery;
        this.listReader = listReader;
        this.eventSink = eventSink;
        this.log = log;
    }

    /** The timers for any number of watches, with one thread. */
    public static ScheduledExecutorService createTimers() {
        ScheduledThreadPoolExecutor timers = new ScheduledThreadPoolExecutor(1, task -> {
            Thread thread = new Thread(task, "reedmux-watch");
            thread.setDaemon(true);
            return thread;
        });
        // Otherwise the time-outs of completed calls would keep these, and what they read, in memory.
        timers.setRemoveOnCancelPolicy(true);
        return timers;
    }

    /** Sends the next call. */
    public synchronized void sendRequest() {
        if (closed) {
            return;
        }
        long wait = listReceived ? WATCH_WAIT_MILLIS : FIRST_WATCH_WAIT_MILLIS;
        boolean fullList = revision == NO_REVISION;
        String target = "/v1/servers" + (fullList ? "" : "?since=" + revision + "&timeout_ms=" + wait);
        long timeoutMillis = fullList ? FULL_LIST_TIMEOUT_MILLIS : wait + WATCH_GRACE_MILLIS;
        WatchTimeout timeout = new WatchTimeout();
        InetSocketAddress asked = discovery;
        Runnable abort = client.fetch(asked, target, result -> {
            timeout.clear();
            onResponse(asked, result);
        });
        abortCall = abort;
        timeout.set(timers.schedule(abort, timeoutMillis, TimeUnit.MILLISECONDS));
    }

    /** The time-out of one call, which may end before its time-out is set. */
    private static final class WatchTimeout {
        private ScheduledFuture<?> timer;
        private boolean cleared;

        synchronized void set(ScheduledFuture<?> scheduled) {
            timer = scheduled;
            if (cleared) {
                timer.cancel(false);
            }
        }

        synchronized void clear() {
            cleared = true;
            if (timer != null) {
                timer.cancel(false);
            }
        }
    }

    /**
     * Continues at another address, with the full list first, since the revisions of two discoveries are unrelated. If
     * the address is the same nothing changes.
     */
    public synchronized void setDiscovery(InetSocketAddress address) {
        if (closed || address.equals(discovery)) {
            return;
        }
        InetSocketAddress before = discovery;
        discovery = address;
        revision = NO_REVISION;
        failing = false;
        log.accept("discovery: now at " + address);
        abortCall.run();
        client.closeIdle(before);
        sendRequest();
    }

    private synchronized void onResponse(InetSocketAddress asked, CallResult result) {
        // A call that ended with the program says nothing about discovery. A response of the former discovery must
        // neither change the list of the new one nor start a second sequence of calls.
        if (closed || !asked.equals(discovery)) {
            return;
        }
        String problem = applyResponse(result);
        if (problem == null) {
            failing = false;
            listReceived = true;
            sendRequest();
            return;
        }
        if (!failing) {
            log.accept("discovery: " + problem + "; the known list goes on serving");
        }
        failing = true;
        timers.schedule(() -> retry(asked), RETRY_DELAY_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Applies the list of a response; returns why there is none, or null. */
    private String applyResponse(CallResult result) {
        if (result instanceof CallResult.ResponseReceived response) {
            return response.status() == STATUS_OK ? applyList(response.body()) : "status " + response.status();
        }
        return result instanceof CallResult.ConnectionBroken broken ? broken.reason() : null;
    }

    private synchronized void retry(InetSocketAddress asked) {
        if (asked.equals(discovery)) {
            sendRequest();
        }
    }

    /** Applies a list; returns what is wrong with it, or null. */
    private String applyList(byte[] body) {
        try {
            ProviderList list = listReader.read(body);
            revision = list.revision();
            eventSink.accept(new ReducerEvent.ProvidersUpdated(list));
            return null;
        } catch (ConfigException e) {
            revision = NO_REVISION; // the full list contains whatever these changes were
            return e.getMessage();
        }
    }

    @Override
    public synchronized void close() {
        closed = true;
        abortCall.run();
    }
}
