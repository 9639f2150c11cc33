package reedmux.pool;

import java.net.InetSocketAddress;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.apache.hc.core5.reactor.ConnectionInitiator;
import reedmux.config.Service;
import reedmux.core.Answer;
import reedmux.core.Clock;
import reedmux.core.Effects;
import reedmux.core.Event;
import reedmux.core.Invocation;
import reedmux.core.InvokerCall;
import reedmux.core.Loop;
import reedmux.core.Reducer;
import reedmux.core.RegionDesk;
import reedmux.discovery.Watch;
import reedmux.http.Calls;
import reedmux.http.Intake;
import reedmux.http.ProviderClient;
import reedmux.http.RequestReader;
import reedmux.operator.Figures;
import reedmux.peer.PeerLink;
import reedmux.peer.PoolTag;
import reedmux.policy.Brain;
import reedmux.policy.Twin;
import reedmux.region.Departure;

/**
 * One service's own side of the gatekeeper: its module and state, its provider list and watch, its
 * connections and calls. Nothing of it is another pool's, also where two name the same address. Events may be
 * posted by all threads; what reduces them is the thread that runs the turns.
 */
public final class Pool implements Effects {
    /** The share of a provider's idle limit after which we close and no longer use a connection. */
    private static final double IDLE_SHARE = 0.5;

    /** When one that came too late for a pool that has ended may come back, in microseconds. */
    private static final long ENDED_ADVICE = 100_000;

    /** Requests that may be between the sockets and their decision while others wait to be read. */
    private static final int UNDECIDED = 8;

    /** What all pools use together. */
    record Shared(
            ConnectionInitiator reactor,
            Clock clock,
            Loop loop,
            PeerLink peers,
            ScheduledExecutorService timers,
            Consumer<String> log,
            BiConsumer<Pool, Invocation> over,
            Figures figures) {}

    /** What the pool of the platform's own service has in addition: other regions. Null for all others. */
    public record Away(RegionDesk desk, BiConsumer<InvokerCall, Departure> calls) {}

    private final Shared shared;
    private final Away away;
    private final String label;
    private final int tag;
    /** Its number among the pools, free for another one when it has ended. */
    final int slot;

    private final Queue<Event> posted = new ConcurrentLinkedQueue<>();
    private final Intake intake = new Intake(UNDECIDED);
    private final Figures.OfService figures;
    private final RequestReader reader;
    private final Calls calls;
    private final ProviderClient providers;
    private final Watch watch;
    private final Brain module;
    private final Reducer reducer;
    private final CountDownLatch known = new CountDownLatch(1);
    private volatile PoolSetup setup;
    private volatile boolean muted;
    private volatile boolean closed;
    /** Since when no further request is led to it, or nought; used by the turns' thread alone. */
    private long leavingSince;

    private long refused;
    private long refusedTold;

    Pool(PoolSetup setup, int slot, long seed, Shared shared, Calls.Room room, Away away) {
        this.setup = setup;
        this.slot = slot;
        this.shared = shared;
        this.away = away;
        boolean main = setup.name().equals(PoolSetup.DEFAULT);
        tag = main ? PoolTag.NONE : PoolTag.of(setup.name());
        label = main ? "" : "service " + setup.name() + ": ";
        Service service = main ? setup.service() : setup.service().withLess(PoolTag.LENGTH);
        figures = shared.figures.service(main ? "" : setup.name());
        reader = new RequestReader(service.settings(), shared.clock, this::post, figures);
        calls = new Calls(shared.reactor, shared.clock, room, (long) (service.connIdle() * IDLE_SHARE));
        providers = new ProviderClient(calls, this::post, figures::called);
        watch = new Watch(
                providers,
                service.discovery(),
                service.lists(),
                service.settings().askDiscovery() ? service.known() : null,
                this::told,
                this::log,
                shared.timers);
        module = new Brain(service.settings(), seed ^ tag);
        reducer = new Reducer(
                module,
                service.settings().limits().maxAttempts(),
                service.connectTimeout(),
                this,
                away == null ? null : away.desk);
        posted.add(new Event.ProvidersTold(service.known()));
    }

    /** Begins to watch discovery. */
    void start() {
        watch.ask();
    }

    private void told(Event event) {
        post(event);
        known.countDown();
    }

    /** Waits until discovery has told of providers, or for so long; whether it has. */
    public boolean awaitKnown(long millis) throws InterruptedException {
        return known.await(millis, TimeUnit.MILLISECONDS);
    }

    public String name() {
        return setup.name();
    }

    int tag() {
        return tag;
    }

    PoolSetup setup() {
        return setup;
    }

    boolean hostless() {
        return setup.hostless();
    }

