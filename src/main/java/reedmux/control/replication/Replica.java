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
 * What one store has of the configuration: the committed items, the proposals that are pending until it is known
 * whether they are committed, and watermarks of the revisions that were overtaken. A proposal's items become pending,
 * are committed or are dropped together. Everything that is committed, and every watermark, gets a change number, by
 * which followers continue. No I/O, threads or clocks.
 */
public final class Replica {

    /** What a store says of a proposal. */
    public enum ValidationResult {
        /** It may become pending. */
        VALID,
        /** It is not valid together with the committed items. */
        INVALID,
        /** It is not valid together with another pending proposal, or not without one: try again later. */
        CONFLICTS_WITH_PENDING,
        /** One of its revisions was committed with another body, so that it can never be committed. */
        REVISION_REUSED,
        /** One of its revisions is so old that it is no longer known whether it was committed. */
        REVISION_EXPIRED
    }

    /** About how many bytes an item or a watermark takes in a message beside its name and body. */
    private static final int ENTRY_OVERHEAD_BYTES = 24;

    /** By key. */
    private final Map<String, ConfigurationItem> committed = new TreeMap<>();
    /** By key: the change that has brought the committed item. */
    private final Map<String, Long> changeNumbers = new HashMap<>();

    private final TreeMap<Long, ConfigurationItem> itemsByChange = new TreeMap<>();
    /** Of the committed items and the watermarks; null until another store compares, as most never do. */
    private DigestTree digests;
    /** The committed items; null until the first proposal is validated, as a start does without. */
    private ConfigurationTable table;

    /** By the proposal's id, the oldest first. */
    private final Map<String, Proposal> pending = new LinkedHashMap<>();

    private final WatermarkTable watermarks = new WatermarkTable();
    private long lastChange;
    private String problem = "";

    // ---- Validation --------------------------------------------------------------------------------

    /** Judges a proposal; what is wrong with it is told by {@link #problem()}. One that is pending stays valid. */
    public ValidationResult validate(String proposalId, List<ConfigurationItem> items) {
        if (pending.containsKey(proposalId)) {
            return ValidationResult.VALID;
        }
        List<ConfigurationItem> uncommitted = new ArrayList<>();
        for (ConfigurationItem item : items) {
            ValidationResult result = classify(item);
            if (result == ValidationResult.VALID) {
                uncommitted.add(item);
            } else if (result != null) {
                return result;
            }
        }
        if (reusesPendingRevision(uncommitted)) {
            return ValidationResult.CONFLICTS_WITH_PENDING;
        }
        boolean validAlone = isValidTogether(List.of(uncommitted));
        if (pending.isEmpty()) {
            return validAlone ? ValidationResult.VALID : ValidationResult.INVALID;
        }
        String problemAlone = problem;
        List<List<ConfigurationItem>> withPending = new ArrayList<>();
        for (Proposal other : pending.values()) {
            withPending.add(other.items());
        }
        withPending.add(uncommitted);
        boolean validWithPending = isValidTogether(withPending);
        if (validAlone) {
            return validWithPending ? ValidationResult.VALID : ValidationResult.CONFLICTS_WITH_PENDING;
        }
        problem = problemAlone;
        return validWithPending ? ValidationResult.CONFLICTS_WITH_PENDING : ValidationResult.INVALID;
    }

    private boolean reusesPendingRevision(List<ConfigurationItem> items) {
        for (Proposal other : pending.values()) {
            for (ConfigurationItem theirs : other.items()) {
                for (ConfigurationItem ours : items) {
                    boolean sameRevision = ours.key().equals(theirs.key()) && ours.revision() == theirs.revision();
                    if (sameRevision && !ours.equals(theirs)) {
                        return true;
                    }
                }
            }
        }
        return false;
    }

