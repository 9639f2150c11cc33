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
import java.util.function.IntFunction;
import java.util.stream.Stream;
import reedmux.common.eventloop.Reactor;
import reedmux.common.logging.RingBufferLogger;
import reedmux.common.settings.ProcessSettings;
import reedmux.common.settings.ProcessSettingsException;
import reedmux.control.registry.Registry;
import reedmux.control.store.StoreServer;
import reedmux.proxy.Proxy;

/**
 * A complete gateway in one process on loopback: three stores, three registries, proxies, simulated checkers and an
 * operator, all on real sockets. Used by {@code rehearse}, which records the class archive, and by end-to-end tests.
 */
public final class LoopbackGateway implements AutoCloseable {
    private static final int CORE_MACHINES = 3;
    private static final int CONTROL_PORT_OFFSET = 20;
    private static final int FRONT_PORT_OFFSET = 21;
    private static final int READINESS_PORT_OFFSET = 22;
    private static final int PORT_RANGE_WIDTH = 10;
    private static final int MAX_FIRST_PORT = 60_000;
    /** The number of the first checker's address, above those of all machines. */
    private static final int FIRST_CHECKER_MACHINE = 100;

    private static final long WORK_MICROS = 5_000;
    private static final int LOG_CAPACITY_LINES = 100;
    private static final long CALL_TIMEOUT_SECONDS = 10;
    /** The maximum number of calls until one is accepted or rejected. */
    private static final int MAX_CALLS = 40;

    private static final long POLL_MILLIS = 50;
    private static final String[] ZONES = {"zone-a", "zone-b", "zone-c"};
    /** A configuration change that creates the service, routes and tenant that checkers and requests use. */
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
     * Starts a gateway.
     *
     * @param loopbackNetwork the third byte of the loopback addresses; it must differ between concurrent gateways
     */
    public LoopbackGateway(int loopbackNetwork, int proxies, int checkerCount)
            throws IOException, ProcessSettingsException {
        this.loopbackNetwork = loopbackNetwork;
        this.proxies = proxies;
        dataDirectory = Files.createTempDirectory("reedmux-gateway");
        firstPort = findFirstPort();
        clientReactor = newReactor();
        for (int i = 0; i < CORE_MACHINES; i++) {
            Reactor storeReactor = newReactor();
            new StoreServer(settings("core-" + i, i, i, true), storeReactor);
            startThread(storeReactor, "store-" + i);
            Reactor registryReactor = newReactor();
            new Registry(settings("core-" + i, i, i, true), registryReactor);
            startThread(registryReactor, "registry-" + i);
        }
        for (int i = 0; i < proxies; i++) {
            Reactor proxyReactor = newReactor();
            Proxy proxy = new Proxy(settings("edge-" + i, CORE_MACHINES + i, i, true), proxyReactor);
            proxyShutdowns.add(() -> proxyReactor.execute(proxy::beginShutdown));
            startThread(proxyReactor, "proxy-" + i);
        }
        List<InetSocketAddress> controlAddresses = new ArrayList<>();
        for (int i = 0; i < CORE_MACHINES; i++) {
            controlAddresses.add(controlAddress(i));
        }
        for (int i = 0; i < checkerCount; i++) {
            checkers.add(new LoopbackChecker(
                    clientReactor,
                    ip(FIRST_CHECKER_MACHINE + i),
                    "c-" + i,
                    "desk",
                    ZONES[i % ZONES.length],
                    controlAddresses,
                    WORK_MICROS));
        }
        startThread(clientReactor, "clients");
    }

    /** Finds a port that is free at the first address; it becomes the start of the port range at all addresses. */
    private int findFirstPort() throws IOException {
        try (java.net.ServerSocket probe = new java.net.ServerSocket()) {
            probe.bind(new InetSocketAddress(ip(0), 0));
            return Math.min(MAX_FIRST_PORT, probe.getLocalPort());
        }
    }

    private String ip(int machine) {
        return "127.0." + loopbackNetwork + '.' + (machine + 1);
    }

