import java.io.IOException;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/**
 * A small deployment of the project's own programs as separate processes on loopback: three core machines (store and
 * registry) and some edge machines (proxy), started with the commands of deploy/system.toml. It is also the platform:
 * it starts a process again when it has ended by itself. Times are milliseconds since the start of the lab.
 */
final class Lab implements AutoCloseable {
    static final int CONTACT_MS = 3000;
    static final int DRAIN_MS = 2000;
    static final int GRACE_MS = 6000;
    private static final int RESTART_DELAY_MS = 300;
    private static final int MAX_CASE_MS = 114_000;

    /** One machine: a loopback address with its processes. */
    static final class Machine {
        final String name;
        final String ip;
        final String zone;
        final List<String> roles;
        final Map<String, Process> processes = new LinkedHashMap<>();
        /** Roles that the test has stopped and that are not started again until it says so. */
        volatile boolean held;
        /** When the last process of this machine was started. */
        volatile long startedAt;
        /** Ends of processes that this test did not signal. */
        final List<Long> ownEnds = new ArrayList<>();

        Machine(String name, String ip, String zone, List<String> roles) {
            this.name = name;
            this.ip = ip;
            this.zone = zone;
            this.roles = roles;
        }
    }

    final Path folder;
    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    final List<Machine> core = new ArrayList<>();
    final List<Machine> edges = new ArrayList<>();
    final String network;
    final int port;
    private final Map<String, List<String>> commands;
    private final PrintWriter record;
    private final long zero = System.nanoTime();
    private boolean cold = true;
    private volatile boolean closed;

    Lab(Path caseFolder, int edgeCount) throws IOException {
        folder = Files.createTempDirectory("review-lab");
        record = new PrintWriter(Files.newBufferedWriter(caseFolder.resolve("record.txt")), true);
        commands = readCommands(Path.of("deploy/system.toml"));
        Random random = new Random();
        String chosen = null;
        int chosenPort = 0;
        for (int i = 0; i < 50 && chosen == null; i++) {
            String candidate = "127." + (20 + random.nextInt(200)) + "." + (1 + random.nextInt(250)) + ".";
            int first = 20_000 + 20 * random.nextInt(500);
            if (isFree(candidate, first)) {
                chosen = candidate;
                chosenPort = first;
            }
        }
        if (chosen == null) {
            throw new IOException("no free loopback addresses");
        }
        network = chosen;
        port = chosenPort;
        String[] zones = {"hall-a", "hall-b", "hall-c"};
        for (int i = 0; i < 3; i++) {
            core.add(new Machine("core-" + zones[i] + "-1", network + (1 + i), zones[i], List.of("store", "registry")));
        }
        for (int i = 0; i < edgeCount; i++) {
            edges.add(new Machine("edge-" + zones[i % 3] + "-" + (1 + i / 3), network + (11 + i), zones[i % 3],
                    List.of("proxy")));
        }
        Runtime.getRuntime().addShutdownHook(new Thread(this::killAll));
    }

    private static boolean isFree(String network, int first) {
        for (int machine : new int[] {1, 2, 3, 11, 12, 13}) {
            for (int offset : new int[] {0, 1, 2, 15, 16, 17}) {
                try (ServerSocket socket = new ServerSocket()) {
                    socket.bind(new InetSocketAddress(InetAddress.getByName(network + machine), first + offset));
                } catch (IOException e) {
                    return false;
                }
            }
        }
        return true;
    }

    private static Map<String, List<String>> readCommands(Path file) throws IOException {
        Map<String, List<String>> commands = new LinkedHashMap<>();
        String role = null;
        for (String line : Files.readAllLines(file)) {
            if (line.startsWith("[roles.")) {
                role = line.substring("[roles.".length(), line.indexOf(']'));
            } else if (role != null && line.startsWith("run = ")) {
                String text = line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
                commands.put(role, List.of(text.split(" ")));
            }
        }
        return commands;
    }

    // ---- Time and record ---------------------------------------------------------------------------

    long now() {
        return (System.nanoTime() - zero) / 1_000_000;
    }

    synchronized void note(String line) {
        record.println(String.format("%8.3f s  %s", now() / 1000.0, line));
    }

    void say(String line) {
        note(line);
        System.out.println(line);
    }

    void sleepUntil(long at) throws InterruptedException {
        long left = at - now();
        if (left > 0) {
            Thread.sleep(left);
        }
    }

    // ---- Processes ---------------------------------------------------------------------------------

    InetSocketAddress control(Machine machine) {
        return new InetSocketAddress(machine.ip, port + 15);
    }

    InetSocketAddress front(Machine machine) {
        return new InetSocketAddress(machine.ip, port + 16);
    }

    InetSocketAddress ready(Machine machine) {
        return new InetSocketAddress(machine.ip, port + 17);
    }

    /** Starts the whole system; the first time with empty disks. */
    void startAll() throws IOException {
        for (Machine machine : all()) {
            start(machine);
        }
        cold = false;
    }

