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
    /** By node the sessions of its links with us, which may overlap, in the order in which they began. */
    private final Map<String, List<Session>> own = new TreeMap<>();
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

    /** A link of a node with us stands from now on. */
    public void begin(Session session) {
        Session before = newest(session.node());
        own.computeIfAbsent(session.node(), node -> new ArrayList<>(1)).add(session);
        changes += session.equals(before) ? 0 : 1;
    }

    /** A link has ended; another one of its node, of the same incarnation or the next, may stand. */
    public void end(Session session) {
        List<Session> links = own.get(session.node());
        Session before = newest(session.node());
        if (links != null && links.remove(session)) {
            if (links.isEmpty()) {
                own.remove(session.node());
            }
            changes += before.equals(newest(session.node())) ? 0 : 1;
        }
    }

    /** The session that began last of those that a node has, or null. */
    private Session newest(String node) {
        List<Session> links = own.get(node);
        return links == null ? null : links.get(links.size() - 1);
    }

    /** One session for each node that has any with us. */
    public Collection<Session> own() {
        List<Session> all = new ArrayList<>(own.size());
        for (List<Session> links : own.values()) {
            all.add(links.get(links.size() - 1));
        }
        return all;
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
        all.addAll(own());
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
