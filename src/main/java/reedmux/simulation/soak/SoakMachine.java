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
import java.util.stream.Stream;
import reedmux.common.eventloop.Reactor;

/**
 * A machine of the soak: an address of the loopback network with one or two programs, which are started again whenever
 * they end, as the platform does. For the reactor's thread.
 */
final class SoakMachine {
    static final int FRONT_PORT_OFFSET = 21;
    static final int READINESS_PORT_OFFSET = 22;
    static final int CONTROL_PORT_OFFSET = 20;
    static final long GRACE_MICROS = 6_000_000;
    /** The platform is late, too; beyond that a process counts as one that does not end. */
    private static final long GRACE_TOLERANCE_MICROS = 1_500_000;

    private static final int PORT_RANGE_WIDTH = 10;
    private static final long RESTART_DELAY_MICROS = 300_000;

    /** What all machines of a soak share. */
    interface Fleet {

        Reactor reactor();

        int firstPort();

        Path directory();

        /** The addresses of the seeds, as the settings of a start have them. */
        List<String> seeds();

        void onViolation(String violation);

        void onStarted();

        /** A machine is killed or held up from one time to another, in microseconds. */
        void onMachineFault(SoakMachine machine, long from, long until);
    }

    private final Fleet fleet;
    private final String name;
    private final String ip;
    private final String zone;
    private final List<String> programs;
    private final Map<String, ProgramProcess> processes = new LinkedHashMap<>();
    /** Whether the whole system starts for the first time. */
    private boolean coldStart;

    private boolean removed;

    /** Whether its disk is lost before the next start. */
    private boolean diskLost;

    private long faultUntil;
    /** Until when the machine that the soak runs on gave it no processor. */
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

    /** Whether it was killed or held up so lately that clients may have noticed. */
    boolean isFaulty(long since) {
        return faultUntil >= since;
    }

    /** Until when clients may notice an unplanned fault of this machine. */
    void noteFault(long until) {
        faultUntil = Math.max(faultUntil, until);
        fleet.onMachineFault(this, fleet.reactor().now(), until);
    }

    /** It got no processor until a time, so that it may end late; clients are owed what they are owed all the same. */
    void noteStall(long until) {
        stalledUntil = Math.max(stalledUntil, until);
    }

    Path outputOf(String program) {
        return fleet.directory().resolve(name + '-' + program + ".log");
    }

    List<String> programs() {
        return programs;
    }

    /** The processes that run now. */
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
            fleet.reactor().scheduleAfter(RESTART_DELAY_MICROS, () -> start(program)); // it still uses the disk
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
            fleet.onViolation("FAULT: " + name + '/' + program + " ends by itself with " + code);
        }
        fleet.reactor().scheduleAfter(RESTART_DELAY_MICROS, () -> {
            if (processes.get(program) == process) {
                start(program);
            }
        });
    }

    /** Sends SIGTERM; who has not ended within the grace period is killed, and reported. */
    void terminate() {
        processes.values().forEach(ProgramProcess::expectEnd);
        signal("TERM");
        List<ProgramProcess> signalled = List.copyOf(processes.values());
        long signalledAt = fleet.reactor().now();
        fleet.reactor().scheduleAfter(GRACE_MICROS + GRACE_TOLERANCE_MICROS, () -> {
            boolean overdue = signalled.stream().anyMatch(ProgramProcess::isAlive);
            if (overdue && !isFaulty(signalledAt) && stalledUntil < signalledAt) {
                fleet.onViolation("GRACE: " + name + " still runs long after SIGTERM");
            }
            signalled.stream().filter(ProgramProcess::isAlive).forEach(process -> signal(process, "KILL"));
        });
    }

    /** Kills its programs without notice. */
    void kill() {
        processes.values().forEach(ProgramProcess::expectEnd);
        noteFault(fleet.reactor().now() + RESTART_DELAY_MICROS);
        signal("KILL");
    }

    /** Kills its programs; when they start again the disk is empty. */
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

    /** Ends it for good. */
    void remove(boolean planned) {
        removed = true;
        if (planned) {
            terminate();
        } else {
            kill();
        }
    }

    /** Holds its programs up for a while. */
    void pause(long micros) {
        pause(List.copyOf(processes.values()), micros);
    }

    /** Holds one of its programs up for a while. */
    void pause(String program, long micros) {
        pause(List.of(processes.get(program)), micros);
    }

    private void pause(List<ProgramProcess> paused, long micros) {
        noteFault(fleet.reactor().now() + micros);
        paused.forEach(process -> signal(process, "STOP"));
        fleet.reactor().scheduleAfter(micros, () -> paused.forEach(process -> signal(process, "CONT")));
    }

    /** The settings have changed: tells the programs, but for those that end at any signal as they just begin. */
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

    /** Replaces the file at once, so that a process that starts doesn't read a part of it. */
    private void writeSettings(Path file) throws IOException {
        Path next = file.resolveSibling(file.getFileName() + ".new");
        Files.writeString(next, settings());
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

    /** Ends its programs at the end of the soak; for any thread once the reactor has stopped. */
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
