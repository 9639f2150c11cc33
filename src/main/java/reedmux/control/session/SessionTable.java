package reedmux.control.session;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import reedmux.control.changes.ChangeCounter;

/**
 * The proxy sessions that one process knows. A registry has local sessions, with the proxies that are connected to it,
 * and sessions reported by other registries; a proxy has only reported ones. The {@link SessionView} combines both.
 *
 * <ul>
 *   <li>A session starts when a connection is established, and ends with the last connection of its node.
 *   <li>If sources report different incarnations of a node, the one with the latest first report takes precedence. A
 *       local session takes precedence over any reported one.
 *   <li>The sessions of an unreachable source remain in effect for a grace period, because a network partition from the
 *       source is more likely than the loss of its proxies. After the grace period they are in effect only if all
 *       sources have been unreachable for longer than it: a process that is partitioned from all sources continues with
 *       the last known sessions.
 * </ul>
 *
 * <p>The process's {@link ChangeCounter} numbers the changes. Changes of local sessions and changes of the view are
 * logged separately. Uses no I/O, threads or clocks; times are microseconds of the caller's clock. Not thread-safe.
 */
public final class SessionTable {
    private final long lostSourceGraceMicros;
    private final Map<String, SessionSource> sources = new HashMap<>();
    /**
     * The sessions of the open connections, by node. Connections of one node may overlap; they are in the order in
     * which they were established.
     */
    private final Map<String, List<ProxySession>> localSessions = new TreeMap<>();

    private final ChangeCounter counter;
    private final SessionChangeLog localChanges;
    private final SessionChangeLog viewChanges;
    /** The cached view; null after a change. */
    private SessionView view;
    /**
     * Until when the cached view is valid without further changes: the end of the next grace period of a lost source.
     */
    private long viewValidUntilMicros;
    /** The view whose changes were last recorded in {@link #viewChanges}. */
    private SessionView recordedView = SessionView.of(List.of());

    /**
     * Creates a table whose changes are pulled by other processes.
     *
     * @param lostSourceGraceMicros how long the sessions of an unreachable source remain in effect
     * @param counter assigns the change numbers
     */
    public SessionTable(long lostSourceGraceMicros, ChangeCounter counter) {
        this.lostSourceGraceMicros = lostSourceGraceMicros;
        this.counter = counter;
        localChanges = new SessionChangeLog(counter);
        viewChanges = new SessionChangeLog(counter);
    }

    /**
     * Creates a table whose changes are not pulled by other processes.
     *
     * @param lostSourceGraceMicros how long the sessions of an unreachable source remain in effect
     */
    public SessionTable(long lostSourceGraceMicros) {
        this(lostSourceGraceMicros, new ChangeCounter());
    }

    // ---- Local sessions -----------------------------------------------------------------------------

    /** Adds the session of a connection that a proxy has established. */
    public void start(ProxySession session) {
        localSessions
                .computeIfAbsent(session.node(), node -> new ArrayList<>(1))
                .add(session);
        if (localChanges.start(session)) {
            view = null;
        }
    }

    /** Removes the session of a closed connection. The node may have other connections, of any incarnation. */
    public void end(ProxySession session) {
        List<ProxySession> connections = localSessions.get(session.node());
        if (connections == null || !connections.remove(session)) {
            return;
        }
        if (connections.isEmpty()) {
            localSessions.remove(session.node());
            localChanges.end(session.node());
            view = null;
        } else if (localChanges.start(latest(connections))) {
            view = null;
        }
    }

    private static ProxySession latest(List<ProxySession> connections) {
        return connections.get(connections.size() - 1);
    }

    /** Returns the session of the latest connection of each connected node. */
    public Collection<ProxySession> localSessions() {
        List<ProxySession> sessions = new ArrayList<>(localSessions.size());
        for (List<ProxySession> connections : localSessions.values()) {
            sessions.add(latest(connections));
        }
        return sessions;
    }

    /** The number of connected nodes. */
    public int localSessionCount() {
        return localSessions.size();
    }

