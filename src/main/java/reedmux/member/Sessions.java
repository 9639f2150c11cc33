package reedmux.member;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import reedmux.fleet.Counter;

/**
 * Who holds a session, as one process knows it: with whom it has sessions itself, and what others have
 * told. A source that is lost counts on for a while, as it is more often cut off than its members are. Pure.
 */
public final class Sessions {
    private final long linger;
    private final Map<String, Told> told = new HashMap<>();
    /** By node the sessions of its links with us, which may overlap, in the order in which they began. */
    private final Map<String, List<Session>> own = new TreeMap<>();

    private final Counter counter;
    private final Numbered ownNumbered;
    private final Numbered viewNumbered;
    private View view;
    /** The view that the numbers are of. */
    private View numbered = View.of(List.of());
    /** When the next source that is lost ceases to count. */
    private long standsUntil;

    private static final class Told {
        private final Map<String, Session> sessions = new TreeMap<>();
        /** When each was told first. */
        private final Map<String, Long> at = new HashMap<>();

        private long lostAt = -1;

        private void take(Session session, long now) {
            if (!session.equals(sessions.put(session.node(), session))) {
                at.put(session.node(), now);
            }
        }

        private void drop(String node) {
            sessions.remove(node);
            at.remove(node);
        }
    }

    /**
     * One that tells others.
     *
     * @param linger how long a lost source still counts, in microseconds
     * @param counter numbers what is told
     */
    public Sessions(long linger, Counter counter) {
        this.linger = linger;
        this.counter = counter;
        ownNumbered = new Numbered(counter);
        viewNumbered = new Numbered(counter);
    }

    public Sessions(long linger) {
        this(linger, new Counter());
    }

    /** A link of a node with us stands from now on. */
    public void begin(Session session) {
        own.computeIfAbsent(session.node(), node -> new ArrayList<>(1)).add(session);
        if (ownNumbered.begin(session)) {
            view = null;
        }
    }

    /** A link has ended; another one of its node, of the same incarnation or the next, may stand. */
    public void end(Session session) {
        List<Session> links = own.get(session.node());
        if (links == null || !links.remove(session)) {
            return;
        }
        if (links.isEmpty()) {
            own.remove(session.node());
            ownNumbered.end(session.node());
            view = null;
        } else if (ownNumbered.begin(links.get(links.size() - 1))) {
            view = null;
        }
    }

    /** One session for each node that has any with us. */
    public Collection<Session> own() {
        List<Session> all = new ArrayList<>(own.size());
        for (List<Session> links : own.values()) {
            all.add(links.get(links.size() - 1));
        }
        return all;
    }

    /** A source tells how the sessions that it knows of have changed since it told last. */
    public void told(String source, Differences news, long now) {
        Told entry = told.computeIfAbsent(source, name -> new Told());
        if (news.whole()) {
            Set<String> left = new HashSet<>(entry.sessions.keySet());
            news.begun().forEach(session -> left.remove(session.node()));
            left.forEach(entry::drop);
        }
        news.begun().forEach(session -> entry.take(session, now));
        news.ended().forEach(entry::drop);
        if (!news.none() || entry.lostAt >= 0) {
            view = null;
        }
        entry.lostAt = -1;
    }

    /** A source cannot be heard any more. */
    public void lost(String source, long now) {
        Told entry = told.get(source);
        if (entry != null && entry.lostAt < 0) {
            entry.lostAt = now;
            view = null;
        }
    }

    /** A source can be heard again, and has told all up to what it will tell from now on. */
    public void found(String source) {
        Told entry = told.get(source);
        if (entry != null && entry.lostAt >= 0) {
            entry.lostAt = -1;
            view = null;
        }
    }

    /**
     * All members. A source that is lost counts until its time is over, and after that only where no other is
     * left, as somebody who is cut off from all of them has to go on with what was last known.
     */
    public View view(long now) {
        if (view != null && now <= standsUntil) {
            return view;
        }
        List<Told> standing = new ArrayList<>();
        List<Told> lost = new ArrayList<>();
        standsUntil = Long.MAX_VALUE;
        for (Told entry : told.values()) {
            if (entry.lostAt < 0) {
                standing.add(entry);
            } else if (now - entry.lostAt <= linger) {
                standing.add(entry);
                standsUntil = Math.min(standsUntil, entry.lostAt + linger);
            } else {
                lost.add(entry);
            }
        }
        List<Told> counted = standing.isEmpty() ? lost : standing;
        Map<String, Session> latest = new HashMap<>();
        Map<String, Long> at = new HashMap<>();
        for (Told entry : counted) {
            for (Session session : entry.sessions.values()) {
                long then = entry.at.get(session.node());
                if (then >= at.getOrDefault(session.node(), Long.MIN_VALUE)) {
                    at.put(session.node(), then);
                    latest.put(session.node(), session);
                }
            }
        }
        own().forEach(session -> latest.put(session.node(), session));
        view = View.of(latest.values());
        return view;
    }

    /** Numbers what has changed of the view, so that others are told. */
    public void look(long now) {
        View next = view(now);
        if (next == numbered || next.tag() == numbered.tag()) {
            return;
        }
        for (Session session : next.members()) {
            viewNumbered.begin(session);
        }
        for (Session session : numbered.members()) {
            if (next.place(session.node()) < 0) {
                viewNumbered.end(session.node());
            }
        }
        numbered = next;
    }

    /** How many nodes have a session with us. */
    public int ownSize() {
        return own.size();
    }

    /** The number of the last change. */
    public long changes() {
        return counter.last();
    }

    /** How our own sessions have changed since; for those who count them with others'. */
    public Differences ownSince(long change) {
        return ownNumbered.since(change);
    }

    /** How the view has changed since, as of the last look. */
    public Differences viewSince(long change) {
        return viewNumbered.since(change);
    }

    /** Whether no source can be heard. */
    public boolean alone() {
        return told.values().stream().allMatch(entry -> entry.lostAt >= 0);
    }
}
