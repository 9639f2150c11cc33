package reedmux.gatekeeper.service;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import reedmux.gatekeeper.policy.HandoverCounts;
import reedmux.gatekeeper.reducer.GatekeeperLoop;
import reedmux.gatekeeper.reducer.Invocation;
import reedmux.gatekeeper.reducer.ReducerEvent;
import reedmux.gatekeeper.service.AdmissionControl.AdmissionDecision;
import reedmux.gatekeeper.service.AdmissionControl.AdmissionLimits;
import reedmux.gatekeeper.service.DeficitRoundRobinQueue.ScheduledItem;
import reedmux.gatekeeper.service.ServiceManager.SharedCapacity;

/**
 * Runs the services of one gatekeeper on its event loop. A single service receives its events in order of arrival,
 * without admission control. With several services, {@link AdmissionControl} decides which requests are admitted, and
 * {@link DeficitRoundRobinQueue} selects the service whose event is handled next.
 *
 * <p>Used only by the event loop's thread, except for {@link #post} and {@link #apply}, which any thread may call.
 */
final class ServiceScheduler implements GatekeeperLoop.LoopTasks {
    /**
     * Maximum number of events handled in one iteration of the event loop. A larger value delays the other work of the
     * loop.
     */
    private static final int MAX_EVENTS_PER_ITERATION = 64;
    /** Quantum of a service with the lowest weight, in the unit of the costs below. */
    private static final int BASE_QUANTUM = 8;

    private static final long DECISION_COST = 4;
    private static final long COMPLETION_COST = 3;
    private static final long OTHER_COST = 1;
    /** Minimum time for which a service drains after the last request was routed to it. */
    private static final long MIN_DRAIN_MICROS = TimeUnit.SECONDS.toMicros(1);
    /** Maximum time for which a service drains, which is longer than the deadline of any request. */
    private static final long MAX_DRAIN_MICROS = TimeUnit.SECONDS.toMicros(60);
    /** Interval between log lines about rejected requests. */
    private static final long LOG_INTERVAL_MICROS = TimeUnit.SECONDS.toMicros(10);

    private static final long NOT_ADMITTED = -1;

    /** Services that start and services that begin to drain. */
    record ServiceSetChange(List<ServiceRuntime> starting, List<ServiceRuntime> draining) {}

    /** An event and the service it belongs to. */
    private record ServiceEvent(ServiceRuntime service, ReducerEvent event) {}

    private final GatekeeperLoop eventLoop;
    private final boolean fair;
    private final Consumer<String> log;
    private final AdmissionControl admissionControl;
    private final DeficitRoundRobinQueue<ServiceEvent> queues = new DeficitRoundRobinQueue<>();
    private final Queue<ServiceSetChange> changes = new ConcurrentLinkedQueue<>();
    private final Queue<Runnable> tasks = new ConcurrentLinkedQueue<>();
    /** Indices of services that have ended; read by the thread that creates services. */
    private final Queue<Integer> freeSlots = new ConcurrentLinkedQueue<>();
    /** All services that have not ended, including draining ones. */
    private final List<ServiceRuntime> running = new ArrayList<>();

    private final Map<Integer, ServiceRuntime> servicesByTag = new HashMap<>();
    /** The running service, if there is only one and no event is queued; otherwise null. */
    private ServiceRuntime onlyService;

    private long iterationStartedAt;
    private long unknownServiceMessages;
    private long lastLoggedAt;

    ServiceScheduler(GatekeeperLoop eventLoop, SharedCapacity capacity, Consumer<String> log) {
        this.eventLoop = eventLoop;
        this.fair = capacity.fair();
        this.log = log;
        admissionControl = new AdmissionControl(capacity.maxInFlight(), capacity.maxBytes());
    }

    // ---- Called by other threads -------------------------------------------------------------------
    /** Runs a task in the next iteration of the event loop. */
    void post(Runnable task) {
        tasks.add(task);
        eventLoop.notifyPosted();
    }

    /** Applies a change in the next iteration of the event loop. */
    void apply(ServiceSetChange change) {
        changes.add(change);
        eventLoop.notifyPosted();
    }

