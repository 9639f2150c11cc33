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
    /** Registries that were heard of within this are told on. */
    private static final long TOLD_ON = 3_000_000;

    /** One life here. */
    private static final class Entry {
        private Incarnation life;
        private long heardAt;
        private long coldUntil;
        private final Recent.Node<Entry> place = new Recent.Node<>(this);
        /** The registry that it calls, with the number of the call that says so; null if unknown. */
        private Owner owner;

        private long ownerSeq;
        private Recent.Node<Entry> ownerPlace;
        /** Who says that it has this one's address now. */
        private String rival;
    }

    /** A process of a registry, by the number that was drawn at its start. */
    private static final class Owner {
        private final long process;
        private long count;
        private long heardAt;

        private Owner(long process) {
            this.process = process;
        }
    }

    /** That a checker has called a registry's process, with the number of that call. */
    public record Owned(String id, long seq, long process) {}

    /** That a registry's process has come so far in counting, as it does while it lives. */
    public record Contact(long process, long count) {}

    private final Map<String, Entry> entries = new LinkedHashMap<>();
    private final Map<String, String> byAddress = new HashMap<>();
    private final Recent<Entry> recent = new Recent<>();
    private final Recent<Entry> ownersRecent = new Recent<>();
    private final Map<Long, Owner> owners = new HashMap<>();
    private final Counter counter;
    private final long self;

    /**
     * A registry's.
     *
     * @param self    its process, which owns the checkers that call it
     * @param counter numbers what is told to others
     */
    public Fleet(long self, Counter counter) {
        this.self = self;
        this.counter = counter;
    }

    public Fleet() {
        this(0, new Counter());
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
        Entry entry = entries.get(told.id());
        if (entry.owner == null || entry.owner.process != self && told.seq() >= entry.ownerSeq) {
            owns(entry, owner(self, now), told.seq());
        } else if (entry.owner.process == self) {
            entry.ownerSeq = Math.max(entry.ownerSeq, told.seq());
        }
        return takeAddress(entry.life, now) | news;
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
                String holder = byAddress.putIfAbsent(told.address(), told.id());
                if (holder != null && entries.containsKey(holder)) {
                    entries.get(holder).rival = told.id();
                }
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
        boolean news = phase != had.phase()
                || silent != had.silent()
                || !base.address().equals(had.address())
                || base.capacity() != had.capacity();
        if (news || told.silent() && !silent && entry.owner != null && entry.owner.process == self) {
            changed(entry); // also where we know better than who told
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
        if (old != null && old.life.phase() != Incarnation.GONE && !old.life.silent() && now - heardAt(old) <= OWNER) {
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

    // ---- Owners ------------------------------------------------------------------------------------
    private Owner owner(long process, long now) {
        Owner owner = owners.get(process);
        if (owner == null) {
            owner = new Owner(process);
            owner.heardAt = now;
            owners.put(process, owner);
        }
        return owner;
    }

    private void owns(Entry entry, Owner owner, long seq) {
        if (entry.ownerPlace == null) {
            entry.ownerPlace = new Recent.Node<>(entry);
        }
        entry.owner = owner;
        entry.ownerSeq = seq;
        ownersRecent.changed(entry.ownerPlace, counter.next());
    }

    /** A registry says whom a checker called under that number; of two the higher one holds. */
    public void owned(Owned told, long now) {
        Entry entry = entries.get(told.id());
        if (entry == null) {
            return;
        }
        long had = entry.owner == null ? -1 : entry.ownerSeq;
        if (told.seq() > had || told.seq() == had && told.process() > entry.owner.process) {
            owns(entry, owner(told.process(), now), told.seq());
        } else if (told.process() != entry.owner.process) {
            owns(entry, entry.owner, had); // whoever said so is to hear who knows better
        }
    }

    /** Whose owner has changed since. */
    public List<Owned> ownedSince(long change) {
        List<Owned> all = new ArrayList<>();
        Recent.Node<Entry> at = ownersRecent.firstSince(change);
        for (; at != null; at = ownersRecent.after(at)) {
            Entry entry = at.thing();
            all.add(new Owned(entry.life.id(), entry.ownerSeq, entry.owner.process));
        }
        return all;
    }

    /** Somebody has heard a registry count so far: that is news of it only if it is further than before. */
    public void contact(Contact told, long now) {
        Owner owner = owner(told.process(), now);
        if (told.count() > owner.count) {
            owner.count = told.count();
            owner.heardAt = now;
        }
    }

    /** How far we have heard registries count lately, ourselves first, who count on with each call. */
    public List<Contact> contacts(long now) {
        owner(self, now).count++;
        List<Contact> all = new ArrayList<>();
        all.add(new Contact(self, owner(self, now).count));
        for (Iterator<Owner> at = owners.values().iterator(); at.hasNext(); ) {
            Owner owner = at.next();
            if (owner.process != self && now - owner.heardAt <= TOLD_ON) {
                all.add(new Contact(owner.process, owner.count));
            } else if (owner.process != self && now - owner.heardAt > REMEMBERED) {
                at.remove();
            }
        }
        return all;
    }

    /** When somebody heard of it last: who has an owner is heard of as long as that one is. */
    private long heardAt(Entry entry) {
        return entry.owner == null || entry.owner.process == self
                ? entry.heardAt
                : Math.max(entry.heardAt, entry.owner.heardAt);
    }

    /**
     * Notes who has not been heard of for {@code silence}, and forgets whose end is long ago. Returns how
     * many have fallen silent.
     */
    public int sweep(long now, long silence) {
        int fell = 0;
        for (Iterator<Entry> all = entries.values().iterator(); all.hasNext(); ) {
            Entry entry = all.next();
            if (entry.life.phase() == Incarnation.GONE && now - entry.heardAt > REMEMBERED) {
                all.remove();
                recent.remove(entry.place);
                if (entry.ownerPlace != null) {
                    ownersRecent.remove(entry.ownerPlace);
                }
                byAddress.remove(entry.life.address(), entry.life.id());
            }
        }
        for (Entry entry : entries.values()) {
            if (entry.rival != null) {
                settle(entry, now);
            }
            if (!entry.life.silent() && entry.life.phase() != Incarnation.GONE && now - heardAt(entry) > silence) {
                entry.life = entry.life.with(entry.life.phase(), true, 0);
                changed(entry);
                fell++;
            }
        }
        return fell;
    }

    /** Whom we hear ourselves has lost its address to another once it has not called for a while. */
    private void settle(Entry entry, long now) {
        Entry rival = entries.get(entry.rival);
        if (rival == null || rival.life.phase() == Incarnation.GONE || rival.life.silent()) {
            entry.rival = null;
        } else if (entry.life.phase() != Incarnation.GONE
                && entry.owner != null
                && entry.owner.process == self
                && now - entry.heardAt > OWNER) {
            byAddress.put(rival.life.address(), rival.life.id());
            entry.life = entry.life.with(Incarnation.GONE, entry.life.silent(), 0);
            changed(entry);
        }
    }

    public Incarnation get(String id, long now) {
        Entry entry = entries.get(id);
        return entry == null ? null : told(entry, now);
    }

    /** How long ago it was heard of, in milliseconds, or -1 where it is not known. */
    public long heardAgoMs(String id, long now) {
        Entry entry = entries.get(id);
        return entry == null ? -1 : (now - heardAt(entry)) / MILLI;
    }

    private static Incarnation told(Entry entry, long now) {
        return entry.life.with(entry.life.phase(), entry.life.silent(), Math.max(0, (entry.coldUntil - now) / MILLI));
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
}
