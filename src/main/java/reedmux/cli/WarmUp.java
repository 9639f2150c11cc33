package reedmux.cli;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.stream.IntStream;
import org.apache.hc.core5.http.message.BasicHttpRequest;
import reedmux.common.time.MonotonicClock;
import reedmux.gatekeeper.admin.Metrics;
import reedmux.gatekeeper.config.GatekeeperConfig;
import reedmux.gatekeeper.failover.ForwardedRequest;
import reedmux.gatekeeper.http.ProviderClient;
import reedmux.gatekeeper.http.ServiceFrontend;
import reedmux.gatekeeper.policy.GatekeeperPolicy;
import reedmux.gatekeeper.policy.TrafficPolicy.CustomerPlan;
import reedmux.gatekeeper.policy.TrafficPolicy.Idempotency;
import reedmux.gatekeeper.policy.TrafficPolicy.ListedServer;
import reedmux.gatekeeper.policy.TrafficPolicy.RequestClass;
import reedmux.gatekeeper.policy.TrafficPolicy.ServerListScope;
import reedmux.gatekeeper.policy.TrafficPolicy.ServerStatus;
import reedmux.gatekeeper.reducer.CallResult;
import reedmux.gatekeeper.reducer.FinalAnswer;
import reedmux.gatekeeper.reducer.Invocation;
import reedmux.gatekeeper.reducer.ProviderList;
import reedmux.gatekeeper.reducer.Reducer;
import reedmux.gatekeeper.reducer.ReducerEffects;
import reedmux.gatekeeper.reducer.ReducerEvent;
import reedmux.gatekeeper.reducer.UpstreamCall;

/**
 * Executes the gatekeeper's hot paths several hundred times before the process reports itself as ready, so that they
 * are compiled by then. A new JVM that is limited to a third of a core uses all of it for its first five seconds;
 * without the warm-up it answered one request in five in time. Decisions are exercised on separate reducers with
 * synthetic calls, and sockets with health checks of the process's own address, so that providers, peers and consumers
 * receive no traffic.
 */
public final class WarmUp {
    private static final int ROUNDS = 600;
    /** The number of rounds of one kind, decisions or requests, that run before the other kind is considered. */
    private static final int ROUNDS_PER_BATCH = 50;

    private static final int MAX_CONCURRENT_REQUESTS = 4;
    /**
     * The number of consecutive decisions before a pause of {@link #PAUSE_NANOS}. Without pauses on a fraction of a
     * core, the I/O thread waits until all decisions are done: discovery's first list was read up to 1.0 s late, and
     * the process accepts no requests before that.
     */
    private static final int DECISIONS_BETWEEN_PAUSES = 5;

    private static final long PAUSE_NANOS = TimeUnit.MICROSECONDS.toNanos(50);
    private static final int PROVIDERS = 8;
    private static final long ROUND_MICROS = TimeUnit.MILLISECONDS.toMicros(5);
    /** The maximum duration of the warm-up. */
    private static final long TIME_LIMIT_NANOS = TimeUnit.MILLISECONDS.toNanos(4_000);

    /** The maximum duration at a restart; it is lower because the other gatekeepers then carry this one's load. */
    private static final long TIME_LIMIT_AT_RESTART_NANOS = TimeUnit.MILLISECONDS.toNanos(2_000);

    private static final long REQUEST_TIMEOUT_MILLIS = 500;
    /** The longest single wait for the process's own address; the time limit is checked between waits. */
    private static final long POLL_INTERVAL_MILLIS = 50;

    private static final byte[] BODY = new byte[200];
    /** A body that is long enough to be streamed; one request in {@link #LONG_BODY_INTERVAL} has it. */
    private static final byte[] LONG_BODY = new byte[100_000];

    private static final int LONG_BODY_INTERVAL = 25;

    private final GatekeeperConfig config;
    private final MonotonicClock clock;
    private final Consumer<String> log;
    private final BooleanSupplier restarted;
    private long startNanos;

