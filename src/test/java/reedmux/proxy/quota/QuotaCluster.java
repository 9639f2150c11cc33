package reedmux.proxy.quota;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import reedmux.common.quota.QuotaUpdate;
import reedmux.control.configuration.TenantItem;
import reedmux.control.session.ProxySession;
import reedmux.control.session.SessionView;

/** Simulates proxies that share one tenant's quota in virtual time, over a network that delays and drops datagrams. */
final class QuotaCluster {
    static final long MICROS_PER_SECOND = 1_000_000;
    private static final double WINDOW_SECONDS = 5;

    private record DelayedUpdate(long deliverAt, long sequence, int receiver, QuotaUpdate update) {}

    private record DelayedView(long deliverAt, long sequence, int member, SessionView view) {}

    /** The tenant, with the same limits at all members. */
    TenantItem tenant;

    final List<QuotaTracker> members = new ArrayList<>();
    final List<ProxySession> sessions = new ArrayList<>();
    private final PriorityQueue<DelayedUpdate> inTransit =
            new PriorityQueue<>((left, right) -> left.deliverAt() != right.deliverAt()
                    ? Long.compare(left.deliverAt(), right.deliverAt())
                    : Long.compare(left.sequence(), right.sequence()));
    private final PriorityQueue<DelayedView> delayedViews =
            new PriorityQueue<>((left, right) -> left.deliverAt() != right.deliverAt()
                    ? Long.compare(left.deliverAt(), right.deliverAt())
                    : Long.compare(left.sequence(), right.sequence()));
    private final long[] nextSendAt;
    private final Random random;
    private final double lossRate;
    final List<Long> admissionTimes = new ArrayList<>();
    final boolean[] withoutRegistries;
    /** Members that cannot exchange datagrams with the others. The others' views may still contain them. */
    final Set<Integer> partitioned = new HashSet<>();

    final Set<Integer> dead = new HashSet<>();
    /** How long each member's link is congested in every second; its datagrams in both directions wait meanwhile. */
    long linkBusyMicros;
    /** Delay of each datagram in addition to the usual transit time. */
    long extraDelayMicros;
    /** Longest pause of a member between its CPU time slices; requests and updates to it are queued meanwhile. */
    long maxPauseMicros;
    /** Longest delay until a member receives a new view. */
    long maxViewDelayMicros;
    /** The members that clients connect to, or null for all members. */
    int[] clientMembers;

    /** Length of a CPU time slice. */
    private static final long TIME_SLICE_MICROS = 30_000;

    /** When the new processes of restarting members begin to serve. */
    private final Map<Integer, Long> restartCompletesAt = new TreeMap<>();

    private final long[] timeSliceStartsAt;
    private final long[] timeSliceEndsAt;
    private final List<Deque<QuotaUpdate>> queuedUpdates = new ArrayList<>();
    private final int[] queuedRequests;

    SessionView view;
    /** The current view of each member. */
    final SessionView[] views;

    long now = MICROS_PER_SECOND;
    long requests;
    private long nextSequence;
    private long nextIncarnation;

    QuotaCluster(TenantItem tenant, int count, double loss, long seed) {
        this.tenant = tenant;
        random = new Random(seed);
        this.lossRate = loss;
        nextSendAt = new long[count];
        timeSliceStartsAt = new long[count];
        timeSliceEndsAt = new long[count];
        queuedRequests = new int[count];
        withoutRegistries = new boolean[count];
        views = new SessionView[count];
        nextIncarnation = count + 1;
        for (int i = 0; i < count; i++) {
            members.add(new QuotaTracker("n" + i, i + 1, false, now));
            sessions.add(new ProxySession("n" + i, "10.0.0." + i, "z", i + 1));
            nextSendAt[i] = now + random.nextInt(50_000);
            queuedUpdates.add(new ArrayDeque<>());
        }
        changeViews(SessionView.of(sessions));
    }

    /** Returns how many requests of a tenant with these limits may be admitted in five seconds. */
    static double maxAdmitted(double rate, double burst) {
        return (rate * WINDOW_SECONDS + burst) * 1.1 + 20;
    }

    // ---- Members -----------------------------------------------------------------------------------

    /**
     * Delivers a view to all members that can reach the registries, each after a random delay up to the longest one.
     */
    void changeViews(SessionView nextView) {
        view = nextView;
        for (int i = 0; i < members.size(); i++) {
            if (withoutRegistries[i]) {
                continue;
            }
            if (maxViewDelayMicros == 0) {
                changeView(i, nextView);
            } else {
                long deliverAt = now + random.nextInt((int) maxViewDelayMicros);
                delayedViews.add(new DelayedView(deliverAt, nextSequence++, i, nextView));
            }
        }
    }

    void changeView(int member, SessionView nextView) {
        views[member] = nextView;
        members.get(member).onViewChange(nextView, now);
    }

    /** Stops a member and starts a new process after the given time; the others receive a new view each time. */
    void restart(int member, double downSeconds, double rate) {
        beginRestart(member, 0);
        run(downSeconds, rate);
        members.set(member, newTracker(member));
        completeRestart(member);
    }

    /**
     * Starts a restart that completes while {@link #run} continues. The new process exists at once, but receives its
     * view and begins to serve later.
     */
    void beginRestart(int member, double startSeconds) {
        dead.add(member);
        partitioned.add(member);
        List<ProxySession> aliveSessions = new ArrayList<>(sessions);
        aliveSessions.removeIf(
                session -> dead.contains(Integer.parseInt(session.node().substring(1))));
        changeViews(SessionView.of(aliveSessions));
        members.set(member, newTracker(member));
        if (startSeconds > 0) {
            restartCompletesAt.put(member, now + (long) (startSeconds * MICROS_PER_SECOND));
        }
    }

