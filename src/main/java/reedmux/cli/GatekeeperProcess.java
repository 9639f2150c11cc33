package reedmux.cli;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.reactor.DefaultListeningIOReactor;
import reedmux.common.time.MonotonicClock;
import reedmux.gatekeeper.admin.AdminCommands;
import reedmux.gatekeeper.admin.AdminServer;
import reedmux.gatekeeper.admin.LifeCycle;
import reedmux.gatekeeper.admin.Metrics;
import reedmux.gatekeeper.config.ConfigException;
import reedmux.gatekeeper.config.GatekeeperConfig;
import reedmux.gatekeeper.handover.HandoverCoordinator;
import reedmux.gatekeeper.handover.HandoverFrame;
import reedmux.gatekeeper.http.ConnectionAcceptor;
import reedmux.gatekeeper.http.ConsumerServer;
import reedmux.gatekeeper.http.HttpTransport;
import reedmux.gatekeeper.peer.PeerSocket;
import reedmux.gatekeeper.policy.HandoverCounts;
import reedmux.gatekeeper.reducer.GatekeeperLoop;
import reedmux.gatekeeper.service.ServiceManager;
import reedmux.gatekeeper.service.ServiceRuntime;
import reedmux.gatekeeper.settings.RegionSettings;

/** One gatekeeper, put together: the reducer in the middle, and round it what reads and writes for it. */
public final class GatekeeperProcess implements AutoCloseable {
    /**
     * Shares of the descriptors. Usual consumers hold up to a third of them and must not be closed for want
     * of room. What is left is for the JVM's own files, discovery and peers, about 20, and for connections
     * that are accepted before there is time to close others for them.
     */
    private static final double CONSUMERS_SHARE = 0.42;

    private static final double PROVIDERS_SHARE = 0.25;
    /** Bytes that requests in flight may hold over all pools; twice that where all that is lent is out. */
    private static final long MAX_BUFFERED_BYTES = 12L * 1024 * 1024;
    /** Between looks for connections whose time is up: a bad consumer is owed its end within 3 s. */
    private static final long SWEEP_INTERVAL_MICROS = TimeUnit.MILLISECONDS.toMicros(250);
    /** Between words to another process that is this gatekeeper too. */
    private static final long EXCHANGE_INTERVAL_MICROS = TimeUnit.MILLISECONDS.toMicros(50);

    private final GatekeeperConfig config;
    private final MonotonicClock clock;
    private final Consumer<String> log;
    private final PeerSocket peers;
    private final ServiceManager pools;
    private final List<Thread> reactorThreads = new ArrayList<>(2);
    private final DefaultListeningIOReactor reactor;
    private final ConsumerServer consumers;
    private final RegionConnector regionConnector;
    private final CountDownLatch ended = new CountDownLatch(1);
    private final CountDownLatch listening = new CountDownLatch(1);
    /** Open once discovery has been asked for the first time. */
    private final CountDownLatch discoveryQueried = new CountDownLatch(1);

    private volatile boolean serving;
    private final LifeCycle lifeCycle = new LifeCycle();
    private final Metrics metrics = new Metrics();
    private final AdminServer adminServer;
    /** Null where no other process may take our place. */
    private final HandoverCoordinator succession;
    /** Whether another process of this gatekeeper ran at our start. */
    private final boolean replacesRunningProcess;

    private volatile boolean failed;
    private volatile boolean warmedUp = true;
    private volatile ConnectionAcceptor acceptor;
    private volatile SocketAddress listenAddress;
    private boolean accepting = true;
    private boolean peerSocketPending;
    private long firstEndpointListMillis;
    private long exchangedAt;
    private long sweptAt;

    /** A gatekeeper for which the operators have set nothing of their own. */
    public GatekeeperProcess(GatekeeperConfig config, MonotonicClock clock, Consumer<String> log) throws IOException {
        this(LoadedConfiguration.platformOnly(config), clock, log);
    }

    GatekeeperProcess(LoadedConfiguration loaded, MonotonicClock clock, Consumer<String> log) throws IOException {
        this(loaded, clock, log, null);
    }

