import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/**
 * A small deployment on loopback addresses: three core machines (store and registry) and a few edge machines (proxy),
 * started with the commands of deploy/system.toml. It also holds the platform's part (start, SIGTERM, SIGKILL, restart),
 * the operator's calls and the record of a case. Every process that it started is killed in {@link #close}.
 */
public final class Rig implements AutoCloseable {
    static final int EXIT_HELD = 0;
    static final int EXIT_BROKEN = 1;
    static final int EXIT_COULD_NOT_RUN = 2;

    /** One machine with its processes. */
    final class Machine {
        final String name;
        final String ip;
        final String zone;
        final List<String> roles;
        final Map<String, Process> processes = new LinkedHashMap<>();
        boolean coldStart = true;

        Machine(String name, String ip, String zone, List<String> roles) {
            this.name = name;
            this.ip = ip;
            this.zone = zone;
            this.roles = roles;
        }

        Path disk() {
            return folder.resolve(name + "-disk");
        }

        void start(String role) throws IOException {
            Path settings = folder.resolve(name + '-' + role + ".toml");
            Files.writeString(settings, settings(this, role));
            if (!roles.contains("proxy")) {
                Files.createDirectories(disk());
            }
            ProcessBuilder builder = new ProcessBuilder(commands.get(role).split(" +"));
            Map<String, String> variables = builder.environment();
            variables.keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
            variables.put("REEDMUX_BOOT", settings.toString());
            Path log = folder.resolve(name + '-' + role + ".log");
            builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
            processes.put(role, builder.start());
            note("platform: " + name + " starts " + role + ", pid " + processes.get(role).pid());
        }

        void startAll() throws IOException {
            for (String role : roles) {
                start(role);
            }
            coldStart = false;
        }

        void signal(String role, String signal) throws IOException, InterruptedException {
            Process process = processes.get(role);
            if (process != null && process.isAlive()) {
                note("platform: SIG" + signal + " to " + role + " on " + name);
                new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
            }
        }

        void killAll() throws IOException, InterruptedException {
            for (String role : roles) {
                signal(role, "KILL");
                processes.get(role).waitFor(5, TimeUnit.SECONDS);
            }
        }

        String log(String role) throws IOException {
            return Files.readString(folder.resolve(name + '-' + role + ".log"));
        }
    }

    final Path folder;
    final List<Machine> core = new ArrayList<>();
    final List<Machine> edge = new ArrayList<>();
    final Map<String, String> commands = new LinkedHashMap<>();
    final int firstPort;
    final long startedAt = System.nanoTime();
    private final PrintWriter record;
    /** Further lines of the envelope, such as {@code graceS}. */
    String envelope = "";
    /** Further lines at the top of each settings file that is written from now on. */
    String newFields = "";

    Rig(String caseFolder, int edges, int ipBlock) throws IOException {
        record = new PrintWriter(Files.newBufferedWriter(Path.of(caseFolder, "record.txt")), true);
        folder = Files.createTempDirectory("reedmux-case");
        readCommands();
        String prefix = "127." + ipBlock + '.' + (1 + (int) (ProcessHandle.current().pid() % 250)) + '.';
        for (int i = 0; i < 3; i++) {
            core.add(new Machine("core-" + (i + 1), prefix + (11 + i), "hall-" + (char) ('a' + i), List.of("store", "registry")));
        }
        for (int i = 0; i < edges; i++) {
            edge.add(new Machine("edge-" + (i + 1), prefix + (31 + i), "hall-" + (char) ('a' + i % 3), List.of("proxy")));
        }
        firstPort = findPorts();
        Runtime.getRuntime().addShutdownHook(new Thread(this::killEverything));
    }

    private void readCommands() throws IOException {
        String role = null;
        for (String line : Files.readAllLines(Path.of("deploy/system.toml"))) {
            if (line.startsWith("[roles.")) {
                role = line.substring("[roles.".length(), line.indexOf(']'));
            } else if (line.startsWith("run = \"") && role != null) {
                commands.put(role, line.substring("run = \"".length(), line.lastIndexOf('"')));
            }
        }
    }

