package reedmux.lab.stage;

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
import reedmux.boot.Boot;
import reedmux.boot.BootException;
import reedmux.log.Ring;
import reedmux.net.Reactor;
import reedmux.proxy.Proxy;
import reedmux.registry.Registry;
import reedmux.store.Store;

/**
 * A whole gateway in one process on loopback: three stores, three registries, some proxies and stand-ins
 * for checkers and the operator, all on real sockets. For a first look, for the class archive, and for
 * tests of the whole path.
 */
public final class Stage implements AutoCloseable {
    private static final int CORE = 3;
    private static final int CONTROL = 20;
    private static final int FRONT = 21;
    private static final int READY = 22;
    private static final int WIDTH = 10;
    private static final String[] ZONES = {"zone-a", "zone-b", "zone-c"};
    /** The items that a stage begins with. */
    public static final String FIRST = """
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

    private final int net;
    private final int base;
    private final Path dir;
    private final List<Reactor> reactors = new ArrayList<>();
    private final List<CheckerStage> checkers = new ArrayList<>();
    /** Has a proxy leave, as at SIGTERM. */
    private final List<Runnable> leaving = new ArrayList<>();

    private final Reactor outside;
    private final int proxies;

    /**
     * Starts one; {@code net}: the third part of its loopback addresses, so that several can stand beside.
     */
    public Stage(int net, int proxies, int checkerCount) throws IOException, BootException {
        this.net = net;
        this.proxies = proxies;
        dir = Files.createTempDirectory("reedmux-stage");
        base = base();
        outside = reactor();
        for (int i = 0; i < CORE; i++) {
            Boot store = boot("core-" + i, i, i, true);
            Reactor ofStore = reactor();
            new Store(store, ofStore);
            start(ofStore, "store-" + i);
            Reactor ofRegistry = reactor();
            new Registry(boot("core-" + i, i, i, true), ofRegistry);
            start(ofRegistry, "registry-" + i);
        }
        for (int i = 0; i < proxies; i++) {
            Reactor ofProxy = reactor();
            Proxy proxy = new Proxy(boot("edge-" + i, CORE + i, i, true), ofProxy);
            leaving.add(() -> ofProxy.execute(proxy::leave));
            start(ofProxy, "proxy-" + i);
        }
        List<InetSocketAddress> control = new ArrayList<>();
        for (int i = 0; i < CORE; i++) {
            control.add(new InetSocketAddress(ip(i), base + CONTROL));
        }
        for (int i = 0; i < checkerCount; i++) {
            checkers.add(
                    new CheckerStage(outside, ip(100 + i), "c-" + i, "desk", ZONES[i % ZONES.length], control, 5_000));
        }
        start(outside, "outside");
    }

    /** A run of ports that is free at the first address; the others are ours as well. */
    private int base() throws IOException {
        try (java.net.ServerSocket probe = new java.net.ServerSocket()) {
            probe.bind(new InetSocketAddress(ip(0), 0));
            return Math.min(60_000, probe.getLocalPort());
        }
    }

    private String ip(int machine) {
        return "127.0." + net + '.' + (machine + 1);
    }

    private Reactor reactor() throws IOException {
        Reactor made = new Reactor(new Ring("stage", 100, line -> {}, System::nanoTime));
        reactors.add(made);
        return made;
    }

    private static void start(Reactor reactor, String name) {
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

    private Boot boot(String node, int machine, int zone, boolean cold) throws BootException {
        List<String> seeds = new ArrayList<>();
        for (int i = 0; i < CORE; i++) {
            seeds.add(ip(i) + ':' + (base + CONTROL));
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
        for (int socket : new int[] {FRONT, READY, CONTROL}) {
            sockets += (socket == FRONT ? "front" : socket == READY ? "ready" : "control") + " = \"" + ip(machine) + ':'
                    + (base + socket) + "\"\n";
        }
        return Boot.read(
                "stage/" + node,
                String.format(
                                text,
                                node,
                                ip(machine),
                                ZONES[zone % ZONES.length],
                                base,
                                base + WIDTH,
                                String.join("\", \"", seeds),
                                cold,
                                dir.resolve(node))
                        + sockets);
    }

    /** The settings of one more machine, for a program that is started beside. */
    public Boot further(String role) throws BootException {
        return boot("further-" + role, CORE + proxies, 0, false);
    }

    /** Where clients reach a proxy. */
    public InetSocketAddress front(int proxy) {
        return new InetSocketAddress(ip(CORE + proxy), base + FRONT);
    }

    /** Where the operator reaches a registry. */
    public InetSocketAddress control(int machine) {
        return new InetSocketAddress(ip(machine), base + CONTROL);
    }

    /** What somebody outside is answered. */
    public record Told(int status, String text) {}

    /** Makes a call from outside and waits for what comes of it. */
    public Told ask(InetSocketAddress to, byte[] request) throws IOException {
        CompletableFuture<Told> told = new CompletableFuture<>();
        outside.execute(() -> {
            try {
                new Asker(outside, to, request, (status, head, text) -> told.complete(new Told(status, text)));
            } catch (IOException e) {
                told.complete(new Told(0, e.getMessage()));
            }
        });
        try {
            return told.get(10, TimeUnit.SECONDS);
        } catch (InterruptedException | ExecutionException | TimeoutException e) {
            throw new IOException(e);
        }
    }

    /** The operator's call, repeated elsewhere for as long as it has no clear answer. */
    public Told adjust(String body) throws IOException {
        return clear(request -> Asker.post("/v1/Config.Adjust", body));
    }

    public Told read() throws IOException {
        return clear(request -> Asker.request("GET", "/v1/Config.Read", "control", ""));
    }

    private Told clear(java.util.function.IntFunction<byte[]> call) throws IOException {
        Told told = new Told(0, "not asked");
        for (int i = 0; i < 40; i++) {
            told = ask(control(i % CORE), call.apply(i));
            if (told.status() >= 200 && told.status() < 500) {
                return told;
            }
            pause(50);
        }
        return told;
    }

    /** A client's request, of the attempt's id. */
    public Told request(int proxy, String method, String path, String attempt, String body) throws IOException {
        return ask(
                front(proxy),
                Asker.request(
                        method,
                        path,
                        "desk.example",
                        body,
                        "Reedmux-Attempt-Id: " + attempt + "\r\n",
                        "Reedmux-Time-Left-Ms: 2000\r\n",
                        "Authorization: Bearer key-of-first\r\n"));
    }

    /** Waits until all proxies call themselves ready; false if they don't. */
    public boolean ready(long millis) throws IOException {
        for (long waited = 0; waited < millis; waited += 50) {
            boolean all = true;
            for (int i = 0; i < proxies && all; i++) {
                all = readiness(i).status() == 200;
            }
            if (all) {
                return true;
            }
            pause(50);
        }
        return false;
    }

    /** A proxy is told to end, as by SIGTERM. */
    public void leave(int proxy) {
        leaving.get(proxy).run();
    }

    /** What a proxy says to the platform. */
    public Told readiness(int proxy) throws IOException {
        return ask(
                new InetSocketAddress(ip(CORE + proxy), base + READY),
                Asker.request("GET", "/v1/readiness", "ready", ""));
    }

    /** A checker says from now on that it leaves. */
    public void drain(int checker) {
        outside.execute(() -> checkers.get(checker).drain());
    }

    /** How often each attempt was run, over all checkers. */
    public List<String> ran() throws IOException {
        CompletableFuture<List<String>> all = new CompletableFuture<>();
        outside.execute(() -> {
            List<String> list = new ArrayList<>();
            checkers.forEach(checker -> list.addAll(checker.ran()));
            all.complete(list);
        });
        return all.join();
    }

    private static void pause(long millis) throws IOException {
        try {
            TimeUnit.MILLISECONDS.sleep(millis);
        } catch (InterruptedException e) {
            throw new IOException(e);
        }
    }

    @Override
    public void close() throws IOException {
        reactors.forEach(Reactor::end);
        try (Stream<Path> all = Files.walk(dir)) {
            all.sorted(Comparator.reverseOrder()).forEach(path -> path.toFile().delete());
        }
    }
}