    RequestReader reader() {
        return reader;
    }

    Intake intake() {
        return intake;
    }

    Calls calls() {
        return calls;
    }

    /** Whether there is anyone to send to; may be asked from any thread. */
    public boolean anyProvider() {
        return reducer.anyProvider();
    }

    /** Whether the module has learnt that it went on from an earlier life. */
    public boolean restarted() {
        return module.restarted();
    }

    /** For the warm-up, which asks our own address. */
    public ProviderClient client() {
        return providers;
    }

    /** Takes over what a reload sets anew; the rules are the same. */
    void adopt(PoolSetup now) {
        setup = now;
        watch.move(now.service().discovery());
    }

    /** Tells peers nothing any more, as another pool speaks under its name. */
    void mute() {
        muted = true;
    }

    // ---- Posting, by all threads -------------------------------------------------------------------
    /** Adds an event. One that has ended answers what still comes in. */
    public void post(Event event) {
        if (event instanceof Event.InvocationTaken) {
            intake.entered();
        }
        posted.add(event);
        if (closed) {
            refuseRest();
        } else {
            shared.loop.posted();
        }
    }

    private void refuseRest() {
        for (Event event = posted.poll(); event != null; event = posted.poll()) {
            if (event instanceof Event.InvocationTaken taken) {
                taken.invocation().reply().send(new Answer.Rejection(ENDED_ADVICE, false, true));
                intake.decided();
            }
        }
    }

    // ---- The turns, by their one thread ------------------------------------------------------------
    Event poll() {
        return posted.poll();
    }

    boolean waits() {
        return !posted.isEmpty();
    }

    /** Turns a request away before the module has seen it, as its part of what is shared is in use. */
    void refuse(Invocation invocation, long retryAfter) {
        refused++;
        answer(invocation, new Answer.Rejection(retryAfter, false, true));
        intake.decided();
    }

    void tellRefused() {
        if (refused != refusedTold) {
            refusedTold = refused;
            log("turned away " + refused + " so far for want of its part");
        }
    }

    void reduce(long now, Event event) {
        reducer.reduce(now, event);
        if (event instanceof Event.InvocationTaken) {
            intake.decided();
        }
    }

    void reduceDue(long now) {
        reducer.reduceDue(now);
    }

    long nextDue() {
        return reducer.nextDue();
    }

    /** Tells the figures of the list; by the thread that runs the turns. */
    void tellHosts() {
        figures.hosts(reducer.listed(), module.avoided());
    }

    int unanswered() {
        return reducer.unanswered();
    }

    /** What another process that takes our place is told of this service; by the turns' thread. */
    Twin twin() {
        return module.twin();
    }

    /** Sets the messages of peers that may come in each second. */
    void mail(double perSecond) {
        module.mail(perSecond);
    }

    double mailLimit() {
        return setup.service().settings().limits().peerMessagesPerS();
    }

    /** No further request is led here. */
    void leave(long now) {
        leavingSince = now;
    }

    long leavingSince() {
        return leavingSince;
    }

    /** Whether all that it took is answered and all its calls have ended. */
    boolean idle() {
        return reducer.idle() && posted.isEmpty();
    }

    /** Ends it; connections that are in use end with their calls. */
    void close() {
        closed = true;
        figures.hosts(0, 0);
        watch.close();
        calls.end();
        refuseRest();
        intake.end();
    }

    // ---- Effects -----------------------------------------------------------------------------------
    @Override
    public void answer(Invocation invocation, Answer answer) {
        invocation.reply().send(answer);
    }

    @Override
    public void over(Invocation invocation) {
        if (invocation.admittedAt() >= 0) {
            shared.over.accept(this, invocation);
        }
    }

    @Override
    public void call(InvokerCall call, long timeout) {
        providers.call(call, timeout);
    }

    @Override
    public void callAway(InvokerCall call, Departure departure) {
        away.calls.accept(call, departure);
    }

    @Override
    public void stopConnecting(InvokerCall call) {
        providers.stopConnecting(call);
    }

    @Override
    public void stop(InvokerCall call) {
        providers.stop(call);
    }

    @Override
    public void probe(String provider, InetSocketAddress address, long askedAt) {
        providers.probe(provider, address, askedAt);
    }

    @Override
    public void closeIdle(String provider, InetSocketAddress address) {
        providers.closeIdle(provider, address);
    }

    @Override
    public void tell(int peer, byte[] bytes) {
        if (!muted) {
            shared.peers.tell(peer, tag == PoolTag.NONE ? bytes : PoolTag.tagged(tag, bytes));
        }
    }

    @Override
    public void log(String line) {
        shared.log.accept(label + line);
    }
}
