package reedmux.gatekeeper.service;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.apache.hc.core5.reactor.ConnectionInitiator;
import reedmux.common.time.MonotonicClock;
import reedmux.gatekeeper.admin.Metrics;
import reedmux.gatekeeper.discovery.DiscoveryWatch;
import reedmux.gatekeeper.http.RequestFrontend;
import reedmux.gatekeeper.peer.PeerSocket;
import reedmux.gatekeeper.policy.HandoverCounts;
import reedmux.gatekeeper.reducer.GatekeeperLoop;
import reedmux.gatekeeper.routing.RouteTable;
import reedmux.gatekeeper.service.ServiceRuntime.RegionForwarding;
import reedmux.gatekeeper.service.ServiceRuntime.SharedResources;
import reedmux.gatekeeper.service.ServiceScheduler.ServiceSetChange;

/**
 * Owns the services of one gatekeeper: creates them, replaces them when the settings are reloaded, and routes requests
 * to them. What they do on the event loop is {@link ServiceScheduler}'s.
 *
 * <p>The monitor guards what is created and reloaded. Methods that say so are for the event loop's thread only.
 */
public final class ServiceManager implements AutoCloseable {
    /** How long a reload waits for the provider lists of new services before requests are routed to them. */
    private static final long PROVIDER_LIST_TIMEOUT_MILLIS = 3_000;

    /**
     * What the services share.
     *
     * @param maxInFlight    requests in flight over all services
     * @param maxBytes       bytes that these buffer
     * @param maxDescriptors descriptors for connections to providers
     * @param fair           whether services take turns, or events are handled in the order of their arrival
     */
    public record SharedCapacity(int maxInFlight, long maxBytes, int maxDescriptors, boolean fair) {}

    private final MonotonicClock clock;
    private final GatekeeperLoop eventLoop;
    private final PeerSocket peers;
    private final Consumer<String> log;
    private final Metrics metrics;
    private final long seed;
    private final ScheduledExecutorService timers = DiscoveryWatch.createTimers();
    private final RoutingFrontend frontend;
    private final DescriptorBudget descriptorBudget;
    private final ServiceScheduler scheduler;
    private SharedResources sharedResources;
    private int slotCount;
    /** The services that requests are routed to, in the order of the settings. */
    private List<ServiceRuntime> currentServices = List.of();

    /** A manager without services. */
    public ServiceManager(
            SharedCapacity capacity,
            MonotonicClock clock,
            GatekeeperLoop.LoopWaiter waiter,
            PeerSocket peers,
            long seed,
            Consumer<String> log,
            Metrics metrics) {
        this.metrics = metrics;
        this.clock = clock;
        this.peers = peers;
        this.seed = seed;
        this.log = log;
        eventLoop = new GatekeeperLoop(clock, waiter);
        frontend = new RoutingFrontend(clock);
        descriptorBudget = new DescriptorBudget(capacity.maxDescriptors());
        scheduler = new ServiceScheduler(eventLoop, capacity, log);
    }

    /** Parses the consumers' requests and routes them to the services. */
    public RequestFrontend frontend() {
        return frontend;
    }

    /** The loop that runs all services. */
    public GatekeeperLoop eventLoop() {
        return eventLoop;
    }

    /** What the event loop runs: all services. */
    public GatekeeperLoop.LoopTasks loopTasks() {
        return scheduler;
    }

    // ---- Start and reload --------------------------------------------------------------------------
    /**
     * Creates the first services; to be called once, before the event loop runs.
     *
     * @param setups     the platform's own service first
     * @param routes     by the services' indices; null if one service takes all requests
     * @param forwarding to other regions, of the platform's own service; may be null
     */
    public synchronized void open(
            ConnectionInitiator reactor, List<ServiceSetup> setups, RouteTable routes, RegionForwarding forwarding) {
        sharedResources =
                new SharedResources(reactor, clock, eventLoop, peers, timers, log, scheduler::onAdmittedEnded, metrics);
        List<ServiceRuntime> services = new ArrayList<>();
        for (ServiceSetup setup : setups) {
            services.add(create(setup, services.isEmpty() ? forwarding : null));
        }
        currentServices = List.copyOf(services);
        divideDescriptors();
        frontend.setRouting(new ServiceRouting(routes, routeTargets()));
        scheduler.applyNow(new ServiceSetChange(currentServices, List.of()), clock.now());
    }

    private ServiceRuntime create(ServiceSetup setup, RegionForwarding forwarding) {
        Integer freeSlot = scheduler.pollFreeSlot();
        int slot = freeSlot != null ? freeSlot : descriptorBudget.addService();
        slotCount = Math.max(slotCount, slot + 1);
        ServiceRuntime service =
                new ServiceRuntime(setup, slot, seed, sharedResources, descriptorBudget.permitsOf(slot), forwarding);
        descriptorBudget.setEvictor(slot, service.connectionPool()::evictLongestIdle);
        return service;
    }

