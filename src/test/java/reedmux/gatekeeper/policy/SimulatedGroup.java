package reedmux.gatekeeper.policy;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.function.BiPredicate;
import java.util.function.Function;
import reedmux.gatekeeper.policy.TrafficPolicy.AttemptEnded;
import reedmux.gatekeeper.policy.TrafficPolicy.AttemptOutcome;
import reedmux.gatekeeper.policy.TrafficPolicy.CustomerPlan;
import reedmux.gatekeeper.policy.TrafficPolicy.Idempotency;
import reedmux.gatekeeper.policy.TrafficPolicy.IncomingRequest;
import reedmux.gatekeeper.policy.TrafficPolicy.ListedServer;
import reedmux.gatekeeper.policy.TrafficPolicy.PeerMessage;
import reedmux.gatekeeper.policy.TrafficPolicy.PlatformRules;
import reedmux.gatekeeper.policy.TrafficPolicy.PolicyActions;
import reedmux.gatekeeper.policy.TrafficPolicy.PolicyEvent;
import reedmux.gatekeeper.policy.TrafficPolicy.PolicySettings;
import reedmux.gatekeeper.policy.TrafficPolicy.RequestClass;
import reedmux.gatekeeper.policy.TrafficPolicy.ServerList;
import reedmux.gatekeeper.policy.TrafficPolicy.ServerListScope;
import reedmux.gatekeeper.policy.TrafficPolicy.ServerStatus;
import reedmux.gatekeeper.policy.TrafficPolicy.TimerExpired;

/**
 * A group of gateway policies connected by a small event queue; each test defines message loss and attempt outcomes.
 */
public final class SimulatedGroup {
    static final long MS = 1000;
    static final long SECOND = 1000 * MS;
    static final int SAFE = 0;
    static final int KEYED = 1;
    static final int UNSAFE = 2;

    /** An attempt that a gateway has sent. */
    public record RecordedSend(int gateway, String request, String server, long timeout, long sentAt) {}

    /** A rejection by a gateway. */
    public record RecordedRejection(int gateway, String request, long retryAfter) {}

    private record QueuedPolicyEvent(long dueAt, long order, int gateway, GatekeeperPolicy policy, PolicyEvent event) {}

    final List<RecordedSend> sent = new ArrayList<>();
    final List<RecordedRejection> rejected = new ArrayList<>();
    final List<String> failed = new ArrayList<>();
    final List<byte[]> peerMessages = new ArrayList<>();
    final List<Integer> peerMessageSenders = new ArrayList<>();
    /** By gateway, the number of messages that it has received. */
    final Map<Integer, Integer> receivedMessageCounts = new HashMap<>();

    private final Map<Integer, Long> stalledUntil = new HashMap<>();
    final List<String> watches = new ArrayList<>();
    final PolicySettings[] settings;
    final GatekeeperPolicy[] policies;
    private final List<ListedServer> servers;
    private final PriorityQueue<QueuedPolicyEvent> queue = new PriorityQueue<>(
            Comparator.comparingLong(QueuedPolicyEvent::dueAt).thenComparingLong(QueuedPolicyEvent::order));
    private long order;
    private long ids;
    private int copies = 1;
    /** Whether a message from the first gateway to the second is lost. */
    BiPredicate<Integer, Integer> isLost = (from, to) -> false;
    /** The outcome of an attempt, 50 ms after it was sent; null if it never ends. */
    Function<RecordedSend, AttemptOutcome> outcomeOf = sent -> AttemptOutcome.OK;
    /** Additional latency of answers. */
    long extraLatency;

    long now = SECOND;

    SimulatedGroup(PolicySettings... settings) {
        this(servers(4), settings);
    }

    SimulatedGroup(List<ListedServer> servers, PolicySettings... settings) {
        this.servers = servers;
        this.settings = settings;
        policies = new GatekeeperPolicy[settings.length];
        for (int i = 0; i < settings.length; i++) {
            restart(i);
        }
    }

    static SimulatedGroup of(int size, CustomerPlan plan) {
        PolicySettings[] all = new PolicySettings[size];
        for (int i = 0; i < size; i++) {
            all[i] = settings(i, size, plan);
        }
        return new SimulatedGroup(all);
    }

    static CustomerPlan quotaPlan(double rate, double burst) {
        return new CustomerPlan("plan", rate, burst, 0, 0, 0, 0, 1, 0, 1);
    }

    static PolicySettings settings(int self, int size, CustomerPlan plan) {
        return settings(
                self,
                size,
                plan,
                new TrafficPolicy.DeploymentLimits(true, false, false, true, false, 3, SECOND, 60, 256, 0));
    }

    static PolicySettings settings(int self, int size, CustomerPlan plan, TrafficPolicy.DeploymentLimits limits) {
        List<RequestClass> classes = List.of(
                requestClass("read", Idempotency.SAFE, TrafficPolicy.DeduplicationScope.ALL, 500 * MS, 2 * SECOND, 1),
                requestClass("keyed", Idempotency.KEYED, TrafficPolicy.DeduplicationScope.CELL, SECOND, 4 * SECOND, 2),
                requestClass("once", Idempotency.UNSAFE, TrafficPolicy.DeduplicationScope.ALL, SECOND, 4 * SECOND, 5));
        return new PolicySettings(
                self,
                size,
                0,
                false,
                false,
                1,
                MS,
                classes,
                List.of(plan),
                new PlatformRules(16 * MS, 10 * SECOND, 0.25, 12 * SECOND, 250 * MS, 3, SECOND),
                limits);
    }

