package reedmux.gatekeeper.service;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.apache.hc.core5.reactor.ConnectionInitiator;
import reedmux.common.time.MonotonicClock;
import reedmux.gatekeeper.admin.Metrics;
import reedmux.gatekeeper.discovery.DiscoveryWatch;
import reedmux.gatekeeper.http.RequestFrontend;
import reedmux.gatekeeper.peer.PeerSocket;
import reedmux.gatekeeper.peer.PoolTag;
import reedmux.gatekeeper.policy.HandoverCounts;
import reedmux.gatekeeper.reducer.GatekeeperLoop;
import reedmux.gatekeeper.reducer.Invocation;
import reedmux.gatekeeper.reducer.ReducerEvent;
import reedmux.gatekeeper.routing.RouteTable;

/**
 * The pools of one gatekeeper on their one thread. With one pool its events are taken in the order of their
 * coming and nothing is counted; with several each event waits in its pool's queue, from which
 * {@link DeficitRoundRobinQueue} takes, and {@link AdmissionControl} says what is let in. Other threads post events
 * and reload;
 * all else is the turns' thread's.
 */
public final class ServiceManager implements GatekeeperLoop.LoopTasks, AutoCloseable {
    /** Pieces of work of one turn, before others get to be heard again. */
    private static final int MAX_WORK_PER_TURN = 64;
    /** What a pool may spend in its turn, with a weight of one; and what the pieces cost. */
    private static final int BASE_QUANTUM = 8;

    private static final long DECISION_COST = 4;
    private static final long COMPLETION_COST = 3;
    private static final long OTHER_COST = 1;
    /** How long a pool that was added may take until requests are led to it, its list unknown or not. */
    private static final long JOIN_TIMEOUT_MILLIS = 3_000;
    /** How long after the last request was led to it a pool that was removed may end, at the earliest. */
    private static final long MIN_DRAIN_MICROS = TimeUnit.SECONDS.toMicros(1);
    /** Between lines in the log, while there is news. */
    private static final long LOG_INTERVAL_MICROS = TimeUnit.SECONDS.toMicros(10);
    /** When it ends at the latest: past the longest deadline that a request may have had left. */
    private static final long MAX_DRAIN_MICROS = TimeUnit.SECONDS.toMicros(60);

    /**
     * What the pools share.
     *
     * @param inFlight    requests in flight over all pools
     * @param bytes       that these hold
     * @param descriptors for connections to providers
     * @param fair        whether pools take turns, or events come in the order of their arrival
     */
    public record SharedCapacity(int maxInFlight, long maxBytes, int maxDescriptors, boolean fair) {}

    /** A change that the turns' thread makes. */
    private record ServiceSetChange(List<ServiceRuntime> joining, List<ServiceRuntime> draining) {}

    /** An event that waits for its turn. */
    private record ServiceEvent(ServiceRuntime service, ReducerEvent event) {}

    private final MonotonicClock clock;
    private final GatekeeperLoop eventLoop;
    private final PeerSocket peers;
    private final Consumer<String> log;
    private final Metrics metrics;
    private final SharedCapacity capacity;
    private final long seed;
    private final ScheduledExecutorService timers = DiscoveryWatch.createTimers();
    private final RoutingFrontend frontend;
    private final DescriptorBudget descriptorBudget;
    private final AdmissionControl admissionControl;
    private final DeficitRoundRobinQueue<ServiceEvent> queues = new DeficitRoundRobinQueue<>();
    private final Queue<ServiceSetChange> changes = new ConcurrentLinkedQueue<>();
    /** What others have the turns' thread do. */
    private final Queue<Runnable> tasks = new ConcurrentLinkedQueue<>();
    /** Slots whose pools have ended. */
    private final Queue<Integer> freeSlots = new ConcurrentLinkedQueue<>();
    /** Guarded by the monitor. */
    private int slotCount;

    private List<ServiceRuntime> currentServices = List.of();
    private ServiceRuntime.SharedResources sharedResources;
    /** The turns' thread's: all pools that still run, by their slots, and the one where there is one. */
    private final List<ServiceRuntime> running = new ArrayList<>();

    private final Map<Integer, ServiceRuntime> byTag = new HashMap<>();
    private ServiceRuntime onlyService;
    private long turnStartedAt;
    private long unknownServiceMessages;
    private long lastLoggedAt;

