package reedmux.simulation.scenario;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import reedmux.simulation.standin.ConsumerStandIn;
import reedmux.simulation.standin.DiscoveryStandIn;

/** A real gatekeeper as a process of its own, which can be hung up on, told to leave and killed. */
public final class GatekeeperUnderTest implements AutoCloseable {
    private static final List<String> JVM_OPTIONS = List.of(
            "-XX:+UseSerialGC",
            "-XX:TieredStopAtLevel=1",
            "-XX:-UsePerfData",
            "-Xms48m",
            "-Xmx48m",
            "-Xmn16m",
            "-XX:MaxMetaspaceSize=48m",
            "-Xss512k");
    private static final Path TASKSET = Path.of("/usr/bin/taskset");
    private static final long READY_TIMEOUT_MILLIS = 12_000;
    private static final InetAddress LOOPBACK = InetAddress.getLoopbackAddress();

    /** Where a region's gatekeepers listen: for consumers, for regions, for each other. */
    public record GatekeeperAddresses(
            InetSocketAddress consumers, InetSocketAddress regions, InetSocketAddress peers) {}

    private final Path folder;
    private final Path settings;
    private final Path jar;
    private static final int ADMIN_TIMEOUT_MILLIS = 2_000;
    private final Map<String, String> environment = new HashMap<>();
    private List<String> commandPrefix = List.of();
    private Process process;

    /** {@code settings} may be null. */
    GatekeeperUnderTest(Path folder, String config, Path settings) throws IOException {
        this(folder, config, settings, null);
    }

    /** From a jar of another build, or of this one where {@code jar} is null. */
    GatekeeperUnderTest(Path folder, String config, Path settings, Path jar) throws IOException {
        this.jar = jar;
        this.folder = folder;
        this.settings = settings;
        Files.createDirectories(folder);
        Files.writeString(folder.resolve("config.json"), config);
    }

