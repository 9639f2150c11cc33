package reedmux.control.session;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/** The sessions that one other registry has reported, and whether that registry can be reached. Pure. */
final class SessionSource {
    private static final long NOT_LOST = -1;
    private final Map<String, ProxySession> sessions = new TreeMap<>();
    private final Map<String, Long> firstReportedMicros = new HashMap<>();
    private long lostAtMicros = NOT_LOST;

    /** Applies the changes since the last report. */
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

    /** When the source first reported the session that it has for a node; there has to be one. */
    long firstReportedMicros(String node) {
        return firstReportedMicros.get(node);
    }

    boolean isLost() {
        return lostAtMicros != NOT_LOST;
    }

    /** When the source was lost, if it is. */
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