    public ServiceManager(
            SharedCapacity sharing,
            MonotonicClock clock,
            GatekeeperLoop.LoopWaiter waiter,
            PeerSocket peers,
            long seed,
            Consumer<String> log,
            Metrics figures) {
        this.metrics = figures;
        this.capacity = sharing;
        this.clock = clock;
        this.peers = peers;
        this.seed = seed;
        this.log = log;
        eventLoop = new GatekeeperLoop(clock, waiter);
        frontend = new RoutingFrontend(clock);
        descriptorBudget = new DescriptorBudget(sharing.maxDescriptors());
        admissionControl = new AdmissionControl(sharing.maxInFlight(), sharing.maxBytes());
    }

    /** Where consumers' requests are read. */
    public RequestFrontend frontend() {
        return frontend;
    }

    public GatekeeperLoop eventLoop() {
        return eventLoop;
    }

    /**
     * Sets up the first pools, the platform's own one in front; before the turns begin.
     *
     * @param routes by the pools' numbers; null where there is one pool, which takes all
     * @param away   for the platform's own service; may be null
     */
    public synchronized void open(
            ConnectionInitiator reactor,
            List<ServiceSetup> setups,
            RouteTable routes,
            ServiceRuntime.RegionForwarding away) {
        sharedResources = new ServiceRuntime.SharedResources(
                reactor, clock, eventLoop, peers, timers, log, this::onAdmittedEnded, metrics);
        List<ServiceRuntime> made = new ArrayList<>();
        for (ServiceSetup setup : setups) {
            made.add(createService(setup, made.isEmpty() ? away : null));
        }
        currentServices = List.copyOf(made);
        changes.add(new ServiceSetChange(currentServices, List.of()));
        divideDescriptors();
        frontend.setRouting(new ServiceRouting(routes, routeTargets(setups)));
        applyChanges(clock.now());
    }

    private List<ServiceRuntime> routeTargets(List<ServiceSetup> setups) {
        List<ServiceRuntime> targets = new ArrayList<>();
        for (ServiceSetup setup : setups) {
            targets.add(currentServices.stream()
                    .filter(pool -> pool.name().equals(setup.name()))
                    .findFirst()
                    .orElseThrow());
        }
        targets.add(null); // the last number of all stands for nobody
        return targets;
    }

    private ServiceRuntime createService(ServiceSetup setup, ServiceRuntime.RegionForwarding away) {
        Integer left = freeSlots.poll();
        int slot = left != null ? left : descriptorBudget.addService();
        slotCount = Math.max(slotCount, slot + 1);
        ServiceRuntime pool =
                new ServiceRuntime(setup, slot, seed, sharedResources, descriptorBudget.permitsOf(slot), away);
        descriptorBudget.setEvictor(slot, pool.connectionPool()::evictLongestIdle);
        return pool;
    }

    /** Divides the descriptors anew between the pools that have a name now. */
    private void divideDescriptors() {
        double[] weights = new double[slotCount];
        currentServices.forEach(pool -> weights[pool.slot] = pool.setup().weight());
        descriptorBudget.setWeights(weights);
    }

    /** Begins to watch discovery for all pools. */
    public synchronized void start() {
        currentServices.forEach(ServiceRuntime::startDiscovery);
    }

    /** The pool of the platform's own service. */
    public ServiceRuntime defaultService() {
        return frontend.routing().defaultService();
    }

    /** The names of the pools that requests are led to. */
    public synchronized List<String> serviceNames() {
        return currentServices.stream().map(ServiceRuntime::name).toList();
    }