    List<Machine> all() {
        List<Machine> all = new ArrayList<>(core);
        all.addAll(edges);
        return all;
    }

    void start(Machine machine) throws IOException {
        machine.held = false;
        for (String role : machine.roles) {
            start(machine, role);
        }
    }

    private synchronized void start(Machine machine, String role) throws IOException {
        if (closed) {
            return;
        }
        Path settings = folder.resolve(machine.name + "-" + role + ".toml");
        Files.writeString(settings, settings(machine, role));
        ProcessBuilder builder = new ProcessBuilder(commands.get(role));
        Map<String, String> environment = builder.environment();
        environment.keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
        environment.put("REEDMUX_BOOT", settings.toString());
        builder.redirectErrorStream(true);
        builder.redirectOutput(
                ProcessBuilder.Redirect.appendTo(folder.resolve(machine.name + "-" + role + ".log").toFile()));
        Process process = builder.start();
        machine.processes.put(role, process);
        machine.startedAt = now();
        note("platform: starts " + role + " on " + machine.name);
        process.onExit().thenAccept(ended -> onExit(machine, role, ended));
    }

    private void onExit(Machine machine, String role, Process process) {
        if (closed || machine.held || machine.processes.get(role) != process) {
            return;
        }
        synchronized (machine.ownEnds) {
            machine.ownEnds.add(now());
        }
        note("platform: " + role + " on " + machine.name + " has ended by itself, code " + process.exitValue());
        try {
            Thread.sleep(RESTART_DELAY_MS);
            if (!machine.held) {
                start(machine, role);
            }
        } catch (IOException | InterruptedException e) {
            note("platform: " + e);
        }
    }

    /** SIGKILL to all processes of some machines, which stay down until they are started. */
    void kill(List<Machine> machines) throws InterruptedException {
        for (Machine machine : machines) {
            machine.held = true;
        }
        for (Machine machine : machines) {
            machine.processes.values().forEach(Process::destroyForcibly);
        }
        note("platform: SIGKILL to all processes of " + machines.size() + " machines");
        for (Machine machine : machines) {
            for (Process process : machine.processes.values()) {
                process.waitFor(5, TimeUnit.SECONDS);
            }
        }
    }

    /** SIGTERM; the machine stays down. */
    void terminate(Machine machine) {
        machine.held = true;
        machine.processes.values().forEach(Process::destroy);
        note("platform: SIGTERM to " + machine.name);
    }

    private void killAll() {
        closed = true;
        for (Machine machine : all()) {
            machine.processes.values().forEach(Process::destroyForcibly);
        }
    }

    private String settings(Machine machine, String role) {
        boolean isCore = machine.roles.contains("store");
        StringBuilder seeds = new StringBuilder();
        for (Machine seed : core) {
            seeds.append(seeds.length() == 0 ? "" : ",").append('"').append(seed.ip).append(':').append(port + 15)
                    .append('"');
        }
        String sockets = isCore
                ? "control = \"" + machine.ip + ":" + (port + 15) + "\"\n"
                : "front = \"" + machine.ip + ":" + (port + 16) + "\"\nready = \"" + machine.ip + ":" + (port + 17)
                        + "\"\n";
        return "node = \"" + machine.name + "\"\nrole = \"" + role + "\"\nclass = \"" + (isCore ? "core" : "edge")
                + "\"\nserves = [\"" + (isCore ? "controller" : "edge") + "\"]\nip = \"" + machine.ip + "\"\nzone = \""
                + machine.zone + "\"\nregion = \"limerick\"\nportRange = [" + port + "," + (port + 14)
                + "]\nseeds = [" + seeds + "]\ncoldStart = " + cold + "\ncounted = " + isCore + "\n"
                + (isCore ? "dataDir = \"" + folder.resolve(machine.name + "-" + role + "-data") + "\"\n" : "")
                + "observer = \"self_report\"\ningress = \"vip\"\nperiodMs = 1500\n"
                + "invariants = [\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"tenants\",\"quota\"]\n"
                + "mode = \"parts\"\n[zones]\nhall-a = \"limerick\"\nhall-b = \"limerick\"\nhall-c = \"limerick\"\n"
                + "[sockets]\n" + sockets + "[saturation]\ncpuShare = 0.6\ncores = 1\nmemoryMb = 430\nfdLimit = 4100\n"
                + "linkMbps = 1000.0\ndiskMb = " + (isCore ? 256 : 0) + "\n[tolerance]\nmachines = 1\nzones = 0\n"
                + "regions = 0\n[envelope]\nseedLagS = 3\nreuseAfterS = 2\ncontactMs = 3000\nackMs = 4000\n"
                + "convergenceS = 4\ndrainMs = 2000\ngraceS = 6\nlossSlackMs = 200\nsettleMs = 2000\n"
                + "revertSlackMs = 250\nstretchMs = 5000\nrevokedEverywhere = false\nrevokeMs = 5000\n"
                + "retryRatio = 0.2\nretryWindowS = 10\nretrySlack = 56\nquotaWindowS = 5\nquotaOvershoot = 0.1\n"
                + "quotaSlack = 20\nrecoveryS = 15\n";
    }

