package reedmux.simulation.harness;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.stream.Stream;
import reedmux.common.eventloop.Reactor;
import reedmux.common.logging.RingBufferLogger;
import reedmux.common.settings.ProcessSettings;
import reedmux.common.settings.ProcessSettingsException;
import reedmux.control.registry.Registry;
import reedmux.control.store.StoreServer;
import reedmux.proxy.Proxy;

/**
 * A whole gateway in one process on loopback: three stores, three registries, some proxies and stand-ins
 * for checkers and the operator, all on real sockets. For a first look, for the class archive, and for
 * tests of the whole path.
 */
public final class LoopbackGateway implements AutoCloseable {
    private static final int CORE_MACHINES = 3;
    private static final int CONTROL_PORT_OFFSET = 20;
    private static final int FRONT_PORT_OFFSET = 21;
    private static final int READINESS_PORT_OFFSET = 22;
    private static final int PORT_RANGE_WIDTH = 10;
    private static final String[] ZONES = {"zone-a", "zone-b", "zone-c"};
    /** A change with the configuration that the stand-ins and requests need. */
    public static final String INITIAL_CONFIGURATION = """
            {"apply":{"signals":[
            {"signalKind":"plants","heading":{"name":"desk","revision":1},
             "reference":{"probe":"/health","connCeiling":100,"protocol":"h1","tls":false}},
            {"signalKind":"routes","heading":{"name":"look-up","revision":1},
             "reference":{"host":"desk.example","prefix":"/look/","kind":"idempotent","cutoffMs":2000,
              "setpointMs":300,"priority":2,"plant":"desk","attempts":2,"unkeyed":false}},
            {"signalKind":"routes","heading":{"name":"order","revision":1},
             "reference":{"host":"desk.example","prefix":"/order/","kind":"effectful","cutoffMs":2000,
              "setpointMs":400,"priority":1,"plant":"desk","attempts":2,"unkeyed":false}},
            {"signalKind":"tenants","heading":{"name":"first","revision":1},
             "reference":{"keys":["key-of-first"],"priority":1,"flowPerS":200,"burst":200}},
            {"signalKind":"saturation","heading":{"revision":1},
             "reference":{"headerBytes":16384,"bodyBytes":67108864,"headerMs":3000,"idleMs":15000}}]},
            "remove":{}}""";

    private final int loopbackNetwork;
    private final int firstPort;
    private final Path dataDirectory;
    private final List<Reactor> reactors = new ArrayList<>();
    private final List<LoopbackChecker> checkers = new ArrayList<>();
    /** Begins the shutdown of each proxy. */
    private final List<Runnable> proxyShutdowns = new ArrayList<>();

    private final Reactor clientReactor;
    private final int proxies;

    /**
     * Starts one; {@code loopbackNetwork}: the third part of its loopback addresses, so that several can stand beside.
     */
    public LoopbackGateway(int net, int proxies, int checkerCount) throws IOException, ProcessSettingsException {
        this.loopbackNetwork = net;
        this.proxies = proxies;
        dataDirectory = Files.createTempDirectory("reedmux-stage");
        firstPort = findFirstPort();
        clientReactor = newReactor();
        for (int i = 0; i < CORE_MACHINES; i++) {
            ProcessSettings store = settings("core-" + i, i, i, true);
            Reactor ofStore = newReactor();
            new StoreServer(store, ofStore);
            startThread(ofStore, "store-" + i);
            Reactor ofRegistry = newReactor();
            new Registry(settings("core-" + i, i, i, true), ofRegistry);
            startThread(ofRegistry, "registry-" + i);
        }
        for (int i = 0; i < proxies; i++) {
            Reactor ofProxy = newReactor();
            Proxy proxy = new Proxy(settings("edge-" + i, CORE_MACHINES + i, i, true), ofProxy);
            proxyShutdowns.add(() -> ofProxy.execute(proxy::beginShutdown));
            startThread(ofProxy, "proxy-" + i);
        }
        List<InetSocketAddress> control = new ArrayList<>();
        for (int i = 0; i < CORE_MACHINES; i++) {
            control.add(new InetSocketAddress(ip(i), firstPort + CONTROL_PORT_OFFSET));
        }
        for (int i = 0; i < checkerCount; i++) {
            checkers.add(new LoopbackChecker(
                    clientReactor, ip(100 + i), "c-" + i, "desk", ZONES[i % ZONES.length], control, 5_000));
        }
        startThread(clientReactor, "outside");
    }