    /**
     * What is known of one item's revision: null where it was committed with this body, {@link ValidationResult#VALID}
     * where it was not committed.
     */
    private ValidationResult classify(ConfigurationItem item) {
        ConfigurationItem current = committed.get(item.key());
        if (current != null && current.revision() == item.revision()) {
            return current.equals(item) ? null : revisionReused(item);
        }
        Long digest = watermarks.digest(item.key(), item.revision());
        if (digest != null) {
            return digest == Watermark.of(item).digest() ? null : revisionReused(item);
        }
        return item.revision() <= watermarks.lowWatermark(item.key())
                ? ValidationResult.REVISION_EXPIRED
                : ValidationResult.VALID;
    }

    private ValidationResult revisionReused(ConfigurationItem item) {
        problem = item.key() + " was taken with another content under the revision " + item.revision();
        return ValidationResult.REVISION_REUSED;
    }

    /** Why the last proposal that was validated was not valid. */
    public String problem() {
        return problem;
    }

    /** Those of some items whose revisions were not committed yet, as far as is known here. */
    public List<ConfigurationItem> findUncommitted(List<ConfigurationItem> items) {
        List<ConfigurationItem> uncommitted = new ArrayList<>();
        for (ConfigurationItem item : items) {
            if (classify(item) == ValidationResult.VALID) {
                uncommitted.add(item);
            }
        }
        return uncommitted;
    }

