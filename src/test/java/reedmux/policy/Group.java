package reedmux.policy;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.function.BiPredicate;
import java.util.function.Function;
import reedmux.policy.Gateway.Actions;
import reedmux.policy.Gateway.AttemptEnded;
import reedmux.policy.Gateway.Event;
import reedmux.policy.Gateway.Outcome;
import reedmux.policy.Gateway.PeerMessage;
import reedmux.policy.Gateway.Plan;
import reedmux.policy.Gateway.Repeat;
import reedmux.policy.Gateway.Request;
import reedmux.policy.Gateway.RequestClass;
import reedmux.policy.Gateway.Rules;
import reedmux.policy.Gateway.Scope;
import reedmux.policy.Gateway.Server;
import reedmux.policy.Gateway.ServerList;
import reedmux.policy.Gateway.Settings;
import reedmux.policy.Gateway.Status;
import reedmux.policy.Gateway.TimerDue;

/** Modules that hear each other through a small event queue; each test says what is lost and what answers. */
final class Group {
    static final long MS = 1000;
    static final long SECOND = 1000 * MS;
    static final int SAFE = 0;
    static final int KEYED = 1;
    static final int UNSAFE = 2;

    /** What a module has sent for a request. */
    record Sent(int gateway, String request, String server, long timeout, long at) {}

    /** A module's refusal. */
    record Refused(int gateway, String request, long retryAfter) {}

    private record Due(long at, long order, int gateway, Brain life, Event event) {}

    final List<Sent> sent = new ArrayList<>();
    final List<Refused> refused = new ArrayList<>();
    final List<String> failed = new ArrayList<>();
    final List<byte[]> told = new ArrayList<>();
    final List<Integer> tellers = new ArrayList<>();
    /** Messages that reached each gateway. */
    final Map<Integer, Integer> heard = new HashMap<>();

    private final Map<Integer, Long> stalledUntil = new HashMap<>();
    final List<String> watches = new ArrayList<>();
    final Settings[] settings;
    final Brain[] brains;
    private final List<Server> servers;
    private final PriorityQueue<Due> queue =
            new PriorityQueue<>(Comparator.comparingLong(Due::at).thenComparingLong(Due::order));
    private long order;
    private long ids;
    private int copies = 1;
    /** Whether a message from the first to the second gateway is lost. */
    BiPredicate<Integer, Integer> lost = (from, to) -> false;
    /** How an attempt ends 50 ms after it went out; null for never. */
    Function<Sent, Outcome> ends = sent -> Outcome.OK;
    /** What answers take longer than usual. */
    long slow;

    long now = SECOND;

    Group(Settings... settings) {
        this(servers(4), settings);
    }

    Group(List<Server> servers, Settings... settings) {
        this.servers = servers;
        this.settings = settings;
        brains = new Brain[settings.length];
        for (int i = 0; i < settings.length; i++) {
            restart(i);
        }
    }

    static Group of(int size, Plan plan) {
        Settings[] all = new Settings[size];
        for (int i = 0; i < size; i++) {
            all[i] = settings(i, size, plan);
        }
        return new Group(all);
    }

    static Plan quota(double rate, double burst) {
        return new Plan("plan", rate, burst, 0, 0, 0, 0, 1, 0, 1);
    }

    static Settings settings(int self, int size, Plan plan) {
        return settings(self, size, plan, new Gateway.Limits(true, false, false, true, false, 3, SECOND, 60, 256, 0));
    }

    static Settings settings(int self, int size, Plan plan, Gateway.Limits limits) {
        List<RequestClass> classes = List.of(
                requestClass("read", Repeat.SAFE, Gateway.Group.ALL, 500 * MS, 2 * SECOND, 1),
                requestClass("keyed", Repeat.KEYED, Gateway.Group.CELL, SECOND, 4 * SECOND, 2),
                requestClass("once", Repeat.UNSAFE, Gateway.Group.ALL, SECOND, 4 * SECOND, 5));
        return new Settings(
                self,
                size,
                0,
                false,
                false,
                1,
                MS,
                classes,
                List.of(plan),
                new Rules(16 * MS, 10 * SECOND, 0.25, 12 * SECOND, 250 * MS, 3, SECOND),
                limits);
    }

    private static RequestClass requestClass(
            String name, Repeat repeat, Gateway.Group group, long aim, long deadline, double worth) {
        return new RequestClass(name, repeat, group, 8 * SECOND, aim, deadline, worth, 0, false);
    }

