package reedmux.item;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The items that one store has: those in force, and those of calls that are held until it is known whether
 * they come into force. A call is held, comes into force or is dropped as a whole. Pure.
 */
public final class Replica {

    /** What a store says of a call that it is asked to hold. */
    public enum Verdict {
        /** It may be held. */
        GOOD,
        /** It cannot stand beside what is in force. */
        INVALID,
        /** It cannot stand beside another call that is held, or not without it. */
        BUSY,
        /** Another content was taken under one of its revisions. */
        CONFLICT,
        /** One of its revisions is so old that it is not known any more whether it was taken. */
        FORGOTTEN
    }

    /** About what an item takes beside its name and body. */
    private static final int ITEM = 24;

    private final Map<String, Item> inForce = new TreeMap<>();
    /** The number of the change that brought each, and each by that number. */
    private final Map<String, Long> changedAt = new HashMap<>();

    private final TreeMap<Long, Item> byChange = new TreeMap<>();
    /** Of what is in force and the marks; null until another store compares. */
    private Digests digests;
    /** What is in force, as it is used; null until the first call is judged, as a start does without. */
    private Table table;

    private final Map<String, Proposal> held = new LinkedHashMap<>();
    private final Marks marks = new Marks();
    private long changes;
    private String problem = "";

    /** Judges a call; what is wrong with it is told by {@link #problem()}. */
    public Verdict judge(String call, List<Item> items) {
        if (held.containsKey(call)) {
            return Verdict.GOOD;
        }
        List<Item> unrecorded = new ArrayList<>();
        for (Item item : items) {
            Verdict verdict = standing(item);
            if (verdict == Verdict.GOOD) {
                unrecorded.add(item);
            } else if (verdict != null) {
                return verdict;
            }
        }
        for (Proposal other : held.values()) {
            for (Item one : unrecorded) {
                for (Item beside : other.items()) {
                    if (one.key().equals(beside.key()) && one.revision() == beside.revision() && !one.equals(beside)) {
                        return Verdict.BUSY;
                    }
                }
            }
        }
        List<List<Item>> together = new ArrayList<>();
        held.values().forEach(other -> together.add(other.items()));
        together.add(unrecorded);
        if (stands(List.of(unrecorded))) {
            return held.isEmpty() || stands(together) ? Verdict.GOOD : Verdict.BUSY;
        }
        String alone = problem;
        boolean later = !held.isEmpty() && stands(together);
        problem = alone;
        return later ? Verdict.BUSY : Verdict.INVALID;
    }

    /** Of one item: null where it was taken with this content, {@link Verdict#GOOD} where it is news. */
    private Verdict standing(Item item) {
        Item had = inForce.get(item.key());
        if (had != null && had.revision() == item.revision()) {
            return had.equals(item) ? null : conflict(item);
        }
        Long digest = marks.digest(item.key(), item.revision());
        if (digest != null) {
            return digest == Mark.of(item).digest() ? null : conflict(item);
        }
        return item.revision() <= marks.floor(item.key()) ? Verdict.FORGOTTEN : Verdict.GOOD;
    }

    private Verdict conflict(Item item) {
        problem = item.key() + " was taken with another content under the revision " + item.revision();
        return Verdict.CONFLICT;
    }

    /** Why the last call was not good. */
    public String problem() {
        return problem;
    }

    /** The items of a call whose revisions were not taken yet, as far as is known here. */
    public List<Item> news(List<Item> items) {
        List<Item> news = new ArrayList<>();
        for (Item item : items) {
            if (standing(item) == Verdict.GOOD) {
                news.add(item);
            }
        }
        return news;
    }

    private boolean stands(List<List<Item>> calls) {
        Map<String, Item> changed = new LinkedHashMap<>();
        for (List<Item> call : calls) {
            for (Item item : call) {
                Item had = changed.get(item.key());
                if (item.over(had != null ? had : inForce.get(item.key()))) {
                    changed.put(item.key(), item);
                }
            }
        }
        if (table == null) {
            table = new Table();
            for (Item item : inForce.values()) {
                table.put(item);
            }
        }
        if (table.stands(changed.values())) {
            return true;
        }
        problem = table.problem();
        return false;
    }

    /** Holds a call that was judged good, or goes on holding it under another ballot. */
    public void hold(Proposal proposal) {
        held.put(proposal.call(), proposal);
    }

    /** A call is no longer held, and in force from now on or not at all. */
    public void decide(String call, boolean comesIntoForce, List<Item> items) {
        held.remove(call);
        if (comesIntoForce) {
            merge(items);
        }
    }

