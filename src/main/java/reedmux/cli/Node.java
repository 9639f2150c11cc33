package reedmux.cli;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.reactor.DefaultListeningIOReactor;
import reedmux.config.Config;
import reedmux.config.ConfigException;
import reedmux.core.Clock;
import reedmux.core.Loop;
import reedmux.handover.Frame;
import reedmux.handover.Succession;
import reedmux.http.Acceptor;
import reedmux.http.ConsumerServer;
import reedmux.http.Transport;
import reedmux.operator.Door;
import reedmux.operator.Figures;
import reedmux.operator.LifeCycle;
import reedmux.operator.OperatorCalls;
import reedmux.peer.PeerLink;
import reedmux.policy.Twin;
import reedmux.pool.Pool;
import reedmux.pool.Pools;
import reedmux.settings.OperatorSettings.Region;

/** One gatekeeper, put together: the reducer in the middle, and round it what reads and writes for it. */
public final class Node implements AutoCloseable {
    /**
     * Shares of the descriptors. Usual consumers hold up to a third of them and must not be closed for want
     * of room. What is left is for the JVM's own files, discovery and peers, about 20, and for connections
     * that are accepted before there is time to close others for them.
     */
    private static final double CONSUMERS_SHARE = 0.42;

    private static final double PROVIDERS_SHARE = 0.25;
    /** Bytes that requests in flight may hold over all pools; twice that where all that is lent is out. */
    private static final long BUFFERED = 12L * 1024 * 1024;
    /** Between looks for connections whose time is up: a bad consumer is owed its end within 3 s. */
    private static final long SWEEP = TimeUnit.MILLISECONDS.toMicros(250);
    /** Between words to another process that is this gatekeeper too. */
    private static final long EXCHANGE = TimeUnit.MILLISECONDS.toMicros(50);

    private final Config config;
    private final Clock clock;
    private final Consumer<String> log;
    private final PeerLink peers;
    private final Pools pools;
    private final List<Thread> reactorThreads = new ArrayList<>(2);
    private final DefaultListeningIOReactor reactor;
    private final ConsumerServer consumers;
    private final RegionLink regions;
    private final CountDownLatch ended = new CountDownLatch(1);
    private final CountDownLatch listening = new CountDownLatch(1);
    /** Open once discovery has been asked for the first time. */
    private final CountDownLatch asked = new CountDownLatch(1);

    private volatile boolean serving;
    private final LifeCycle life = new LifeCycle();
    private final Figures figures = new Figures();
    private final Door door;
    /** Null where no other process may take our place. */
    private final Succession succession;
    /** Whether another process of this gatekeeper ran at our start. */
    private final boolean second;

    private volatile boolean failed;
    private volatile boolean warm = true;
    private volatile Acceptor listener;
    private volatile SocketAddress listenAddress;
    private boolean accepting = true;
    private boolean peersWanted;
    private long firstListMillis;
    private long exchangedAt;
    private long sweptAt;

    /** A gatekeeper for which the operators have set nothing of their own. */
    public Node(Config config, Clock clock, Consumer<String> log) throws IOException {
        this(Loaded.alone(config), clock, log);
    }

    Node(Loaded loaded, Clock clock, Consumer<String> log) throws IOException {
        this(loaded, clock, log, null);
    }

    /** {@code meeting}: where processes of this gatekeeper meet, or null. */
    Node(Loaded loaded, Clock clock, Consumer<String> log, Path meeting) throws IOException {
        config = loaded.config();
        Region region = loaded.settings().region();
        this.clock = clock;
        this.log = log;
        peers = new PeerLink(config.peerListen(), config.peers(), config.everyPeer());
        int consumerConnections = (int) (config.sockets() * CONSUMERS_SHARE);
        succession = meeting == null ? null : new Succession(meeting, config.rules(), new Counts(), log);
        second = meets();
        if (!second) {
            peers.open();
        }
        pools = new Pools(
                loaded.services().sharing(consumerConnections, BUFFERED, (int) (config.sockets() * PROVIDERS_SHARE)),
                clock,
                peers,
                peers,
                config.seed(),
                log,
                figures);
        consumers = new ConsumerServer(pools.front(), this::canServe, life, consumerConnections);
        regions = region == null
                ? null
                : new RegionLink(region, config, clock, event -> pools.main().post(event), this::canServe, life, log);
        reactor = Transport.reactor(
                local -> regions == null ? consumers : regions.serverOf(local, consumers), log, reactorThreads);
        if (regions != null) {
            regions.connect(reactor, config, clock, event -> pools.main().post(event));
        }
        pools.open(
                reactor,
                loaded.services().pools(),
                loaded.services().routes(),
                regions == null ? null : new Pool.Away(regions.desk(), regions::call));
        OperatorCalls calls = new OperatorCalls(life, figures, this::canServe, clock::now, log);
        door = config.operator() == null ? null : new Door(config.operator(), calls::answer, log);
    }