    /**
     * Takes over other pools and routes: pools of the same name and rules go on with all that they have, new
     * ones come up first, and then the whole table is replaced at once. Those that are no longer named
     * answer what they have taken, and end. Called by one thread at a time, never the turns' or the I/O
     * thread; waits for new pools' lists for three seconds at most.
     */
    public synchronized void reload(List<ServiceSetup> setups, RouteTable routes) throws InterruptedException {
        List<ServiceRuntime> next = new ArrayList<>();
        List<ServiceRuntime> joining = new ArrayList<>();
        List<ServiceRuntime> leaving = new ArrayList<>(currentServices);
        for (ServiceSetup setup : setups) {
            ServiceRuntime kept = currentServices.stream()
                    .filter(pool -> pool.name().equals(setup.name()))
                    .findFirst()
                    .orElse(null);
            boolean same = kept != null
                    && (kept.tag() == PoolTag.NONE || kept.setup().service().hasSameRules(setup.service()));
            ServiceRuntime pool = same ? kept : createService(setup, null);
            if (same) {
                leaving.remove(kept);
            } else {
                joining.add(pool);
                if (kept != null) {
                    kept.mutePeerMessages();
                }
            }
            next.add(pool);
        }
        changes.add(new ServiceSetChange(joining, List.of()));
        eventLoop.notifyPosted();
        joining.forEach(ServiceRuntime::startDiscovery);
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(JOIN_TIMEOUT_MILLIS);
        for (ServiceRuntime pool : joining) {
            if (!pool.awaitProviders(Math.max(0, TimeUnit.NANOSECONDS.toMillis(end - System.nanoTime())))) {
                log.accept("service " + pool.name() + ": discovery is silent; what is known serves");
            }
        }
        currentServices = List.copyOf(next);
        for (int i = 0; i < next.size(); i++) {
            if (!joining.contains(next.get(i))) {
                next.get(i).applySetup(setups.get(i));
            }
        }
        divideDescriptors();
        frontend.setRouting(new ServiceRouting(routes, routeTargets(setups)));
        changes.add(new ServiceSetChange(List.of(), leaving));
        eventLoop.notifyPosted();
        if (!joining.isEmpty() || !leaving.isEmpty()) {
            log.accept("services: now " + serviceNames()
                    + (leaving.isEmpty()
                            ? ""
                            : "; leaving "
                                    + leaving.stream().map(ServiceRuntime::name).toList()));
        }
    }

    /** Has this run at the next turn, by its thread. */
    public void runInEventLoop(Runnable task) {
        tasks.add(task);
        eventLoop.notifyPosted();
    }

    // ---- The turns ---------------------------------------------------------------------------------
    private void applyChanges(long now) {
        for (ServiceSetChange change = changes.poll(); change != null; change = changes.poll()) {
            for (ServiceRuntime pool : change.joining) {
                while (queues.queueCount() <= pool.slot) {
                    queues.addQueue(BASE_QUANTUM, ServiceSetup.DEFAULT_MAX_QUEUED);
                    admissionControl.addService();
                }
                running.add(pool);
                byTag.put(pool.tag(), pool);
            }
            change.draining.forEach(pool -> pool.drain(now));
            applyWeights();
        }
    }

    private void applyWeights() {
        onlyService = running.size() == 1 && queues.size() == 0 ? running.get(0) : null;
        Double[] weights = new Double[queues.queueCount()];
        Arrays.fill(weights, 0.0);
        AdmissionControl.AdmissionLimits[] most = new AdmissionControl.AdmissionLimits[weights.length];
        Arrays.fill(most, new AdmissionControl.AdmissionLimits(Integer.MAX_VALUE, Long.MAX_VALUE));
        double sum = 0;
        for (ServiceRuntime pool : running) {
            ServiceSetup setup = pool.setup();
            weights[pool.slot] = pool.drainingSince() > 0 ? 0 : setup.weight();
            most[pool.slot] = setup.limits();
            sum += weights[pool.slot];
        }
        double least = Double.MAX_VALUE;
        for (Double weight : weights) {
            least = weight > 0 ? Math.min(least, weight) : least;
        }
        for (ServiceRuntime pool : running) {
            double weight = weights[pool.slot];
            queues.configure(
                    pool.slot,
                    Math.max(BASE_QUANTUM, (long) (BASE_QUANTUM * weight / least)),
                    pool.setup().maxQueued());
            if (weight > 0) {
                pool.setPeerMessageRate(pool.peerMessageRateLimit() * weight / sum);
            }
        }
        admissionControl.setWeights(List.of(weights), List.of(most));
    }

    @Override
    public void processPosted(long at) {
        turnStartedAt = at;
        for (Runnable task = tasks.poll(); task != null; task = tasks.poll()) {
            task.run();
        }
        if (!changes.isEmpty()) {
            applyChanges(turnStartedAt);
        }
        if (onlyService != null) {
            for (ReducerEvent event = onlyService.poll(); event != null; event = onlyService.poll()) {
                onlyService.reduce(turnStartedAt, event);
            }
            return;
        }
        for (ServiceRuntime pool : running) {
            for (ReducerEvent event = pool.poll(); event != null; event = pool.poll()) {
                enqueue(pool, event);
            }
        }
        for (int i = 0; i < MAX_WORK_PER_TURN; i++) {
            DeficitRoundRobinQueue.ScheduledWork<ServiceEvent> turn = queues.poll();
            if (turn == null) {
                return;
            }
            turn.work().service.reduce(turnStartedAt, turn.work().event);
        }
    }