    /** Takes in items that are in force elsewhere; returns those that were news. */
    public List<Item> merge(Collection<Item> items) {
        List<Item> news = new ArrayList<>();
        for (Item item : items) {
            Item had = inForce.get(item.key());
            if (had == null || item.compareTo(had) > 0) {
                if (had != null && had.revision() < item.revision()) {
                    mark(Mark.of(had));
                }
                inForce.put(item.key(), item);
                Long before = changedAt.put(item.key(), ++changes);
                if (before != null) {
                    byChange.remove(before);
                }
                byChange.put(changes, item);
                if (table != null) {
                    table.put(item);
                }
                if (digests != null) {
                    if (had != null) {
                        digests.flip(Mark.of(had));
                    }
                    digests.flip(Mark.of(item));
                }
                news.add(item);
            } else if (item.revision() < had.revision()) {
                mark(Mark.of(item));
            }
        }
        return news;
    }

    /** The items of which {@link #merge} would keep something. */
    public List<Item> lacking(Collection<Item> items) {
        List<Item> news = new ArrayList<>();
        for (Item item : items) {
            Item had = inForce.get(item.key());
            if (had == null
                    || item.compareTo(had) > 0
                    || item.revision() < had.revision() && marks.isNews(Mark.of(item))) {
                news.add(item);
            }
        }
        return news;
    }

    /** Takes in marks of what was taken and overtaken elsewhere; returns those that were news. */
    public List<Mark> mark(Collection<Mark> told) {
        List<Mark> news = new ArrayList<>();
        for (Mark mark : told) {
            if (mark(mark)) {
                news.add(mark);
            }
        }
        return news;
    }

    private boolean mark(Mark mark) {
        if (!marks.isNews(mark)) {
            return false;
        }
        marks.add(mark, ++changes);
        Mark floor = marks.due(mark.key());
        if (floor != null) {
            marks.add(floor, ++changes);
        }
        return true;
    }

    /** What was taken and overtaken: all that is known of it. */
    public Collection<Mark> marks() {
        return marks.all();
    }

    /** What of that has become known since a change. */
    public List<Mark> marksSince(long change) {
        return marks.since(change);
    }

    public boolean holds(String call) {
        return held.containsKey(call);
    }

    /** Calls that are held, the oldest first. */
    public Map<String, Proposal> held() {
        return held;
    }

    public Collection<Item> inForce() {
        return inForce.values();
    }

    /** The number of the last change of what is in force. */
    public long changes() {
        return changes;
    }

    /** What has come into force since that change. */
    public List<Item> since(long change) {
        return new ArrayList<>(byChange.tailMap(change, false).values());
    }

    // ---- Catching up ---------------------------------------------------------------------------------
    /** Some of what has changed, in order, as of a change; {@code last}: there is no more. */
    public record Piece(long upTo, List<Item> items, List<Mark> marks, boolean last) {

        /** The first of each, at most so many. */
        public Piece first(int most) {
            return new Piece(
                    upTo,
                    items.subList(0, Math.min(most, items.size())),
                    marks.subList(0, Math.min(most, marks.size())),
                    false);
        }

        /** What comes behind those, or null. */
        public Piece rest(int most) {
            return items.size() <= most && marks.size() <= most
                    ? null
                    : new Piece(
                            upTo,
                            items.subList(Math.min(most, items.size()), items.size()),
                            marks.subList(Math.min(most, marks.size()), marks.size()),
                            last);
        }
    }

    /** What has changed since a change, up to about so many bytes of it, and one change at the least. */
    public Piece piece(long change, int bytes) {
        List<Item> items = new ArrayList<>();
        List<Mark> some = new ArrayList<>();
        long at = change;
        for (int size = 0; ; size += ITEM) {
            Map.Entry<Long, Item> item = byChange.higherEntry(at);
            Map.Entry<Long, Mark> mark = marks.after(at);
            if (item == null && mark == null) {
                return new Piece(changes, items, some, true);
            } else if (size >= bytes) {
                return new Piece(at, items, some, false);
            } else if (mark == null || item != null && item.getKey() < mark.getKey()) {
                at = item.getKey();
                items.add(item.getValue());
                size += item.getValue().name().length() + item.getValue().body().length();
            } else {
                at = mark.getKey();
                some.add(mark.getValue());
                size += mark.getValue().key().length();
            }
        }
    }

    /** Digests of all that is here. */
    public Digests digests() {
        if (digests == null) {
            digests = new Digests();
            inForce.values().forEach(item -> digests.flip(Mark.of(item)));
            marks.digests(digests);
        }
        return digests;
    }

    /** All in some of the fine ranges. */
    public Piece in(Collection<Integer> ranges) {
        boolean[] wanted = new boolean[Digests.RANGES * Digests.RANGES];
        ranges.forEach(range -> wanted[range] = true);
        List<Item> items = new ArrayList<>();
        for (Item item : inForce.values()) {
            if (wanted[Digests.range(item.key())]) {
                items.add(item);
            }
        }
        List<Mark> some = new ArrayList<>();
        for (Mark mark : marks.all()) {
            if (wanted[Digests.range(mark.key())]) {
                some.add(mark);
            }
        }
        return new Piece(changes, items, some, true);
    }
}