    /** Returns the first of thirty ports that are free on all addresses of this deployment. */
    private int findPorts() {
        List<Machine> all = new ArrayList<>(core);
        all.addAll(edge);
        for (int port = 20_000 + (int) (System.nanoTime() % 8000); port < 32_000; port += 40) {
            boolean free = true;
            for (Machine machine : all) {
                for (int offset = 0; offset < 30 && free; offset++) {
                    try (ServerSocket probe = new ServerSocket()) {
                        probe.bind(new InetSocketAddress(machine.ip, port + offset));
                    } catch (IOException e) {
                        free = false;
                    }
                }
            }
            if (free) {
                return port;
            }
        }
        throw new IllegalStateException("no free ports");
    }

    private String settings(Machine machine, String role) {
        StringBuilder text = new StringBuilder();
        text.append("node = \"").append(machine.name).append("\"\nrole = \"").append(role).append("\"\n");
        text.append("class = \"").append(role.equals("proxy") ? "edge" : "core").append("\"\n");
        text.append("ip = \"").append(machine.ip).append("\"\nzone = \"").append(machine.zone).append("\"\n");
        text.append("region = \"limerick\"\nportRange = [").append(firstPort).append(',').append(firstPort + 15).append("]\n");
        text.append("seeds = [");
        for (int i = 0; i < core.size(); i++) {
            text.append(i == 0 ? "" : ",").append('"').append(control(i)).append('"');
        }
        text.append("]\ncoldStart = ").append(machine.coldStart).append("\ncounted = ").append(!role.equals("proxy"));
        text.append("\nperiodMs = 1500\n").append(newFields);
        if (!role.equals("proxy")) {
            text.append("dataDir = \"").append(machine.disk()).append("\"\n");
        }
        text.append("[sockets]\n");
        if (role.equals("proxy")) {
            text.append("front = \"").append(machine.ip).append(':').append(firstPort + 21).append("\"\n");
            text.append("ready = \"").append(machine.ip).append(':').append(firstPort + 22).append("\"\n");
        } else {
            text.append("control = \"").append(machine.ip).append(':').append(firstPort + 20).append("\"\n");
        }
        text.append("[saturation]\ncpuShare = 0.6\ncores = 1\nmemoryMb = 430\nfdLimit = 4100\nlinkMbps = 1000.0\n");
        text.append("diskMb = ").append(role.equals("proxy") ? 0 : 256).append("\n[tolerance]\nmachines = 1\nzones = 0\nregions = 0\n");
        text.append("[envelope]\nseedLagS = 3\nreuseAfterS = 2\ncontactMs = 3000\nackMs = 4000\nconvergenceS = 4\n");
        text.append("drainMs = 2000\ngraceS = 6\nlossSlackMs = 200\nsettleMs = 2000\nrevertSlackMs = 250\nstretchMs = 5000\n");
        text.append("retryRatio = 0.2\nretryWindowS = 10\nretrySlack = 56\nquotaWindowS = 5\nquotaOvershoot = 0.1\n");
        text.append("quotaSlack = 20\nrecoveryS = 15\n").append(envelope);
        return text.toString();
    }

    // ---- Record --------------------------------------------------------------------------------------

    double seconds() {
        return (System.nanoTime() - startedAt) / 1e9;
    }

    synchronized void note(String line) {
        record.printf("%8.3f %s%n", seconds(), line);
    }

    // ---- The platform --------------------------------------------------------------------------------

    InetSocketAddress front(int edgeIndex) {
        return new InetSocketAddress(edge.get(edgeIndex).ip, firstPort + 21);
    }

    InetSocketAddress ready(int edgeIndex) {
        return new InetSocketAddress(edge.get(edgeIndex).ip, firstPort + 22);
    }

    String control(int coreIndex) {
        return core.get(coreIndex).ip + ':' + (firstPort + 20);
    }

    void startAll() throws IOException {
        for (Machine machine : core) {
            machine.startAll();
        }
        for (Machine machine : edge) {
            machine.startAll();
        }
    }

    boolean awaitReady(int edgeIndex, double withinSeconds) throws InterruptedException {
        double until = seconds() + withinSeconds;
        while (seconds() < until) {
            try {
                if (call(ready(edgeIndex), "GET", "/v1/readiness", null, 1000).status == 200) {
                    return true;
                }
            } catch (IOException e) {
                // not listening yet
            }
            Thread.sleep(100);
        }
        return false;
    }

