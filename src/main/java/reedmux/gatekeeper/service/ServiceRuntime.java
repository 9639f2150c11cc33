package reedmux.gatekeeper.service;

import java.net.InetSocketAddress;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.apache.hc.core5.reactor.ConnectionInitiator;
import reedmux.common.time.MonotonicClock;
import reedmux.gatekeeper.admin.Metrics;
import reedmux.gatekeeper.config.ServiceConfig;
import reedmux.gatekeeper.discovery.DiscoveryWatch;
import reedmux.gatekeeper.failover.ForwardedRequest;
import reedmux.gatekeeper.http.IntakeLimiter;
import reedmux.gatekeeper.http.ProviderClient;
import reedmux.gatekeeper.http.ServiceFrontend;
import reedmux.gatekeeper.http.UpstreamConnectionPool;
import reedmux.gatekeeper.peer.PeerSocket;
import reedmux.gatekeeper.peer.PoolTag;
import reedmux.gatekeeper.policy.GatekeeperPolicy;
import reedmux.gatekeeper.policy.HandoverCounts;
import reedmux.gatekeeper.reducer.FinalAnswer;
import reedmux.gatekeeper.reducer.GatekeeperLoop;
import reedmux.gatekeeper.reducer.Invocation;
import reedmux.gatekeeper.reducer.Reducer;
import reedmux.gatekeeper.reducer.ReducerEffects;
import reedmux.gatekeeper.reducer.ReducerEvent;
import reedmux.gatekeeper.reducer.RegionCoordinator;
import reedmux.gatekeeper.reducer.UpstreamCall;

/**
 * One service's own side of the gatekeeper: its module and state, its provider list and watch, its
 * connections and calls. Nothing of it is another pool's, also where two name the same address. Events may be
 * posted by all threads; what reduces them is the thread that runs the turns.
 */
public final class ServiceRuntime implements ReducerEffects {
    /** The share of a provider's idle limit after which we close and no longer use a connection. */
    private static final double IDLE_FRACTION = 0.5;

    /** When one that came too late for a pool that has ended may come back, in microseconds. */
    private static final long ENDED_RETRY_AFTER_MICROS = 100_000;

    /** Requests that may be between the sockets and their decision while others wait to be read. */
    private static final int MAX_UNDECIDED = 8;

    /** What all pools use together. */
    public record SharedResources(
            ConnectionInitiator reactor,
            MonotonicClock clock,
            GatekeeperLoop eventLoop,
            PeerSocket peers,
            ScheduledExecutorService timers,
            Consumer<String> log,
            BiConsumer<ServiceRuntime, Invocation> admittedEnded,
            Metrics metrics) {}

    /** What the pool of the platform's own service has in addition: other regions. Null for all others. */
    public record RegionForwarding(RegionCoordinator desk, BiConsumer<UpstreamCall, ForwardedRequest> sender) {}

    private final SharedResources resources;
    private final RegionForwarding regionForwarding;
    private final String logPrefix;
    private final int tag;
    /** Its number among the pools, free for another one when it has ended. */
    final int slot;

    private final Queue<ReducerEvent> postedEvents = new ConcurrentLinkedQueue<>();
    private final IntakeLimiter intakeLimiter = new IntakeLimiter(MAX_UNDECIDED);
    private final Metrics.ServiceMetrics metrics;
    private final ServiceFrontend frontend;
    private final UpstreamConnectionPool connectionPool;
    private final ProviderClient providerClient;
    private final DiscoveryWatch discoveryWatch;
    private final GatekeeperPolicy policy;
    private final Reducer reducer;
    private final CountDownLatch providersKnown = new CountDownLatch(1);
    private volatile ServiceSetup setup;
    private volatile boolean peerMessagesMuted;
    private volatile boolean closed;
    /** Since when no further request is led to it, or nought; used by the turns' thread alone. */
    private long drainingSince;

    private long rejectedCount;
    private long rejectedCountLogged;

