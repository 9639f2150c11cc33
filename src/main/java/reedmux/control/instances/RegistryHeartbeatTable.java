package reedmux.control.instances;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;

/**
 * The heartbeat counters of the registry processes that this process knows, directly or through others. Only an
 * increased counter proves that a process is alive, so a heartbeat that is forwarded in a cycle does not keep a process
 * alive. Uses no I/O, threads or clocks; times are microseconds of the caller's clock.
 */
final class RegistryHeartbeatTable {
    /** Heartbeats are forwarded for processes whose counter increased within this time: three heartbeat intervals. */
    private static final long FORWARD_WINDOW_MICROS = 3_000_000;

    private final long localProcessId;
    private final Map<Long, RegistryProcess> processes = new HashMap<>();

    /** One registry process. */
    static final class RegistryProcess {
        private final long id;
        private long heartbeatCount;
        private long lastAdvanceMicros;

        private RegistryProcess(long id, long now) {
            this.id = id;
            this.lastAdvanceMicros = now;
        }

        long id() {
            return id;
        }

        /** When the counter last increased, or when the process became known. */
        long lastAdvanceMicros() {
            return lastAdvanceMicros;
        }
    }

    RegistryHeartbeatTable(long localProcessId) {
        this.localProcessId = localProcessId;
    }

    /** Returns the process with the given id, and adds it if it is unknown. */
    RegistryProcess process(long id, long now) {
        RegistryProcess process = processes.get(id);
        if (process == null) {
            process = new RegistryProcess(id, now);
            processes.put(id, process);
        }
        return process;
    }

    void onHeartbeat(RegistryHeartbeat heartbeat, long now) {
        RegistryProcess process = process(heartbeat.processId(), now);
        if (heartbeat.count() > process.heartbeatCount) {
            process.heartbeatCount = heartbeat.count();
            process.lastAdvanceMicros = now;
        }
    }

    /** Increments the counter of this process; returns its heartbeat, followed by the heartbeats to forward. */
    List<RegistryHeartbeat> nextHeartbeats(long now) {
        RegistryProcess local = process(localProcessId, now);
        local.heartbeatCount++;
        List<RegistryHeartbeat> heartbeats = new ArrayList<>();
        heartbeats.add(new RegistryHeartbeat(localProcessId, local.heartbeatCount));
        for (Iterator<RegistryProcess> iterator = processes.values().iterator(); iterator.hasNext(); ) {
            RegistryProcess process = iterator.next();
            if (process == local) {
                continue;
            }
            long sinceAdvance = now - process.lastAdvanceMicros;
            if (sinceAdvance <= FORWARD_WINDOW_MICROS) {
                heartbeats.add(new RegistryHeartbeat(process.id, process.heartbeatCount));
            } else if (sinceAdvance > InstanceDirectory.RETENTION_MICROS) {
                iterator.remove();
            }
        }
        return heartbeats;
    }
}
