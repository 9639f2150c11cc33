package reedmux.control.replication;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import reedmux.control.configuration.ConfigurationItem;
import reedmux.control.configuration.ConfigurationTable;
import reedmux.control.consensus.Proposal;

/**
 * The items that one store has: those in force, and those of calls that are held until it is known whether
 * they come into force. A call is held, comes into force or is dropped as a whole. Pure.
 */
public final class Replica {

    /** What a store says of a call that it is asked to hold. */
    public enum ProposalVerdict {
        /** It may be held. */
        VALID,
        /** It cannot stand beside what is in force. */
        INVALID,
        /** It cannot stand beside another call that is held, or not without it. */
        CONFLICTS_WITH_PENDING,
        /** Another content was taken under one of its revisions. */
        REVISION_REUSED,
        /** One of its revisions is so old that it is not known any more whether it was taken. */
        REVISION_EXPIRED
    }

    /** About what an item takes beside its name and body. */
    private static final int ITEM_OVERHEAD_BYTES = 24;

    private final Map<String, ConfigurationItem> committed = new TreeMap<>();
    /** The number of the change that brought each, and each by that number. */
    private final Map<String, Long> changeNumbers = new HashMap<>();

    private final TreeMap<Long, ConfigurationItem> itemsByChange = new TreeMap<>();
    /** Of what is in force and the marks; null until another store compares. */
    private DigestTree digests;
    /** What is in force, as it is used; null until the first call is judged, as a start does without. */
    private ConfigurationTable table;

    private final Map<String, Proposal> pending = new LinkedHashMap<>();
    private final WatermarkTable watermarks = new WatermarkTable();
    private long lastChange;
    private String problem = "";

    /** Judges a call; what is wrong with it is told by {@link #problem()}. */
    public ProposalVerdict validate(String call, List<ConfigurationItem> items) {
        if (pending.containsKey(call)) {
            return ProposalVerdict.VALID;
        }
        List<ConfigurationItem> unrecorded = new ArrayList<>();
        for (ConfigurationItem item : items) {
            ProposalVerdict verdict = classify(item);
            if (verdict == ProposalVerdict.VALID) {
                unrecorded.add(item);
            } else if (verdict != null) {
                return verdict;
            }
        }
        for (Proposal other : pending.values()) {
            for (ConfigurationItem one : unrecorded) {
                for (ConfigurationItem beside : other.items()) {
                    if (one.key().equals(beside.key()) && one.revision() == beside.revision() && !one.equals(beside)) {
                        return ProposalVerdict.CONFLICTS_WITH_PENDING;
                    }
                }
            }
        }
        List<List<ConfigurationItem>> together = new ArrayList<>();
        pending.values().forEach(other -> together.add(other.items()));
        together.add(unrecorded);
        if (isValidTogether(List.of(unrecorded))) {
            return pending.isEmpty() || isValidTogether(together)
                    ? ProposalVerdict.VALID
                    : ProposalVerdict.CONFLICTS_WITH_PENDING;
        }
        String alone = problem;
        boolean later = !pending.isEmpty() && isValidTogether(together);
        problem = alone;
        return later ? ProposalVerdict.CONFLICTS_WITH_PENDING : ProposalVerdict.INVALID;
    }

    /** Of one item: null where it was taken with this content, {@link ProposalVerdict#VALID} where it is news. */
    private ProposalVerdict classify(ConfigurationItem item) {
        ConfigurationItem had = committed.get(item.key());
        if (had != null && had.revision() == item.revision()) {
            return had.equals(item) ? null : conflict(item);
        }
        Long digest = watermarks.digest(item.key(), item.revision());
        if (digest != null) {
            return digest == Watermark.of(item).digest() ? null : conflict(item);
        }
        return item.revision() <= watermarks.lowWatermark(item.key())
                ? ProposalVerdict.REVISION_EXPIRED
                : ProposalVerdict.VALID;
    }

    private ProposalVerdict conflict(ConfigurationItem item) {
        problem = item.key() + " was taken with another content under the revision " + item.revision();
        return ProposalVerdict.REVISION_REUSED;
    }

    /** Why the last call was not good. */
    public String problem() {
        return problem;
    }

    /** The items of a call whose revisions were not taken yet, as far as is known here. */
    public List<ConfigurationItem> unrecordedItems(List<ConfigurationItem> items) {
        List<ConfigurationItem> news = new ArrayList<>();
        for (ConfigurationItem item : items) {
            if (classify(item) == ProposalVerdict.VALID) {
                news.add(item);
            }
        }
        return news;
    }

    private boolean isValidTogether(List<List<ConfigurationItem>> calls) {
        Map<String, ConfigurationItem> changed = new LinkedHashMap<>();
        for (List<ConfigurationItem> call : calls) {
            for (ConfigurationItem item : call) {
                ConfigurationItem had = changed.get(item.key());
                if (item.supersedes(had != null ? had : committed.get(item.key()))) {
                    changed.put(item.key(), item);
                }
            }
        }
        if (table == null) {
            table = new ConfigurationTable();
            for (ConfigurationItem item : committed.values()) {
                table.put(item);
            }
        }
        if (table.isValidWith(changed.values())) {
            return true;
        }
        problem = table.problem();
        return false;
    }

    /** Holds a call that was judged good, or goes on holding it under another ballot. */
    public void addPending(Proposal proposal) {
        pending.put(proposal.id(), proposal);
    }

    /** A call is no longer held, and in force from now on or not at all. */
    public void resolvePending(String call, boolean comesIntoForce, List<ConfigurationItem> items) {
        pending.remove(call);
        if (comesIntoForce) {
            merge(items);
        }
    }

