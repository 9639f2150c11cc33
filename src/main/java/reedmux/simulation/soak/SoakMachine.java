package reedmux.simulation.soak;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.stream.Stream;
import reedmux.common.eventloop.Reactor;

/**
 * A machine of the soak: a loopback address with one or two programs, which are restarted whenever they exit, as the
 * platform does. Must be used on the reactor's thread only.
 */
final class SoakMachine {
    static final int FRONT_PORT_OFFSET = 21;
    static final int READINESS_PORT_OFFSET = 22;
    static final int CONTROL_PORT_OFFSET = 20;
    static final long GRACE_MICROS = 6_000_000;
    /** Allows for delays of the platform; a process that outlives its grace period by more than this is reported. */
    private static final long GRACE_TOLERANCE_MICROS = 1_500_000;

    private static final int PORT_RANGE_WIDTH = 10;
    private static final long RESTART_DELAY_MICROS = 300_000;

    /** The environment shared by all machines of a soak. */
    interface Fleet {

        Reactor reactor();

        int firstPort();

        Path directory();

        /** The IP addresses of the seeds that are written to the settings of a program. */
        List<String> seeds();

        /** Draws the settings that a program does not know. */
        Random settingsRandom();

        void onViolation(String violation);

        void onStarted();

        /** Called when a machine is killed or paused, with the interval of the fault in microseconds. */
        void onMachineFault(SoakMachine machine, long from, long until);
    }

    private final Fleet fleet;
    private final String name;
    private final String ip;
    private final String zone;
    private final List<String> programs;
    private final Map<String, ProgramProcess> processes = new LinkedHashMap<>();
    /** Whether the next start is part of the first start of the whole system. */
    private boolean coldStart;

    private boolean removed;

    /** Whether the disk is to be deleted before the next start. */
    private boolean diskLost;

    private long faultUntil;
    /** The end of the last interval in which the host gave this machine no processor time. */
    private long stalledUntil;

    SoakMachine(Fleet fleet, String name, String ip, String zone, List<String> programs, boolean coldStart) {
        this.fleet = fleet;
        this.name = name;
        this.ip = ip;
        this.zone = zone;
        this.programs = programs;
        this.coldStart = coldStart;
    }

    String name() {
        return name;
    }

    String ip() {
        return ip;
    }

    InetSocketAddress address(int portOffset) {
        return new InetSocketAddress(ip, fleet.firstPort() + portOffset);
    }

    boolean isRemoved() {
        return removed;
    }

    boolean isRunning() {
        return processes.size() == programs.size()
                && processes.values().stream().allMatch(ProgramProcess::isAlive);
    }

    /** Whether clients may have noticed a kill or pause of this machine at {@code since} or later. */
    boolean isFaulty(long since) {
        return faultUntil >= since;
    }

    /** Records an unplanned fault of this machine that clients may notice until the given time. */
    void noteFault(long until) {
        faultUntil = Math.max(faultUntil, until);
        fleet.onMachineFault(this, fleet.reactor().now(), until);
    }

    /**
     * Records that the host gave this machine no processor time until the given time. The machine may then exceed its
     * grace period, but its guarantees to clients still hold.
     */
    void noteStall(long until) {
        stalledUntil = Math.max(stalledUntil, until);
    }

    Path outputOf(String program) {
        return fleet.directory().resolve(name + '-' + program + ".log");
    }

    List<String> programs() {
        return programs;
    }

    /** The ids of the running processes. */
    List<Long> processIds() {
        return processes.values().stream()
                .filter(ProgramProcess::isAlive)
                .map(ProgramProcess::id)
                .toList();
    }

    // ---- Starts and ends ---------------------------------------------------------------------------

    void start() {
        programs.forEach(this::start);
        coldStart = false;
    }