    /** {@code meeting}: where processes of this gatekeeper meet, or null. */
    GatekeeperProcess(LoadedConfiguration loaded, MonotonicClock clock, Consumer<String> log, Path meeting)
            throws IOException {
        config = loaded.config();
        RegionSettings region = loaded.settings().region();
        this.clock = clock;
        this.log = log;
        peers = new PeerSocket(config.peerListen(), config.peers(), config.peerBroadcast());
        int consumerConnections = (int) (config.maxDescriptors() * CONSUMERS_SHARE);
        succession = meeting == null
                ? null
                : new HandoverCoordinator(meeting, config.countingRules(), new HandoverCallbacks(), log);
        replacesRunningProcess = findRunningProcess();
        if (!replacesRunningProcess) {
            peers.open();
        }
        pools = new ServiceManager(
                loaded.services().sharing(consumerConnections, MAX_BUFFERED_BYTES, (int)
                        (config.maxDescriptors() * PROVIDERS_SHARE)),
                clock,
                peers,
                peers,
                config.seed(),
                log,
                metrics);
        consumers = new ConsumerServer(pools.frontend(), this::canServe, lifeCycle, consumerConnections);
        regionConnector = region == null
                ? null
                : new RegionConnector(
                        region,
                        config,
                        clock,
                        event -> pools.defaultService().post(event),
                        this::canServe,
                        lifeCycle,
                        log);
        reactor = HttpTransport.createReactor(
                local -> regionConnector == null ? consumers : regionConnector.serverOf(local, consumers),
                log,
                reactorThreads);
        if (regionConnector != null) {
            regionConnector.connect(
                    reactor, config, clock, event -> pools.defaultService().post(event));
        }
        pools.open(
                reactor,
                loaded.services().pools(),
                loaded.services().routes(),
                regionConnector == null
                        ? null
                        : new ServiceRuntime.RegionForwarding(regionConnector.desk(), regionConnector::call));
        AdminCommands calls = new AdminCommands(lifeCycle, metrics, this::canServe, clock::now, log);
        adminServer = config.adminListen() == null ? null : new AdminServer(config.adminListen(), calls::execute, log);
    }

    /** Listens, and serves until {@link #beginShutdown}; the calling thread owns the reducer. */
    public void run() throws IOException, InterruptedException {
        reactor.start();
        pools.start();
        discoveryQueried.countDown();
        try {
            if (!replacesRunningProcess) {
                awaitFirstEndpointList();
                startServing();
            } else if (warmedUp) { // nobody warms up who would do it after that
                Thread taking = new Thread(this::takeOver, "reedmux-take-over");
                taking.setDaemon(true);
                taking.start();
            }
            pools.eventLoop().run(pools.loopTasks(), this::afterTurn);
            log.accept("ended; datagrams dropped " + peers.droppedCount() + ", not sent " + peers.unsentCount());
        } finally {
            pools.close();
            if (succession != null) {
                succession.close();
            }
            if (adminServer != null) {
                adminServer.close();
            }
            if (acceptor != null) {
                acceptor.close();
            }
            if (regionConnector != null) {
                regionConnector.logReport();
                regionConnector.close();
            }
            reactor.close(CloseMode.IMMEDIATE);
            ended.countDown();
        }
    }

    private void awaitFirstEndpointList() throws InterruptedException {
        if (firstEndpointListMillis > 0 && !pools.defaultService().awaitProviders(firstEndpointListMillis)) {
            log.accept("discovery: nothing told in " + firstEndpointListMillis + " ms; the known list serves");
        }
    }

    private void startServing() throws IOException {
        acceptor = newAcceptor();
        if (regionConnector != null) {
            regionConnector.listen(reactor, succession != null);
        }
        listenAddress = acceptor.address();
        serving = true;
        listening.countDown();
        if (warmedUp) {
            markReady();
        }
    }

    private void markReady() {
        if (lifeCycle.phase() == LifeCycle.LifeCyclePhase.STARTING && succession != null) {
            succession.onServing();
        }
        lifeCycle.onReady(clock.now());
    }

    private boolean findRunningProcess() {
        try {
            return succession != null && succession.connectToPredecessor();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        }
    }

    /** What a hand-over asks of us. */
    private final class HandoverCallbacks implements HandoverCoordinator.HandoverHost {
        @Override
        public void runOnLoop(Runnable task) {
            pools.runInEventLoop(task);
        }

        @Override
        public List<HandoverFrame.ServiceSnapshot> releaseAndSnapshot() {
            try {
                peers.release();
            } catch (IOException e) {
                log.accept("hand-over: the peers' socket: " + e.getMessage());
            }
            List<HandoverFrame.ServiceSnapshot> all = new ArrayList<>();
            Map<String, HandoverCounts> twins = pools.handoverCounts();
            twins.forEach((name, twin) -> all.add(new HandoverFrame.ServiceSnapshot(
                    name, twin.snapshot(clock.now()), all.size() == twins.size() - 1)));
            return all;
        }