    private Reactor newReactor() throws IOException {
        Reactor reactor =
                new Reactor(new RingBufferLogger("gateway", LOG_CAPACITY_LINES, line -> {}, System::nanoTime));
        reactors.add(reactor);
        return reactor;
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
                "gateway-" + name);
        thread.setDaemon(true);
        thread.start();
    }

    private ProcessSettings settings(String node, int machine, int zone, boolean coldStart)
            throws ProcessSettingsException {
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
                "gateway/" + node,
                String.format(
                                text,
                                node,
                                ip(machine),
                                ZONES[zone % ZONES.length],
                                firstPort,
                                firstPort + PORT_RANGE_WIDTH,
                                String.join("\", \"", seeds),
                                coldStart,
                                dataDirectory.resolve(node))
                        + sockets);
    }

    /** Returns the settings of one more machine, for a program that the caller starts. */
    public ProcessSettings spareSettings(String role) throws ProcessSettingsException {
        return settings("further-" + role, CORE_MACHINES + proxies, 0, false);
    }

    /** Returns the address on which a proxy serves clients. */
    public InetSocketAddress frontAddress(int proxy) {
        return new InetSocketAddress(ip(CORE_MACHINES + proxy), firstPort + FRONT_PORT_OFFSET);
    }

    /** Returns the address on which a registry serves checkers and operators. */
    public InetSocketAddress controlAddress(int machine) {
        return new InetSocketAddress(ip(machine), firstPort + CONTROL_PORT_OFFSET);
    }

    /** A response; without one the status is 0 and the body gives the reason. */
    public record LoopbackResponse(int status, String body) {}

    /** Sends a request over a connection of its own and waits for the response. */
    public LoopbackResponse call(InetSocketAddress address, byte[] request) throws IOException {
        CompletableFuture<LoopbackResponse> result = new CompletableFuture<>();
        clientReactor.execute(() -> {
            try {
                new OneShotHttpCall(
                        clientReactor,
                        address,
                        request,
                        (status, head, text) -> result.complete(new LoopbackResponse(status, text)));
            } catch (IOException e) {
                result.complete(new LoopbackResponse(0, e.getMessage()));
            }
        });
        try {
            return result.get(CALL_TIMEOUT_SECONDS, TimeUnit.SECONDS);
        } catch (InterruptedException | ExecutionException | TimeoutException e) {
            throw new IOException(e);
        }
    }

    /** Sends a configuration change, to one control machine after the other until it is accepted or rejected. */
    public LoopbackResponse changeConfiguration(String body) throws IOException {
        return callUntilDecided(call -> OneShotHttpCall.post("/v1/Config.Adjust", body));
    }

    /** Reads the configuration as the operator does. */
    public LoopbackResponse readConfiguration() throws IOException {
        return callUntilDecided(call -> OneShotHttpCall.request("GET", "/v1/Config.Read", "control", ""));
    }

    private LoopbackResponse callUntilDecided(IntFunction<byte[]> encodeCall) throws IOException {
        LoopbackResponse response = new LoopbackResponse(0, "not sent");
        for (int i = 0; i < MAX_CALLS; i++) {
            response = call(controlAddress(i % CORE_MACHINES), encodeCall.apply(i));
            if (response.status() >= 200 && response.status() < 500) {
                return response;
            }
            sleepMillis(POLL_MILLIS);
        }
        return response;
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

    /** Waits until all proxies are ready; returns false if some are not within the timeout. */
    public boolean awaitReady(long timeoutMillis) throws IOException {
        for (long waited = 0; waited < timeoutMillis; waited += POLL_MILLIS) {
            boolean allReady = true;
            for (int i = 0; i < proxies && allReady; i++) {
                allReady = readiness(i).status() == 200;
            }
            if (allReady) {
                return true;
            }
            sleepMillis(POLL_MILLIS);
        }
        return false;
    }

    /** Begins the graceful shutdown of a proxy, as SIGTERM does. */
    public void shutdownProxy(int proxy) {
        proxyShutdowns.get(proxy).run();
    }

    /** Returns a proxy's response to the readiness probe of the platform. */
    public LoopbackResponse readiness(int proxy) throws IOException {
        return call(
                new InetSocketAddress(ip(CORE_MACHINES + proxy), firstPort + READINESS_PORT_OFFSET),
                OneShotHttpCall.request("GET", "/v1/readiness", "ready", ""));
    }

    /** Lets a checker begin to drain. */
    public void drainChecker(int checker) {
        clientReactor.execute(() -> checkers.get(checker).startDraining());
    }

    /** Returns the ids of the attempts that the checkers have executed, with an entry for each execution. */
    public List<String> executedAttempts() throws IOException {
        CompletableFuture<List<String>> result = new CompletableFuture<>();
        clientReactor.execute(() -> {
            List<String> attempts = new ArrayList<>();
            checkers.forEach(checker -> attempts.addAll(checker.executedAttempts()));
            result.complete(attempts);
        });
        return result.join();
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
        try (Stream<Path> files = Files.walk(dataDirectory)) {
            files.sorted(Comparator.reverseOrder())
                    .forEach(path -> path.toFile().delete());
        }
    }
}