    private QuotaTracker newTracker(int member) {
        long incarnation = nextIncarnation++;
        sessions.set(member, new ProxySession("n" + member, "10.0.0." + member, "z", incarnation));
        return new QuotaTracker("n" + member, incarnation, true, now);
    }

    private void completeRestart(int member) {
        dead.remove(member);
        partitioned.remove(member);
        queuedUpdates.get(member).clear();
        queuedRequests[member] = 0;
        List<ProxySession> aliveSessions = new ArrayList<>(sessions);
        aliveSessions.removeIf(
                session -> dead.contains(Integer.parseInt(session.node().substring(1))));
        changeView(member, SessionView.of(aliveSessions));
        changeViews(SessionView.of(aliveSessions));
    }

    private void completeDueRestarts() {
        for (int member : List.copyOf(restartCompletesAt.keySet())) {
            if (restartCompletesAt.get(member) <= now) {
                restartCompletesAt.remove(member);
                completeRestart(member);
            }
        }
    }

    // ---- Time --------------------------------------------------------------------------------------

    /** Advances time and sends requests at a rate, uniformly distributed over {@link #clientMembers} or all members. */
    void run(double seconds, double rate) {
        long end = now + (long) (seconds * MICROS_PER_SECOND);
        double nextRequestAt = now;
        while (now < end) {
            now += 1000;
            completeDueRestarts();
            while (nextRequestAt < now) {
                nextRequestAt += MICROS_PER_SECOND / rate * 2 * random.nextDouble();
                sendRequest(clientMembers == null ? random.nextInt(members.size()) : randomClientMember());
            }
            while (!delayedViews.isEmpty() && delayedViews.peek().deliverAt() <= now) {
                DelayedView delayedView = delayedViews.poll();
                changeView(delayedView.member(), delayedView.view());
            }
            while (!inTransit.isEmpty() && inTransit.peek().deliverAt() <= now) {
                DelayedUpdate delayedUpdate = inTransit.poll();
                if (!partitioned.contains(delayedUpdate.receiver())) {
                    deliver(delayedUpdate.receiver(), delayedUpdate.update());
                }
            }
            for (int i = 0; i < members.size(); i++) {
                runTimeSlice(i);
            }
        }
    }

    private int randomClientMember() {
        return clientMembers[random.nextInt(clientMembers.length)];
    }

    private boolean isPaused(int member) {
        return maxPauseMicros > 0 && now < timeSliceStartsAt[member];
    }

    private void sendRequest(int member) {
        if (dead.contains(member)) {
            return;
        }
        requests++;
        if (isPaused(member)) {
            queuedRequests[member]++;
        } else {
            admit(member);
        }
    }

    private void admit(int member) {
        if (members.get(member).admit(tenant, now)) {
            admissionTimes.add(now);
        }
    }

    private void deliver(int member, QuotaUpdate update) {
        if (isPaused(member)) {
            queuedUpdates.get(member).add(update);
        } else {
            members.get(member).onUpdate(update, name -> tenant, now);
        }
    }

    /** Lets an unpaused member send its due updates and then process its queued input, in either order of sockets. */
    private void runTimeSlice(int member) {
        if (isPaused(member)) {
            return;
        }
        if (now >= nextSendAt[member]) {
            send(member);
            nextSendAt[member] = now + members.get(member).sendIntervalMicros();
        }
        if (maxPauseMicros > 0) {
            boolean requestsFirst = random.nextBoolean();
            if (requestsFirst) {
                admitQueuedRequests(member);
            }
            Deque<QuotaUpdate> updates = queuedUpdates.get(member);
            while (!updates.isEmpty()) {
                members.get(member).onUpdate(updates.poll(), name -> tenant, now);
            }
            admitQueuedRequests(member);
            if (now >= timeSliceEndsAt[member]) {
                timeSliceStartsAt[member] = now + random.nextInt((int) maxPauseMicros);
                timeSliceEndsAt[member] = timeSliceStartsAt[member] + TIME_SLICE_MICROS;
            }
        }
    }

    private void admitQueuedRequests(int member) {
        for (; queuedRequests[member] > 0; queuedRequests[member]--) {
            admit(member);
        }
    }

    private void send(int sender) {
        for (QuotaTracker.OutgoingUpdate outgoing : members.get(sender).collectUpdates(now)) {
            if (partitioned.contains(sender)) {
                continue;
            }
            int receiver = Integer.parseInt(outgoing.receiver().node().substring(1));
            if (random.nextDouble() >= lossRate) {
                inTransit.add(new DelayedUpdate(
                        nextFreeLinkTime(
                                receiver,
                                nextFreeLinkTime(sender, now + extraDelayMicros + 1_400 + random.nextInt(3_000))),
                        nextSequence++,
                        receiver,
                        outgoing.update()));
            }
        }
    }

    private long nextFreeLinkTime(int member, long arrivalTime) {
        long sinceBusyStart = (arrivalTime + member * 700_001L) % MICROS_PER_SECOND;
        return sinceBusyStart < linkBusyMicros ? arrivalTime + linkBusyMicros - sinceBusyStart : arrivalTime;
    }

    /** Returns the largest number of requests admitted in any window of five seconds. */
    long maxAdmittedInFiveSeconds() {
        int first = 0;
        long most = 0;
        for (int last = 0; last < admissionTimes.size(); last++) {
            while (admissionTimes.get(last) - admissionTimes.get(first) > WINDOW_SECONDS * MICROS_PER_SECOND) {
                first++;
            }
            most = Math.max(most, last - first + 1);
        }
        return most;
    }
}