    /** Returns the index of a service that has ended, or null if there is none. */
    Integer pollFreeSlot() {
        return freeSlots.poll();
    }

    // ---- Changes -----------------------------------------------------------------------------------
    private void applyChanges(long now) {
        for (ServiceSetChange change = changes.poll(); change != null; change = changes.poll()) {
            applyNow(change, now);
        }
    }

    /** Applies a change immediately. Called by the event loop's thread, or before the event loop runs. */
    void applyNow(ServiceSetChange change, long now) {
        for (ServiceRuntime service : change.starting) {
            add(service);
        }
        for (ServiceRuntime service : change.draining) {
            service.drain(now);
        }
        applyWeights();
    }

    private void add(ServiceRuntime service) {
        while (queues.queueCount() <= service.slot) {
            queues.addQueue(BASE_QUANTUM, ServiceSetup.DEFAULT_MAX_QUEUED);
            admissionControl.addService();
        }
        running.add(service);
        servicesByTag.put(service.tag(), service);
    }

    private void remove(ServiceRuntime service) {
        service.close();
        running.remove(service);
        servicesByTag.remove(service.tag(), service);
        applyWeights();
        freeSlots.add(service.slot);
        log.accept("service " + service.name() + ": has ended");
    }

    /** Divides the shared capacity between the services by weight. Draining services have a weight of 0. */
    private void applyWeights() {
        onlyService = running.size() == 1 && queues.size() == 0 ? running.get(0) : null;
        Double[] weights = new Double[queues.queueCount()];
        Arrays.fill(weights, 0.0);
        AdmissionLimits[] limits = new AdmissionLimits[weights.length];
        Arrays.fill(limits, AdmissionLimits.UNLIMITED);
        double sum = 0;
        for (ServiceRuntime service : running) {
            ServiceSetup setup = service.setup();
            weights[service.slot] = service.isDraining() ? 0 : setup.weight();
            limits[service.slot] = setup.limits();
            sum += weights[service.slot];
        }
        double lowest = lowestPositive(weights);
        for (ServiceRuntime service : running) {
            double weight = weights[service.slot];
            long quantum = Math.max(BASE_QUANTUM, (long) (BASE_QUANTUM * weight / lowest));
            queues.configure(service.slot, quantum, service.setup().maxQueued());
            if (weight > 0) {
                service.setPeerMessageRate(service.peerMessageRateLimit() * weight / sum);
            }
        }
        admissionControl.setWeights(List.of(weights), List.of(limits));
    }

    private static double lowestPositive(Double[] weights) {
        double lowest = Double.MAX_VALUE;
        for (double weight : weights) {
            lowest = weight > 0 ? Math.min(lowest, weight) : lowest;
        }
        return lowest;
    }

    // ---- Iterations of the event loop --------------------------------------------------------------
    @Override
    public void processPosted(long now) {
        iterationStartedAt = now;
        for (Runnable task = tasks.poll(); task != null; task = tasks.poll()) {
            task.run();
        }
        if (!changes.isEmpty()) {
            applyChanges(now);
        }
        if (onlyService != null) {
            for (ReducerEvent event = onlyService.poll(); event != null; event = onlyService.poll()) {
                onlyService.reduce(now, event);
            }
            return;
        }
        for (ServiceRuntime service : running) {
            for (ReducerEvent event = service.poll(); event != null; event = service.poll()) {
                enqueue(service, event);
            }
        }
        for (int i = 0; i < MAX_EVENTS_PER_ITERATION; i++) {
            ScheduledItem<ServiceEvent> next = queues.poll();
            if (next == null) {
                return;
            }
            next.item().service.reduce(now, next.item().event);
        }
    }

