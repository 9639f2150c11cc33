package reedmux.discovery;

import java.net.InetSocketAddress;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import reedmux.config.ConfigException;
import reedmux.config.ProviderListReader;
import reedmux.core.CallResult;
import reedmux.core.Event;
import reedmux.core.ProviderList;
import reedmux.http.ProviderClient;
import reedmux.policy.Gateway.Scope;

/**
 * Watches discovery without a pause: the whole list first, then changes, each call sent as soon as the one
 * before it was answered, since a watch lapses 200 ms later. Where discovery has to be asked, the changes
 * since the list that the configuration told come first. While discovery is silent or tells nonsense, the
 * list that is known goes on serving.
 */
public final class Watch implements AutoCloseable {
    /**
     * The wait asked for. A connection that has gone silent looks like one with no news until the wait is
     * over, so it bounds how old the list may get; a call with no news costs next to nothing.
     */
    private static final long WAIT_MILLIS = 2_000;
    /**
     * The wait asked for while nothing has been heard yet. What discovery would have told counts as told 2 s
     * after a wait, and a crowd of calls after a mass restart was seen to take over 2 s: with 400 ms the old
     * list broke a drain. With this it is as long as for the whole list.
     */
    private static final long FIRST_WAIT_MILLIS = 4_000;
    /**
     * How long the whole list may take, and how much longer than the agreed wait an answer to a watch, before
     * the call is made anew. One discovery serves all gatekeepers, calls wait there in turn, and after many
     * have started at once for seconds: whoever gives up and asks again stands last once more.
     */
    private static final long WHOLE_MILLIS = 4_000;

    private static final long PATIENCE_MILLIS = 2_000;
    /** A pause after a failure, so that a broken agent is not asked in a tight circle. */
    private static final long PAUSE_MILLIS = 100;

    private final ProviderClient client;
    private final ProviderListReader lists;
    private final Consumer<Event> events;
    private final Consumer<String> log;
    private final ScheduledExecutorService timers;
    private InetSocketAddress discovery;
    private Runnable stopCall = () -> {};
    private long revision;
    private boolean heard;
    private boolean failing;
    private boolean closed;

    /**
     * {@code known}: the list to go on from, or null for the whole list first. The whole list costs a
     * discovery that is asked a line for each provider, for each gatekeeper that starts: fourteen that did at
     * once kept it busy for so long that nearly every later call failed, and hardly a list came after that.
     */
    public Watch(
            ProviderClient client,
            InetSocketAddress discovery,
            ProviderListReader lists,
            ProviderList known,
            Consumer<Event> events,
            Consumer<String> log,
            ScheduledExecutorService timers) {
        revision = known != null
                        && known.scope() == Scope.CACHED
                        && !known.providers().isEmpty()
                ? known.revision()
                : -1;
        this.timers = timers;
        this.client = client;
        this.discovery = discovery;
        this.lists = lists;
        this.events = events;
        this.log = log;
    }

    /** A thread for the time limits of any number of watches. */
    public static ScheduledExecutorService timers() {
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
    public synchronized void ask() {
        if (closed) {
            return;
        }
        long wait = heard ? WAIT_MILLIS : FIRST_WAIT_MILLIS;
        String target = "/v1/servers" + (revision < 0 ? "" : "?since=" + revision + "&timeout_ms=" + wait);
        Timeout timeout = new Timeout();
        InetSocketAddress asked = discovery;
        Runnable stop = client.get(asked, target, result -> {
            timeout.clear();
            onAnswer(asked, result);
        });
        stopCall = stop;
        timeout.set(timers.schedule(stop, revision < 0 ? WHOLE_MILLIS : wait + PATIENCE_MILLIS, TimeUnit.MILLISECONDS));
    }

    /** The limit on one call, which may end before the limit is even set. */
    private static final class Timeout {
        private ScheduledFuture<?> limit;
        private boolean over;

        synchronized void set(ScheduledFuture<?> told) {
            limit = told;
            if (over) {
                limit.cancel(false);
            }
        }

        synchronized void clear() {
            over = true;
            if (limit != null) {
                limit.cancel(false);
            }
        }
    }

    /**
     * Goes on at another address, with the whole list first: revisions there need not go on from here. Where
     * the address is the same the watch that runs is left alone, as its next answer is as good as any.
     */
    public synchronized void move(InetSocketAddress to) {
        if (closed || to.equals(discovery)) {
            return;
        }
        InetSocketAddress from = discovery;
        discovery = to;
        revision = -1;
        failing = false;
        log.accept("discovery: now at " + to);
        stopCall.run();
        client.closeIdle(from);
        ask();
    }

    private synchronized void onAnswer(InetSocketAddress asked, CallResult result) {
        // A call that ended with the program says nothing of discovery, and what a discovery tells that is
        // no longer ours must neither be taken for a change to the new one's list nor start a second watch.
        if (closed || !asked.equals(discovery)) {
            return;
        }
        String problem = result instanceof CallResult.Broken broken ? broken.reason() : null;
        if (result instanceof CallResult.Answered answered) {
            problem = answered.status() == 200 ? take(answered.body()) : "status " + answered.status();
        }
        if (problem == null) {
            failing = false;
            heard = true;
            ask();
            return;
        }
        if (!failing) {
            log.accept("discovery: " + problem + "; the known list goes on serving");
        }
        failing = true;
        timers.schedule(() -> askAgain(asked), PAUSE_MILLIS, TimeUnit.MILLISECONDS);
    }

    private synchronized void askAgain(InetSocketAddress of) {
        if (of.equals(discovery)) {
            ask();
        }
    }

    /** Takes in an answer; returns what is wrong with it, or null. */
    private String take(byte[] body) {
        try {
            ProviderList list = lists.read(body);
            revision = list.revision();
            events.accept(new Event.ProvidersTold(list));
            return null;
        } catch (ConfigException e) {
            revision = -1; // whatever was meant to be told, the whole list will tell it
            return e.getMessage();
        }
    }

    @Override
    public synchronized void close() {
        closed = true;
        stopCall.run();
    }
}