    void awaitAllReady() throws InterruptedException, CouldNotRun {
        for (int i = 0; i < edge.size(); i++) {
            if (!awaitReady(i, 25)) {
                throw new CouldNotRun("edge " + (i + 1) + " is not ready");
            }
        }
        note("platform: all edge machines are ready");
    }

    // ---- Calls ---------------------------------------------------------------------------------------

    /** A case that could not be played. */
    static final class CouldNotRun extends Exception {
        CouldNotRun(String reason) {
            super(reason);
        }
    }

    /** An HTTP answer. */
    static final class Answer {
        int status;
        String statusLine = "";
        final Map<String, String> headers = new LinkedHashMap<>();
        byte[] body = {};

        String header(String name) {
            return headers.get(name.toLowerCase());
        }

        String text() {
            return new String(body, StandardCharsets.ISO_8859_1);
        }
    }

    static Answer call(InetSocketAddress address, String method, String path, String body, int timeoutMs) throws IOException {
        try (Socket socket = new Socket()) {
            socket.connect(address, timeoutMs);
            socket.setSoTimeout(timeoutMs);
            byte[] content = body == null ? new byte[0] : body.getBytes(StandardCharsets.UTF_8);
            String head = method + ' ' + path + " HTTP/1.1\r\nHost: " + address.getHostString() + "\r\n"
                    + (body == null ? "" : "Content-Type: application/json\r\nContent-Length: " + content.length + "\r\n")
                    + "Connection: close\r\n\r\n";
            OutputStream out = socket.getOutputStream();
            out.write(head.getBytes(StandardCharsets.ISO_8859_1));
            out.write(content);
            out.flush();
            return readAnswer(socket.getInputStream(), method);
        }
    }