    /** The current services by their indices in the routes; the last index stands for no service. */
    private List<ServiceRuntime> routeTargets() {
        List<ServiceRuntime> targets = new ArrayList<>(currentServices);
        targets.add(null);
        return targets;
    }

    private void divideDescriptors() {
        double[] weights = new double[slotCount];
        currentServices.forEach(
                service -> weights[service.slot] = service.setup().weight());
        descriptorBudget.setWeights(weights);
    }

    /** Starts to watch discovery for all services. */
    public synchronized void start() {
        currentServices.forEach(ServiceRuntime::startDiscovery);
    }

    /**
     * Replaces services and routes. A service with the same name and rules continues with all its state. New ones get
     * their provider lists first, for {@link #PROVIDER_LIST_TIMEOUT_MILLIS} at most; then all routes change at once, and
     * services that are no longer set drain and end.
     *
     * <p>Blocks; to be called by one thread at a time, neither the event loop's nor the I/O thread.
     */
    public synchronized void reload(List<ServiceSetup> setups, RouteTable routes) throws InterruptedException {
        List<ServiceRuntime> newServices = new ArrayList<>();
        List<ServiceRuntime> starting = new ArrayList<>();
        List<ServiceRuntime> draining = new ArrayList<>(currentServices);
        for (ServiceSetup setup : setups) {
            ServiceRuntime current = find(setup.name());
            if (current != null && current.canContinueWith(setup)) {
                draining.remove(current);
                newServices.add(current);
                continue;
            }
            ServiceRuntime created = create(setup, null);
            if (current != null) {
                current.mutePeerMessages();
            }
            starting.add(created);
            newServices.add(created);
        }
        scheduler.apply(new ServiceSetChange(starting, List.of()));
        starting.forEach(ServiceRuntime::startDiscovery);
        awaitProviders(starting);
        currentServices = List.copyOf(newServices);
        for (int i = 0; i < newServices.size(); i++) {
            if (!starting.contains(newServices.get(i))) {
                newServices.get(i).applySetup(setups.get(i));
            }
        }
        divideDescriptors();
        frontend.setRouting(new ServiceRouting(routes, routeTargets()));
        scheduler.apply(new ServiceSetChange(List.of(), draining));
        logReload(starting, draining);
    }

    private ServiceRuntime find(String name) {
        for (ServiceRuntime service : currentServices) {
            if (service.name().equals(name)) {
                return service;
            }
        }
        return null;
    }

    private void awaitProviders(List<ServiceRuntime> starting) throws InterruptedException {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(PROVIDER_LIST_TIMEOUT_MILLIS);
        for (ServiceRuntime service : starting) {
            long remainingMillis = TimeUnit.NANOSECONDS.toMillis(end - System.nanoTime());
            if (!service.awaitProviders(Math.max(0, remainingMillis))) {
                log.accept("service " + service.name() + ": discovery is silent; what is known serves");
            }
        }
    }

    private void logReload(List<ServiceRuntime> starting, List<ServiceRuntime> draining) {
        if (starting.isEmpty() && draining.isEmpty()) {
            return;
        }
        String leaving = draining.isEmpty() ? "" : "; leaving " + names(draining);
        log.accept("services: now " + serviceNames() + leaving);
    }

    private static List<String> names(List<ServiceRuntime> services) {
        return services.stream().map(ServiceRuntime::name).toList();
    }

    /** The platform's own service; for all threads. */
    public ServiceRuntime defaultService() {
        return frontend.routing().defaultService();
    }

    /** The names of the services that requests are routed to. */
    public synchronized List<String> serviceNames() {
        return names(currentServices);
    }

    /** Has the event loop run a task at its next turn; for all threads. */
    public void runInEventLoop(Runnable task) {
        scheduler.post(task);
    }

    // ---- For the event loop's thread ---------------------------------------------------------------
    /** Requests without an answer yet, in all services; for the event loop's thread. */
    public int unansweredCount() {
        return scheduler.unansweredCount();
    }

    /** Closes idle connections and ends services that have drained; for the event loop's thread, now and then. */
    public void sweep(long now) {
        scheduler.sweep(now);
    }

    /** What is handed over to a process that replaces this one, by service; for the event loop's thread. */
    public Map<String, HandoverCounts> handoverCounts() {
        return scheduler.handoverCounts();
    }

    /** Datagrams of services that are unknown here; for the event loop's thread. */
    public long unknownServiceMessages() {
        return scheduler.unknownServiceMessages();
    }

    /** Closes all services; for the event loop's thread, after its last turn. */
    @Override
    public void close() {
        scheduler.close();
        timers.shutdownNow();
    }
}