    /** Listens, and serves until {@link #leave}; the calling thread owns the reducer. */
    public void run() throws IOException, InterruptedException {
        reactor.start();
        pools.start();
        asked.countDown();
        try {
            if (!second) {
                awaitFirstList();
                serve();
            } else if (warm) { // nobody warms up who would do it after that
                Thread taking = new Thread(this::takeOver, "reedmux-take-over");
                taking.setDaemon(true);
                taking.start();
            }
            pools.loop().run(pools, this::afterTurn);
            log.accept("ended; datagrams dropped " + peers.dropped() + ", not sent " + peers.unsent());
        } finally {
            pools.close();
            if (succession != null) {
                succession.close();
            }
            if (door != null) {
                door.close();
            }
            if (listener != null) {
                listener.close();
            }
            if (regions != null) {
                regions.tell();
                regions.close();
            }
            reactor.close(CloseMode.IMMEDIATE);
            ended.countDown();
        }
    }

    private void awaitFirstList() throws InterruptedException {
        if (firstListMillis > 0 && !pools.main().awaitKnown(firstListMillis)) {
            log.accept("discovery: nothing told in " + firstListMillis + " ms; the known list serves");
        }
    }

    private void serve() throws IOException {
        listener = listen();
        if (regions != null) {
            regions.listen(reactor, succession != null);
        }
        listenAddress = listener.address();
        serving = true;
        listening.countDown();
        if (warm) {
            ready();
        }
    }

    private void ready() {
        if (life.phase() == LifeCycle.Phase.STARTING && succession != null) {
            succession.serving();
        }
        life.ready(clock.now());
    }

    private boolean meets() {
        try {
            return succession != null && succession.meet();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        }
    }

    /** What a hand-over asks of us. */
    private final class Counts implements Succession.Body {
        @Override
        public void onLoop(Runnable task) {
            pools.run(task);
        }

        @Override
        public List<Frame.Counted> hand() {
            try {
                peers.release();
            } catch (IOException e) {
                log.accept("hand-over: the peers' socket: " + e.getMessage());
            }
            List<Frame.Counted> all = new ArrayList<>();
            Map<String, Twin> twins = pools.twins();
            twins.forEach((name, twin) ->
                    all.add(new Frame.Counted(name, twin.hand(clock.now()), all.size() == twins.size() - 1)));
            return all;
        }

        @Override
        public void take(List<Frame.Counted> counted) {
            Map<String, Twin> twins = pools.twins();
            for (Frame.Counted service : counted) {
                Twin twin = twins.get(service.service());
                if (twin != null) {
                    twin.take(clock.now(), service.kept());
                }
            }
            openPeers();
        }

        @Override
        public void hear(String service, List<Twin.Spent> spent) {
            Twin twin = pools.twins().get(service);
            if (twin != null) {
                twin.hear(clock.now(), spent);
            }
        }

        @Override
        public List<Frame.SpentSince> spent() {
            List<Frame.SpentSince> all = new ArrayList<>();
            pools.twins().forEach((name, twin) -> {
                List<Twin.Spent> spent = twin.spent();
                if (!spent.isEmpty()) {
                    all.add(new Frame.SpentSince(name, spent));
                }
            });
            return all;
        }

        @Override
        public void alone(boolean elder) {
            pools.twins().values().forEach(Twin::alone);
            if (elder) {
                openPeers();
            }
        }

        @Override
        public void succeeded(boolean now) {
            life.succeeded(now);
        }
    }

    /** Takes the peers' socket, or tries again later while another process has it. */
    private void openPeers() {
        boolean before = peersWanted;
        peersWanted = false;
        try {
            peers.open();
        } catch (IOException e) {
            peersWanted = true;
            if (!before) {
                log.accept("hand-over: the peers' socket is not free yet: " + e.getMessage());
            }
        }
    }

    private Acceptor listen() throws IOException {
        try {
            return new Acceptor(config.listen(), succession != null, reactor, consumers.room(), log);
        } catch (IOException e) {
            throw new IOException("cannot listen on " + config.listen() + ": " + e.getMessage());
        }
    }

    private boolean canServe() {
        return life.takesClients() && pools.main().anyProvider();
    }

    /**
     * Has it listen only after discovery's first list, or after so many milliseconds without one. Whoever
     * comes back with an old list would send to providers that drain, as all of it counts as told that
     * discovery's agent holds; consumers find others meanwhile. To be called before a run.
     */
    void listenAfterList(long mostMillis) {
        firstListMillis = mostMillis;
    }

    /** Something to wait for. */
    interface Step {
        void run() throws InterruptedException;
    }