        @Override
        public void restoreAndOpen(List<HandoverFrame.ServiceSnapshot> counted) {
            Map<String, HandoverCounts> twins = pools.handoverCounts();
            for (HandoverFrame.ServiceSnapshot service : counted) {
                HandoverCounts twin = twins.get(service.service());
                if (twin != null) {
                    twin.restore(clock.now(), service.accounts());
                }
            }
            openPeerSocket();
        }

        @Override
        public void addUsage(String service, List<HandoverCounts.AccountUsage> spent) {
            HandoverCounts twin = pools.handoverCounts().get(service);
            if (twin != null) {
                twin.addUsage(clock.now(), spent);
            }
        }

        @Override
        public List<HandoverFrame.ServiceUsage> takeUsage() {
            List<HandoverFrame.ServiceUsage> all = new ArrayList<>();
            pools.handoverCounts().forEach((name, twin) -> {
                List<HandoverCounts.AccountUsage> spent = twin.takeUsage();
                if (!spent.isEmpty()) {
                    all.add(new HandoverFrame.ServiceUsage(name, spent));
                }
            });
            return all;
        }

        @Override
        public void onOtherProcessGone(boolean elder) {
            pools.handoverCounts().values().forEach(HandoverCounts::endSharing);
            if (elder) {
                openPeerSocket();
            }
        }

        @Override
        public void setSucceeded(boolean now) {
            lifeCycle.setSuccessor(now);
        }
    }

    /** Takes the peers' socket, or tries again later while another process has it. */
    private void openPeerSocket() {
        boolean before = peerSocketPending;
        peerSocketPending = false;
        try {
            peers.open();
        } catch (IOException e) {
            peerSocketPending = true;
            if (!before) {
                log.accept("hand-over: the peers' socket is not free yet: " + e.getMessage());
            }
        }
    }

    private ConnectionAcceptor newAcceptor() throws IOException {
        try {
            return new ConnectionAcceptor(
                    config.listen(), succession != null, reactor, consumers.connectionPermits(), log);
        } catch (IOException e) {
            throw new IOException("cannot listen on " + config.listen() + ": " + e.getMessage());
        }
    }

    private boolean canServe() {
        return lifeCycle.acceptsClients() && pools.defaultService().hasProvider();
    }

    /**
     * Has it listen only after discovery's first list, or after so many milliseconds without one. Whoever
     * comes back with an old list would send to providers that drain, as all of it counts as told that
     * discovery's agent holds; consumers find others meanwhile. To be called before a run.
     */
    void setFirstEndpointListTimeout(long mostMillis) {
        firstEndpointListMillis = mostMillis;
    }

    /** Something to wait for. */
    interface InterruptibleTask {
        void run() throws InterruptedException;
    }