    ServiceRuntime(
            ServiceSetup setup,
            int slot,
            long seed,
            SharedResources shared,
            UpstreamConnectionPool.ConnectionPermits room,
            RegionForwarding away) {
        this.setup = setup;
        this.slot = slot;
        this.resources = shared;
        this.regionForwarding = away;
        boolean main = setup.name().equals(ServiceSetup.DEFAULT_SERVICE);
        tag = main ? PoolTag.NONE : PoolTag.of(setup.name());
        logPrefix = main ? "" : "service " + setup.name() + ": ";
        ServiceConfig service = main ? setup.service() : setup.service().withSmallerPeerMessages(PoolTag.LENGTH_BYTES);
        metrics = shared.metrics.forService(main ? "" : setup.name());
        frontend = new ServiceFrontend(service.settings(), shared.clock, this::post, metrics);
        connectionPool = new UpstreamConnectionPool(
                shared.reactor, shared.clock, room, (long) (service.connectionIdleMicros() * IDLE_FRACTION));
        providerClient = new ProviderClient(connectionPool, this::post, metrics::onProviderCall);
        discoveryWatch = new DiscoveryWatch(
                providerClient,
                service.discovery(),
                service.providerListReader(),
                service.settings().pollsDiscovery() ? service.knownProviders() : null,
                this::onProviderList,
                this::log,
                shared.timers);
        policy = new GatekeeperPolicy(service.settings(), seed ^ tag);
        reducer = new Reducer(
                policy,
                service.settings().limits().maxAttempts(),
                service.connectTimeoutMicros(),
                this,
                away == null ? null : away.desk);
        postedEvents.add(new ReducerEvent.ProvidersUpdated(service.knownProviders()));
    }

    /** Begins to watch discovery. */
    void startDiscovery() {
        discoveryWatch.sendRequest();
    }

    private void onProviderList(ReducerEvent event) {
        post(event);
        providersKnown.countDown();
    }

    /** Waits until discovery has told of providers, or for so long; whether it has. */
    public boolean awaitProviders(long millis) throws InterruptedException {
        return providersKnown.await(millis, TimeUnit.MILLISECONDS);
    }

    public String name() {
        return setup.name();
    }

    int tag() {
        return tag;
    }

    ServiceSetup setup() {
        return setup;
    }

    boolean servesWithoutHost() {
        return setup.servesWithoutHost();
    }

    ServiceFrontend frontend() {
        return frontend;
    }

    IntakeLimiter intakeLimiter() {
        return intakeLimiter;
    }

    UpstreamConnectionPool connectionPool() {
        return connectionPool;
    }

    /** Whether there is anyone to send to; may be asked from any thread. */
    public boolean hasProvider() {
        return reducer.hasProviders();
    }

    /** Whether the module has learnt that it went on from an earlier life. */
    public boolean restarted() {
        return policy.restartDetected();
    }

    /** For the warm-up, which asks our own address. */
    public ProviderClient client() {
        return providerClient;
    }

    /** Takes over what a reload sets anew; the rules are the same. */
    void applySetup(ServiceSetup now) {
        setup = now;
        discoveryWatch.setDiscovery(now.service().discovery());
    }

    /** Tells peers nothing any more, as another pool speaks under its name. */
    void mutePeerMessages() {
        peerMessagesMuted = true;
    }

    // ---- Posting, by all threads -------------------------------------------------------------------
    /** Adds an event. One that has ended answers what still comes in. */
    public void post(ReducerEvent event) {
        if (event instanceof ReducerEvent.InvocationAccepted) {
            intakeLimiter.onRequestRead();
        }
        postedEvents.add(event);
        if (closed) {
            rejectPosted();
        } else {
            resources.eventLoop.notifyPosted();
        }
    }

    private void rejectPosted() {
        for (ReducerEvent event = postedEvents.poll(); event != null; event = postedEvents.poll()) {
            if (event instanceof ReducerEvent.InvocationAccepted taken) {
                taken.invocation().answerSink().send(new FinalAnswer.Rejected(ENDED_RETRY_AFTER_MICROS, false, true));
                intakeLimiter.onRequestDecided();
            }
        }
    }

