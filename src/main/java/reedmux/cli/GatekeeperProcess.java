package reedmux.cli;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
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
import reedmux.gatekeeper.config.GatekeeperConfig;
import reedmux.gatekeeper.handover.HandoverCoordinator;
import reedmux.gatekeeper.http.ConnectionAcceptor;
import reedmux.gatekeeper.http.ConsumerServer;
import reedmux.gatekeeper.http.HttpTransport;
import reedmux.gatekeeper.peer.PeerSocket;
import reedmux.gatekeeper.reducer.GatekeeperLoop;
import reedmux.gatekeeper.service.ServiceManager;
import reedmux.gatekeeper.service.ServiceRuntime;
import reedmux.gatekeeper.settings.RegionSettings;

/**
 * A gatekeeper process: runs the reducers of its services on the event loop's thread and assembles the components that
 * do their I/O. It may take over from a running process of the same gatekeeper ({@link HandoverCoordinator}). In that
 * case it first warms up, then receives the other process's counts, and listens at the same port until that process
 * ends.
 */
public final class GatekeeperProcess implements AutoCloseable {
    /**
     * Shares of the file descriptors for connections of consumers and to providers. Well-behaved consumers hold up to a
     * third of all descriptors, and their connections must not be closed to free descriptors. The remainder covers the
     * JVM's files, discovery and peers, about 20 descriptors, and connections that are accepted before others can be
     * closed in their favour.
     */
    private static final double CONSUMERS_SHARE = 0.42;

    private static final double PROVIDERS_SHARE = 0.25;
    /**
     * The limit of bytes buffered for in-flight requests of all services. The total reaches twice this value while
     * every service uses all the capacity that it may borrow.
     */
    private static final long MAX_BUFFERED_BYTES = 12L * 1024 * 1024;
    /**
     * The interval between checks for connections that have timed out. A stalled consumer connection must be closed
     * within 3 s.
     */
    private static final long SWEEP_INTERVAL_MICROS = TimeUnit.MILLISECONDS.toMicros(250);
    /** The interval at which usage is sent to the other process of this gatekeeper during a handover. */
    private static final long EXCHANGE_INTERVAL_MICROS = TimeUnit.MILLISECONDS.toMicros(50);

    private final GatekeeperConfig config;
    private final MonotonicClock clock;
    private final Consumer<String> log;
    private final PeerSocket peers;
    private final ServiceManager services;
    private final ConfigurationReloader reloader;
    private final List<Thread> reactorThreads = new ArrayList<>(2);
    private final DefaultListeningIOReactor reactor;
    private final ConsumerServer consumers;
    private final RegionConnector regionConnector;
    private final CountDownLatch ended = new CountDownLatch(1);
    private final CountDownLatch listening = new CountDownLatch(1);
    /** Released once discovery has been queried for the first time. */
    private final CountDownLatch discoveryQueried = new CountDownLatch(1);

    private volatile boolean serving;
    private final LifeCycle lifeCycle = new LifeCycle();
    private final Metrics metrics = new Metrics();
    private final AdminServer adminServer;
    /** Null if handover between processes is disabled. */
    private final HandoverCoordinator handover;

    private final HandoverCallbacks handoverCallbacks;
    /** Whether another process of this gatekeeper was running when this one started. */
    private final boolean replacesRunningProcess;

    private volatile boolean takeoverFailed;
    private volatile boolean warmedUp = true;
    private volatile ConnectionAcceptor acceptor;
    private volatile SocketAddress listenAddress;
    private boolean accepting = true;
    private long firstEndpointListMillis;
    private long lastUsageExchangeAt;
    private long lastSweepAt;

    /** Creates a gatekeeper without operator settings and without handover. */
    public GatekeeperProcess(GatekeeperConfig config, MonotonicClock clock, Consumer<String> log) throws IOException {
        this(LoadedConfiguration.platformOnly(config), clock, log);
    }

    GatekeeperProcess(LoadedConfiguration loaded, MonotonicClock clock, Consumer<String> log) throws IOException {
        this(loaded, clock, log, null, 0);
    }

