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
 * Watches discovery without a pause: the whole list first, then changes, each call sent as soon as the one
 * before it was answered, since a watch lapses 200 ms later. Where discovery has to be asked, the changes
 * since the list that the configuration told come first. While discovery is silent or tells nonsense, the
 * list that is known goes on serving.
 */
public final class DiscoveryWatch implements AutoCloseable {
    /**
     * The wait asked for. A connection that has gone silent looks like one with no news until the wait is
     * over, so it bounds how old the list may get; a call with no news costs next to nothing.
     */
    private static final long WATCH_WAIT_MILLIS = 2_000;
    /**
     * The wait asked for while nothing has been heard yet. What discovery would have told counts as told 2 s
     * after a wait, and a crowd of calls after a mass restart was seen to take over 2 s: with 400 ms the old
     * list broke a drain. With this it is as long as for the whole list.
     */
    private static final long FIRST_WATCH_WAIT_MILLIS = 4_000;
    /**
     * How long the whole list may take, and how much longer than the agreed wait an answer to a watch, before
     * the call is made anew. One discovery serves all gatekeepers, calls wait there in turn, and after many
     * have started at once for seconds: whoever gives up and asks again stands last once more.
     */
    private static final long FULL_LIST_TIMEOUT_MILLIS = 4_000;

    private static final long WATCH_GRACE_MILLIS = 2_000;
    /** A pause after a failure, so that a broken agent is not asked in a tight circle. */
    private static final long RETRY_DELAY_MILLIS = 100;

    private final ProviderClient client;
    private final ProviderListReader listReader;
    private final Consumer<ReducerEvent> eventSink;
    private final Consumer<String> log;
    private final ScheduledExecutorService timers;
    private InetSocketAddress discovery;
    private Runnable abortCall = () -> {};
    private long revision;
    private boolean listReceived;
    private boolean failing;
    private boolean closed;

    /**
     * {@code known}: the list to go on from, or null for the whole list first. The whole list costs a
     * discovery that is asked a line for each provider, for each gatekeeper that starts: fourteen that did at
     * once kept it busy for so long that nearly every later call failed, and hardly a list came after that.
     */
    public DiscoveryWatch(
            ProviderClient client,
            InetSocketAddress discovery,
            ProviderListReader lists,
            ProviderList known,
            Consumer<ReducerEvent> events,
            Consumer<String> log,
            ScheduledExecutorService timers) {
        revision = known != null
                        && known.scope() == ServerListScope.CACHED
                        && !known.providers().isEmpty()
                ? known.revision()
                : -1;
        this.timers = timers;
        this.client = client;
        this.discovery = discovery;
        this.listReader = lists;
        this.eventSink = events;
        this.log = log;
    }

    /** A thread for the time limits of any number of watches. */
    public static ScheduledExecutorService createTimers() {
        ScheduledThreadPoolExecutor timers = new ScheduledThreadPoolExecutor(1, task -> {
            Thread thread = new Thread(task, "reedmux-watch");
            thread.setDaemon(true);
            return thread;
        });
        // The limits of calls that have ended would else hold on to them, and what they read, for 22 s.
        timers.setRemoveOnCancelPolicy(true);
        return timers;
    }

    /** Makes the next call. */
    public synchronized void sendRequest() {
        if (closed) {
            return;
        }
        long wait = listReceived ? WATCH_WAIT_MILLIS : FIRST_WATCH_WAIT_MILLIS;
        String target = "/v1/servers" + (revision < 0 ? "" : "?since=" + revision + "&timeout_ms=" + wait);
        WatchTimeout timeout = new WatchTimeout();
        InetSocketAddress asked = discovery;
        Runnable stop = client.fetch(asked, target, result -> {
            timeout.clear();
            onResponse(asked, result);
        });
        abortCall = stop;
        timeout.set(timers.schedule(
                stop, revision < 0 ? FULL_LIST_TIMEOUT_MILLIS : wait + WATCH_GRACE_MILLIS, TimeUnit.MILLISECONDS));
    }

    /** The limit on one call, which may end before the limit is even set. */
    private static final class WatchTimeout {
        private ScheduledFuture<?> limit;
        private boolean cleared;

        synchronized void set(ScheduledFuture<?> told) {
            limit = told;
            if (cleared) {
                limit.cancel(false);
            }
        }

        synchronized void clear() {
            cleared = true;
            if (limit != null) {
                limit.cancel(false);
            }
        }
    }

    /**
     * Goes on at another address, with the whole list first: revisions there need not go on from here. Where
     * the address is the same the watch that runs is left alone, as its next answer is as good as any.
     */
    public synchronized void setDiscovery(InetSocketAddress to) {
        if (closed || to.equals(discovery)) {
            return;
        }
        InetSocketAddress from = discovery;
        discovery = to;
        revision = -1;
        failing = false;
        log.accept("discovery: now at " + to);
        abortCall.run();
        client.closeIdle(from);
        sendRequest();
    }

    private synchronized void onResponse(InetSocketAddress asked, CallResult result) {
        // A call that ended with the program says nothing of discovery, and what a discovery tells that is
        // no longer ours must neither be taken for a change to the new one's list nor start a second watch.
        if (closed || !asked.equals(discovery)) {
            return;
        }
        String problem = result instanceof CallResult.ConnectionBroken broken ? broken.reason() : null;
        if (result instanceof CallResult.ResponseReceived answered) {
            problem = answered.status() == 200 ? applyList(answered.body()) : "status " + answered.status();
        }
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

    private synchronized void retry(InetSocketAddress of) {
        if (of.equals(discovery)) {
            sendRequest();
        }
    }

    /** Takes in an answer; returns what is wrong with it, or null. */
    private String applyList(byte[] body) {
        try {
            ProviderList list = listReader.read(body);
            revision = list.revision();
            eventSink.accept(new ReducerEvent.ProvidersUpdated(list));
            return null;
        } catch (ConfigException e) {
            revision = -1; // whatever was meant to be told, the whole list will tell it
            return e.getMessage();
        }
    }

    @Override
    public synchronized void close() {
        closed = true;
        abortCall.run();
    }
}
