package reedmux.pool;

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
import reedmux.core.Clock;
import reedmux.core.Event;
import reedmux.core.Invocation;
import reedmux.core.Loop;
import reedmux.discovery.Watch;
import reedmux.http.Front;
import reedmux.operator.Figures;
import reedmux.peer.PeerLink;
import reedmux.peer.PoolTag;
import reedmux.policy.Twin;
import reedmux.routing.RouteTable;

/**
 * The pools of one gatekeeper on their one thread. With one pool its events are taken in the order of their
 * coming and nothing is counted; with several each event waits in its pool's queue, from which
 * {@link FairQueues} takes, and {@link Admission} says what is let in. Other threads post events and reload;
 * all else is the turns' thread's.
 */
public final class Pools implements Loop.Work, AutoCloseable {
    /** Pieces of work of one turn, before others get to be heard again. */
    private static final int MOST_A_TURN = 64;
    /** What a pool may spend in its turn, with a weight of one; and what the pieces cost. */
    private static final int QUANTUM = 8;

    private static final long DECIDES = 4;
    private static final long ENDS = 3;
    private static final long ELSE = 1;
    /** How long a pool that was added may take until requests are led to it, its list unknown or not. */
    private static final long WARM_MILLIS = 3_000;
    /** How long after the last request was led to it a pool that was removed may end, at the earliest. */
    private static final long LAST_POSTS = TimeUnit.SECONDS.toMicros(1);
    /** Between lines in the log, while there is news. */
    private static final long TELL = TimeUnit.SECONDS.toMicros(10);
    /** When it ends at the latest: past the longest deadline that a request may have had left. */
    private static final long LATEST = TimeUnit.SECONDS.toMicros(60);

    /**
     * What the pools share.
     *
     * @param inFlight    requests in flight over all pools
     * @param bytes       that these hold
     * @param descriptors for connections to providers
     * @param fair        whether pools take turns, or events come in the order of their arrival
     */
    public record Sharing(int inFlight, long bytes, int descriptors, boolean fair) {}

    /** A change that the turns' thread makes. */
    private record Change(List<Pool> joining, List<Pool> leaving) {}

    /** An event that waits for its turn. */
    private record Piece(Pool pool, Event event) {}

    private final Clock clock;
    private final Loop loop;
    private final PeerLink peers;
    private final Consumer<String> log;
    private final Figures figures;
    private final Sharing sharing;
    private final long seed;
    private final ScheduledExecutorService timers = Watch.timers();
    private final RoutedFront front;
    private final Descriptors descriptors;
    private final Admission admission;
    private final FairQueues<Piece> queues = new FairQueues<>();
    private final Queue<Change> changes = new ConcurrentLinkedQueue<>();
    /** What others have the turns' thread do. */
    private final Queue<Runnable> tasks = new ConcurrentLinkedQueue<>();
    /** Slots whose pools have ended. */
    private final Queue<Integer> free = new ConcurrentLinkedQueue<>();
    /** Guarded by the monitor. */
    private int slots;

    private List<Pool> named = List.of();
    private Pool.Shared shared;
    /** The turns' thread's: all pools that still run, by their slots, and the one where there is one. */
    private final List<Pool> running = new ArrayList<>();

    private final Map<Integer, Pool> byTag = new HashMap<>();
    private Pool alone;
    private long now;
    private long strays;
    private long toldAt;

    public Pools(
            Sharing sharing,
            Clock clock,
            Loop.Waiter waiter,
            PeerLink peers,
            long seed,
            Consumer<String> log,
            Figures figures) {
        this.figures = figures;
        this.sharing = sharing;
        this.clock = clock;
        this.peers = peers;
        this.seed = seed;
        this.log = log;
        loop = new Loop(clock, waiter);
        front = new RoutedFront(clock);
        descriptors = new Descriptors(sharing.descriptors());
        admission = new Admission(sharing.inFlight(), sharing.bytes());
    }

    /** Where consumers' requests are read. */
    public Front front() {
        return front;
    }

    public Loop loop() {
        return loop;
    }

    /**
     * Sets up the first pools, the platform's own one in front; before the turns begin.
     *
     * @param routes by the pools' numbers; null where there is one pool, which takes all
     * @param away   for the platform's own service; may be null
     */
    public synchronized void open(
            ConnectionInitiator reactor, List<PoolSetup> setups, RouteTable routes, Pool.Away away) {
        shared = new Pool.Shared(reactor, clock, loop, peers, timers, log, this::over, figures);
        List<Pool> made = new ArrayList<>();
        for (PoolSetup setup : setups) {
            made.add(make(setup, made.isEmpty() ? away : null));
        }
        named = List.copyOf(made);
        changes.add(new Change(named, List.of()));
        share();
        front.lead(new Table(routes, targets(setups)));
        takeChanges(clock.now());
    }

