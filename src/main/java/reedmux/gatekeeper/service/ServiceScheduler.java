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
 * Runs the services of one gatekeeper on its event loop. A single service gets its events in the order of their
 * arrival, and nothing is counted. With several services {@link AdmissionControl} decides which requests are admitted,
 * and {@link DeficitRoundRobinQueue} which service's event is next.
 *
 * <p>Owned by the event loop, but for {@link #post} and {@link #apply}, which any thread may call.
 */
final class ServiceScheduler implements GatekeeperLoop.LoopTasks {
    /** Events of one turn of the loop; the loop's other work has to wait for them. */
    private static final int MAX_EVENTS_PER_TURN = 64;
    /** What a service with the lowest weight may spend in its turn, in the unit of the costs below. */
    private static final int BASE_QUANTUM = 8;

    private static final long DECISION_COST = 4;
    private static final long COMPLETION_COST = 3;
    private static final long OTHER_COST = 1;
    /** A draining service ends this long after its last request was routed to it, at the earliest. */
    private static final long MIN_DRAIN_MICROS = TimeUnit.SECONDS.toMicros(1);
    /** And at the latest so long after, which is longer than any request's deadline. */
    private static final long MAX_DRAIN_MICROS = TimeUnit.SECONDS.toMicros(60);
    /** The interval of the lines about rejected requests. */
    private static final long LOG_INTERVAL_MICROS = TimeUnit.SECONDS.toMicros(10);

    private static final long NOT_ADMITTED = -1;

    /** Services that start and services that drain from now on. */
    record ServiceSetChange(List<ServiceRuntime> starting, List<ServiceRuntime> draining) {}

    /** An event in its service's queue. */
    private record ServiceEvent(ServiceRuntime service, ReducerEvent event) {}

    private final GatekeeperLoop eventLoop;
    private final boolean fair;
    private final Consumer<String> log;
    private final AdmissionControl admissionControl;
    private final DeficitRoundRobinQueue<ServiceEvent> queues = new DeficitRoundRobinQueue<>();
    private final Queue<ServiceSetChange> changes = new ConcurrentLinkedQueue<>();
    private final Queue<Runnable> tasks = new ConcurrentLinkedQueue<>();
    /** The slots of services that have ended; read by whoever creates services. */
    private final Queue<Integer> freeSlots = new ConcurrentLinkedQueue<>();
    /** All services that have not ended, draining ones included. */
    private final List<ServiceRuntime> running = new ArrayList<>();

    private final Map<Integer, ServiceRuntime> servicesByTag = new HashMap<>();
    /** The running service if there is one alone and nothing is queued; otherwise null. */
    private ServiceRuntime onlyService;

    private long turnStartedAt;
    private long unknownServiceMessages;
    private long lastLoggedAt;

    ServiceScheduler(GatekeeperLoop eventLoop, SharedCapacity capacity, Consumer<String> log) {
        this.eventLoop = eventLoop;
        this.fair = capacity.fair();
        this.log = log;
        admissionControl = new AdmissionControl(capacity.maxInFlight(), capacity.maxBytes());
    }

    // ---- From other threads ------------------------------------------------------------------------
    /** Has the event loop run a task at its next turn. */
    void post(Runnable task) {
        tasks.add(task);
        eventLoop.notifyPosted();
    }

    /** Has the event loop apply a change at its next turn. */
    void apply(ServiceSetChange change) {
        changes.add(change);
        eventLoop.notifyPosted();
    }

    /** The slot of a service that has ended, or null. */
    Integer pollFreeSlot() {
        return freeSlots.poll();
    }

    // ---- Changes -----------------------------------------------------------------------------------
    private void applyChanges(long now) {
        for (ServiceSetChange change = changes.poll(); change != null; change = changes.poll()) {
            applyNow(change, now);
        }
    }

    /** Applies a change at once; for the event loop's thread, and before the loop runs. */
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

    /** Divides what the services share by their weights; draining ones have none. */
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

    // ---- Turns of the event loop -------------------------------------------------------------------
    @Override
    public void processPosted(long now) {
        turnStartedAt = now;
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
        for (int i = 0; i < MAX_EVENTS_PER_TURN; i++) {
            ScheduledItem<ServiceEvent> next = queues.poll();
            if (next == null) {
                return;
            }
            next.item().service.reduce(now, next.item().event);
        }
    }

    /** Requests are queued if they are admitted; the events of admitted ones always. */
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
            invocation.admittedAt(turnStartedAt);
        } else {
            service.reject(invocation, decision.retryAfterMicros());
        }
    }

    /** To be called by the service for each request that was admitted, when it has ended. */
    void onAdmittedEnded(ServiceRuntime service, Invocation invocation) {
        long residence = turnStartedAt - invocation.admittedAt();
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
        turnStartedAt = now;
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

    // ---- Between turns -----------------------------------------------------------------------------
    /** Requests without an answer yet, in all services; events that are still queued count too. */
    int unansweredCount() {
        int sum = queues.size();
        for (ServiceRuntime service : running) {
            sum += service.unansweredCount();
        }
        return sum;
    }

    /** Closes connections that were idle for too long, and ends services that have drained. */
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

    /** What the services' policies hand over to a process that replaces this one, by the services' names. */
    Map<String, HandoverCounts> handoverCounts() {
        Map<String, HandoverCounts> counts = new TreeMap<>();
        for (ServiceRuntime service : running) {
            if (!service.isDraining()) {
                counts.put(service.name(), service.handoverCounts());
            }
        }
        return counts;
    }

    /** Datagrams of services that are unknown here. */
    long unknownServiceMessages() {
        return unknownServiceMessages;
    }

    void close() {
        running.forEach(ServiceRuntime::close);
    }
}