    // ---- Items of the configuration ----------------------------------------------------------------

    static String route(String name, int revision, String prefix, String kind, int cutoffMs, String service) {
        return "{\"signalKind\":\"routes\",\"heading\":{\"name\":\"" + name + "\",\"revision\":" + revision
                + "},\"reference\":{\"host\":\"" + Client.HOST + "\",\"prefix\":\"" + prefix + "\",\"kind\":\"" + kind
                + "\",\"cutoffMs\":" + cutoffMs + ",\"setpointMs\":400,\"priority\":1,\"plant\":\"" + service
                + "\",\"attempts\":2,\"unkeyed\":false}}";
    }

    static String plant(String name) {
        return "{\"signalKind\":\"plants\",\"heading\":{\"name\":\"" + name
                + "\",\"revision\":1},\"reference\":{\"probe\":\"/health\",\"connCeiling\":110,\"protocol\":\"h1\","
                + "\"tls\":false}}";
    }

    /** A tenant without a limit, and the bounds of the pages' example. */
    static String tenantAndBounds() {
        return "{\"signalKind\":\"tenants\",\"heading\":{\"name\":\"first\",\"revision\":1},\"reference\":{\"keys\":"
                + "[\"key-of-first\"],\"priority\":1,\"flowPerS\":0,\"burst\":0}},"
                + "{\"signalKind\":\"saturation\",\"heading\":{\"revision\":1},\"reference\":{\"headerBytes\":16384,"
                + "\"bodyBytes\":67108864,\"headerMs\":3000,\"idleMs\":15000}}";
    }

    static String change(String... items) {
        return "{\"apply\":{\"signals\":[" + String.join(",", items) + "]},\"remove\":{}}";
    }

    // ---- Operator ----------------------------------------------------------------------------------

    /** Sends a change until a registry acknowledges it. */
    void adjust(String body) throws InterruptedException, IOException {
        for (int i = 0; i < 100; i++) {
            Machine machine = core.get(i % core.size());
            int status;
            try {
                status = Http.call(control(machine), "POST", "/v1/Config.Adjust", body, 1500);
            } catch (IOException e) {
                status = 0;
            }
            if (status == 200) {
                note("operator: 200 for " + body.replace('\n', ' '));
                return;
            }
            Thread.sleep(100);
        }
        throw new IOException("no acknowledgement of a configuration");
    }

    boolean isReady(Machine edge) {
        try {
            return Http.call(ready(edge), "GET", "/v1/readiness", null, 1000) == 200;
        } catch (IOException e) {
            return false;
        }
    }

    void awaitReady() throws InterruptedException, IOException {
        for (Machine edge : edges) {
            long until = now() + 20_000;
            while (!isReady(edge)) {
                if (now() > until) {
                    throw new IOException(edge.name + " does not become ready");
                }
                Thread.sleep(50);
            }
        }
        note("all edge machines are ready");
    }

    /** The lines of a process's log that hold a text, for the record. */
    void noteLog(Machine machine, String role, String text) throws IOException {
        Path log = folder.resolve(machine.name + "-" + role + ".log");
        for (String line : Files.readAllLines(log, StandardCharsets.UTF_8)) {
            if (line.contains(text)) {
                note("log of " + role + " on " + machine.name + ": " + line);
            }
        }
    }

    @Override
    public void close() throws IOException {
        killAll();
        for (Machine machine : all()) {
            for (Process process : machine.processes.values()) {
                try {
                    process.waitFor(5, TimeUnit.SECONDS);
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            }
        }
        try (Stream<Path> files = Files.walk(folder)) {
            for (Path path : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.deleteIfExists(path);
            }
        } catch (IOException | java.io.UncheckedIOException e) {
            note("the temporary folder is not removed: " + e);
        }
        record.close();
    }

    /** Runs a case and ends with its exit code: 0 held, 1 broken, 2 could not run. */
    interface Case {
        boolean holds(Lab lab) throws Exception;
    }

    /** A case that does not end by itself counts as one that could not run; the shutdown hook ends its processes. */
    private static void endInTime() {
        try {
            Thread.sleep(MAX_CASE_MS);
        } catch (InterruptedException e) {
            return;
        }
        System.err.println("RESULT: the case could not run: it has not ended in time");
        System.exit(2);
    }

    static void run(String[] arguments, int edgeCount, Case test) {
        int code = 2;
        Checker.daemon(Lab::endInTime);
        try (Lab lab = new Lab(Path.of(arguments[0]), edgeCount)) {
            try {
                boolean holds = test.holds(lab);
                code = holds ? 0 : 1;
                lab.say(holds ? "RESULT: the rule held" : "RESULT: the rule was broken");
            } catch (Exception e) {
                lab.say("RESULT: the case could not run: " + e);
            }
        } catch (IOException e) {
            System.err.println("the case could not run: " + e);
        }
        Runtime.getRuntime().halt(code);
    }
}