    private void start(String program) {
        if (removed) {
            return;
        }
        if (diskLost && processes.values().stream().anyMatch(ProgramProcess::isAlive)) {
            fleet.reactor()
                    .scheduleAfter(RESTART_DELAY_MICROS, () -> start(program)); // a running program still uses the disk
            return;
        }
        try {
            Path settings = fleet.directory().resolve(name + '-' + program + ".toml");
            writeSettings(settings);
            if (diskLost) {
                diskLost = false;
                deleteDisk();
            }
            ProgramProcess process = new ProgramProcess(program, settings, outputOf(program));
            processes.put(program, process);
            fleet.onStarted();
            process.onExit(code -> fleet.reactor().execute(() -> onExit(program, process, code)));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private void onExit(String program, ProgramProcess process, int code) {
        if (processes.get(program) != process) {
            return;
        }
        if (!process.isEndExpected() && !removed) {
            fleet.onViolation("FAULT: " + name + '/' + program + " exited unexpectedly with code " + code);
        }
        fleet.reactor().scheduleAfter(RESTART_DELAY_MICROS, () -> {
            if (processes.get(program) == process) {
                start(program);
            }
        });
    }

    /**
     * Sends SIGTERM to all programs. Those that have not exited within the grace period and its tolerance are killed
     * and reported, unless the machine was faulty or stalled since.
     */
    void terminate() {
        processes.values().forEach(ProgramProcess::expectEnd);
        signal("TERM");
        List<ProgramProcess> signalled = List.copyOf(processes.values());
        long signalledAt = fleet.reactor().now();
        fleet.reactor().scheduleAfter(GRACE_MICROS + GRACE_TOLERANCE_MICROS, () -> {
            boolean overdue = signalled.stream().anyMatch(ProgramProcess::isAlive);
            if (overdue && !isFaulty(signalledAt) && stalledUntil < signalledAt) {
                fleet.onViolation("GRACE: " + name + " is still running after its grace period");
            }
            signalled.stream().filter(ProgramProcess::isAlive).forEach(process -> signal(process, "KILL"));
        });
    }

    /** Kills all programs without notice. */
    void kill() {
        processes.values().forEach(ProgramProcess::expectEnd);
        noteFault(fleet.reactor().now() + RESTART_DELAY_MICROS);
        signal("KILL");
    }

    /** Kills all programs and deletes the disk before they are restarted. */
    void loseDisk() {
        diskLost = true;
        kill();
    }

    private Path disk() {
        return fleet.directory().resolve(name);
    }

    private void deleteDisk() throws IOException {
        try (Stream<Path> files = Files.walk(disk())) {
            for (Path path : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(path);
            }
        }
    }

    /** Stops the machine permanently, with SIGTERM if {@code planned} and SIGKILL otherwise. */
    void remove(boolean planned) {
        removed = true;
        if (planned) {
            terminate();
        } else {
            kill();
        }
    }

    /** Pauses all programs for the given time. */
    void pause(long micros) {
        pause(List.copyOf(processes.values()), micros);
    }

    /** Pauses one program for the given time. */
    void pause(String program, long micros) {
        pause(List.of(processes.get(program)), micros);
    }

    private void pause(List<ProgramProcess> paused, long micros) {
        noteFault(fleet.reactor().now() + micros);
        paused.forEach(process -> signal(process, "STOP"));
        fleet.reactor().scheduleAfter(micros, () -> paused.forEach(process -> signal(process, "CONT")));
    }

    /**
     * Rewrites the settings and sends SIGHUP to the programs. Programs that do not handle signals yet are skipped,
     * because any signal would terminate them.
     */
    void hangUp() {
        try {
            for (String program : programs) {
                writeSettings(fleet.directory().resolve(name + '-' + program + ".toml"));
            }
            for (ProgramProcess process : processes.values()) {
                if (process.handlesSignals()) {
                    process.signal("HUP");
                }
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Replaces the file atomically, so that a starting process does not read a partly written file. */
    private void writeSettings(Path file) throws IOException {
        Path next = file.resolveSibling(file.getFileName() + ".new");
        Files.writeString(next, UnknownSettings.addTo(settings(), fleet.settingsRandom()));
        Files.move(next, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
    }

    private void signal(String signal) {
        processes.values().forEach(process -> signal(process, signal));
    }

    private static void signal(ProgramProcess process, String signal) {
        try {
            process.signal(signal);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Kills all programs at the end of the soak; may be called on any thread once the reactor has stopped. */
    void destroy() throws InterruptedException {
        removed = true;
        for (ProgramProcess process : processes.values()) {
            process.killAndWait();
        }
    }

    private String settings() {
        int firstPort = fleet.firstPort();
        StringBuilder text = new StringBuilder("node = \"" + name + "\"\nip = \"" + ip + "\"\nzone = \"" + zone + "\"\n"
                + "portRange = [" + firstPort + ", " + (firstPort + PORT_RANGE_WIDTH) + "]\ncoldStart = " + coldStart
                + "\nperiodMs = 1000\nseeds = [");
        for (String seed : fleet.seeds()) {
            text.append('"')
                    .append(seed)
                    .append(':')
                    .append(firstPort + CONTROL_PORT_OFFSET)
                    .append("\", ");
        }
        text.append("]\n");
        if (programs.contains("store")) {
            text.append("dataDir = \"").append(disk()).append("\"\n");
        }
        text.append("[sockets]\n");
        appendSocket(text, "front", FRONT_PORT_OFFSET);
        appendSocket(text, "ready", READINESS_PORT_OFFSET);
        appendSocket(text, "control", CONTROL_PORT_OFFSET);
        text.append("[tolerance]\nmachines = 1\n[envelope]\ngraceS = ").append(GRACE_MICROS / 1_000_000);
        return text.append("\nretryRatio = 0.2\nretrySlack = 56\n").toString();
    }

    private void appendSocket(StringBuilder text, String socket, int portOffset) {
        text.append(socket + " = \"" + ip + ':' + (fleet.firstPort() + portOffset) + "\"\n");
    }
}