    private void enqueue(ServiceRuntime pool, ReducerEvent event) {
        int queue = capacity.fair() ? pool.slot : running.get(0).slot;
        ServiceEvent piece = new ServiceEvent(pool, event);
        if (!(event instanceof ReducerEvent.InvocationAccepted taken)) {
            queues.offerUnbounded(queue, piece, event instanceof ReducerEvent.CallEnded ? COMPLETION_COST : OTHER_COST);
            return;
        }
        Invocation invocation = taken.invocation();
        int bytes = invocation.message().sizeBytes();
        AdmissionControl.AdmissionDecision verdict = admissionControl.admit(pool.slot, bytes);
        if (verdict.admitted() && !queues.offer(queue, piece, DECISION_COST)) {
            admissionControl.onRequestEnded(pool.slot, bytes, 0);
            verdict = admissionControl.rejectQueueFull(pool.slot);
        }
        if (verdict.admitted()) {
            invocation.admittedAt(turnStartedAt);
        } else {
            pool.reject(invocation, verdict.retryAfterMicros());
        }
    }

    @Override
    public void onPeerDatagram(long at, int tag, int peer, byte[] bytes) {
        ServiceRuntime pool = byTag.get(tag);
        if (pool == null) {
            unknownServiceMessages++;
        } else {
            pool.reduce(at, new ReducerEvent.PeerDatagramReceived(peer, bytes));
        }
    }

    @Override
    public void processDueTimers(long at) {
        turnStartedAt = at;
        if (onlyService != null) {
            onlyService.reduceDue(turnStartedAt);
            return;
        }
        for (ServiceRuntime pool : running) {
            pool.reduceDue(turnStartedAt);
        }
    }

    @Override
    public boolean hasPending() {
        return !tasks.isEmpty()
                || !changes.isEmpty()
                || (onlyService != null
                        ? onlyService.hasPosted()
                        : queues.size() > 0 || running.stream().anyMatch(ServiceRuntime::hasPosted));
    }

    @Override
    public long nextDue() {
        long next = Long.MAX_VALUE;
        for (ServiceRuntime pool : running) {
            next = Math.min(next, pool.nextDue());
        }
        return next;
    }

    /** A request that was let in is over. */
    private void onAdmittedEnded(ServiceRuntime pool, Invocation invocation) {
        admissionControl.onRequestEnded(
                pool.slot, invocation.message().sizeBytes(), turnStartedAt - invocation.admittedAt());
        invocation.admittedAt(-1);
    }

    /** Invocations that still wait for their answer, in all pools. */
    public int unanswered() {
        int sum = queues.size();
        for (ServiceRuntime pool : running) {
            sum += pool.unanswered();
        }
        return sum;
    }

    /** Closes what has been idle for too long, and ends pools that have nothing left to do. */
    public void sweep(long at) {
        if (at - lastLoggedAt >= LOG_INTERVAL_MICROS) {
            lastLoggedAt = at;
            running.forEach(ServiceRuntime::logRejected);
        }
        for (ServiceRuntime pool : List.copyOf(running)) {
            pool.connectionPool().sweep();
            pool.recordHosts();
            pool.intakeLimiter().sweep();
            long since = pool.drainingSince();
            if (since > 0
                    && (at - since > MIN_DRAIN_MICROS && pool.isIdle() && queues.sizeOf(pool.slot) == 0
                            || at - since > MAX_DRAIN_MICROS)) {
                remove(pool);
            }
        }
    }

    private void remove(ServiceRuntime pool) {
        pool.close();
        running.remove(pool);
        byTag.remove(pool.tag(), pool);
        applyWeights();
        freeSlots.add(pool.slot);
        log.accept("service " + pool.name() + ": has ended");
    }

    /** What the services' modules tell another process that takes our place; by the turns' thread. */
    public Map<String, HandoverCounts> handoverCounts() {
        Map<String, HandoverCounts> twins = new TreeMap<>();
        for (ServiceRuntime pool : running) {
            if (pool.drainingSince() == 0) {
                twins.put(pool.name(), pool.handoverCounts());
            }
        }
        return twins;
    }

    /** Datagrams of pools that are not known here. */
    public long unknownServiceMessages() {
        return unknownServiceMessages;
    }

    @Override
    public void close() {
        running.forEach(ServiceRuntime::close);
        timers.shutdownNow();
    }
}