    /**
     * Free ports for so many gatekeepers, all different; each is taken a moment later by a process of
     * ours.
     */
    static List<GatekeeperAddresses> freeAddresses(int count) throws IOException {
        List<ServerSocket> taken = new ArrayList<>();
        List<DatagramSocket> datagrams = new ArrayList<>();
        List<GatekeeperAddresses> all = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            taken.add(new ServerSocket(0, 1, LOOPBACK));
            taken.add(new ServerSocket(0, 1, LOOPBACK));
            datagrams.add(new DatagramSocket(0, LOOPBACK));
            all.add(new GatekeeperAddresses(
                    (InetSocketAddress) taken.get(2 * i).getLocalSocketAddress(),
                    (InetSocketAddress) taken.get(2 * i + 1).getLocalSocketAddress(),
                    (InetSocketAddress) datagrams.get(i).getLocalSocketAddress()));
        }
        for (ServerSocket socket : taken) {
            socket.close();
        }
        datagrams.forEach(DatagramSocket::close);
        return all;
    }

    static String hostPort(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ':' + address.getPort();
    }

    /** The platform's configuration of one gatekeeper. */
    static String platformConfig(int number, List<GatekeeperAddresses> members, DiscoveryStandIn discovery)
            throws IOException {
        java.io.StringWriter text = new java.io.StringWriter();
        try (JsonGenerator json = new JsonFactory().createGenerator(text)) {
            json.writeStartObject();
            json.writeStringField("name", "n" + number);
            json.writeStringField("listen", hostPort(members.get(number).consumers()));
            json.writeStringField("discovery", discovery.hostPort());
            json.writeStringField("seed", String.format("%016x", 77 + number));
            json.writeObjectFieldStart("limits");
            json.writeNumberField("sockets", 1024);
            json.writeEndObject();
            json.writeStringField("peer_listen", hostPort(members.get(number).peers()));
            json.writeArrayFieldStart("peers");
            for (GatekeeperAddresses member : members) {
                json.writeString(hostPort(member.peers()));
            }
            json.writeEndArray();
            json.writeFieldName("known");
            json.writeRawValue(discovery.fullList());
            json.writeFieldName("settings");
            json.writeRawValue("""
                    {"position":%d,"groupSize":%d,"az":0,"dcs":["hall-a"],"kinds":["std-2c"],"tickUs":2000,
                    "lanes":[{"name":"check","effect":"read_like","group":"all","targetUs":1200000,
                    "deadlineUs":4000000,"worth":1.0},
                    {"name":"reject","effect":"non_idempotent","group":"all",
                    "targetUs":1200000,"deadlineUs":4000000,"worth":3.0}],
                    "packages":[{"name":"full-plant","refill":200.0,"mostAtOnce":600.0,"pays":1.6}],
                    "rules":{"answerSlackUs":8000,"askWithinUs":10000000,"coldFrom":0.18,"coldUs":16000000,
                    "drainGraceUs":250000,"fallMultiple":4.0,"fallUs":1000000},
                    "limits":{"cancelling":true,"secondCopies":true,"probes":true,"peerMessages":true,
                    "sendCap":4,"maxRetryAfterUs":1000000,"connectTimeoutUs":250000,"connIdleUs":30000000},
                    "extra":{"mailPerS":100.0,"unitsTop":8}}""".formatted(number, members.size()));
            json.writeEndObject();
        }
        return text.toString();
    }

    void start() throws IOException {
        List<String> command = new ArrayList<>(commandPrefix);
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.addAll(JVM_OPTIONS);
        command.addAll(List.of(
                "-cp",
                jar == null ? System.getProperty("java.class.path") : jar.toString(),
                "reedmux.cli.Main",
                "serve"));
        if (settings != null) {
            command.addAll(List.of("--settings", settings.toString()));
        }
        ProcessBuilder builder = new ProcessBuilder(command);
        builder.environment().put("RELAY_CONFIG", folder.resolve("config.json").toString());
        builder.environment().putAll(environment);
        builder.redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(
                        folder.resolve("log.txt").toFile()));
        process = builder.start();
    }

    /**
     * Keeps it to one core from its next start on, as the platform does, and this process off that core;
     * where the system cannot, says so.
     */
    boolean pinToOneCore() throws IOException, InterruptedException {
        int cores = Runtime.getRuntime().availableProcessors();
        if (Files.isExecutable(TASKSET) && cores > 1) {
            new ProcessBuilder(
                            TASKSET.toString(),
                            "-apc",
                            "1-" + (cores - 1),
                            Long.toString(ProcessHandle.current().pid()))
                    .start()
                    .waitFor(5, TimeUnit.SECONDS);
            commandPrefix = List.of(TASKSET.toString(), "-c", "0");
        }
        return !commandPrefix.isEmpty();
    }

    /** A process that takes all that it can get of the core of those on one core; the caller ends it. */
    static Process startCpuLoad() throws IOException {
        return new ProcessBuilder(TASKSET.toString(), "-c", "0", "sh", "-c", "while :; do :; done").start();
    }

    /** Sets a variable of its environment, from its next start on. */
    GatekeeperUnderTest withEnvironment(String variable, String value) {
        environment.put(variable, value);
        return this;
    }

    /** What it answers to a call at its operators' door, the last line's end taken off; nothing if closed. */
    static String adminCommand(InetSocketAddress door, String call) {
        try (Socket socket = new Socket()) {
            socket.connect(door, ADMIN_TIMEOUT_MILLIS);
            socket.setSoTimeout(ADMIN_TIMEOUT_MILLIS);
            socket.getOutputStream().write((call + '\n').getBytes(StandardCharsets.US_ASCII));
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII).strip();
        } catch (IOException e) {
            return "";
        }
    }

    /** Memory that is its own, with its part of what is shared, in bytes. */
    long memoryBytes() throws IOException {
        for (String line : Files.readAllLines(Path.of("/proc/" + pid() + "/smaps_rollup"))) {
            if (line.startsWith("Pss:")) {
                return Long.parseLong(line.replaceAll("[^0-9]", "")) * 1024;
            }
        }
        return 0;
    }

    /** Descriptors that it holds, by the system's count. */
    long openDescriptors() throws IOException {
        try (java.util.stream.Stream<Path> files = Files.list(Path.of("/proc/" + pid() + "/fd"))) {
            return files.count();
        }
    }

    /** Waits until it says that it can serve. */
    void awaitReady(ConsumerStandIn consumers) throws IOException, InterruptedException {
        long begin = System.nanoTime();
        while (!consumers.isGatekeeperReady()) {
            if (System.nanoTime() - begin > READY_TIMEOUT_MILLIS * 1_000_000 || !process.isAlive()) {
                throw new IOException("a gatekeeper does not come up: " + log());
            }
            TimeUnit.MILLISECONDS.sleep(50);
        }
    }

    long pid() {
        return process.pid();
    }

    /** CPU time that the process has taken, in nanoseconds, to the hundredth of a second. */
    long cpuNanos() {
        return process.info().totalCpuDuration().orElseThrow().toNanos();
    }

    /** Kills it outright. */
    void kill() throws InterruptedException {
        process.destroyForcibly();
        process.waitFor(5, TimeUnit.SECONDS);
    }

    /** SIGHUP. */
    void sendHangup() throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-HUP", Long.toString(process.pid())).start().waitFor(5, TimeUnit.SECONDS);
    }

    /** SIGTERM; returns the milliseconds until its end, or -1 if it did not end. */
    long terminate(long patienceMillis) throws InterruptedException {
        long begin = System.nanoTime();
        process.destroy();
        return process.waitFor(patienceMillis, TimeUnit.MILLISECONDS) ? (System.nanoTime() - begin) / 1_000_000 : -1;
    }

    String log() throws IOException {
        return Files.readString(folder.resolve("log.txt"));
    }

    @Override
    public void close() {
        if (process != null) {
            process.destroyForcibly();
        }
    }
}
