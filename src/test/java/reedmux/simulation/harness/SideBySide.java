package reedmux.simulation.harness;

import java.io.BufferedReader;
import java.io.File;
import java.io.IOException;
import java.io.InputStreamReader;
import java.lang.management.ManagementFactory;
import java.lang.management.ThreadInfo;
import java.lang.management.ThreadMXBean;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/**
 * CPU of a start and of a request of two builds, in turns. Each folder is a checkout that was built with the
 * command of its deploy file:
 * {@code java -cp target/reedmux.jar src/test/java/reedmux/simulation/harness/SideBySide.java ROUNDS BEFORE AFTER};
 * a fourth argument leaves the requests out.
 */
public final class SideBySide {
    private static final String SOURCE = "src/test/java/reedmux/simulation/harness/SideBySide.java";
    private static final int WARM = 300;
    private static final int REQUESTS = 700;

    private SideBySide() {}

    public static void main(String[] args) throws Exception {
        if (args.length == 0) {
            System.out.println(request());
            System.exit(0); // the stage's threads have nothing left to do
        }
        Map<String, List<Double>> all = new LinkedHashMap<>();
        for (int round = 0; round < Integer.parseInt(args[0]); round++) {
            for (int i = 1; i <= 2; i++) {
                Path dir = Path.of(args[1 + (i + round) % 2]); // each goes first in turn
                String name = (i + round) % 2 == 0 ? "before" : "after";
                for (String program : List.of("proxy", "registry", "store")) {
                    all.computeIfAbsent(program + ", ms to listens, " + name, key -> new ArrayList<>())
                            .add(start(dir, program));
                }
                if (args.length == 3) {
                    all.computeIfAbsent("proxy, us a request, " + name, key -> new ArrayList<>())
                            .add(ofRequest(dir));
                }
            }
        }
        all.forEach((what, figures) -> {
            Collections.sort(figures);
            System.out.printf(
                    "%-34s median %7.1f  from %7.1f to %7.1f  (%d)%n",
                    what,
                    figures.get(figures.size() / 2),
                    figures.get(0),
                    figures.get(figures.size() - 1),
                    figures.size());
        });
    }

    private static List<String> command(Path dir, String program) throws IOException {
        Matcher run = Pattern.compile("\\[roles\\." + program + "]\\s+run = \"([^\"]*)\"")
                .matcher(Files.readString(dir.resolve("deploy/system.toml")));
        if (!run.find()) {
            throw new IOException(dir + "/deploy/system.toml does not run " + program);
        }
        return new ArrayList<>(List.of(run.group(1).split(" ")));
    }

    /** Starts one as the platform does, alone, and sums up its threads when it says that it listens. */
    private static double start(Path dir, String program) throws IOException, InterruptedException {
        Path folder = Files.createTempDirectory("side-by-side");
        Path file = folder.resolve("settings.toml");
        Files.writeString(file, """
                node = "n-1"
                ip = "127.0.93.1"
                zone = "zone-a"
                portRange = [28360, 28375]
                seeds = ["127.0.93.2:28380", "127.0.93.3:28380", "127.0.93.4:28380"]
                coldStart = true
                dataDir = "%s"
                [tolerance]
                machines = 1
                [sockets]
                front = "127.0.93.1:28381"
                ready = "127.0.93.1:28382"
                control = "127.0.93.1:28380"
                """.formatted(folder));
        ProcessBuilder builder = new ProcessBuilder(command(dir, program))
                .directory(dir.toFile())
                .redirectOutput(ProcessBuilder.Redirect.DISCARD);
        builder.environment().put("REEDMUX_BOOT", file.toString());
        Process process = builder.start();
        double millis = -1;
        try (BufferedReader lines =
                new BufferedReader(new InputStreamReader(process.getErrorStream(), StandardCharsets.UTF_8))) {
            String line = lines.readLine();
            while (line != null && !line.contains("listens")) {
                line = lines.readLine();
            }
            millis = line == null ? -1 : threads(process.pid());
        } finally {
            process.destroyForcibly().waitFor(10, TimeUnit.SECONDS);
            try (Stream<Path> files = Files.walk(folder)) {
                files.sorted(Collections.reverseOrder()).map(Path::toFile).forEach(File::delete);
            }
        }
        if (millis < 0) {
            throw new IOException(dir + ": " + program + " ended before it listened");
        }
        return millis;
    }

    private static double threads(long pid) throws IOException {
        double nanos = 0;
        try (Stream<Path> tasks = Files.list(Path.of("/proc/" + pid + "/task"))) {
            for (Path task : tasks.toList()) {
                nanos += Double.parseDouble(
                        Files.readString(task.resolve("schedstat")).split(" ")[0]);
            }
        }
        return nanos / 1e6;
    }

    /** Plays a stage of that build in a JVM of the proxy's own options, but for its small heap. */
    private static double ofRequest(Path dir) throws IOException, InterruptedException {
        List<String> command = new ArrayList<>();
        for (String word : command(dir, "proxy")) {
            if (!word.startsWith("-Xm")
                    && !word.startsWith("-Xss")
                    && !word.startsWith("-XX:SharedArchive")
                    && !word.startsWith("-XX:MaxMeta")
                    && !word.startsWith("reedmux.")
                    && !word.equals("proxy")) {
                command.add(word);
            }
        }
        command.add(dir.resolve(SOURCE).toAbsolutePath().toString()); // its own, which names its own classes
        Process process = new ProcessBuilder(command)
                .directory(dir.toFile())
                .redirectError(ProcessBuilder.Redirect.DISCARD)
                .start();
        String out = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8).strip();
        if (process.waitFor() != 0) {
            throw new IOException(dir + ": the stage ended with " + process.exitValue() + ": " + out);
        }
        return Double.parseDouble(out);
    }

    /** CPU of the proxy's thread for each request, in microseconds. */
    private static double request() throws Exception {
        try (LoopbackGateway stage = new LoopbackGateway(94, 1, 3)) {
            if (stage.changeConfiguration(LoopbackGateway.INITIAL_CONFIGURATION).status() != 200
                    || !stage.awaitReady(20_000)) {
                throw new IOException("the stage does not serve");
            }
            long begun = 0;
            int served = 0;
            for (int i = 0; i < WARM + REQUESTS; i++) {
                begun = i == WARM ? cpu() : begun;
                int status = stage.request(0, "GET", "/look/1", "a-" + i, "").status();
                served += i >= WARM && status == 200 ? 1 : 0;
                if (i % 100 == 0) {
                    TimeUnit.MILLISECONDS.sleep(500); // under the tenant's quota
                }
            }
            if (served < REQUESTS * 9 / 10) {
                throw new IOException("served " + served);
            }
            return (cpu() - begun) / 1e3 / REQUESTS;
        }
    }

    private static long cpu() {
        ThreadMXBean threads = ManagementFactory.getThreadMXBean();
        for (ThreadInfo info : threads.getThreadInfo(threads.getAllThreadIds())) {
            if (info != null && info.getThreadName().equals("stage-proxy-0")) {
                return threads.getThreadCpuTime(info.getThreadId());
            }
        }
        throw new IllegalStateException("no proxy");
    }
}
