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
import reedmux.gatekeeper.peer.ServiceTag;
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
 * A running service with everything that it does not share: its policy and state, its provider list and discovery, and
 * its connections and calls. Services share none of these, even if their providers have the same addresses.
 *
 * <p>Any thread may {@link #post} events. They are reduced on the event loop, which also executes the effects.
 */
public final class ServiceRuntime implements ReducerEffects {
    /** Idle connections are closed after this fraction of the time after which a provider would close them. */
    private static final double IDLE_FRACTION = 0.5;
    /** Retry delay of a request that was routed to a service just before the service ended. */
    private static final long ENDED_RETRY_AFTER_MICROS = 100_000;
    /**
     * Maximum number of requests that have been read but not decided on. When it is reached, further connections are
     * not read.
     */
    private static final int MAX_UNDECIDED = 8;

    /** Resources that all services use. */
    public record SharedResources(
            ConnectionInitiator reactor,
            MonotonicClock clock,
            GatekeeperLoop eventLoop,
            PeerSocket peers,
            ScheduledExecutorService timers,
            Consumer<String> log,
            BiConsumer<ServiceRuntime, Invocation> admittedRequestListener,
            Metrics metrics) {}

    /** Forwarding to other regions, which only the default service has. */
    public record RegionForwarding(RegionCoordinator coordinator, BiConsumer<UpstreamCall, ForwardedRequest> sender) {}

    private final SharedResources resources;
    private final RegionForwarding regionForwarding;
    private final String logPrefix;
    private final int tag;
    /** Index of this service; reused for another service after this one has ended. */
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
    /** Time since which no request has been routed to this service, or 0; accessed only by the event loop. */
    private long drainingSince;

    private long rejectedCount;
    private long rejectedCountLogged;

    ServiceRuntime(
            ServiceSetup setup,
            int slot,
            long seed,
            SharedResources resources,
            UpstreamConnectionPool.ConnectionPermits permits,
            RegionForwarding forwarding) {
        this.setup = setup;
        this.slot = slot;
        this.resources = resources;
        this.regionForwarding = forwarding;
        boolean isDefault = setup.name().equals(ServiceSetup.DEFAULT_SERVICE);
        tag = isDefault ? ServiceTag.NONE : ServiceTag.of(setup.name());
        logPrefix = isDefault ? "" : "service " + setup.name() + ": ";
        ServiceConfig service =
                isDefault ? setup.service() : setup.service().withSmallerPeerMessages(ServiceTag.LENGTH_BYTES);
        metrics = resources.metrics.forService(isDefault ? "" : setup.name());
        frontend = new ServiceFrontend(service.settings(), resources.clock, this::post, metrics);
        connectionPool = new UpstreamConnectionPool(
                resources.reactor, resources.clock, permits, (long) (service.connectionIdleMicros() * IDLE_FRACTION));
        providerClient = new ProviderClient(connectionPool, this::post, metrics::onProviderCall);
        discoveryWatch = new DiscoveryWatch(
                providerClient,
                service.discovery(),
                service.providerListReader(),
                service.settings().pollsDiscovery() ? service.knownProviders() : null,
                this::onProviderList,
                this::log,
                resources.timers);
        policy = new GatekeeperPolicy(service.settings(), seed ^ tag);
        reducer = new Reducer(
                policy,
                service.settings().limits().maxAttempts(),
                service.connectTimeoutMicros(),
                this,
                forwarding == null ? null : forwarding.coordinator);
        postedEvents.add(new ReducerEvent.ProvidersUpdated(service.knownProviders()));
    }

    /** Starts watching service discovery. */
    void startDiscovery() {
        discoveryWatch.sendRequest();
    }

    private void onProviderList(ReducerEvent event) {
        post(event);
        providersKnown.countDown();
    }

    /** Waits for the first provider list from service discovery. Returns false on a timeout. */
    public boolean awaitProviders(long millis) throws InterruptedException {
        return providersKnown.await(millis, TimeUnit.MILLISECONDS);
    }

    /** Returns the name of the service. */
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

    /** Returns whether there is a provider to which requests can be sent; thread-safe. */
    public boolean hasProvider() {
        return reducer.hasProviders();
    }

    /** Returns whether the policy has detected, from the messages of its peers, that this process was restarted. */
    public boolean restartDetected() {
        return policy.restartDetected();
    }

    /** Returns the client that calls providers. The warm-up uses it to send requests to this gatekeeper. */
    public ProviderClient client() {
        return providerClient;
    }

    /** Returns whether this service can continue with a new setup of the same name and keep its state. */
    boolean canContinueWith(ServiceSetup newSetup) {
        return tag == ServiceTag.NONE || setup.service().hasSameRules(newSetup.service());
    }

    /** Replaces the setup. {@link #canContinueWith} must have returned true for the new one. */
    void applySetup(ServiceSetup newSetup) {
        setup = newSetup;
        discoveryWatch.setDiscovery(newSetup.service().discovery());
    }

    /** Stops sending messages to peers, because another service with the same name sends them from now on. */
    void mutePeerMessages() {
        peerMessagesMuted = true;
    }

    // ---- Called by any thread ----------------------------------------------------------------------
    /** Queues an event for the event loop. A service that has ended rejects requests at once. */
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
            if (event instanceof ReducerEvent.InvocationAccepted accepted) {
                accepted.invocation()
                        .answerSink()
                        .send(new FinalAnswer.Rejected(ENDED_RETRY_AFTER_MICROS, false, true));
                intakeLimiter.onRequestDecided();
            }
        }
    }

    // ---- Called by the event loop ------------------------------------------------------------------
    ReducerEvent poll() {
        return postedEvents.poll();
    }

    boolean hasPostedEvents() {
        return !postedEvents.isEmpty();
    }

    /** Rejects a request without passing it to the policy, because the service's share of the capacity is used up. */
    void reject(Invocation invocation, long retryAfterMicros) {
        rejectedCount++;
        sendAnswer(invocation, new FinalAnswer.Rejected(retryAfterMicros, false, true));
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

    /** Updates the host metrics from the current provider list. */
    void updateHostMetrics() {
        metrics.setHosts(reducer.providerCount(), policy.ejectedServers());
    }

    int unansweredCount() {
        return reducer.unansweredCount();
    }

    /** Returns the counts to be handed over to a process that replaces this one. */
    HandoverCounts handoverCounts() {
        return policy.handoverCounts();
    }

    /** Limits the number of peer messages that are processed per second. */
    void setPeerMessageRate(double perSecond) {
        policy.setPeerMessageLimit(perSecond);
    }

    double peerMessageRateLimit() {
        return setup.service().settings().limits().peerMessagesPerSecond();
    }

    /** Marks this service as draining: no further requests are routed to it. */
    void drain(long now) {
        drainingSince = now;
    }

    boolean isDraining() {
        return drainingSince > 0;
    }

    long drainingSince() {
        return drainingSince;
    }

    /** Returns whether all requests are answered and all calls have ended. */
    boolean isIdle() {
        return reducer.isIdle() && postedEvents.isEmpty();
    }

    /** Closes this service. Connections in use are closed when their calls end. */
    void close() {
        closed = true;
        metrics.setHosts(0, 0);
        discoveryWatch.close();
        connectionPool.shutDown();
        rejectPosted();
        intakeLimiter.resumeAll();
    }

    // ---- Effects of the reducer --------------------------------------------------------------------
    @Override
    public void sendAnswer(Invocation invocation, FinalAnswer answer) {
        invocation.answerSink().send(answer);
    }

    @Override
    public void onInvocationClosed(Invocation invocation) {
        if (invocation.admittedAt() >= 0) {
            resources.admittedRequestListener.accept(this, invocation);
        }
    }

    @Override
    public void startCall(UpstreamCall call, long timeoutMicros) {
        providerClient.call(call, timeoutMicros);
    }

    @Override
    public void startForwardedCall(UpstreamCall call, ForwardedRequest forwarded) {
        regionForwarding.sender.accept(call, forwarded);
    }

    @Override
    public void abortConnecting(UpstreamCall call) {
        providerClient.abortConnect(call);
    }

    @Override
    public void abortUnlessSent(UpstreamCall call) {
        providerClient.abortUnlessSent(call);
    }

    @Override
    public void abortCall(UpstreamCall call) {
        providerClient.abort(call);
    }

    @Override
    public void checkHealth(String provider, InetSocketAddress address, long startedAt) {
        providerClient.checkHealth(provider, address, startedAt);
    }

    @Override
    public void closeIdleConnections(String provider, InetSocketAddress address) {
        providerClient.closeIdle(provider, address);
    }

    @Override
    public void sendToPeer(int peer, byte[] bytes) {
        if (!peerMessagesMuted) {
            resources.peers.send(peer, tag == ServiceTag.NONE ? bytes : ServiceTag.addTag(tag, bytes));
        }
    }

    @Override
    public void log(String line) {
        resources.log.accept(logPrefix + line);
    }
}
