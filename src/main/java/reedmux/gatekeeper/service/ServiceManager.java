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
 * to them. {@link ServiceScheduler} runs them on the event loop.
 *
 * <p>The monitor guards creation and reloading. Methods documented as being for the event loop's thread must not be
 * called by other threads.
 */
public final class ServiceManager implements AutoCloseable {
    /**
     * Maximum time for which a reload waits for the provider lists of new services before it routes requests to them.
     */
    private static final long PROVIDER_LIST_TIMEOUT_MILLIS = 3_000;

    /**
     * Capacity that the services share.
     *
     * @param maxInFlight    limit on the requests in flight, for all services together
     * @param maxBytes       limit on the bytes that these requests buffer
     * @param maxDescriptors number of file descriptors for connections to providers
     * @param fair           whether services are scheduled in turn; otherwise events are handled in order of arrival
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
    /** The services to which requests are routed, in the order of the settings. */
    private List<ServiceRuntime> currentServices = List.of();

    /** Creates a manager without services. */
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

    /** Returns the frontend that parses the consumers' requests and routes them to the services. */
    public RequestFrontend frontend() {
        return frontend;
    }

    /** Returns the event loop that runs all services. */
    public GatekeeperLoop eventLoop() {
        return eventLoop;
    }

    /** Returns the tasks of the event loop, which run all services. */
    public GatekeeperLoop.LoopTasks loopTasks() {
        return scheduler;
    }

    // ---- Start and reload --------------------------------------------------------------------------
    /**
     * Creates the initial services. Must be called once, before the event loop runs.
     *
     * @param setups     the services to create, beginning with the default service
     * @param routes     the routes to the services, by their indices in {@code setups}; null if a single service
     *                   receives all requests
     * @param forwarding forwarding to other regions, for the default service; may be null
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

    /**
     * Returns the current services by their route index; the last index stands for requests without a matching service.
     */
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

    /** Starts watching service discovery for all services. */
    public synchronized void start() {
        currentServices.forEach(ServiceRuntime::startDiscovery);
    }

    /**
     * Replaces the services and routes. A service that keeps its name and rules continues with its complete state. For
     * new services, this method first waits up to {@link #PROVIDER_LIST_TIMEOUT_MILLIS} for their provider lists. Then
     * all routes are replaced at once, and services that are no longer configured drain and end.
     *
     * <p>Blocks. Must not be called by several threads at a time, nor by the event loop's thread or the I/O thread.
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

    /** Returns the default service; thread-safe. */
    public ServiceRuntime defaultService() {
        return frontend.routing().defaultService();
    }

    /** Returns the names of the services to which requests are routed. */
    public synchronized List<String> serviceNames() {
        return names(currentServices);
    }

    /** Runs a task in the next iteration of the event loop; thread-safe. */
    public void runInEventLoop(Runnable task) {
        scheduler.post(task);
    }

    // ---- Called by the event loop's thread ---------------------------------------------------------
    /** Returns the number of requests of all services that have not been answered; for the event loop's thread. */
    public int unansweredCount() {
        return scheduler.unansweredCount();
    }

    /** Closes idle connections and ends drained services. Called periodically, by the event loop's thread. */
    public void sweep(long now) {
        scheduler.sweep(now);
    }

    /**
     * Returns the counts of each service, by name, that are handed over to a process that replaces this one; for the
     * event loop's thread.
     */
    public Map<String, HandoverCounts> handoverCounts() {
        return scheduler.handoverCounts();
    }

    /** Returns the number of received datagrams for services that do not exist here; for the event loop's thread. */
    public long unknownServiceMessages() {
        return scheduler.unknownServiceMessages();
    }

    /** Closes all services; for the event loop's thread, after its last iteration. */
    @Override
    public void close() {
        scheduler.close();
        timers.shutdownNow();
    }
}