    private List<Pool> targets(List<PoolSetup> setups) {
        List<Pool> targets = new ArrayList<>();
        for (PoolSetup setup : setups) {
            targets.add(named.stream()
                    .filter(pool -> pool.name().equals(setup.name()))
                    .findFirst()
                    .orElseThrow());
        }
        targets.add(null); // the last number of all stands for nobody
        return targets;
    }

    private Pool make(PoolSetup setup, Pool.Away away) {
        Integer left = free.poll();
        int slot = left != null ? left : descriptors.add();
        slots = Math.max(slots, slot + 1);
        Pool pool = new Pool(setup, slot, seed, shared, descriptors.room(slot), away);
        descriptors.giver(slot, pool.calls()::closeLongestIdle);
        return pool;
    }

    /** Divides the descriptors anew between the pools that have a name now. */
    private void share() {
        double[] weights = new double[slots];
        named.forEach(pool -> weights[pool.slot] = pool.setup().weight());
        descriptors.weights(weights);
    }

    /** Begins to watch discovery for all pools. */
    public synchronized void start() {
        named.forEach(Pool::start);
    }

    /** The pool of the platform's own service. */
    public Pool main() {
        return front.table().main();
    }

    /** The names of the pools that requests are led to. */
    public synchronized List<String> names() {
        return named.stream().map(Pool::name).toList();
    }

    /**
     * Takes over other pools and routes: pools of the same name and rules go on with all that they have, new
     * ones come up first, and then the whole table is replaced at once. Those that are no longer named
     * answer what they have taken, and end. Called by one thread at a time, never the turns' or the I/O
     * thread; waits for new pools' lists for three seconds at most.
     */
    public synchronized void reload(List<PoolSetup> setups, RouteTable routes) throws InterruptedException {
        List<Pool> next = new ArrayList<>();
        List<Pool> joining = new ArrayList<>();
        List<Pool> leaving = new ArrayList<>(named);
        for (PoolSetup setup : setups) {
            Pool kept = named.stream()
                    .filter(pool -> pool.name().equals(setup.name()))
                    .findFirst()
                    .orElse(null);
            boolean same = kept != null
                    && (kept.tag() == PoolTag.NONE || kept.setup().service().sameRules(setup.service()));
            Pool pool = same ? kept : make(setup, null);
            if (same) {
                leaving.remove(kept);
            } else {
                joining.add(pool);
                if (kept != null) {
                    kept.mute();
                }
            }
            next.add(pool);
        }
        changes.add(new Change(joining, List.of()));
        loop.posted();
        joining.forEach(Pool::start);
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(WARM_MILLIS);
        for (Pool pool : joining) {
            if (!pool.awaitKnown(Math.max(0, TimeUnit.NANOSECONDS.toMillis(end - System.nanoTime())))) {
                log.accept("service " + pool.name() + ": discovery is silent; what is known serves");
            }
        }
        named = List.copyOf(next);
        for (int i = 0; i < next.size(); i++) {
            if (!joining.contains(next.get(i))) {
                next.get(i).adopt(setups.get(i));
            }
        }
        share();
        front.lead(new Table(routes, targets(setups)));
        changes.add(new Change(List.of(), leaving));
        loop.posted();
        if (!joining.isEmpty() || !leaving.isEmpty()) {
            log.accept("services: now " + names()
                    + (leaving.isEmpty()
                            ? ""
                            : "; leaving " + leaving.stream().map(Pool::name).toList()));
        }
    }

    /** Has this run at the next turn, by its thread. */
    public void run(Runnable task) {
        tasks.add(task);
        loop.posted();
    }

    // ---- The turns ---------------------------------------------------------------------------------
    private void takeChanges(long now) {
        for (Change change = changes.poll(); change != null; change = changes.poll()) {
            for (Pool pool : change.joining) {
                while (queues.pools() <= pool.slot) {
                    queues.add(QUANTUM, PoolSetup.QUEUED);
                    admission.add();
                }
                running.add(pool);
                byTag.put(pool.tag(), pool);
            }
            change.leaving.forEach(pool -> pool.leave(now));
            weigh();
        }
    }

    private void weigh() {
        alone = running.size() == 1 && queues.size() == 0 ? running.get(0) : null;
        Double[] weights = new Double[queues.pools()];
        Arrays.fill(weights, 0.0);
        Admission.Most[] most = new Admission.Most[weights.length];
        Arrays.fill(most, new Admission.Most(Integer.MAX_VALUE, Long.MAX_VALUE));
        double sum = 0;
        for (Pool pool : running) {
            PoolSetup setup = pool.setup();
            weights[pool.slot] = pool.leavingSince() > 0 ? 0 : setup.weight();
            most[pool.slot] = setup.most();
            sum += weights[pool.slot];
        }
        double least = Double.MAX_VALUE;
        for (Double weight : weights) {
            least = weight > 0 ? Math.min(least, weight) : least;
        }
        for (Pool pool : running) {
            double weight = weights[pool.slot];
            queues.set(
                    pool.slot,
                    Math.max(QUANTUM, (long) (QUANTUM * weight / least)),
                    pool.setup().queued());
            if (weight > 0) {
                pool.mail(pool.mailLimit() * weight / sum);
            }
        }
        admission.weights(List.of(weights), List.of(most));
    }

