package reedmux.control.session;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * The sessions reported by one other registry, and whether that registry is reachable. Uses no I/O, threads or clocks;
 * times are microseconds of the caller's clock.
 */
final class SessionSource {
    private static final long NOT_LOST = -1;
    private final Map<String, ProxySession> sessions = new TreeMap<>();
    private final Map<String, Long> firstReportedMicros = new HashMap<>();
    private long lostAtMicros = NOT_LOST;

    /** Applies the changes since the source's previous report. */
    void apply(SessionChanges changes, long now) {
        if (changes.complete()) {
            Set<String> unreported = new HashSet<>(sessions.keySet());
            changes.started().forEach(session -> unreported.remove(session.node()));
            unreported.forEach(this::remove);
        }
        changes.started().forEach(session -> put(session, now));
        changes.ended().forEach(this::remove);
    }

    private void put(ProxySession session, long now) {
        if (!session.equals(sessions.put(session.node(), session))) {
            firstReportedMicros.put(session.node(), now);
        }
    }

    private void remove(String node) {
        sessions.remove(node);
        firstReportedMicros.remove(node);
    }

    /** The sessions, in the order of their nodes' names. */
    Collection<ProxySession> sessions() {
        return sessions.values();
    }

    /** Returns when the source first reported its current session of a node; the node must have one. */
    long firstReportedMicros(String node) {
        return firstReportedMicros.get(node);
    }

    boolean isLost() {
        return lostAtMicros != NOT_LOST;
    }

    /** When the source became unreachable; only valid if {@link #isLost}. */
    long lostAtMicros() {
        return lostAtMicros;
    }

    void markLost(long now) {
        lostAtMicros = now;
    }

    void markReachable() {
        lostAtMicros = NOT_LOST;
    }
}
