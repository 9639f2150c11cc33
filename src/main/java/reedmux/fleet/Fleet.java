package reedmux.fleet;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The lives of all checkers, as one process knows them. The phase of a life is a ratchet: ready, draining,
 * gone, whoever tells of it and in whatever order. Pure; times are microseconds that the caller tells.
 */
public final class Fleet {
    private static final long MILLI = 1000;
    /** Lives that have ended are remembered for so long, so that nothing late brings them back. */
    private static final long REMEMBERED = 600_000_000;
    /** Who has called within this still has its address, whoever else says so: over two usual periods. */
    private static final long OWNER = 4_000_000;

    /** One life here. */
    private static final class Entry {
        private Incarnation life;
        private long heardAt;
        private long coldUntil;
        private final Recent.Node<Entry> place = new Recent.Node<>(this);
    }

    private final Map<String, Entry> entries = new LinkedHashMap<>();
    private final Map<String, String> byAddress = new HashMap<>();
    private final Recent<Entry> recent = new Recent<>();
    private final Counter counter;

    /** Whose changes have the numbers of a row that others share. */
    public Fleet(Counter counter) {
        this.counter = counter;
    }

    public Fleet() {
        this(new Counter());
    }

    private void changed(Entry entry) {
        recent.changed(entry.place, counter.next());
    }

    /**
     * Takes in a checker's own call: with it, it holds its address. Returns whether there was any news in it
     * for others.
     */
    public boolean called(Incarnation told, long now) {
        boolean news = merge(told, now);
        return takeAddress(entries.get(told.id()).life, now) | news;
    }

    /** Takes in what somebody else tells; returns whether there was any news in it for others. */
    public boolean merge(Incarnation told, long now) {
        Entry entry = entries.get(told.id());
        if (entry == null) {
            entry = new Entry();
            entries.put(told.id(), entry);
            entry.life = told;
            entry.heardAt = now;
            entry.coldUntil = now + told.coldMs() * MILLI;
            changed(entry);
            if (told.phase() != Incarnation.GONE) {
                byAddress.putIfAbsent(told.address(), told.id());
            }
            return true;
        }
        Incarnation had = entry.life;
        boolean newer = told.seq() > had.seq();
        Incarnation base = newer ? told : had;
        if (newer) {
            entry.heardAt = now;
            entry.coldUntil = now + told.coldMs() * MILLI;
        }
        int phase = Math.max(had.phase(), told.phase());
        boolean silent = told.seq() >= had.seq() ? told.silent() : had.silent();
        entry.life = base.with(phase, silent, 0);
        boolean news = phase != had.phase() || silent != had.silent() || !base.address().equals(had.address())
                || base.capacity() != had.capacity();
        if (news) {
            changed(entry);
        }
        return news;
    }

    /**
     * An address has one incarnation at a time: who had it before and has not called for a while is gone. By
     * its own calls alone: what others tell comes in any order, and must not end one that lives for one that
     * had its address before.
     */
    private boolean takeAddress(Incarnation holder, long now) {
        if (holder.phase() == Incarnation.GONE) {
            return false;
        }
        String before = byAddress.get(holder.address());
        Entry old = before == null || before.equals(holder.id()) ? null : entries.get(before);
        if (old != null && old.life.phase() != Incarnation.GONE && now - old.heardAt <= OWNER) {
            return false;
        }
        byAddress.put(holder.address(), holder.id());
        if (old == null || old.life.phase() == Incarnation.GONE) {
            return false;
        }
        old.life = old.life.with(Incarnation.GONE, old.life.silent(), 0);
        changed(old);
        return true;
    }

    /** It has been heard of at that time by somebody. */
    public void heard(String id, long seq, long at) {
        Entry entry = entries.get(id);
        if (entry != null) {
            entry.heardAt = Math.max(entry.heardAt, at);
            if (seq > entry.life.seq()) {
                Incarnation life = entry.life;
                entry.life = new Incarnation(id, life.plant(), life.address(), life.zone(), life.capacity(),
                        life.phase(), seq, 0, life.silent());
            }
            if (entry.life.silent()) {
                entry.life = entry.life.with(entry.life.phase(), false, 0);
                changed(entry);
            }
        }
    }

    /** Notes who has not been heard of for {@code silence}, and forgets whose end is long ago. */
    public void sweep(long now, long silence) {
        for (Iterator<Entry> all = entries.values().iterator(); all.hasNext();) {
            Entry entry = all.next();
            if (entry.life.phase() == Incarnation.GONE && now - entry.heardAt > REMEMBERED) {
                all.remove();
                recent.remove(entry.place);
                byAddress.remove(entry.life.address(), entry.life.id());
            }
        }
        for (Entry entry : entries.values()) {
            if (!entry.life.silent() && entry.life.phase() != Incarnation.GONE && now - entry.heardAt >
                    silence) {
                entry.life = entry.life.with(entry.life.phase(), true, 0);
                changed(entry);
            }
        }
    }

    public Incarnation get(String id, long now) {
        Entry entry = entries.get(id);
        return entry == null ? null : told(entry, now);
    }

    private static Incarnation told(Entry entry, long now) {
        return entry.life.with(entry.life.phase(), entry.life.silent(),
                Math.max(0, (entry.coldUntil - now) / MILLI));
    }

    /** The number of the last change. */
    public long changes() {
        return recent.last();
    }

    /** What has changed since. */
    public List<Incarnation> since(long change, long now) {
        List<Incarnation> news = new ArrayList<>();
        for (Recent.Node<Entry> at = recent.firstSince(change); at != null; at = recent.after(at)) {
            news.add(told(at.thing(), now));
        }
        return news;
    }

    public Collection<Incarnation> all(long now) {
        return since(0, now);
    }

    /** Who was heard of in the last while, with the number of the call and how long ago, in milliseconds. */
    public List<Heard> heardWithin(long while_, long now) {
        List<Heard> all = new ArrayList<>();
        for (Entry entry : entries.values()) {
            if (now - entry.heardAt <= while_ && entry.life.phase() != Incarnation.GONE) {
                all.add(new Heard(entry.life.id(), entry.life.seq(), (now - entry.heardAt) / MILLI));
            }
        }
        return all;
    }

    /** When a life was heard of last. */
    public record Heard(String id, long seq, long agoMs) { }
}