    @Override
    public void takePosted(long at) {
        now = at;
        for (Runnable task = tasks.poll(); task != null; task = tasks.poll()) {
            task.run();
        }
        if (!changes.isEmpty()) {
            takeChanges(now);
        }
        if (alone != null) {
            for (Event event = alone.poll(); event != null; event = alone.poll()) {
                alone.reduce(now, event);
            }
            return;
        }
        for (Pool pool : running) {
            for (Event event = pool.poll(); event != null; event = pool.poll()) {
                enqueue(pool, event);
            }
        }
        for (int i = 0; i < MOST_A_TURN; i++) {
            FairQueues.Turn<Piece> turn = queues.next();
            if (turn == null) {
                return;
            }
            turn.work().pool.reduce(now, turn.work().event);
        }
    }

    private void enqueue(Pool pool, Event event) {
        int queue = sharing.fair() ? pool.slot : running.get(0).slot;
        Piece piece = new Piece(pool, event);
        if (!(event instanceof Event.InvocationTaken taken)) {
            queues.push(queue, piece, event instanceof Event.CallEnded ? ENDS : ELSE);
            return;
        }
        Invocation invocation = taken.invocation();
        int bytes = invocation.message().size();
        Admission.Verdict verdict = admission.admit(pool.slot, bytes);
        if (verdict.in() && !queues.offer(queue, piece, DECIDES)) {
            admission.ended(pool.slot, bytes, 0);
            verdict = admission.full(pool.slot);
        }
        if (verdict.in()) {
            invocation.admittedAt(now);
        } else {
            pool.refuse(invocation, verdict.retryAfter());
        }
    }

    @Override
    public void told(long at, int tag, int peer, byte[] bytes) {
        Pool pool = byTag.get(tag);
        if (pool == null) {
            strays++;
        } else {
            pool.reduce(at, new Event.PeerTold(peer, bytes));
        }
    }

    @Override
    public void takeDue(long at) {
        now = at;
        if (alone != null) {
            alone.reduceDue(now);
            return;
        }
        for (Pool pool : running) {
            pool.reduceDue(now);
        }
    }

    @Override
    public boolean waits() {
        return !tasks.isEmpty()
                || !changes.isEmpty()
                || (alone != null
                        ? alone.waits()
                        : queues.size() > 0 || running.stream().anyMatch(Pool::waits));
    }

    @Override
    public long nextDue() {
        long next = Long.MAX_VALUE;
        for (Pool pool : running) {
            next = Math.min(next, pool.nextDue());
        }
        return next;
    }

    /** A request that was let in is over. */
    private void over(Pool pool, Invocation invocation) {
        admission.ended(pool.slot, invocation.message().size(), now - invocation.admittedAt());
        invocation.admittedAt(-1);
    }

    /** Invocations that still wait for their answer, in all pools. */
    public int unanswered() {
        int sum = queues.size();
        for (Pool pool : running) {
            sum += pool.unanswered();
        }
        return sum;
    }

    /** Closes what has been idle for too long, and ends pools that have nothing left to do. */
    public void sweep(long at) {
        if (at - toldAt >= TELL) {
            toldAt = at;
            running.forEach(Pool::tellRefused);
        }
        for (Pool pool : List.copyOf(running)) {
            pool.calls().sweep();
            pool.tellHosts();
            pool.intake().sweep();
            long since = pool.leavingSince();
            if (since > 0
                    && (at - since > LAST_POSTS && pool.idle() && queues.waiting(pool.slot) == 0
                            || at - since > LATEST)) {
                end(pool);
            }
        }
    }

    private void end(Pool pool) {
        pool.close();
        running.remove(pool);
        byTag.remove(pool.tag(), pool);
        weigh();
        free.add(pool.slot);
        log.accept("service " + pool.name() + ": has ended");
    }

    /** What the services' modules tell another process that takes our place; by the turns' thread. */
    public Map<String, Twin> twins() {
        Map<String, Twin> twins = new TreeMap<>();
        for (Pool pool : running) {
            if (pool.leavingSince() == 0) {
                twins.put(pool.name(), pool.twin());
            }
        }
        return twins;
    }

    /** Datagrams of pools that are not known here. */
    public long strays() {
        return strays;
    }

    @Override
    public void close() {
        running.forEach(Pool::close);
        timers.shutdownNow();
    }
}