    /**
     * Creates a warm-up; {@link #run} starts it.
     *
     * @param restarted returns whether other gatekeepers carry this one's load during the warm-up
     */
    WarmUp(GatekeeperConfig config, MonotonicClock clock, Consumer<String> log, BooleanSupplier restarted) {
        this.restarted = restarted;
        this.config = config;
        this.clock = clock;
        this.log = log;
    }

    /** The address at which this process accepts connections. */
    interface OwnAddress {
        /**
         * Waits up to {@code millis} milliseconds until the process listens; returns its address, or null if it does
         * not.
         */
        InetSocketAddress awaitMillis(long millis) throws InterruptedException;
    }

    /**
     * Runs all rounds, or as many as the time limit allows. Decisions need no socket, so they run first while the
     * process still waits for discovery's first list, before which it does not listen.
     */
    void run(ProviderClient client, OwnAddress ownAddress) throws InterruptedException {
        startNanos = System.nanoTime();
        WarmUpGatekeeperPair gatekeepers = new WarmUpGatekeeperPair();
        int decided = 0;
        int requested = 0;
        while ((decided < ROUNDS || requested < ROUNDS) && !isTimeLimitReached()) {
            InetSocketAddress address = ownAddress.awaitMillis(decided < ROUNDS ? 0 : POLL_INTERVAL_MILLIS);
            if (address != null && requested < ROUNDS && (requested < decided || decided == ROUNDS)) {
                requested += sendHealthRequests(client, address);
            } else if (decided < ROUNDS) {
                decided += gatekeepers.runDecisions(decided);
            }
        }
        log.accept("warmed up with " + decided + " decisions and " + requested + " requests to itself");
    }

    private boolean isTimeLimitReached() {
        return System.nanoTime() - startNanos
                > (restarted.getAsBoolean() ? TIME_LIMIT_AT_RESTART_NANOS : TIME_LIMIT_NANOS);
    }

    /**
     * Sends health requests with empty, short and long bodies to this process, the first ones over new connections.
     * Returns the number of requests sent.
     */
    private int sendHealthRequests(ProviderClient client, InetSocketAddress address) throws InterruptedException {
        Semaphore permits = new Semaphore(MAX_CONCURRENT_REQUESTS);
        client.closeIdle(address);
        int i = 0;
        for (; i < ROUNDS_PER_BATCH && !isTimeLimitReached(); i++) {
            if (!permits.tryAcquire(REQUEST_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)) {
                return i; // the process does not respond; consumers must not wait for the warm-up
            }
            if (i % LONG_BODY_INTERVAL == 0) {
                client.sendStreamed(address, "/healthz", LONG_BODY, result -> permits.release());
            } else {
                client.send(address, "/healthz", i % 2 == 0 ? BODY : new byte[0], result -> permits.release());
            }
        }
        return i;
    }

    /** A reducer whose calls and datagrams are collected instead of sent. */
    private final class WarmUpGatekeeper implements ReducerEffects {
        private final Reducer reducer;
        private final Deque<UpstreamCall> pendingCalls = new ArrayDeque<>();
        private final List<byte[]> datagrams = new ArrayList<>();

        WarmUpGatekeeper(long seed) {
            reducer =
                    new Reducer(new GatekeeperPolicy(config.settings(), seed), 1, config.connectTimeoutMicros(), this);
        }

        @Override
        public void sendAnswer(Invocation invocation, FinalAnswer answer) {}

        @Override
        public void startCall(UpstreamCall call, long timeout) {
            pendingCalls.add(call);
        }

        @Override
        public void startForwardedCall(UpstreamCall call, ForwardedRequest request) {}

        @Override
        public void abortConnecting(UpstreamCall call) {}

        @Override
        public void abortUnlessSent(UpstreamCall call) {}

        @Override
        public void abortCall(UpstreamCall call) {}

        @Override
        public void checkHealth(String provider, InetSocketAddress address, long sentAt) {}

        @Override
        public void closeIdleConnections(String provider, InetSocketAddress address) {}

        @Override
        public void sendToPeer(int peer, byte[] bytes) {
            datagrams.add(bytes);
        }