    static List<Server> servers(int count) {
        List<Server> servers = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            servers.add(server(i, Status.READY, 0));
        }
        return servers;
    }

    /** Server i lies in cell i / 2, and in the zone of that cell's number modulo 2. */
    static Server server(int i, Status status, long started) {
        return new Server("10.0.0." + i + ":80", i / 2 % 2, 0, i / 2, status, 1, started);
    }

    void restart(int gateway) {
        brains[gateway] = new Brain(settings[gateway], 7 + 31L * gateway + now);
        give(gateway, new ServerList(Scope.CACHED, servers));
    }

    void stop(int gateway) {
        brains[gateway] = null;
    }

    /** The gateway gets no turn for so long, and then all that came meanwhile. */
    void stall(int gateway, long length) {
        stalledUntil.put(gateway, now + length);
    }

    void duplicateMessages() {
        copies = 2;
    }

    String request(int gateway, int kind, long customer, int first, int spread) {
        return request(gateway, kind, customer, first, spread, 1);
    }

    String request(int gateway, int kind, long customer, int first, int spread, double units) {
        String id = String.format("%016x", ++ids);
        long deadline = now + settings[gateway].classes().get(kind).deadline();
        give(gateway, new Request(id, kind, 0, customer, deadline, units, spread, first, false));
        return id;
    }

    /** Sends a request every {@code gap} for {@code length}; returns how many were sent on. */
    int traffic(int gateway, long customer, int spread, long gap, long length) {
        int before = sent.size();
        for (long end = now + length; now < end; ) {
            request(gateway, SAFE, customer, 0, spread);
            run(gap);
        }
        return sent.size() - before;
    }

    boolean wasSent(String request) {
        return sent.stream().anyMatch(one -> one.request.equals(request));
    }

    boolean wasRefused(String request) {
        return refused.stream().anyMatch(one -> one.request.equals(request));
    }

    void give(int gateway, Event event) {
        if (brains[gateway] != null) {
            brains[gateway].handle(now, event, new Recorder(gateway, brains[gateway]));
        }
    }

    void run(long length) {
        long end = now + length;
        while (!queue.isEmpty() && queue.peek().at <= end) {
            Due due = queue.poll();
            now = Math.max(now, due.at);
            long until = stalledUntil.getOrDefault(due.gateway, 0L);
            if (until > now) {
                later(until, due.gateway, due.life, due.event);
                continue;
            }
            if (due.event instanceof PeerMessage) {
                heard.merge(due.gateway, 1, Integer::sum);
            }
            if (due.life == null || due.life == brains[due.gateway]) {
                give(due.gateway, due.event);
            }
        }
        now = end;
    }

    private void later(long at, int gateway, Brain life, Event event) {
        queue.add(new Due(at, order++, gateway, life, event));
    }

    private final class Recorder implements Actions {
        private final int gateway;
        private final Brain life;

        Recorder(int gateway, Brain life) {
            this.gateway = gateway;
            this.life = life;
        }

        @Override
        public void send(String request, String server, long timeout) {
            Sent one = new Sent(gateway, request, server, timeout, now);
            int attempt =
                    (int) sent.stream().filter(s -> s.request.equals(request)).count();
            sent.add(one);
            Outcome outcome = ends.apply(one);
            boolean answered = outcome != null && outcome != Outcome.TIMEOUT;
            long took = answered ? 50 * MS + slow : timeout;
            Outcome end = answered ? outcome : Outcome.TIMEOUT;
            later(
                    now + took,
                    gateway,
                    life,
                    new AttemptEnded(request, end == Outcome.OK, server, attempt, 0, took, end));
        }

        @Override
        public void refuse(String request, long retryAfter) {
            refused.add(new Refused(gateway, request, retryAfter));
        }

        @Override
        public void fail(String request) {
            failed.add(request);
        }

        @Override
        public void cancel(String request, int attempt) {}

        @Override
        public void probe(String server) {}

        @Override
        public void closeIdle(String server) {}

        @Override
        public void tell(int peer, byte[] bytes) {
            told.add(bytes);
            tellers.add(gateway);
            if (!lost.test(gateway, peer)) {
                for (int i = 0; i < copies; i++) {
                    later(now + 5 * MS + i, peer, null, new PeerMessage(gateway, bytes));
                }
            }
        }

        @Override
        public void count(long name, double amount, long keep) {
            throw new AssertionError("the counter service stays off the ordinary path");
        }

        @Override
        public void fetchServers() {}

        @Override
        public void watchServers(boolean on) {
            watches.add(gateway + " " + on);
        }

        @Override
        public void timer(long at, long token) {
            later(at, gateway, life, new TimerDue(token));
        }

        @Override
        public void log(String line) {}
    }
}