    /**
     * After {@code first}, runs the program's own paths; until that is done the gatekeeper is not ready, but
     * serves what comes all the same. To be called before a run.
     */
    Thread warmUpAfter(Step first) {
        warm = false;
        WarmUp warmUp =
                new WarmUp(config, clock, log, () -> second || pools.main().restarted());
        Thread thread = new Thread(
                () -> {
                    try {
                        first.run();
                        asked.await(); // what the warm-up takes of the core before that, the first list comes later
                        if (second) {
                            warmUpAside(warmUp);
                        } else {
                            warmUp.run(
                                    pools.main().client(),
                                    millis -> listening(millis) ? (InetSocketAddress) listenAddress : null);
                        }
                    } catch (InterruptedException | IOException | RuntimeException e) {
                        log.accept("warm-up: " + e); // it then starts cold, which is slower and no worse
                    } finally {
                        warm = true;
                        if (second) {
                            takeOver();
                        } else if (serving) {
                            ready();
                        }
                    }
                },
                "reedmux-warm-up");
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    /** Warms up at a port of our own: at the consumers' one the other process would answer half of it. */
    private void warmUpAside(WarmUp warmUp) throws IOException, InterruptedException {
        try (Acceptor aside = new Acceptor(
                new InetSocketAddress(config.listen().getAddress(), 0), false, reactor, consumers.room(), log)) {
            InetSocketAddress here = (InetSocketAddress) aside.address();
            warmUp.run(pools.main().client(), millis -> here);
        }
    }

    /** Takes another process's place, or starts beside it from nothing where that fails. */
    private void takeOver() {
        try {
            awaitFirstList(); // while the other one still serves and has the counts
            if (!succession.takeOver()) {
                pools.run(this::openPeers);
            }
            serve();
        } catch (IOException e) {
            log.accept(e.getMessage());
            failed = true;
            pools.loop().wake();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private long afterTurn(long now) {
        if (failed) {
            throw new IllegalStateException("cannot take the place of the process that runs");
        }
        if (succession != null && succession.exchanges() && now - exchangedAt >= EXCHANGE) {
            exchangedAt = now;
            succession.exchange();
        }
        if (now - sweptAt >= SWEEP) {
            sweptAt = now;
            if (peersWanted) {
                openPeers();
            }
            pools.sweep(now);
            consumers.sweep();
            if (regions != null) {
                regions.sweep(now);
            }
        }
        if (life.phase() != LifeCycle.Phase.LEAVING) {
            // A reactor whose thread has died closes its sockets and says nothing. To go on without
            // sockets would look alive and serve nobody, so the program ends and is started again.
            if (!reactorThreads.stream().allMatch(Thread::isAlive)) {
                throw new IllegalStateException("the reactor has ended");
            }
            return nextLook();
        }
        if (accepting && !life.accepts(now)) {
            accepting = false;
            stopListening();
            consumers.sweep();
        }
        return life.ends(now, pools.unanswered() + consumers.writing(), consumers.connected())
                ? Loop.END
                : Math.min(life.next(now), nextLook());
    }

    private long nextLook() {
        return succession != null && succession.exchanges() ? exchangedAt + EXCHANGE : sweptAt + SWEEP;
    }

    private void stopListening() {
        if (listener != null) {
            listener.close();
        }
        if (regions != null) {
            regions.stopListening();
        }
    }

    /** Stops taking in new work a little later, answers all that was taken, and ends. */
    public void leave() {
        life.leave(clock.now());
        pools.loop().wake();
    }

    /**
     * Takes over what a new configuration says of discovery and keeps all else; may be called by any thread
     * but the I/O thread, which has no time for files. One that cannot be read changes nothing.
     */
    void reload(Reading reading) {
        try {
            Loaded loaded = reading.read();
            Config told = loaded.config();
            List<String> kept = config.fixedAtStart(told);
            if (!kept.isEmpty()) {
                log.accept("configuration: a change takes a restart: " + String.join(", ", kept));
            }
            pools.reload(loaded.services().pools(), loaded.services().routes());
            Region region = loaded.settings().region();
            if (regions != null) {
                pools.main().post(regions.reload(region));
            } else if (region != null) {
                log.accept("settings: a change takes a restart: region");
            }
        } catch (ConfigException e) {
            log.accept("configuration: " + e.getMessage() + "; the old settings stay");
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Reads a configuration, or says which key is at fault. */
    interface Reading {
        Loaded read() throws ConfigException;
    }

    public boolean awaitEnd(long millis) throws InterruptedException {
        return ended.await(millis, TimeUnit.MILLISECONDS);
    }

    /** Whether consumers can connect, or can within so many milliseconds. */
    boolean listening(long millis) throws InterruptedException {
        return listening.await(millis, TimeUnit.MILLISECONDS);
    }

    /** Where consumers connect, once they can; what was configured, or the port that port 0 brought. */
    public SocketAddress awaitListening() throws InterruptedException {
        listening.await();
        return listenAddress;
    }

    /** Where operators connect; null where no place for them is named. */
    public InetSocketAddress operatorAddress() throws IOException {
        return door == null ? null : door.address();
    }

    /** Where other regions connect, once they can; null where they may not. */
    public InetSocketAddress awaitRegions() throws InterruptedException, IOException {
        listening.await();
        return regions == null ? null : regions.address();
    }

    @Override
    public void close() throws IOException {
        peers.close();
    }
}
