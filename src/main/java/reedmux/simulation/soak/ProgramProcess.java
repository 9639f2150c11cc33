package reedmux.simulation.soak;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import reedmux.common.settings.ProcessSettings;

/** Runs one of the system's programs as an operating-system process, which must not outlive this JVM. */
final class ProgramProcess {
    private static final String SIGNAL_COMMAND = "kill";
    private static final String LAUNCHER = "env";
    /**
     * The launcher option that restores the default action of SIGHUP, as the platform does when it starts programs.
     * Without it, a program whose parent ignores SIGHUP, as nohup does, would inherit that and ignore the signal.
     */
    static final String HANG_UP_BY_DEFAULT = "--default-signal=HUP";

    static final String HANG_UP_IGNORED = "--ignore-signal=HUP";
    private static final long KILL_SECONDS = 5;
    /** The options in deploy/system.toml, except for the class archive, which only the deployment build creates. */
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

    /** Logged by a program once it handles signals; until then any signal terminates the JVM. */
    private static final String SIGNALS_HANDLED_MARKER = " begins";

    private final Process process;
    private final Path output;
    private final long initialOutputLength;
    private boolean handlesSignals;
    /** Whether a signal that terminates the process was sent or is about to be sent. */
    private boolean endExpected;

    /** Starts a program; its output is appended to the file {@code output}. */
    ProgramProcess(String program, Path settings, Path output) throws IOException {
        this(program, settings, output, HANG_UP_BY_DEFAULT);
    }

    /** Starts a program with a launcher option that sets how it initially handles a signal. */
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

    /** Registers a task that is run on a thread of the JVM with the exit code once the process has exited. */
    void onExit(java.util.function.IntConsumer task) {
        process.onExit().thenAccept(ended -> task.accept(ended.exitValue()));
    }

    /** Records that a terminating signal is about to be sent, so that the exit is not reported as a fault. */
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

    /** Whether the process already handles signals. */
    boolean handlesSignals() throws IOException {
        if (!handlesSignals) {
            byte[] bytes = Files.readAllBytes(output);
            String ownOutput = new String(
                    bytes,
                    (int) initialOutputLength,
                    (int) (bytes.length - initialOutputLength),
                    StandardCharsets.UTF_8);
            handlesSignals = ownOutput.contains(SIGNALS_HANDLED_MARKER);
        }
        return handlesSignals;
    }

    /** Sends a signal, named without {@code SIG}, to this process only. */
    void signal(String name) throws IOException {
        if (process.isAlive()) {
            new ProcessBuilder(SIGNAL_COMMAND, "-" + name, Long.toString(process.pid())).start();
        }
    }

    /** Kills the process and waits for its exit with a timeout. */
    void killAndWait() throws InterruptedException {
        process.destroyForcibly();
        process.waitFor(KILL_SECONDS, TimeUnit.SECONDS);
    }
}