    private static RequestClass requestClass(
            String name,
            Idempotency idempotency,
            TrafficPolicy.DeduplicationScope scope,
            long latencyTarget,
            long deadline,
            double value) {
        return new RequestClass(name, idempotency, scope, 8 * SECOND, latencyTarget, deadline, value, 0, false);
    }

    static List<ListedServer> servers(int count) {
        List<ListedServer> servers = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            servers.add(server(i, ServerStatus.READY, 0));
        }
        return servers;
    }

    /** Server i is in cell i / 2, and in the zone with the cell's number modulo 2. */
    static ListedServer server(int i, ServerStatus status, long started) {
        return new ListedServer("10.0.0." + i + ":80", i / 2 % 2, 0, i / 2, status, 1, started);
    }

    void restart(int gateway) {
        policies[gateway] = new GatekeeperPolicy(settings[gateway], 7 + 31L * gateway + now);
        deliver(gateway, new ServerList(ServerListScope.CACHED, servers));
    }

    void stop(int gateway) {
        policies[gateway] = null;
    }

    /** Stalls a gateway for a duration; it then handles all events that arrived meanwhile. */
    void stall(int gateway, long duration) {
        stalledUntil.put(gateway, now + duration);
    }

    void duplicateMessages() {
        copies = 2;
    }

    String request(int gateway, int requestClass, long customer, int firstMember, int memberCount) {
        return request(gateway, requestClass, customer, firstMember, memberCount, 1);
    }

    String request(int gateway, int requestClass, long customer, int firstMember, int memberCount, double units) {
        String id = String.format("%016x", ++ids);
        long deadline = now + settings[gateway].classes().get(requestClass).deadline();
        deliver(
                gateway,
                new IncomingRequest(id, requestClass, 0, customer, deadline, units, memberCount, firstMember, false));
        return id;
    }

    /** Sends a request every {@code interval} for {@code duration}; returns how many were sent to servers. */
    int traffic(int gateway, long customer, int memberCount, long interval, long duration) {
        int before = sent.size();
        for (long end = now + duration; now < end; ) {
            request(gateway, SAFE, customer, 0, memberCount);
            run(interval);
        }
        return sent.size() - before;
    }

    boolean wasSent(String request) {
        return sent.stream().anyMatch(send -> send.request.equals(request));
    }

    boolean wasRejected(String request) {
        return rejected.stream().anyMatch(rejection -> rejection.request.equals(request));
    }

    void deliver(int gateway, PolicyEvent event) {
        if (policies[gateway] != null) {
            policies[gateway].handle(now, event, new RecordingActions(gateway, policies[gateway]));
        }
    }

    void run(long duration) {
        long end = now + duration;
        while (!queue.isEmpty() && queue.peek().dueAt <= end) {
            QueuedPolicyEvent due = queue.poll();
            now = Math.max(now, due.dueAt);
            long resumesAt = stalledUntil.getOrDefault(due.gateway, 0L);
            if (resumesAt > now) {
                schedule(resumesAt, due.gateway, due.policy, due.event);
                continue;
            }
            if (due.event instanceof PeerMessage) {
                receivedMessageCounts.merge(due.gateway, 1, Integer::sum);
            }
            if (due.policy == null || due.policy == policies[due.gateway]) {
                deliver(due.gateway, due.event);
            }
        }
        now = end;
    }

    private void schedule(long dueAt, int gateway, GatekeeperPolicy policy, PolicyEvent event) {
        queue.add(new QueuedPolicyEvent(dueAt, order++, gateway, policy, event));
    }

    private final class RecordingActions implements PolicyActions {
        private final int gateway;
        private final GatekeeperPolicy policy;

        RecordingActions(int gateway, GatekeeperPolicy policy) {
            this.gateway = gateway;
            this.policy = policy;
        }

        @Override
        public void send(String request, String server, long timeout) {
            RecordedSend recordedSend = new RecordedSend(gateway, request, server, timeout, now);
            int attempt = (int) sent.stream()
                    .filter(earlier -> earlier.request.equals(request))
                    .count();
            sent.add(recordedSend);
            AttemptOutcome outcome = outcomeOf.apply(recordedSend);
            boolean answered = outcome != null && outcome != AttemptOutcome.TIMEOUT;
            long elapsed = answered ? 50 * MS + extraLatency : timeout;
            AttemptOutcome finalOutcome = answered ? outcome : AttemptOutcome.TIMEOUT;
            schedule(
                    now + elapsed,
                    gateway,
                    policy,
                    new AttemptEnded(
                            request, finalOutcome == AttemptOutcome.OK, server, attempt, 0, elapsed, finalOutcome));
        }

        @Override
        public void reject(String request, long retryAfter) {
            rejected.add(new RecordedRejection(gateway, request, retryAfter));
        }

        @Override
        public void fail(String request) {
            failed.add(request);
        }

        @Override
        public void cancelAttempt(String request, int attempt) {}

        @Override
        public void checkHealth(String server) {}

        @Override
        public void closeIdleConnections(String server) {}

        @Override
        public void sendToPeer(int peer, byte[] bytes) {
            peerMessages.add(bytes);
            peerMessageSenders.add(gateway);
            if (!isLost.test(gateway, peer)) {
                for (int i = 0; i < copies; i++) {
                    schedule(now + 5 * MS + i, peer, null, new PeerMessage(gateway, bytes));
                }
            }
        }

        @Override
        public void addToCounter(long name, double amount, long keep) {
            throw new AssertionError("the counter service must not be used");
        }

        @Override
        public void fetchServers() {}

        @Override
        public void watchServers(boolean on) {
            watches.add(gateway + " " + on);
        }

        @Override
        public void setTimer(long dueAt, long token) {
            schedule(dueAt, gateway, policy, new TimerExpired(token));
        }

        @Override
        public void log(String line) {}
    }
}
