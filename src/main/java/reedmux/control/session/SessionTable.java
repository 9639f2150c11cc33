package reedmux.control.session;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import reedmux.control.changes.ChangeCounter;

/**
 * Which proxies hold a session, as one process knows it. A registry has sessions of its own, with the proxies that are
 * connected to it, and those that other registries report; a proxy has only reported ones. Both together are the
 * {@link SessionView}.
 *
 * <ul>
 *   <li>A session starts with a connection and ends with the last connection of its node.
 *   <li>Where sources report different incarnations of a node, the one that was first reported last counts; a session
 *       of our own counts before any reported one.
 *   <li>The sessions of a source that cannot be reached count for a grace period, as the source is more often
 *       partitioned than its proxies are gone. After that they count only as long as no source can be reached: a
 *       process that is partitioned from all of them goes on with what it knew last.
 * </ul>
 *
 * <p>Changes are numbered by the process's {@link ChangeCounter}, those of its own sessions and those of the view
 * separately. Pure; times are microseconds of the caller's clock. Not thread-safe.
 */
public final class SessionTable {
    private final long lostSourceGraceMicros;
    private final Map<String, SessionSource> sources = new HashMap<>();
    /** By node; the connections of one node may overlap, and are in the order in which they were established. */
    private final Map<String, List<ProxySession>> localSessions = new TreeMap<>();

    private final ChangeCounter counter;
    private final SessionChangeLog localChanges;
    private final SessionChangeLog viewChanges;
    /** Null after a change. */
    private SessionView view;
    /** Until when the view is right if nothing changes: the next lost source's grace period ends then. */
    private long viewValidUntilMicros;
    /** The view whose changes were numbered last. */
    private SessionView recordedView = SessionView.of(List.of());

    /**
     * Creates a table whose changes others pull.
     *
     * @param lostSourceGraceMicros how long the sessions of a lost source still count
     * @param counter numbers the changes
     */
    public SessionTable(long lostSourceGraceMicros, ChangeCounter counter) {
        this.lostSourceGraceMicros = lostSourceGraceMicros;
        this.counter = counter;
        localChanges = new SessionChangeLog(counter);
        viewChanges = new SessionChangeLog(counter);
    }

    /**
     * Creates a table that nobody pulls from.
     *
     * @param lostSourceGraceMicros how long the sessions of a lost source still count
     */
    public SessionTable(long lostSourceGraceMicros) {
        this(lostSourceGraceMicros, new ChangeCounter());
    }

    // ---- Local sessions -----------------------------------------------------------------------------

    /** A connection of a proxy is established. */
    public void start(ProxySession session) {
        localSessions
                .computeIfAbsent(session.node(), node -> new ArrayList<>(1))
                .add(session);
        if (localChanges.start(session)) {
            view = null;
        }
    }

    /** A connection has ended; the node may have others, of the same incarnation or of another one. */
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

    /** Returns one session for each connected node: that of its latest connection. */
    public Collection<ProxySession> localSessions() {
        List<ProxySession> sessions = new ArrayList<>(localSessions.size());
        for (List<ProxySession> connections : localSessions.values()) {
            sessions.add(latest(connections));
        }
        return sessions;
    }

    /** How many nodes are connected. */
    public int localSessionCount() {
        return localSessions.size();
    }

    // ---- Reported sessions --------------------------------------------------------------------------

    /** Applies what a source reports to have changed since its last report; the source can be reached. */
    public void merge(String source, SessionChanges changes, long now) {
        SessionSource entry = sources.computeIfAbsent(source, name -> new SessionSource());
        entry.apply(changes, now);
        if (!changes.isEmpty() || entry.isLost()) {
            view = null;
        }
        entry.markReachable();
    }

    /** A source cannot be reached any more. */
    public void onSourceLost(String source, long now) {
        SessionSource entry = sources.get(source);
        if (entry != null && !entry.isLost()) {
            entry.markLost(now);
            view = null;
        }
    }

    /** A source can be reached again in the same incarnation, so what it has reported is still right. */
    public void onSourceRestored(String source) {
        SessionSource entry = sources.get(source);
        if (entry != null && entry.isLost()) {
            entry.markReachable();
            view = null;
        }
    }

    /** Whether no source can be reached. */
    public boolean isIsolated() {
        return sources.values().stream().allMatch(SessionSource::isLost);
    }

    // ---- View ---------------------------------------------------------------------------------------

    /** Returns the view of all sessions that count at a time. */
    public SessionView view(long now) {
        if (view == null || now > viewValidUntilMicros) {
            Map<String, ProxySession> sessions = mergeReported(sourcesInEffect(now));
            localSessions().forEach(session -> sessions.put(session.node(), session));
            view = SessionView.of(sessions.values());
        }
        return view;
    }

    /** Returns the sources whose sessions count, and sets until when that holds. */
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

    /** Returns for each node the session that was first reported last. */
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

    /** Numbers the changes of the view since the last call, so that {@link #viewChangesSince} has them. */
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

    /** Returns how our own sessions have changed behind a change, for those who merge them with others'. */
    public SessionChanges localChangesSince(long change) {
        return localChanges.changesSince(change);
    }

    /** Returns how the view has changed behind a change, as of the last {@link #recordViewChanges}. */
    public SessionChanges viewChangesSince(long change) {
        return viewChanges.changesSince(change);
    }
}