    /** A port that is free at the first address; the range begins with it, at all addresses. */
    private int findFirstPort() throws IOException {
        try (java.net.ServerSocket probe = new java.net.ServerSocket()) {
            probe.bind(new InetSocketAddress(ip(0), 0));
            return Math.min(60_000, probe.getLocalPort());
        }
    }

    private String ip(int machine) {
        return "127.0." + loopbackNetwork + '.' + (machine + 1);
    }

    private Reactor newReactor() throws IOException {
        Reactor made = new Reactor(new RingBufferLogger("stage", 100, line -> {}, System::nanoTime));
        reactors.add(made);
        return made;
    }

    private static void startThread(Reactor reactor, String name) {
        Thread thread = new Thread(
                () -> {
                    try {
                        reactor.run();
                    } catch (IOException e) {
                        throw new IllegalStateException(e);
                    }
                },
                "stage-" + name);
        thread.setDaemon(true);
        thread.start();
    }

    private ProcessSettings settings(String node, int machine, int zone, boolean cold) throws ProcessSettingsException {
        List<String> seeds = new ArrayList<>();
        for (int i = 0; i < CORE_MACHINES; i++) {
            seeds.add(ip(i) + ':' + (firstPort + CONTROL_PORT_OFFSET));
        }
        String text = """
                node = "%s"
                ip = "%s"
                zone = "%s"
                portRange = [%d, %d]
                seeds = ["%s"]
                coldStart = %s
                periodMs = 500
                dataDir = "%s"
                [tolerance]
                machines = 1
                [sockets]
                """;
        String sockets = "";
        for (int socket : new int[] {FRONT_PORT_OFFSET, READINESS_PORT_OFFSET, CONTROL_PORT_OFFSET}) {
            sockets += (socket == FRONT_PORT_OFFSET ? "front" : socket == READINESS_PORT_OFFSET ? "ready" : "control")
                    + " = \"" + ip(machine) + ':' + (firstPort + socket) + "\"\n";
        }
        return ProcessSettings.parse(
                "stage/" + node,
                String.format(
                                text,
                                node,
                                ip(machine),
                                ZONES[zone % ZONES.length],
                                firstPort,
                                firstPort + PORT_RANGE_WIDTH,
                                String.join("\", \"", seeds),
                                cold,
                                dataDirectory.resolve(node))
                        + sockets);
    }

    /** The settings of one more machine, for a program that the caller starts. */
    public ProcessSettings spareSettings(String role) throws ProcessSettingsException {
        return settings("further-" + role, CORE_MACHINES + proxies, 0, false);
    }

    /** Where clients reach a proxy. */
    public InetSocketAddress frontAddress(int proxy) {
        return new InetSocketAddress(ip(CORE_MACHINES + proxy), firstPort + FRONT_PORT_OFFSET);
    }

    /** Where the operator reaches a registry. */
    public InetSocketAddress controlAddress(int machine) {
        return new InetSocketAddress(ip(machine), firstPort + CONTROL_PORT_OFFSET);
    }

    /** A response; the status is 0 if there was none, and the body says why. */
    public record LoopbackResponse(int status, String body) {}

