package reedmux.member;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Who holds a session, as one process knows it: with whom it has sessions itself, and what others have
 * told. A source that is lost counts on for a while, as it is more often cut off than its members are. Pure.
 */
public final class Sessions {
    private final long linger;
    private final Map<String, Told> told = new HashMap<>();
    private final Map<String, Session> own = new TreeMap<>();
    private long changes;
    private long seen;

    private static final class Told {
        private List<Session> sessions = List.of();
        private long lostAt = -1;
        private long at;
    }

    /** {@code linger}: how long a lost source still counts, in microseconds. */
    public Sessions(long linger) {
        this.linger = linger;
    }

    /** A node has a session with us from now on. */
    public void begin(Session session) {
        own.put(session.node(), session);
        changes++;
    }

    /** A session has ended, unless a newer one has taken its place. */
    public void end(Session session) {
        if (session.equals(own.get(session.node()))) {
            own.remove(session.node());
            changes++;
        }
    }

    public Collection<Session> own() {
        return own.values();
    }

    /** A source tells all the sessions that it knows of. */
    public void told(String source, Collection<Session> sessions, long now) {
        Told entry = told.computeIfAbsent(source, name -> new Told());
        List<Session> before = entry.lostAt < 0 ? entry.sessions : null;
        entry.sessions = List.copyOf(sessions);
        entry.lostAt = -1;
        entry.at = now;
        changes += entry.sessions.equals(before) ? 0 : 1;
    }

    /** A source cannot be heard any more. */
    public void lost(String source, long now) {
        Told entry = told.get(source);
        if (entry != null && entry.lostAt < 0) {
            entry.lostAt = now;
        }
    }

    /**
     * All members. A source that is lost counts until its time is over, and after that only where no other is
     * left, as somebody who is cut off from all of them has to go on with what was last known.
     */
    public View view(long now) {
        List<Told> standing = new ArrayList<>();
        List<Told> lost = new ArrayList<>();
        told.values().forEach(entry -> (entry.lostAt < 0 || now - entry.lostAt <= linger ? standing : lost)
                .add(entry));
        List<Told> counted = standing.isEmpty() ? lost : standing;
        counted.sort((one, other) -> Long.compare(one.at, other.at));
        List<Session> all = new ArrayList<>();
        counted.forEach(entry -> all.addAll(entry.sessions));
        all.addAll(own.values());
        return View.of(all);
    }

    /** Takes note of members whose time has run out, so that others are told. */
    public void look(long now) {
        long tag = view(now).tag();
        changes += tag == seen ? 0 : 1;
        seen = tag;
    }

    /** Whether no source can be heard. */
    public boolean alone() {
        return told.values().stream().allMatch(entry -> entry.lostAt >= 0);
    }

    /** Rises with each change of what is told to others. */
    public long changes() {
        return changes;
    }
}
