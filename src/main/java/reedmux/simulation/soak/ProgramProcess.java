package reedmux.simulation.soak;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import reedmux.common.settings.ProcessSettings;

/** One of the system's programs as a process of the operating system; it ends with this one at the latest. */
final class ProgramProcess {
    private static final String SIGNAL_COMMAND = "kill";
    private static final String LAUNCHER = "env";
    /** As the platform starts programs: a parent that ignores SIGHUP, as nohup does, has its children ignore it. */
    static final String HANG_UP_BY_DEFAULT = "--default-signal=HUP";

    static final String HANG_UP_IGNORED = "--ignore-signal=HUP";
    private static final long KILL_SECONDS = 5;
    /** As deploy/system.toml has them, without the class archive that only its build makes. */
    private static final List<String> JVM_OPTIONS = List.of(
            "-Xms12m",
            "-Xmx64m",
            "-Xss256k",
            "-XX:+UseSerialGC",
            "-XX:TieredStopAtLevel=1",
            "-XX:CICompilerCount=1",
            "-XX:-UsePerfData",
            "-XX:ReservedCodeCacheSize=24m",
            "-XX:MaxMetaspaceSize=48m");

    /** What a program writes once it handles signals; before that the JVM ends at any of them. */
    private static final String SIGNALS_HANDLED_MARKER = " begins";

    private final Process process;
    private final Path output;
    private final long initialOutputLength;
    private boolean handlesSignals;
    /** Whether a signal that ends it was sent. */
    private boolean endExpected;

    /** Starts a program; {@code output} receives what it writes, behind what is there. */
    ProgramProcess(String program, Path settings, Path output) throws IOException {
        this(program, settings, output, HANG_UP_BY_DEFAULT);
    }

    /** The same with a launcher's option that says what becomes of a signal. */
    ProgramProcess(String program, Path settings, Path output, String signalOption) throws IOException {
        this.output = output;
        initialOutputLength = Files.exists(output) ? Files.size(output) : 0;
        List<String> command = new ArrayList<>();
        command.add(LAUNCHER);
        command.add(signalOption);
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.addAll(JVM_OPTIONS);
        command.add("-cp");
        command.add(classPath());
        command.add("reedmux.cli.Main");
        command.add(program);
        ProcessBuilder builder = new ProcessBuilder(command);
        builder.environment().put(ProcessSettings.ENVIRONMENT_VARIABLE, settings.toString());
        builder.redirectErrorStream(true);
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(output.toFile()));
        process = builder.start();
    }

    private static String classPath() {
        String testClassPath = System.getProperty("surefire.test.class.path");
        return testClassPath == null ? System.getProperty("java.class.path") : testClassPath;
    }

    /** Runs a task with the exit code once the process has ended, on a thread of the JVM. */
    void onExit(java.util.function.IntConsumer task) {
        process.onExit().thenAccept(ended -> task.accept(ended.exitValue()));
    }

    /** A signal that ends it is about to be sent. */
    void expectEnd() {
        endExpected = true;
    }

    boolean isEndExpected() {
        return endExpected;
    }

    long id() {
        return process.pid();
    }

    boolean isAlive() {
        return process.isAlive();
    }

    /** Whether it handles signals by now. */
    boolean handlesSignals() throws IOException {
        if (!handlesSignals) {
            byte[] bytes = Files.readAllBytes(output);
            String ownOutput = new String(bytes, (int) initialOutputLength, (int) (bytes.length - initialOutputLength), StandardCharsets.UTF_8);
            handlesSignals = ownOutput.contains(SIGNALS_HANDLED_MARKER);
        }
        return handlesSignals;
    }

    /** Sends a signal, by its name without {@code SIG}, to this process alone. */
    void signal(String name) throws IOException {
        if (process.isAlive()) {
            new ProcessBuilder(SIGNAL_COMMAND, "-" + name, Long.toString(process.pid())).start();
        }
    }

    /** Kills the process, and waits for its end. */
    void killAndWait() throws InterruptedException {
        process.destroyForcibly();
        process.waitFor(KILL_SECONDS, TimeUnit.SECONDS);
    }
}
