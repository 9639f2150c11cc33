package reedmux.control.session;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import reedmux.control.changes.ChangeCounter;

/**
 * Who holds a session, as one process knows it: with whom it has sessions itself, and what others have
 * told. A source that is lost counts on for a while, as it is more often cut off than its members are. Pure.
 */
public final class SessionTable {
    private final long lostSourceGraceMicros;
    private final Map<String, SessionSource> sources = new HashMap<>();
    /** By node the sessions of its links with us, which may overlap, in the order in which they began. */
    private final Map<String, List<ProxySession>> localSessions = new TreeMap<>();

    private final ChangeCounter counter;
    private final SessionChangeLog localChanges;
    private final SessionChangeLog viewChanges;
    private SessionView view;
    /** The view that the numbers are of. */
    private SessionView recordedView = SessionView.of(List.of());
    /** When the next source that is lost ceases to count. */
    private long viewValidUntilMicros;

    private static final class SessionSource {
        private final Map<String, ProxySession> sessions = new TreeMap<>();
        /** When each was told first. */
        private final Map<String, Long> firstReportedMicros = new HashMap<>();

        private long lostAtMicros = -1;

        private void put(ProxySession session, long now) {
            if (!session.equals(sessions.put(session.node(), session))) {
                firstReportedMicros.put(session.node(), now);
            }
        }

        private void remove(String node) {
            sessions.remove(node);
            firstReportedMicros.remove(node);
        }
    }

    /**
     * One that tells others.
     *
     * @param linger how long a lost source still counts, in microseconds
     * @param counter numbers what is told
     */
    public SessionTable(long linger, ChangeCounter counter) {
        this.lostSourceGraceMicros = linger;
        this.counter = counter;
        localChanges = new SessionChangeLog(counter);
        viewChanges = new SessionChangeLog(counter);
    }

    public SessionTable(long linger) {
        this(linger, new ChangeCounter());
    }

    /** A link of a node with us stands from now on. */
    public void start(ProxySession session) {
        localSessions
                .computeIfAbsent(session.node(), node -> new ArrayList<>(1))
                .add(session);
        if (localChanges.start(session)) {
            view = null;
        }
    }

    /** A link has ended; another one of its node, of the same incarnation or the next, may stand. */
    public void end(ProxySession session) {
        List<ProxySession> links = localSessions.get(session.node());
        if (links == null || !links.remove(session)) {
            return;
        }
        if (links.isEmpty()) {
            localSessions.remove(session.node());
            localChanges.end(session.node());
            view = null;
        } else if (localChanges.start(links.get(links.size() - 1))) {
            view = null;
        }
    }

    /** One session for each node that has any with us. */
    public Collection<ProxySession> localSessions() {
        List<ProxySession> all = new ArrayList<>(localSessions.size());
        for (List<ProxySession> links : localSessions.values()) {
            all.add(links.get(links.size() - 1));
        }
        return all;
    }

    /** A source tells how the sessions that it knows of have changed since it told last. */
    public void merge(String source, SessionChanges news, long now) {
        SessionSource entry = sources.computeIfAbsent(source, name -> new SessionSource());
        if (news.complete()) {
            Set<String> left = new HashSet<>(entry.sessions.keySet());
            news.started().forEach(session -> left.remove(session.node()));
            left.forEach(entry::remove);
        }
        news.started().forEach(session -> entry.put(session, now));
        news.ended().forEach(entry::remove);
        if (!news.isEmpty() || entry.lostAtMicros >= 0) {
            view = null;
        }
        entry.lostAtMicros = -1;
    }

    /** A source cannot be heard any more. */
    public void onSourceLost(String source, long now) {
        SessionSource entry = sources.get(source);
        if (entry != null && entry.lostAtMicros < 0) {
            entry.lostAtMicros = now;
            view = null;
        }
    }

    /** A source can be heard again, and has told all up to what it will tell from now on. */
    public void onSourceRestored(String source) {
        SessionSource entry = sources.get(source);
        if (entry != null && entry.lostAtMicros >= 0) {
            entry.lostAtMicros = -1;
            view = null;
        }
    }

    /**
     * All members. A source that is lost counts until its time is over, and after that only where no other is
     * left, as somebody who is cut off from all of them has to go on with what was last known.
     */
    public SessionView view(long now) {
        if (view != null && now <= viewValidUntilMicros) {
            return view;
        }
        List<SessionSource> standing = new ArrayList<>();
        List<SessionSource> lost = new ArrayList<>();
        viewValidUntilMicros = Long.MAX_VALUE;
        for (SessionSource entry : sources.values()) {
            if (entry.lostAtMicros < 0) {
                standing.add(entry);
            } else if (now - entry.lostAtMicros <= lostSourceGraceMicros) {
                standing.add(entry);
                viewValidUntilMicros = Math.min(viewValidUntilMicros, entry.lostAtMicros + lostSourceGraceMicros);
            } else {
                lost.add(entry);
            }
        }
        List<SessionSource> counted = standing.isEmpty() ? lost : standing;
        Map<String, ProxySession> latest = new HashMap<>();
        Map<String, Long> at = new HashMap<>();
        for (SessionSource entry : counted) {
            for (ProxySession session : entry.sessions.values()) {
                long then = entry.firstReportedMicros.get(session.node());
                if (then >= at.getOrDefault(session.node(), Long.MIN_VALUE)) {
                    at.put(session.node(), then);
                    latest.put(session.node(), session);
                }
            }
        }
        localSessions().forEach(session -> latest.put(session.node(), session));
        view = SessionView.of(latest.values());
        return view;
    }

    /** Numbers what has changed of the view, so that others are told. */
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

    /** How many nodes have a session with us. */
    public int localSessionCount() {
        return localSessions.size();
    }

    /** The number of the last change. */
    public long lastChange() {
        return counter.last();
    }

    /** How our own sessions have changed since; for those who count them with others'. */
    public SessionChanges localChangesSince(long change) {
        return localChanges.changesSince(change);
    }

    /** How the view has changed since, as of the last look. */
    public SessionChanges viewChangesSince(long change) {
        return viewChanges.changesSince(change);
    }

    /** Whether no source can be heard. */
    public boolean isIsolated() {
        return sources.values().stream().allMatch(entry -> entry.lostAtMicros >= 0);
    }
}