        @Override
        public void log(String line) {
            log.accept("warm-up: " + line);
        }
    }

    /** Two reducers that process requests, responses and each other's datagrams in virtual time. */
    private final class WarmUpGatekeeperPair {
        private final WarmUpGatekeeper localGatekeeper = new WarmUpGatekeeper(1);
        private final WarmUpGatekeeper peerGatekeeper = new WarmUpGatekeeper(2);
        private final ServiceFrontend frontend =
                new ServiceFrontend(config.settings(), clock, event -> {}, new Metrics().forService(""));
        private final int selfIndex = config.settings().self();
        private final int peerIndex = config.settings().groupSize() - 1 - selfIndex;
        private long now = 1;

        WarmUpGatekeeperPair() {
            InetSocketAddress unreachable = InetSocketAddress.createUnresolved("nowhere", 1);
            ReducerEvent providersUpdated = new ReducerEvent.ProvidersUpdated(new ProviderList(
                    ServerListScope.FULL,
                    1,
                    IntStream.range(0, PROVIDERS)
                            .mapToObj(i -> new ProviderList.ListedProvider(
                                    new ListedServer("warm-up-" + i, i % 2, i % 2, 0, ServerStatus.READY, 1, 0),
                                    unreachable))
                            .toList()));
            localGatekeeper.reducer.reduce(now, providersUpdated);
            peerGatekeeper.reducer.reduce(now, providersUpdated);
        }

        int runDecisions(int firstRound) {
            int i = 0;
            for (; i < ROUNDS_PER_BATCH && !isTimeLimitReached(); i++, now += ROUND_MICROS) {
                if (i % DECISIONS_BETWEEN_PAUSES == 0) {
                    LockSupport.parkNanos(PAUSE_NANOS);
                }
                ReducerEvent.InvocationAccepted accepted = createInvocation(frontend, firstRound + i, now);
                if (accepted != null) {
                    localGatekeeper.reducer.reduce(now, accepted);
                }
                localGatekeeper.reducer.reduceDue(now);
                peerGatekeeper.reducer.reduceDue(now);
                while (localGatekeeper.pendingCalls.size() > PROVIDERS) {
                    localGatekeeper.reducer.reduce(
                            now,
                            new ReducerEvent.CallEnded(
                                    localGatekeeper.pendingCalls.poll(),
                                    new CallResult.ResponseReceived(200, false, null, BODY)));
                }
                deliver(localGatekeeper, peerGatekeeper, now, selfIndex);
                deliver(peerGatekeeper, localGatekeeper, now, peerIndex);
            }
            return i;
        }
    }

    private static void deliver(WarmUpGatekeeper sender, WarmUpGatekeeper receiver, long now, int senderIndex) {
        for (byte[] bytes : List.copyOf(sender.datagrams)) {
            receiver.reducer.reduce(now, new ReducerEvent.PeerDatagramReceived(senderIndex, bytes));
        }
        sender.datagrams.clear();
    }

    private ReducerEvent.InvocationAccepted createInvocation(ServiceFrontend frontend, int i, long now) {
        List<RequestClass> requestClasses = config.settings().classes();
        List<CustomerPlan> plans = config.settings().plans();
        RequestClass requestClass = requestClasses.get(i % requestClasses.size());
        BasicHttpRequest request = new BasicHttpRequest(
                requestClass.idempotency() == Idempotency.SAFE ? "GET" : "POST", '/' + requestClass.name());
        request.addHeader("X-Trace-Id", String.format("%016x", i));
        request.addHeader("X-Plan", plans.get(i / 2 % plans.size()).name());
        request.addHeader("X-Customer", String.format("%016x", i % 100));
        request.addHeader("X-Expires-In-Ms", "1000");
        request.addHeader("X-Quota", "units=1,spread=" + config.settings().groupSize() + ",first=0");
        Invocation invocation = frontend.parseWarmUp(request, BODY, now);
        return invocation == null ? null : new ReducerEvent.InvocationAccepted(invocation);
    }
}