    // ---- Reported sessions --------------------------------------------------------------------------

    /** Applies the changes that a source has reported since its previous report, and marks the source as reachable. */
    public void merge(String source, SessionChanges changes, long now) {
        SessionSource entry = sources.computeIfAbsent(source, name -> new SessionSource());
        entry.apply(changes, now);
        if (!changes.isEmpty() || entry.isLost()) {
            view = null;
        }
        entry.markReachable();
    }

    /** Marks a source as unreachable; its grace period starts. */
    public void onSourceLost(String source, long now) {
        SessionSource entry = sources.get(source);
        if (entry != null && !entry.isLost()) {
            entry.markLost(now);
            view = null;
        }
    }

    /** Marks a source as reachable again in the same incarnation, so the sessions it reported are still valid. */
    public void onSourceRestored(String source) {
        SessionSource entry = sources.get(source);
        if (entry != null && entry.isLost()) {
            entry.markReachable();
            view = null;
        }
    }

    /** Whether no source is reachable. */
    public boolean isIsolated() {
        return sources.values().stream().allMatch(SessionSource::isLost);
    }

    // ---- View ---------------------------------------------------------------------------------------

    /** Returns the view of all sessions in effect at the given time. */
    public SessionView view(long now) {
        if (view == null || now > viewValidUntilMicros) {
            Map<String, ProxySession> sessions = mergeReported(sourcesInEffect(now));
            localSessions().forEach(session -> sessions.put(session.node(), session));
            view = SessionView.of(sessions.values());
        }
        return view;
    }

    /** Returns the sources whose sessions are in effect, and updates {@link #viewValidUntilMicros}. */
    private List<SessionSource> sourcesInEffect(long now) {
        List<SessionSource> inEffect = new ArrayList<>();
        List<SessionSource> expired = new ArrayList<>();
        viewValidUntilMicros = Long.MAX_VALUE;
        for (SessionSource source : sources.values()) {
            if (!source.isLost()) {
                inEffect.add(source);
            } else if (now - source.lostAtMicros() <= lostSourceGraceMicros) {
                inEffect.add(source);
                viewValidUntilMicros = Math.min(viewValidUntilMicros, source.lostAtMicros() + lostSourceGraceMicros);
            } else {
                expired.add(source);
            }
        }
        return inEffect.isEmpty() ? expired : inEffect;
    }

    /** Returns the session of each node with the latest first report. */
    private static Map<String, ProxySession> mergeReported(List<SessionSource> sourcesInEffect) {
        Map<String, ProxySession> latest = new HashMap<>();
        Map<String, Long> reportedMicros = new HashMap<>();
        for (SessionSource source : sourcesInEffect) {
            for (ProxySession session : source.sessions()) {
                long reported = source.firstReportedMicros(session.node());
                if (reported >= reportedMicros.getOrDefault(session.node(), Long.MIN_VALUE)) {
                    reportedMicros.put(session.node(), reported);
                    latest.put(session.node(), session);
                }
            }
        }
        return latest;
    }

    // ---- Changes ------------------------------------------------------------------------------------

    /** Records the changes of the view since the last call, for {@link #viewChangesSince}. */
    public void recordViewChanges(long now) {
        SessionView next = view(now);
        if (next == recordedView || next.digest() == recordedView.digest()) {
            return;
        }
        for (ProxySession session : next.members()) {
            viewChanges.start(session);
        }
        for (ProxySession session : recordedView.members()) {
            if (next.indexOf(session.node()) < 0) {
                viewChanges.end(session.node());
            }
        }
        recordedView = next;
    }

    /** The number of the last change. */
    public long lastChange() {
        return counter.last();
    }

    /** Returns the changes of the local sessions after a change, for readers that merge them with other registries'. */
    public SessionChanges localChangesSince(long change) {
        return localChanges.changesSince(change);
    }

    /** Returns the changes of the view after a change, as of the last call of {@link #recordViewChanges}. */
    public SessionChanges viewChangesSince(long change) {
        return viewChanges.changesSince(change);
    }
}