    /**
     * Creates a gatekeeper that can take over from another process of the same gatekeeper.
     *
     * @param handoverSocket the path of the Unix domain socket through which processes of this gatekeeper connect, or
     *     null to disable handover
     * @param handoverReplyMillis maximum time in milliseconds for a reply of the other process
     * @throws IOException if a socket cannot be opened
     */
    GatekeeperProcess(
            LoadedConfiguration loaded,
            MonotonicClock clock,
            Consumer<String> log,
            Path handoverSocket,
            long handoverReplyMillis)
            throws IOException {
        config = loaded.config();
        this.clock = clock;
        this.log = log;
        peers = new PeerSocket(config.peerListen(), config.peers(), config.peerBroadcast());
        handoverCallbacks = new HandoverCallbacks(peers, lifeCycle, clock, log);
        handover = handoverSocket == null
                ? null
                : new HandoverCoordinator(
                        handoverSocket, config.countingRules(), handoverReplyMillis, handoverCallbacks, log);
        replacesRunningProcess = findRunningProcess();
        if (!replacesRunningProcess) {
            peers.open();
        }
        int consumerConnections = (int) (config.maxDescriptors() * CONSUMERS_SHARE);
        services = newServices(loaded, consumerConnections);
        handoverCallbacks.attach(services);
        consumers = new ConsumerServer(services.frontend(), this::canServe, lifeCycle, consumerConnections);
        regionConnector = newRegionConnector(loaded.settings().region());
        reactor = HttpTransport.createReactor(
                local -> regionConnector == null ? consumers : regionConnector.serverOf(local, consumers),
                log,
                reactorThreads);
        openServices(loaded);
        reloader = new ConfigurationReloader(config, services, regionConnector, log);
        AdminCommands commands = new AdminCommands(lifeCycle, metrics, this::canServe, clock::now, log);
        adminServer =
                config.adminListen() == null ? null : new AdminServer(config.adminListen(), commands::execute, log);
    }

    private ServiceManager newServices(LoadedConfiguration loaded, int consumerConnections) {
        int providerDescriptors = (int) (config.maxDescriptors() * PROVIDERS_SHARE);
        return new ServiceManager(
                loaded.services().sharedCapacity(consumerConnections, MAX_BUFFERED_BYTES, providerDescriptors),
                clock,
                peers,
                peers,
                config.seed(),
                log,
                metrics);
    }

    /** Returns null if the operators have not set a region. */
    private RegionConnector newRegionConnector(RegionSettings region) {
        return region == null
                ? null
                : new RegionConnector(
                        region,
                        config,
                        clock,
                        event -> services.defaultService().post(event),
                        this::canServe,
                        lifeCycle,
                        log);
    }

    private void openServices(LoadedConfiguration loaded) throws IOException {
        ServiceRuntime.RegionForwarding forwarding = null;
        if (regionConnector != null) {
            regionConnector.connect(
                    reactor, config, clock, event -> services.defaultService().post(event));
            forwarding = new ServiceRuntime.RegionForwarding(regionConnector.coordinator(), regionConnector::call);
        }
        services.open(reactor, loaded.services().pools(), loaded.services().routes(), forwarding);
    }

    /**
     * Listens, and serves until the shutdown is complete. The calling thread runs the event loop and owns the reducers.
     *
     * @throws IOException           if the consumers' or the regions' address cannot be bound
     * @throws IllegalStateException if the process cannot continue and has to be restarted
     */
    public void run() throws IOException, InterruptedException {
        reactor.start();
        services.start();
        discoveryQueried.countDown();
        try {
            if (!replacesRunningProcess) {
                awaitFirstEndpointList();
                startServing();
            } else if (warmedUp) { // otherwise the warm-up thread takes over when the warm-up is complete
                Thread takeoverThread = new Thread(this::takeOverFromPredecessor, "reedmux-take-over");
                takeoverThread.setDaemon(true);
                takeoverThread.start();
            }
            services.eventLoop().run(services.loopTasks(), this::afterTurn);
            log.accept("ended; datagrams dropped " + peers.droppedCount() + ", not sent " + peers.unsentCount());
        } finally {
            closeAll();
        }
    }