    /**
     * After {@code first}, runs the program's own paths; until that is done the gatekeeper is not ready, but
     * serves what comes all the same. To be called before a run.
     */
    Thread warmUpAfter(InterruptibleTask first) {
        warmedUp = false;
        WarmUp warmUp = new WarmUp(
                config,
                clock,
                log,
                () -> replacesRunningProcess || pools.defaultService().restarted());
        Thread thread = new Thread(
                () -> {
                    try {
                        first.run();
                        discoveryQueried
                                .await(); // what the warm-up takes of the core before that, the first list comes later
                        if (replacesRunningProcess) {
                            warmUpOnPrivatePort(warmUp);
                        } else {
                            warmUp.run(
                                    pools.defaultService().client(),
                                    millis -> isListeningWithin(millis) ? (InetSocketAddress) listenAddress : null);
                        }
                    } catch (InterruptedException | IOException | RuntimeException e) {
                        log.accept("warm-up: " + e); // it then starts cold, which is slower and no worse
                    } finally {
                        warmedUp = true;
                        if (replacesRunningProcess) {
                            takeOver();
                        } else if (serving) {
                            markReady();
                        }
                    }
                },
                "reedmux-warm-up");
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    /** Warms up at a port of our own: at the consumers' one the other process would answer half of it. */
    private void warmUpOnPrivatePort(WarmUp warmUp) throws IOException, InterruptedException {
        try (ConnectionAcceptor aside = new ConnectionAcceptor(
                new InetSocketAddress(config.listen().getAddress(), 0),
                false,
                reactor,
                consumers.connectionPermits(),
                log)) {
            InetSocketAddress here = (InetSocketAddress) aside.address();
            warmUp.run(pools.defaultService().client(), millis -> here);
        }
    }

    /** Takes another process's place, or starts beside it from nothing where that fails. */
    private void takeOver() {
        try {
            awaitFirstEndpointList(); // while the other one still serves and has the counts
            if (!succession.takeOverCounts()) {
                pools.runInEventLoop(this::openPeerSocket);
            }
            startServing();
        } catch (IOException e) {
            log.accept(e.getMessage());
            failed = true;
            pools.eventLoop().wake();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private long afterTurn(long now) {
        if (failed) {
            throw new IllegalStateException("cannot take the place of the process that runs");
        }
        if (succession != null && succession.isExchanging() && now - exchangedAt >= EXCHANGE_INTERVAL_MICROS) {
            exchangedAt = now;
            succession.exchangeUsage();
        }
        if (now - sweptAt >= SWEEP_INTERVAL_MICROS) {
            sweptAt = now;
            if (peerSocketPending) {
                openPeerSocket();
            }
            pools.sweep(now);
            consumers.sweep();
            if (regionConnector != null) {
                regionConnector.sweep(now);
            }
        }
        if (lifeCycle.phase() != LifeCycle.LifeCyclePhase.LEAVING) {
            // A reactor whose thread has died closes its sockets and says nothing. To go on without
            // sockets would look alive and serve nobody, so the program ends and is started again.
            if (!reactorThreads.stream().allMatch(Thread::isAlive)) {
                throw new IllegalStateException("the reactor has ended");
            }
            return nextSweepAt();
        }
        if (accepting && !lifeCycle.acceptsConnections(now)) {
            accepting = false;
            stopListening();
            consumers.sweep();
        }
        return lifeCycle.mayTerminate(
                        now,
                        pools.unanswered() + consumers.connectionsWithPendingResponses(),
                        consumers.hasConnections())
                ? GatekeeperLoop.STOP
                : Math.min(lifeCycle.nextCheck(now), nextSweepAt());
    }

    private long nextSweepAt() {
        return succession != null && succession.isExchanging()
                ? exchangedAt + EXCHANGE_INTERVAL_MICROS
                : sweptAt + SWEEP_INTERVAL_MICROS;
    }

    private void stopListening() {
        if (acceptor != null) {
            acceptor.close();
        }
        if (regionConnector != null) {
            regionConnector.stopListening();
        }
    }

    /** Stops taking in new work a little later, answers all that was taken, and ends. */
    public void beginShutdown() {
        lifeCycle.startShutdown(clock.now());
        pools.eventLoop().wake();
    }

    /**
     * Takes over what a new configuration says of discovery and keeps all else; may be called by any thread
     * but the I/O thread, which has no time for files. One that cannot be read changes nothing.
     */
    void reload(ConfigurationSource reading) {
        try {
            LoadedConfiguration loaded = reading.read();
            GatekeeperConfig told = loaded.config();
            List<String> kept = config.fixedAtStart(told);
            if (!kept.isEmpty()) {
                log.accept("configuration: a change takes a restart: " + String.join(", ", kept));
            }
            pools.reload(loaded.services().pools(), loaded.services().routes());
            RegionSettings region = loaded.settings().region();
            if (regionConnector != null) {
                pools.defaultService().post(regionConnector.reload(region));
            } else if (region != null) {
                log.accept("settings: a change takes a restart: region");
            }
        } catch (ConfigException e) {
            log.accept("configuration: " + e.getMessage() + "; the old settings stay");
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Reads a configuration, or says which key is at fault. */
    interface ConfigurationSource {
        LoadedConfiguration read() throws ConfigException;
    }

    public boolean awaitEnd(long millis) throws InterruptedException {
        return ended.await(millis, TimeUnit.MILLISECONDS);
    }

    /** Whether consumers can connect, or can within so many milliseconds. */
    boolean isListeningWithin(long millis) throws InterruptedException {
        return listening.await(millis, TimeUnit.MILLISECONDS);
    }

    /** Where consumers connect, once they can; what was configured, or the port that port 0 brought. */
    public SocketAddress awaitListening() throws InterruptedException {
        listening.await();
        return listenAddress;
    }

    /** Where operators connect; null where no place for them is named. */
    public InetSocketAddress adminAddress() throws IOException {
        return adminServer == null ? null : adminServer.address();
    }

    /** Where other regions connect, once they can; null where they may not. */
    public InetSocketAddress awaitRegionAddress() throws InterruptedException, IOException {
        listening.await();
        return regionConnector == null ? null : regionConnector.address();
    }

    @Override
    public void close() throws IOException {
        peers.close();
    }
}