    /**
     * Queues an event. A new request is queued only if it is admitted. All other events, such as the end of a call for
     * an admitted request, are always queued.
     */
    private void enqueue(ServiceRuntime service, ReducerEvent event) {
        int queue = fair ? service.slot : running.get(0).slot;
        ServiceEvent queued = new ServiceEvent(service, event);
        if (!(event instanceof ReducerEvent.InvocationAccepted accepted)) {
            long cost = event instanceof ReducerEvent.CallEnded ? COMPLETION_COST : OTHER_COST;
            queues.offerUnbounded(queue, queued, cost);
            return;
        }
        Invocation invocation = accepted.invocation();
        int bytes = invocation.message().sizeBytes();
        AdmissionDecision decision = admissionControl.admit(service.slot, bytes);
        if (decision.admitted() && !queues.offer(queue, queued, DECISION_COST)) {
            admissionControl.onRequestEnded(service.slot, bytes, 0);
            decision = admissionControl.rejectQueueFull(service.slot);
        }
        if (decision.admitted()) {
            invocation.admittedAt(iterationStartedAt);
        } else {
            service.reject(invocation, decision.retryAfterMicros());
        }
    }

    /** Records the end of an admitted request. Called once by its service for each admitted request. */
    void onAdmittedEnded(ServiceRuntime service, Invocation invocation) {
        long residence = iterationStartedAt - invocation.admittedAt();
        admissionControl.onRequestEnded(service.slot, invocation.message().sizeBytes(), residence);
        invocation.admittedAt(NOT_ADMITTED);
    }

    @Override
    public void onPeerDatagram(long now, int tag, int peer, byte[] bytes) {
        ServiceRuntime service = servicesByTag.get(tag);
        if (service == null) {
            unknownServiceMessages++;
        } else {
            service.reduce(now, new ReducerEvent.PeerDatagramReceived(peer, bytes));
        }
    }

    @Override
    public void processDueTimers(long now) {
        iterationStartedAt = now;
        if (onlyService != null) {
            onlyService.reduceDue(now);
            return;
        }
        for (ServiceRuntime service : running) {
            service.reduceDue(now);
        }
    }

    @Override
    public boolean hasPending() {
        if (!tasks.isEmpty() || !changes.isEmpty()) {
            return true;
        } else if (onlyService != null) {
            return onlyService.hasPostedEvents();
        }
        return queues.size() > 0 || running.stream().anyMatch(ServiceRuntime::hasPostedEvents);
    }

    @Override
    public long nextDue() {
        long next = Long.MAX_VALUE;
        for (ServiceRuntime service : running) {
            next = Math.min(next, service.nextDue());
        }
        return next;
    }

    // ---- Between iterations of the event loop ------------------------------------------------------
    /** Returns the number of unanswered requests of all services, including all events that are still queued. */
    int unansweredCount() {
        int sum = queues.size();
        for (ServiceRuntime service : running) {
            sum += service.unansweredCount();
        }
        return sum;
    }

    /** Closes connections that have been idle for too long, and ends drained services. */
    void sweep(long now) {
        if (now - lastLoggedAt >= LOG_INTERVAL_MICROS) {
            lastLoggedAt = now;
            running.forEach(ServiceRuntime::logRejected);
        }
        for (ServiceRuntime service : List.copyOf(running)) {
            service.connectionPool().sweep();
            service.updateHostMetrics();
            service.intakeLimiter().sweep();
            if (service.isDraining() && hasDrained(service, now)) {
                remove(service);
            }
        }
    }

    private boolean hasDrained(ServiceRuntime service, long now) {
        long drainedFor = now - service.drainingSince();
        return drainedFor > MAX_DRAIN_MICROS
                || drainedFor > MIN_DRAIN_MICROS && service.isIdle() && queues.sizeOf(service.slot) == 0;
    }

    /** Returns the counts to be handed over to a process that replaces this one, by service name. */
    Map<String, HandoverCounts> handoverCounts() {
        Map<String, HandoverCounts> counts = new TreeMap<>();
        for (ServiceRuntime service : running) {
            if (!service.isDraining()) {
                counts.put(service.name(), service.handoverCounts());
            }
        }
        return counts;
    }

    /** Returns the number of received datagrams for services that do not exist here. */
    long unknownServiceMessages() {
        return unknownServiceMessages;
    }

    void close() {
        running.forEach(ServiceRuntime::close);
    }
}