    /** Sends a request from outside and waits for its response. */
    public LoopbackResponse call(InetSocketAddress to, byte[] request) throws IOException {
        CompletableFuture<LoopbackResponse> told = new CompletableFuture<>();
        clientReactor.execute(() -> {
            try {
                new OneShotHttpCall(
                        clientReactor,
                        to,
                        request,
                        (status, head, text) -> told.complete(new LoopbackResponse(status, text)));
            } catch (IOException e) {
                told.complete(new LoopbackResponse(0, e.getMessage()));
            }
        });
        try {
            return told.get(10, TimeUnit.SECONDS);
        } catch (InterruptedException | ExecutionException | TimeoutException e) {
            throw new IOException(e);
        }
    }

    /** Changes the configuration; retried at other control machines until the response is clear. */
    public LoopbackResponse changeConfiguration(String body) throws IOException {
        return callUntilClear(request -> OneShotHttpCall.post("/v1/Config.Adjust", body));
    }

    /** Reads the configuration as the operator does. */
    public LoopbackResponse readConfiguration() throws IOException {
        return callUntilClear(request -> OneShotHttpCall.request("GET", "/v1/Config.Read", "control", ""));
    }

    private LoopbackResponse callUntilClear(java.util.function.IntFunction<byte[]> call) throws IOException {
        LoopbackResponse told = new LoopbackResponse(0, "not asked");
        for (int i = 0; i < 40; i++) {
            told = call(controlAddress(i % CORE_MACHINES), call.apply(i));
            if (told.status() >= 200 && told.status() < 500) {
                return told;
            }
            sleepMillis(50);
        }
        return told;
    }

    /** Sends a client's request with an attempt id to a proxy. */
    public LoopbackResponse request(int proxy, String method, String path, String attempt, String body)
            throws IOException {
        return call(
                frontAddress(proxy),
                OneShotHttpCall.request(
                        method,
                        path,
                        "desk.example",
                        body,
                        "Reedmux-Attempt-Id: " + attempt + "\r\n",
                        "Reedmux-Time-Left-Ms: 2000\r\n",
                        "Authorization: Bearer key-of-first\r\n"));
    }

    /** Waits until all proxies are ready; returns whether they are within so many milliseconds. */
    public boolean awaitReady(long millis) throws IOException {
        for (long waited = 0; waited < millis; waited += 50) {
            boolean all = true;
            for (int i = 0; i < proxies && all; i++) {
                all = readiness(i).status() == 200;
            }
            if (all) {
                return true;
            }
            sleepMillis(50);
        }
        return false;
    }

    /** Begins a proxy's graceful shutdown, as by SIGTERM. */
    public void shutdownProxy(int proxy) {
        proxyShutdowns.get(proxy).run();
    }

    /** A proxy's response to the platform's readiness probe. */
    public LoopbackResponse readiness(int proxy) throws IOException {
        return call(
                new InetSocketAddress(ip(CORE_MACHINES + proxy), firstPort + READINESS_PORT_OFFSET),
                OneShotHttpCall.request("GET", "/v1/readiness", "ready", ""));
    }

    /** Has a checker drain. */
    public void drainChecker(int checker) {
        clientReactor.execute(() -> checkers.get(checker).startDraining());
    }

    /** The ids of the attempts that all checkers have executed, one entry for each execution. */
    public List<String> executedAttempts() throws IOException {
        CompletableFuture<List<String>> all = new CompletableFuture<>();
        clientReactor.execute(() -> {
            List<String> list = new ArrayList<>();
            checkers.forEach(checker -> list.addAll(checker.executedAttempts()));
            all.complete(list);
        });
        return all.join();
    }

    private static void sleepMillis(long millis) throws IOException {
        try {
            TimeUnit.MILLISECONDS.sleep(millis);
        } catch (InterruptedException e) {
            throw new IOException(e);
        }
    }

    @Override
    public void close() throws IOException {
        reactors.forEach(Reactor::stop);
        int violations = reactors.stream()
                .mapToInt(reactor -> reactor.invariants().violations())
                .sum();
        if (violations > 0) {
            throw new IllegalStateException(violations + " invariants were violated");
        }
        try (Stream<Path> all = Files.walk(dataDirectory)) {
            all.sorted(Comparator.reverseOrder()).forEach(path -> path.toFile().delete());
        }
    }
}
