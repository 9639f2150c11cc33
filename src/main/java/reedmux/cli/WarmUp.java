package reedmux.cli;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.stream.IntStream;
import org.apache.hc.core5.http.message.BasicHttpRequest;
import reedmux.config.Config;
import reedmux.core.Answer;
import reedmux.core.CallResult;
import reedmux.core.Clock;
import reedmux.core.Effects;
import reedmux.core.Event;
import reedmux.core.Invocation;
import reedmux.core.InvokerCall;
import reedmux.core.ProviderList;
import reedmux.core.Reducer;
import reedmux.http.ProviderClient;
import reedmux.http.RequestReader;
import reedmux.operator.Figures;
import reedmux.policy.Brain;
import reedmux.policy.Gateway.Plan;
import reedmux.policy.Gateway.Repeat;
import reedmux.policy.Gateway.RequestClass;
import reedmux.policy.Gateway.Scope;
import reedmux.policy.Gateway.Server;
import reedmux.policy.Gateway.Status;
import reedmux.region.Departure;

/**
 * Runs the program's own paths some hundred times before it calls itself ready, so that they are compiled by
 * then. On a third of a core a fresh JVM needs all of it for its first five seconds, and answered one request
 * in five in time. Decisions are practised by modules of their own, with calls that are made up; sockets by
 * asking our own address for its health. No provider, peer or consumer notices any of it.
 */
final class WarmUp {
    private static final int ROUNDS = 600;
    /** Of the rounds, how many are made of one kind before it is the other's turn. */
    private static final int TURN = 50;

    private static final int AT_ONCE = 4;
    /**
     * Decisions in a row, and the gap after them. On a part of one core the sockets' thread else waits for
     * all of them: discovery's first list was read up to 1.0 s late, and until then nobody heeds it.
     */
    private static final int GIVE_WAY = 5;

    private static final long GAP = TimeUnit.MICROSECONDS.toNanos(50);
    private static final int PROVIDERS = 8;
    private static final long ROUND = TimeUnit.MILLISECONDS.toMicros(5);
    /** The most time for it; at a restart the others bear our load meanwhile, and every second counts. */
    private static final long FRAME = TimeUnit.MILLISECONDS.toNanos(4_000);

    private static final long FRAME_AT_RESTART = TimeUnit.MILLISECONDS.toNanos(2_000);
    private static final long HANGS_MILLIS = 500;
    /** Between looks whether our address is open and whether the time is over. */
    private static final long LOOK_MILLIS = 50;

    private static final byte[] BODY = new byte[200];
    /** A body that is passed on as it comes, and one request in how many has it. */
    private static final byte[] LONG_BODY = new byte[100_000];

    private static final int LONG_EACH = 25;

    private final Config config;
    private final Clock clock;
    private final Consumer<String> log;
    private final BooleanSupplier restarted;
    private long begin;

    /** {@code restarted}: whether others bear our load meanwhile, so that time presses. */
    WarmUp(Config config, Clock clock, Consumer<String> log, BooleanSupplier restarted) {
        this.restarted = restarted;
        this.config = config;
        this.clock = clock;
        this.log = log;
    }

    /** Our own address. */
    interface Self {
        /** Null where nobody can connect there within so many milliseconds. */
        InetSocketAddress within(long millis) throws InterruptedException;
    }

    /**
     * Runs all rounds, or as many as there is time for. Decisions need no socket, so they go first where
     * discovery's list is still waited for, before which nobody can connect.
     */
    void run(ProviderClient client, Self self) throws InterruptedException {
        begin = System.nanoTime();
        Sparring sparring = new Sparring();
        int decided = 0;
        int asked = 0;
        while ((decided < ROUNDS || asked < ROUNDS) && !over()) {
            InetSocketAddress here = self.within(decided < ROUNDS ? 0 : LOOK_MILLIS);
            if (here != null && asked < ROUNDS && (asked < decided || decided == ROUNDS)) {
                asked += sockets(client, here);
            } else if (decided < ROUNDS) {
                decided += sparring.decisions(decided);
            }
        }
        log.accept("warmed up with " + decided + " decisions and " + asked + " requests to itself");
    }

    private boolean over() {
        return System.nanoTime() - begin > (restarted.getAsBoolean() ? FRAME_AT_RESTART : FRAME);
    }