    /** Takes in items that are in force elsewhere; returns those that were news. */
    public List<ConfigurationItem> merge(Collection<ConfigurationItem> items) {
        List<ConfigurationItem> news = new ArrayList<>();
        for (ConfigurationItem item : items) {
            ConfigurationItem had = committed.get(item.key());
            if (had == null || item.compareTo(had) > 0) {
                if (had != null && had.revision() < item.revision()) {
                    mergeWatermarks(Watermark.of(had));
                }
                committed.put(item.key(), item);
                Long before = changeNumbers.put(item.key(), ++lastChange);
                if (before != null) {
                    itemsByChange.remove(before);
                }
                itemsByChange.put(lastChange, item);
                if (table != null) {
                    table.put(item);
                }
                if (digests != null) {
                    if (had != null) {
                        digests.toggle(Watermark.of(had));
                    }
                    digests.toggle(Watermark.of(item));
                }
                news.add(item);
            } else if (item.revision() < had.revision()) {
                mergeWatermarks(Watermark.of(item));
            }
        }
        return news;
    }

    /** The items of which {@link #merge} would keep something. */
    public List<ConfigurationItem> findMissing(Collection<ConfigurationItem> items) {
        List<ConfigurationItem> news = new ArrayList<>();
        for (ConfigurationItem item : items) {
            ConfigurationItem had = committed.get(item.key());
            if (had == null
                    || item.compareTo(had) > 0
                    || item.revision() < had.revision() && watermarks.isNew(Watermark.of(item))) {
                news.add(item);
            }
        }
        return news;
    }

    /** Takes in marks of what was taken and overtaken elsewhere; returns those that were news. */
    public List<Watermark> mergeWatermarks(Collection<Watermark> told) {
        List<Watermark> news = new ArrayList<>();
        for (Watermark mark : told) {
            if (mergeWatermarks(mark)) {
                news.add(mark);
            }
        }
        return news;
    }

    private boolean mergeWatermarks(Watermark mark) {
        if (!watermarks.isNew(mark)) {
            return false;
        }
        watermarks.add(mark, ++lastChange);
        Watermark floor = watermarks.requiredLowWatermark(mark.key());
        if (floor != null) {
            watermarks.add(floor, ++lastChange);
        }
        return true;
    }

    /** What was taken and overtaken: all that is known of it. */
    public Collection<Watermark> watermarks() {
        return watermarks.all();
    }

    /** What of that has become known since a change. */
    public List<Watermark> watermarksSince(long change) {
        return watermarks.since(change);
    }

    public boolean isPending(String call) {
        return pending.containsKey(call);
    }

    /** Calls that are held, the oldest first. */
    public Map<String, Proposal> pending() {
        return pending;
    }

    public Collection<ConfigurationItem> committed() {
        return committed.values();
    }

    /** The number of the last change of what is in force. */
    public long lastChange() {
        return lastChange;
    }

    /** What has come into force since that change. */
    public List<ConfigurationItem> committedSince(long change) {
        return new ArrayList<>(itemsByChange.tailMap(change, false).values());
    }

    // ---- Catching up ---------------------------------------------------------------------------------
    /** Some of what has changed, in order, as of a change; {@code last}: there is no more. */
    public record ChangeBatch(
            long upToChange, List<ConfigurationItem> items, List<Watermark> watermarks, boolean last) {

        /** The first of each, at most so many. */
        public ChangeBatch first(int most) {
            return new ChangeBatch(
                    upToChange,
                    items.subList(0, Math.min(most, items.size())),
                    watermarks.subList(0, Math.min(most, watermarks.size())),
                    false);
        }

        /** What comes behind those, or null. */
        public ChangeBatch remainder(int most) {
            return items.size() <= most && watermarks.size() <= most
                    ? null
                    : new ChangeBatch(
                            upToChange,
                            items.subList(Math.min(most, items.size()), items.size()),
                            watermarks.subList(Math.min(most, watermarks.size()), watermarks.size()),
                            last);
        }
    }

    /** What has changed since a change, up to about so many bytes of it, and one change at the least. */
    public ChangeBatch batchSince(long change, int bytes) {
        List<ConfigurationItem> items = new ArrayList<>();
        List<Watermark> some = new ArrayList<>();
        long at = change;
        for (int size = 0; ; size += ITEM_OVERHEAD_BYTES) {
            Map.Entry<Long, ConfigurationItem> item = itemsByChange.higherEntry(at);
            Map.Entry<Long, Watermark> mark = watermarks.nextAfter(at);
            if (item == null && mark == null) {
                return new ChangeBatch(lastChange, items, some, true);
            } else if (size >= bytes) {
                return new ChangeBatch(at, items, some, false);
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
    public DigestTree digests() {
        if (digests == null) {
            digests = new DigestTree();
            committed.values().forEach(item -> digests.toggle(Watermark.of(item)));
            watermarks.attachDigests(digests);
        }
        return digests;
    }

    /** All in some of the fine ranges. */
    public ChangeBatch batchInRanges(Collection<Integer> ranges) {
        boolean[] wanted = new boolean[DigestTree.RANGES_PER_LEVEL * DigestTree.RANGES_PER_LEVEL];
        ranges.forEach(range -> wanted[range] = true);
        List<ConfigurationItem> items = new ArrayList<>();
        for (ConfigurationItem item : committed.values()) {
            if (wanted[DigestTree.rangeOf(item.key())]) {
                items.add(item);
            }
        }
        List<Watermark> some = new ArrayList<>();
        for (Watermark mark : watermarks.all()) {
            if (wanted[DigestTree.rangeOf(mark.key())]) {
                some.add(mark);
            }
        }
        return new ChangeBatch(lastChange, items, some, true);
    }
}