    // ---- The turns, by their one thread ------------------------------------------------------------
    ReducerEvent poll() {
        return postedEvents.poll();
    }

    boolean hasPosted() {
        return !postedEvents.isEmpty();
    }

    /** Turns a request away before the module has seen it, as its part of what is shared is in use. */
    void reject(Invocation invocation, long retryAfter) {
        rejectedCount++;
        sendAnswer(invocation, new FinalAnswer.Rejected(retryAfter, false, true));
        intakeLimiter.onRequestDecided();
    }

    void logRejected() {
        if (rejectedCount != rejectedCountLogged) {
            rejectedCountLogged = rejectedCount;
            log("turned away " + rejectedCount + " so far for want of its part");
        }
    }

    void reduce(long now, ReducerEvent event) {
        reducer.reduce(now, event);
        if (event instanceof ReducerEvent.InvocationAccepted) {
            intakeLimiter.onRequestDecided();
        }
    }

    void reduceDue(long now) {
        reducer.reduceDue(now);
    }

    long nextDue() {
        return reducer.nextDue();
    }

    /** Tells the figures of the list; by the thread that runs the turns. */
    void recordHosts() {
        metrics.setHosts(reducer.providerCount(), policy.ejectedServers());
    }

    int unanswered() {
        return reducer.unansweredCount();
    }

    /** What another process that takes our place is told of this service; by the turns' thread. */
    HandoverCounts handoverCounts() {
        return policy.handoverCounts();
    }

    /** Sets the messages of peers that may come in each second. */
    void setPeerMessageRate(double perSecond) {
        policy.setPeerMessageLimit(perSecond);
    }

    double peerMessageRateLimit() {
        return setup.service().settings().limits().peerMessagesPerSecond();
    }

    /** No further request is led here. */
    void drain(long now) {
        drainingSince = now;
    }

    long drainingSince() {
        return drainingSince;
    }

    /** Whether all that it took is answered and all its calls have ended. */
    boolean isIdle() {
        return reducer.isIdle() && postedEvents.isEmpty();
    }

    /** Ends it; connections that are in use end with their calls. */
    void close() {
        closed = true;
        metrics.setHosts(0, 0);
        discoveryWatch.close();
        connectionPool.shutDown();
        rejectPosted();
        intakeLimiter.resumeAll();
    }

    // ---- Effects -----------------------------------------------------------------------------------
    @Override
    public void sendAnswer(Invocation invocation, FinalAnswer answer) {
        invocation.answerSink().send(answer);
    }

    @Override
    public void onInvocationClosed(Invocation invocation) {
        if (invocation.admittedAt() >= 0) {
            resources.admittedEnded.accept(this, invocation);
        }
    }

    @Override
    public void startCall(UpstreamCall call, long timeout) {
        providerClient.call(call, timeout);
    }

    @Override
    public void startForwardedCall(UpstreamCall call, ForwardedRequest departure) {
        regionForwarding.sender.accept(call, departure);
    }

    @Override
    public void abortConnecting(UpstreamCall call) {
        providerClient.abortConnect(call);
    }

    @Override
    public void abortCall(UpstreamCall call) {
        providerClient.abort(call);
    }

    @Override
    public void checkHealth(String provider, InetSocketAddress address, long askedAt) {
        providerClient.checkHealth(provider, address, askedAt);
    }

    @Override
    public void closeIdleConnections(String provider, InetSocketAddress address) {
        providerClient.closeIdle(provider, address);
    }

    @Override
    public void sendToPeer(int peer, byte[] bytes) {
        if (!peerMessagesMuted) {
            resources.peers.send(peer, tag == PoolTag.NONE ? bytes : PoolTag.tagged(tag, bytes));
        }
    }

    @Override
    public void log(String line) {
        resources.log.accept(logPrefix + line);
    }
}
