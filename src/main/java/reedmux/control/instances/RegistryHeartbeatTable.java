package reedmux.control.instances;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;

/**
 * The registry processes that this one has heard of, directly or from others, with their heartbeat counters. Only a
 * counter that has risen shows that a process is alive, so forwarding a heartbeat in circles keeps no process alive.
 * Pure; times are microseconds of the caller's clock.
 */
final class RegistryHeartbeatTable {
    /** Heartbeats of processes whose counter rose within this are forwarded: three intervals. */
    private static final long FORWARD_WINDOW_MICROS = 3_000_000;

    private final long localProcessId;
    private final Map<Long, RegistryProcess> processes = new HashMap<>();

    /** One process of a registry. */
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

        /** When the counter rose last, or when the process was first heard of. */
        long lastAdvanceMicros() {
            return lastAdvanceMicros;
        }
    }

    RegistryHeartbeatTable(long localProcessId) {
        this.localProcessId = localProcessId;
    }

    /** Returns a process, which is added if it was not known. */
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

    /** Counts on for this process; returns its heartbeat, and behind it the ones to forward. */
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
            long silence = now - process.lastAdvanceMicros;
            if (silence <= FORWARD_WINDOW_MICROS) {
                heartbeats.add(new RegistryHeartbeat(process.id, process.heartbeatCount));
            } else if (silence > InstanceDirectory.RETENTION_MICROS) {
                iterator.remove();
            }
        }
        return heartbeats;
    }
}