    /** Asks for health over and over, with and without a body or with a long one, first over new ones. */
    private int sockets(ProviderClient client, InetSocketAddress self) throws InterruptedException {
        Semaphore free = new Semaphore(AT_ONCE);
        client.closeIdle(self);
        int i = 0;
        for (; i < TURN && !over(); i++) {
            if (!free.tryAcquire(HANGS_MILLIS, TimeUnit.MILLISECONDS)) {
                return i; // whatever holds it up, consumers wait
            }
            if (i % LONG_EACH == 0) {
                client.askAtLength(self, "/healthz", LONG_BODY, result -> free.release());
            } else {
                client.ask(self, "/healthz", i % 2 == 0 ? BODY : new byte[0], result -> free.release());
            }
        }
        return i;
    }

    /** One gatekeeper's decisions, whose calls are answered by us and whose datagrams reach the other. */
    private final class Practice implements Effects {
        private final Reducer reducer;
        private final Deque<InvokerCall> out = new ArrayDeque<>();
        private final List<byte[]> told = new ArrayList<>();

        Practice(long seed) {
            reducer = new Reducer(new Brain(config.settings(), seed), 1, config.connectTimeout(), this);
        }

        @Override
        public void answer(Invocation invocation, Answer answer) {}

        @Override
        public void call(InvokerCall call, long timeout) {
            out.add(call);
        }

        @Override
        public void callAway(InvokerCall call, Departure departure) {}

        @Override
        public void stopConnecting(InvokerCall call) {}

        @Override
        public void stop(InvokerCall call) {}

        @Override
        public void probe(String provider, InetSocketAddress address, long askedAt) {}

        @Override
        public void closeIdle(String provider, InetSocketAddress address) {}

        @Override
        public void tell(int peer, byte[] bytes) {
            told.add(bytes);
        }

        @Override
        public void log(String line) {
            log.accept("warm-up: " + line);
        }
    }

    /** Two modules that take in requests, answers and each other's datagrams, on a clock of their own. */
    private final class Sparring {
        private final Practice here = new Practice(1);
        private final Practice there = new Practice(2);
        private final RequestReader reader =
                new RequestReader(config.settings(), clock, event -> {}, new Figures().service(""));
        private final int self = config.settings().self();
        private final int other = config.settings().groupSize() - 1 - self;
        private long now = 1;

        Sparring() {
            InetSocketAddress nowhere = InetSocketAddress.createUnresolved("nowhere", 1);
            Event list = new Event.ProvidersTold(new ProviderList(
                    Scope.FULL,
                    1,
                    IntStream.range(0, PROVIDERS)
                            .mapToObj(i -> new ProviderList.Provider(
                                    new Server("warm-up-" + i, i % 2, i % 2, 0, Status.READY, 1, 0), nowhere))
                            .toList()));
            here.reducer.reduce(now, list);
            there.reducer.reduce(now, list);
        }

        int decisions(int from) {
            int i = 0;
            for (; i < TURN && !over(); i++, now += ROUND) {
                if (i % GIVE_WAY == 0) {
                    LockSupport.parkNanos(GAP);
                }
                Event.InvocationTaken taken = request(reader, from + i, now);
                if (taken != null) {
                    here.reducer.reduce(now, taken);
                }
                here.reducer.reduceDue(now);
                there.reducer.reduceDue(now);
                while (here.out.size() > PROVIDERS) {
                    here.reducer.reduce(
                            now, new Event.CallEnded(here.out.poll(), new CallResult.Answered(200, false, null, BODY)));
                }
                deliver(here, there, now, self);
                deliver(there, here, now, other);
            }
            return i;
        }
    }

    private static void deliver(Practice from, Practice to, long now, int number) {
        for (byte[] bytes : List.copyOf(from.told)) {
            to.reducer.reduce(now, new Event.PeerTold(number, bytes));
        }
        from.told.clear();
    }

    private Event.InvocationTaken request(RequestReader reader, int i, long now) {
        List<RequestClass> kinds = config.settings().classes();
        List<Plan> plans = config.settings().plans();
        RequestClass kind = kinds.get(i % kinds.size());
        BasicHttpRequest head = new BasicHttpRequest(kind.repeat() == Repeat.SAFE ? "GET" : "POST", '/' + kind.name());
        head.addHeader("X-Trace-Id", String.format("%016x", i));
        head.addHeader("X-Plan", plans.get(i / 2 % plans.size()).name());
        head.addHeader("X-Customer", String.format("%016x", i % 100));
        head.addHeader("X-Expires-In-Ms", "1000");
        head.addHeader("X-Quota", "units=1,spread=" + config.settings().groupSize() + ",first=0");
        Invocation invocation = reader.practise(head, BODY, now);
        return invocation == null ? null : new Event.InvocationTaken(invocation);
    }
}