    private void closeAll() throws IOException {
        services.close();
        if (handover != null) {
            handover.close();
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

    private void awaitFirstEndpointList() throws InterruptedException {
        if (firstEndpointListMillis > 0 && !services.defaultService().awaitProviders(firstEndpointListMillis)) {
            log.accept("discovery: nothing told in " + firstEndpointListMillis + " ms; the known list serves");
        }
    }

    private void startServing() throws IOException {
        acceptor = newAcceptor();
        if (regionConnector != null) {
            regionConnector.listen(reactor, handover != null);
        }
        listenAddress = acceptor.address();
        serving = true;
        listening.countDown();
        if (warmedUp) {
            markReady();
        }
    }

    private void markReady() {
        if (lifeCycle.phase() == LifeCycle.LifeCyclePhase.STARTING && handover != null) {
            handover.onServing();
        }
        lifeCycle.onReady(clock.now());
    }

    private boolean findRunningProcess() {
        try {
            return handover != null && handover.connectToPredecessor();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        }
    }

    private ConnectionAcceptor newAcceptor() throws IOException {
        try {
            return new ConnectionAcceptor(
                    config.listen(), handover != null, reactor, consumers.connectionPermits(), log);
        } catch (IOException e) {
            throw new IOException("cannot listen on " + config.listen() + ": " + e.getMessage());
        }
    }

    private boolean canServe() {
        return lifeCycle.acceptsClients() && services.defaultService().hasProvider();
    }

    /**
     * Sets how long to wait for discovery's first endpoint list before listening, in milliseconds; 0 disables the wait.
     * A process that listens with a list from before its restart would send requests to providers that are draining.
     * While it waits, consumers connect to other gatekeepers. Must be called before {@link #run}.
     */
    void setFirstEndpointListTimeout(long millis) {
        firstEndpointListMillis = millis;
    }

    /** A task that may block and be interrupted. */
    interface InterruptibleTask {
        void run() throws InterruptedException;
    }

    /**
     * Starts a thread that runs {@code precedingTask} and then warms up the process. Until the warm-up is complete the
     * gatekeeper serves requests but does not report itself as ready. Must be called before {@link #run}.
     */
    Thread warmUpAfter(InterruptibleTask precedingTask) {
        warmedUp = false;
        Thread thread = new Thread(() -> warmUp(precedingTask), "reedmux-warm-up");
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    private void warmUp(InterruptibleTask precedingTask) {
        WarmUp warmUp = new WarmUp(
                config,
                clock,
                log,
                () -> replacesRunningProcess || services.defaultService().restartDetected());
        try {
            precedingTask.run();
            discoveryQueried.await(); // an earlier warm-up would use CPU time and delay the first endpoint list
            if (replacesRunningProcess) {
                warmUpOnPrivatePort(warmUp);
            } else {
                warmUp.run(
                        services.defaultService().client(),
                        millis -> isListeningWithin(millis) ? (InetSocketAddress) listenAddress : null);
            }
        } catch (InterruptedException | IOException | RuntimeException e) {
            log.accept("warm-up: " + e); // the process serves without a warm-up, only more slowly at first
        } finally {
            warmedUp = true;
            if (replacesRunningProcess) {
                takeOverFromPredecessor();
            } else if (serving) {
                markReady();
            }
        }
    }

    /**
     * Warms up over a private port. On the consumers' port, the other process, which is still running, would answer
     * half of the requests.
     */
    private void warmUpOnPrivatePort(WarmUp warmUp) throws IOException, InterruptedException {
        try (ConnectionAcceptor privateAcceptor = new ConnectionAcceptor(
                new InetSocketAddress(config.listen().getAddress(), 0),
                false,
                reactor,
                consumers.connectionPermits(),
                log)) {
            InetSocketAddress privateAddress = (InetSocketAddress) privateAcceptor.address();
            warmUp.run(services.defaultService().client(), millis -> privateAddress);
        }
    }

    /** Receives the counts of the running process and starts serving; if the transfer fails, starts without them. */
    private void takeOverFromPredecessor() {
        try {
            awaitFirstEndpointList(); // the other process still serves
            if (!handover.takeOverCounts()) {
                services.runInEventLoop(handoverCallbacks::openPeerSocket);
            }
            startServing();
        } catch (IOException e) {
            log.accept(e.getMessage());
            takeoverFailed = true;
            services.eventLoop().wake();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Called by the event loop after each turn; returns the time in microseconds at which to call it next. */
    private long afterTurn(long now) {
        if (takeoverFailed) {
            throw new IllegalStateException("cannot take over from the running process");
        }
        if (handover != null && handover.isExchangingUsage() && now - lastUsageExchangeAt >= EXCHANGE_INTERVAL_MICROS) {
            lastUsageExchangeAt = now;
            handover.sendUsage();
        }
        if (now - lastSweepAt >= SWEEP_INTERVAL_MICROS) {
            lastSweepAt = now;
            sweep(now);
        }
        if (lifeCycle.phase() != LifeCycle.LifeCyclePhase.LEAVING) {
            // A reactor whose thread has died closes its sockets without an error. A process without sockets would
            // appear alive but serve no requests, so it exits and the platform restarts it.
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
                        services.unansweredCount() + consumers.connectionsWithPendingResponses(),
                        consumers.hasConnections())
                ? GatekeeperLoop.STOP
                : Math.min(lifeCycle.nextTerminationCheck(now), nextSweepAt());
    }

    private void sweep(long now) {
        handoverCallbacks.retryPeerSocket();
        services.sweep(now);
        consumers.sweep();
        if (regionConnector != null) {
            regionConnector.sweep(now);
        }
    }

    private long nextSweepAt() {
        return handover != null && handover.isExchangingUsage()
                ? lastUsageExchangeAt + EXCHANGE_INTERVAL_MICROS
                : lastSweepAt + SWEEP_INTERVAL_MICROS;
    }

    private void stopListening() {
        if (acceptor != null) {
            acceptor.close();
        }
        if (regionConnector != null) {
            regionConnector.close();
        }
    }

    /**
     * Begins a graceful shutdown: accepts connections for a short grace period, completes the accepted requests, and
     * then lets {@link #run} return. May be called from any thread.
     */
    public void beginShutdown() {
        lifeCycle.startShutdown(clock.now());
        services.eventLoop().wake();
    }

    /**
     * Applies the changes of the configuration that do not require a restart; an invalid configuration is logged and
     * changes nothing. Must not be called on an I/O thread, as it reads files.
     */
    void reload(ConfigurationReloader.ConfigurationSource source) {
        reloader.reload(source);
    }

    /** Waits up to {@code millis} milliseconds for {@link #run} to complete; returns whether it has. */
    public boolean awaitEnd(long millis) throws InterruptedException {
        return ended.await(millis, TimeUnit.MILLISECONDS);
    }

    /** Waits up to {@code millis} milliseconds until consumers can connect; returns whether they can. */
    boolean isListeningWithin(long millis) throws InterruptedException {
        return listening.await(millis, TimeUnit.MILLISECONDS);
    }

    /** Waits until consumers can connect; returns the bound address, with the assigned port if port 0 is configured. */
    public SocketAddress awaitListening() throws InterruptedException {
        listening.await();
        return listenAddress;
    }

    /** Returns the address of the admin server, or null if none is configured. */
    public InetSocketAddress adminAddress() throws IOException {
        return adminServer == null ? null : adminServer.address();
    }

    /** Waits until consumers can connect; returns the address for other regions, or null if there is none. */
    public InetSocketAddress awaitRegionAddress() throws InterruptedException, IOException {
        listening.await();
        return regionConnector == null ? null : regionConnector.address();
    }

    @Override
    public void close() throws IOException {
        peers.close();
    }
}
