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
        /** It cannot stand beside another call that is held. */
        BUSY
    }

    private final Map<String, Item> inForce = new TreeMap<>();
    private final Map<String, Long> changedAt = new HashMap<>();
    private final Map<String, Proposal> held = new LinkedHashMap<>();
    private long changes;
    private String problem = "";

    /** Judges a call; what is wrong with it is told by {@link #problem()}. */
    public Verdict judge(String call, List<Item> items) {
        if (held.containsKey(call)) {
            return Verdict.GOOD;
        }
        List<Item> news = news(items);
        if (!stands(List.of(news))) {
            return Verdict.INVALID;
        }
        for (Item item : items) { // who brings it does not know yet what has this revision here
            Item had = inForce.get(item.key());
            if (had != null && had.revision() == item.revision() && !had.equals(item)) {
                return Verdict.BUSY;
            }
        }
        for (Proposal other : held.values()) {
            for (Item one : news) {
                for (Item beside : other.items()) {
                    if (one.key().equals(beside.key()) && one.revision() == beside.revision()
                            && !one.equals(beside)) {
                        return Verdict.BUSY;
                    }
                }
            }
        }
        List<List<Item>> together = new ArrayList<>();
        held.values().forEach(other -> together.add(other.items()));
        together.add(news);
        return held.isEmpty() || stands(together) ? Verdict.GOOD : Verdict.BUSY;
    }

    /** Why the last call was not good. */
    public String problem() {
        return problem;
    }

    /** The items of a call that would change something. */
    public List<Item> news(List<Item> items) {
        List<Item> news = new ArrayList<>();
        for (Item item : items) {
            if (item.over(inForce.get(item.key()))) {
                news.add(item);
            }
        }
        return news;
    }

    private boolean stands(List<List<Item>> calls) {
        Map<String, Item> all = new TreeMap<>(inForce);
        for (List<Item> call : calls) {
            for (Item item : call) {
                if (item.over(all.get(item.key()))) {
                    all.put(item.key(), item);
                }
            }
        }
        try {
            Table.of(all.values());
            return true;
        } catch (Invalid e) {
            problem = e.getMessage();
            return false;
        }
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
                inForce.put(item.key(), item);
                changedAt.put(item.key(), ++changes);
                news.add(item);
            }
        }
        return news;
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
        List<Item> news = new ArrayList<>();
        inForce.forEach((key, item) -> {
            if (changedAt.get(key) > change) {
                news.add(item);
            }
        });
        return news;
    }
}