    /** Whether the committed items would be valid after these proposals, each with its items. */
    private boolean isValidTogether(List<List<ConfigurationItem>> proposals) {
        Map<String, ConfigurationItem> changed = new LinkedHashMap<>();
        for (List<ConfigurationItem> items : proposals) {
            for (ConfigurationItem item : items) {
                ConfigurationItem earlier = changed.get(item.key());
                if (item.supersedes(earlier != null ? earlier : committed.get(item.key()))) {
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

    // ---- Proposals ---------------------------------------------------------------------------------

    /** A proposal that was found valid is pending from now on, or goes on being so under another ballot. */
    public void addPending(Proposal proposal) {
        pending.put(proposal.id(), proposal);
    }

    /** A proposal is no longer pending; its items are committed now, or dropped. */
    public void resolvePending(String proposalId, boolean commit, List<ConfigurationItem> items) {
        pending.remove(proposalId);
        if (commit) {
            merge(items);
        }
    }

    /** Whether a proposal is pending. */
    public boolean isPending(String proposalId) {
        return pending.containsKey(proposalId);
    }

    /** The pending proposals by their ids, the oldest first; a view. */
    public Map<String, Proposal> pending() {
        return pending;
    }

    // ---- Committed items and watermarks ------------------------------------------------------------

    /** Merges items that are committed elsewhere; returns those that have taken the place of others here. */
    public List<ConfigurationItem> merge(Collection<ConfigurationItem> items) {
        List<ConfigurationItem> merged = new ArrayList<>();
        for (ConfigurationItem item : items) {
            ConfigurationItem current = committed.get(item.key());
            if (current == null || item.compareTo(current) > 0) {
                if (current != null && current.revision() < item.revision()) {
                    mergeWatermark(Watermark.of(current));
                }
                commit(item, current);
                merged.add(item);
            } else if (item.revision() < current.revision()) {
                mergeWatermark(Watermark.of(item));
            }
        }
        return merged;
    }

    /** {@code replaced} is null for none. */
    private void commit(ConfigurationItem item, ConfigurationItem replaced) {
        committed.put(item.key(), item);
        Long replacedChange = changeNumbers.put(item.key(), ++lastChange);
        if (replacedChange != null) {
            itemsByChange.remove(replacedChange);
        }
        itemsByChange.put(lastChange, item);
        if (table != null) {
            table.put(item);
        }
        if (digests != null) {
            if (replaced != null) {
                digests.toggle(Watermark.of(replaced));
            }
            digests.toggle(Watermark.of(item));
        }
    }

    /** Those of some items that {@link #merge} would keep, as items or as watermarks. */
    public List<ConfigurationItem> findMissing(Collection<ConfigurationItem> items) {
        List<ConfigurationItem> missing = new ArrayList<>();
        for (ConfigurationItem item : items) {
            ConfigurationItem current = committed.get(item.key());
            if (current == null
                    || item.compareTo(current) > 0
                    || item.revision() < current.revision() && watermarks.isNew(Watermark.of(item))) {
                missing.add(item);
            }
        }
        return missing;
    }

    /** Merges watermarks of another store; returns those that were new here. */
    public List<Watermark> mergeWatermarks(Collection<Watermark> others) {
        List<Watermark> added = new ArrayList<>();
        for (Watermark watermark : others) {
            if (mergeWatermark(watermark)) {
                added.add(watermark);
            }
        }
        return added;
    }

    private boolean mergeWatermark(Watermark watermark) {
        if (!watermarks.isNew(watermark)) {
            return false;
        }
        watermarks.add(watermark, ++lastChange);
        Watermark lowWatermark = watermarks.requiredLowWatermark(watermark.key());
        if (lowWatermark != null) {
            watermarks.add(lowWatermark, ++lastChange);
        }
        return true;
    }

    /** All watermarks, in the order in which they came; a view. */
    public Collection<Watermark> watermarks() {
        return watermarks.all();
    }

    /** The watermarks that have come after a change. */
    public List<Watermark> watermarksSince(long change) {
        return watermarks.since(change);
    }

    /** All committed items, deletions included, in the order of their keys; a view. */
    public Collection<ConfigurationItem> committed() {
        return committed.values();
    }

    /** The number of the last change; 0 for none. */
    public long lastChange() {
        return lastChange;
    }

    /** The items that were committed after a change. */
    public List<ConfigurationItem> committedSince(long change) {
        return new ArrayList<>(itemsByChange.tailMap(change, false).values());
    }

    // ---- Batches for followers ---------------------------------------------------------------------

    /** What has changed after {@code change}: up to about {@code maxBytes} of it, and at least one change. */
    public ChangeBatch batchSince(long change, int maxBytes) {
        List<ConfigurationItem> items = new ArrayList<>();
        List<Watermark> marks = new ArrayList<>();
        long upToChange = change;
        int bytes = 0;
        while (true) {
            Map.Entry<Long, ConfigurationItem> nextItem = itemsByChange.higherEntry(upToChange);
            Map.Entry<Long, Watermark> nextMark = watermarks.nextAfter(upToChange);
            if (nextItem == null && nextMark == null) {
                return new ChangeBatch(lastChange, items, marks, true);
            } else if (bytes >= maxBytes) {
                return new ChangeBatch(upToChange, items, marks, false);
            }
            bytes += ENTRY_OVERHEAD_BYTES;
            if (nextMark == null || nextItem != null && nextItem.getKey() < nextMark.getKey()) {
                upToChange = nextItem.getKey();
                ConfigurationItem item = nextItem.getValue();
                items.add(item);
                bytes += item.name().length() + item.body().length();
            } else {
                upToChange = nextMark.getKey();
                marks.add(nextMark.getValue());
                bytes += nextMark.getValue().key().length();
            }
        }
    }

    /** Digests of all committed items and watermarks; kept up to date from the first call on. */
    public DigestTree digests() {
        if (digests == null) {
            digests = new DigestTree();
            for (ConfigurationItem item : committed.values()) {
                digests.toggle(Watermark.of(item));
            }
            watermarks.attachDigests(digests);
        }
        return digests;
    }

    /** Everything in some of the fine ranges of {@link #digests()}. */
    public ChangeBatch batchInRanges(Collection<Integer> fineRanges) {
        boolean[] wanted = new boolean[DigestTree.FINE_RANGES];
        for (int range : fineRanges) {
            wanted[range] = true;
        }
        List<ConfigurationItem> items = new ArrayList<>();
        for (ConfigurationItem item : committed.values()) {
            if (wanted[DigestTree.rangeOf(item.key())]) {
                items.add(item);
            }
        }
        List<Watermark> marks = new ArrayList<>();
        for (Watermark watermark : watermarks.all()) {
            if (wanted[DigestTree.rangeOf(watermark.key())]) {
                marks.add(watermark);
            }
        }
        return new ChangeBatch(lastChange, items, marks, true);
    }
}