    /** Reads a line that ends with CRLF; null at the end of the stream before its first byte. */
    static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int b = in.read(); b != '\n'; b = in.read()) {
            if (b < 0) {
                if (line.size() == 0) {
                    return null;
                }
                throw new EOFException("the stream ends inside of a line: " + line);
            }
            if (b != '\r') {
                line.write(b);
            }
        }
        return line.toString(StandardCharsets.ISO_8859_1);
    }

    static Answer readAnswer(InputStream in, String method) throws IOException {
        Answer answer = new Answer();
        String line = readLine(in);
        if (line == null) {
            throw new EOFException("closed without an answer");
        }
        answer.statusLine = line;
        if (!line.matches("HTTP/1\\.[01] [0-9]{3}( .*)?")) {
            answer.status = -1;
            return answer;
        }
        answer.status = Integer.parseInt(line.substring(9, 12));
        for (line = readLine(in); line != null && !line.isEmpty(); line = readLine(in)) {
            int colon = line.indexOf(':');
            answer.headers.put(line.substring(0, colon).toLowerCase(), line.substring(colon + 1).strip());
        }
        if (answer.status == 100) {
            return readAnswer(in, method);
        }
        if (method.equals("HEAD") || answer.status == 204 || answer.status == 304) {
            return answer;
        }
        answer.body = readBody(in, answer.headers);
        return answer;
    }

    static byte[] readBody(InputStream in, Map<String, String> headers) throws IOException {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        if ("chunked".equalsIgnoreCase(headers.get("transfer-encoding"))) {
            for (int size = chunkSize(in); size > 0; size = chunkSize(in)) {
                body.write(readExactly(in, size));
                readLine(in);
            }
            readLine(in);
            return body.toByteArray();
        }
        String length = headers.get("content-length");
        return length == null ? new byte[0] : readExactly(in, Integer.parseInt(length));
    }

    private static int chunkSize(InputStream in) throws IOException {
        String line = readLine(in);
        if (line == null) {
            throw new EOFException("the stream ends before a chunk");
        }
        return Integer.parseInt(line.split(";")[0].strip(), 16);
    }

    static byte[] readExactly(InputStream in, int size) throws IOException {
        byte[] bytes = in.readNBytes(size);
        if (bytes.length < size) {
            throw new EOFException("the stream ends after " + bytes.length + " of " + size + " bytes");
        }
        return bytes;
    }

    // ---- The operator --------------------------------------------------------------------------------

    /** Sends a change to one registry after the other, until it has a clear answer; returns that status. */
    int change(String json, double withinSeconds) throws InterruptedException {
        double until = seconds() + withinSeconds;
        for (int i = 0; seconds() < until; i++) {
            try {
                Answer answer = call(address(control(i % core.size())), "POST", "/v1/Config.Adjust", json, 1000);
                note("operator: change " + json.length() + " bytes by " + control(i % core.size()) + " -> " + answer.status + ' '
                        + (answer.status == 200 ? "" : answer.text().strip()));
                if (answer.status < 500 && answer.status != 408 && answer.status != 429) {
                    return answer.status;
                }
            } catch (IOException e) {
                note("operator: change by " + control(i % core.size()) + " -> " + e.getMessage());
            }
            Thread.sleep(150);
        }
        return 0;
    }

    static InetSocketAddress address(String text) {
        int colon = text.lastIndexOf(':');
        return new InetSocketAddress(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
    }

    static String plant(String name, int revision) {
        return "{\"signalKind\":\"plants\",\"heading\":{\"name\":\"" + name + "\",\"revision\":" + revision
                + "},\"reference\":{\"probe\":\"/health\",\"connCeiling\":110,\"protocol\":\"h1\",\"tls\":false}}";
    }

    static String route(String name, int revision, String host, String prefix, String kind, String plant, int cutoffMs) {
        return "{\"signalKind\":\"routes\",\"heading\":{\"name\":\"" + name + "\",\"revision\":" + revision
                + "},\"reference\":{\"host\":\"" + host + "\",\"prefix\":\"" + prefix + "\",\"kind\":\"" + kind
                + "\",\"cutoffMs\":" + cutoffMs + ",\"setpointMs\":800,\"priority\":2,\"plant\":\"" + plant
                + "\",\"attempts\":2,\"unkeyed\":false}}";
    }

    static String tenant(String name, int revision, String key, int flow, int burst) {
        return "{\"signalKind\":\"tenants\",\"heading\":{\"name\":\"" + name + "\",\"revision\":" + revision
                + "},\"reference\":{\"keys\":[\"" + key + "\"],\"priority\":1,\"flowPerS\":" + flow + ",\"burst\":" + burst + "}}";
    }

    static String saturation(int revision) {
        return "{\"signalKind\":\"saturation\",\"heading\":{\"revision\":" + revision
                + "},\"reference\":{\"headerBytes\":16384,\"bodyBytes\":67108864,\"headerMs\":3000,\"idleMs\":15000}}";
    }

    static String apply(String... items) {
        return "{\"apply\":{\"signals\":[" + String.join(",", items) + "]},\"remove\":{\"routes\":[]}}";
    }

    // ---- End -----------------------------------------------------------------------------------------

    private void killEverything() {
        List<Machine> all = new ArrayList<>(core);
        all.addAll(edge);
        for (Machine machine : all) {
            for (Process process : machine.processes.values()) {
                process.destroyForcibly();
            }
        }
    }

    @Override
    public void close() throws IOException {
        killEverything();
        if (System.getenv("KEEP") == null) {
            try (Stream<Path> files = Files.walk(folder)) {
                for (Path path : files.sorted(Comparator.reverseOrder()).toList()) {
                    Files.deleteIfExists(path);
                }
            }
        } else {
            System.err.println("kept " + folder);
        }
        record.close();
    }

    /** The body of a case; returns whether the rule held. */
    interface Play {
        boolean run(Rig rig, boolean trouble) throws Exception;
    }

    /** Plays a case and ends the process with the exit code that the review page names. */
    static void main(String[] arguments, int edges, int ipBlock, Play play) {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int code = EXIT_COULD_NOT_RUN;
        try (Rig rig = new Rig(arguments[0], edges, ipBlock)) {
            try {
                rig.note("trouble " + (trouble ? "on" : "off"));
                boolean held = play.run(rig, trouble);
                rig.note(held ? "the rule held" : "the rule was broken");
                code = held ? EXIT_HELD : EXIT_BROKEN;
            } catch (Exception e) {
                rig.note("could not run: " + e + ' ' + Arrays.toString(e.getStackTrace()));
            }
        } catch (IOException e) {
            System.err.println("could not run: " + e);
        }
        System.exit(code);
    }
}
