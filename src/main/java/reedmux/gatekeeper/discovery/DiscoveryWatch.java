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
 * Keeps the list of providers up to date by long polling discovery: the first call requests the full list, the
 * following calls request changes. Each call is sent as soon as the previous one has been answered, because discovery
 * forgets a watcher after 200 ms. If the configuration contains a list, the first call requests the changes since its
 * revision instead. While discovery does not respond or its responses cannot be parsed, the last list stays in use.
 *
 * <p>Calls complete on the I/O thread and time out on the timers' thread; the monitor guards the state.
 */
public final class DiscoveryWatch implements AutoCloseable {
    /**
     * How long discovery holds a call while nothing changes, in milliseconds. Until this time has passed, a dead
     * connection cannot be distinguished from one without changes, so the value bounds how stale the list can become.
     * Smaller values cost more calls.
     */
    private static final long WATCH_WAIT_MILLIS = 2_000;
    /**
     * How long discovery holds the first call, in milliseconds. After a restart of many gatekeepers, calls took more
     * than 2 s; with a wait of 400 ms, a provider that was draining was still used. The value equals {@link
     * #FULL_LIST_TIMEOUT_MILLIS}.
     */
    private static final long FIRST_WATCH_WAIT_MILLIS = 4_000;
    /**
     * Timeout of a call for the full list, in milliseconds. A single discovery server serves all gatekeepers and queues
     * their calls; when many gatekeepers start at the same time, calls wait in the queue for seconds. With a smaller
     * value, a gatekeeper would retry early and go to the end of the queue again.
     */
    private static final long FULL_LIST_TIMEOUT_MILLIS = 4_000;
    /** How much longer than its wait a call for changes may take before it times out, in milliseconds. */
    private static final long WATCH_GRACE_MILLIS = 2_000;
    /** Delay before the retry of a failed call, in milliseconds. */
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
    /** The revision of the last list. With {@link #NO_REVISION}, the next call requests the full list. */
    private long revision;

    private boolean listReceived;
    private boolean failing;
    private boolean closed;

    /**
     * Creates a watch, which sends its first call in {@link #sendRequest}.
     *
     * @param known the list whose changes the first call requests, or null to request the full list first. Full lists
     *              are expensive: fourteen gatekeepers that requested one at the same time kept discovery so busy that
     *              nearly all later calls timed out
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

    /** Creates the timers, which run on a single thread and can be shared by any number of watches. */
    public static ScheduledExecutorService createTimers() {
        ScheduledThreadPoolExecutor timers = new ScheduledThreadPoolExecutor(1, task -> {
            Thread thread = new Thread(task, "reedmux-watch");
            thread.setDaemon(true);
            return thread;
        });
        // Otherwise the timeouts of completed calls would keep the calls and their responses in memory.
        timers.setRemoveOnCancelPolicy(true);
        return timers;
    }

    /** Sends the next call to discovery. */
    public synchronized void sendRequest() {
        if (closed) {
            return;
        }
        long wait = listReceived ? WATCH_WAIT_MILLIS : FIRST_WATCH_WAIT_MILLIS;
        boolean fullList = revision == NO_REVISION;
        String target = "/v1/servers" + (fullList ? "" : "?since=" + revision + "&timeout_ms=" + wait);
        long timeoutMillis = fullList ? FULL_LIST_TIMEOUT_MILLIS : wait + WATCH_GRACE_MILLIS;
        WatchTimeout timeout = new WatchTimeout();
        InetSocketAddress requestedAddress = discovery;
        Runnable abort = client.fetch(requestedAddress, target, result -> {
            timeout.clear();
            onResponse(requestedAddress, result);
        });
        abortCall = abort;
        timeout.set(timers.schedule(abort, timeoutMillis, TimeUnit.MILLISECONDS));
    }

    /** The timeout of one call. The call may complete before its timeout is set; it is cancelled then as well. */
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
     * Switches to another discovery server and requests its full list first, because the revisions of two discovery
     * servers are unrelated. Has no effect if the address is unchanged.
     */
    public synchronized void setDiscovery(InetSocketAddress address) {
        if (closed || address.equals(discovery)) {
            return;
        }
        InetSocketAddress previous = discovery;
        discovery = address;
        revision = NO_REVISION;
        failing = false;
        log.accept("discovery: now at " + address);
        abortCall.run();
        client.closeIdle(previous);
        sendRequest();
    }

    private synchronized void onResponse(InetSocketAddress requestedAddress, CallResult result) {
        // A call that close() aborted says nothing about discovery. A response of the previous discovery server must
        // neither replace the list of the current one nor start a second sequence of calls.
        if (closed || !requestedAddress.equals(discovery)) {
            return;
        }
        String failure = applyResponse(result);
        if (failure == null) {
            failing = false;
            listReceived = true;
            sendRequest();
            return;
        }
        if (!failing) {
            log.accept("discovery: " + failure + "; the known list goes on serving");
        }
        failing = true;
        timers.schedule(() -> retry(requestedAddress), RETRY_DELAY_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Applies the list of a response. Returns the reason if there is none, or null on success. */
    private String applyResponse(CallResult result) {
        if (result instanceof CallResult.ResponseReceived response) {
            return response.status() == STATUS_OK ? applyList(response.body()) : "status " + response.status();
        }
        return result instanceof CallResult.ConnectionBroken broken ? broken.reason() : null;
    }

    private synchronized void retry(InetSocketAddress requestedAddress) {
        if (requestedAddress.equals(discovery)) {
            sendRequest();
        }
    }

    /** Parses and applies a list. Returns the reason if it is malformed, or null on success. */
    private String applyList(byte[] body) {
        try {
            ProviderList list = listReader.read(body);
            revision = list.revision();
            eventSink.accept(new ReducerEvent.ProvidersUpdated(list));
            return null;
        } catch (ConfigException e) {
            revision = NO_REVISION; // the full list includes the changes that could not be parsed
            return e.getMessage();
        }
    }

    @Override
    public synchronized void close() {
        closed = true;
        abortCall.run();
    }
}
