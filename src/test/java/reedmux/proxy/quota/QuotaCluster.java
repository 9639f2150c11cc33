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

/** Some members in virtual time, a network that delays and loses, and one tenant. */
final class QuotaCluster {
    static final long MICROS_PER_SECOND = 1_000_000;
    private static final double WINDOW_SECONDS = 5;

    private record DelayedUpdate(long at, long number, int to, QuotaUpdate packet) {}

    private record DelayedView(long at, long number, int member, SessionView view) {}

    /** The limits that all members have. */
    TenantItem tenant;

    final List<QuotaTracker> members = new ArrayList<>();
    final List<ProxySession> sessions = new ArrayList<>();
    private final PriorityQueue<DelayedUpdate> inTransit = new PriorityQueue<>((one, other) ->
            one.at() != other.at() ? Long.compare(one.at(), other.at()) : Long.compare(one.number(), other.number()));
    private final PriorityQueue<DelayedView> delayedViews = new PriorityQueue<>((one, other) ->
            one.at() != other.at() ? Long.compare(one.at(), other.at()) : Long.compare(one.number(), other.number()));
    private final long[] nextSendAt;
    private final Random random;
    private final double lossRate;
    final List<Long> admissionTimes = new ArrayList<>();
    final boolean[] withoutRegistries;
    /** Members that are cut off from the others, or dead, without anybody having been told. */
    final Set<Integer> partitioned = new HashSet<>();

    final Set<Integer> dead = new HashSet<>();
    /** How long each member's link is full in every second, so that what it sends and gets waits. */
    long linkBusyMicros;
    /** How late each datagram is, beyond the usual. */
    long extraDelayMicros;
    /** How long a member stands still between its turns at the processor, at most; all that it gets waits meanwhile. */
    long maxPauseMicros;
    /** How late members hear of a new view, at most. */
    long maxViewDelayMicros;
    /** The members that clients connect to; null for all of them. */
    int[] clientMembers;

    /** How long a turn at the processor lasts. */
    private static final long TIME_SLICE_MICROS = 30_000;

    /** When the new processes of members begin to serve. */
    private final Map<Integer, Long> restartCompletesAt = new TreeMap<>();

    private final long[] timeSliceStartsAt;
    private final long[] timeSliceEndsAt;
    private final List<Deque<QuotaUpdate>> queuedUpdates = new ArrayList<>();
    private final int[] queuedRequests;

    SessionView view;
    /** What each member has as its view. */
    final SessionView[] views;

    long now = MICROS_PER_SECOND;
    long requests;
    private long nextNumber;
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

    /** What a tenant with these limits may have admitted in five seconds. */
    static double maxAdmitted(double rate, double burst) {
        return (rate * WINDOW_SECONDS + burst) * 1.1 + 20;
    }

    // ---- Members -----------------------------------------------------------------------------------

    /** All but those without registries hear of a view, each within the longest delay. */
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
                delayedViews.add(new DelayedView(deliverAt, nextNumber++, i, nextView));
            }
        }
    }

    void changeView(int member, SessionView nextView) {
        views[member] = nextView;
        members.get(member).onViewChange(nextView, now);
    }

    /** A member ends, and a new process serves after a while; the others are told of both. */
    void restart(int member, double downSeconds, double rate) {
        beginRestart(member, 0);
        run(downSeconds, rate);
        members.set(member, newTracker(member));
        completeRestart(member);
    }

    /** The same beside all that goes on: the new process exists at once, and hears of its view and serves later. */
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

    /** Lets time pass with requests at a rate, evenly drawn over the members or those that clients connect to. */
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
            while (!delayedViews.isEmpty() && delayedViews.peek().at() <= now) {
                DelayedView delayedView = delayedViews.poll();
                changeView(delayedView.member(), delayedView.view());
            }
            while (!inTransit.isEmpty() && inTransit.peek().at() <= now) {
                DelayedUpdate delayedUpdate = inTransit.poll();
                if (!partitioned.contains(delayedUpdate.to())) {
                    deliver(delayedUpdate.to(), delayedUpdate.packet());
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

    /** A member whose turn has come sends what is due, and then takes what has waited, in any order of sockets. */
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

    private void send(int from) {
        for (QuotaTracker.OutgoingUpdate outgoing : members.get(from).collectUpdates(now)) {
            if (partitioned.contains(from)) {
                continue;
            }
            int to = Integer.parseInt(outgoing.receiver().node().substring(1));
            if (random.nextDouble() >= lossRate) {
                inTransit.add(new DelayedUpdate(
                        nextFreeLinkTime(
                                to, nextFreeLinkTime(from, now + extraDelayMicros + 1_400 + random.nextInt(3_000))),
                        nextNumber++,
                        to,
                        outgoing.update()));
            }
        }
    }

    private long nextFreeLinkTime(int member, long at) {
        long sinceBusyStart = (at + member * 700_001L) % MICROS_PER_SECOND;
        return sinceBusyStart < linkBusyMicros ? at + linkBusyMicros - sinceBusyStart : at;
    }

    /** The most that was let through in any five seconds. */
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
