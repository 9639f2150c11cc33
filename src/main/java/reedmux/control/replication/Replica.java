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
 * One store's replica of the configuration: the committed items, the proposals that are pending until their outcome is
 * known, and the watermarks of superseded revisions. The items of a proposal become pending, are committed or are
 * discarded together. Each committed item and each watermark is assigned a change number, from which followers resume
 * replication. Uses no I/O, threads or clocks.
 */
public final class Replica {

    /** The result of validating a proposal against a replica. */
    public enum ValidationResult {
        /** The proposal may become pending. */
        VALID,
        /** The proposal is not valid together with the committed items. */
        INVALID,
        /** Its validity depends on whether another, pending proposal is committed; the caller should retry later. */
        CONFLICTS_WITH_PENDING,
        /** One of its revisions has been committed with another body, so the proposal can never be committed. */
        REVISION_REUSED,
        /** One of its revisions is so old that the replica no longer knows whether it was committed. */
        REVISION_EXPIRED
    }

    /** The approximate size in bytes of an item or watermark in a message, without its name and body. */
    private static final int ENTRY_OVERHEAD_BYTES = 24;

    /** The committed items, by key. */
    private final Map<String, ConfigurationItem> committed = new TreeMap<>();
    /** The number of the change that committed each item, by the item's key. */
    private final Map<String, Long> changeNumbers = new HashMap<>();

    private final TreeMap<Long, ConfigurationItem> itemsByChange = new TreeMap<>();
    /** Digests of the committed items and watermarks; null until first used, as most replicas are never compared. */
    private DigestTree digests;
    /** The committed items; null until the first proposal is validated, as it is not needed during startup. */
    private ConfigurationTable table;

    /** The pending proposals by id, in the order in which they became pending. */
    private final Map<String, Proposal> pending = new LinkedHashMap<>();

    private final WatermarkTable watermarks = new WatermarkTable();
    private long lastChange;
    private String problem = "";

    // ---- Validation --------------------------------------------------------------------------------

    /**
     * Validates a proposal; {@link #problem()} returns the reason why it is not valid. A proposal that is already
     * pending remains valid.
     */
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
        for (Proposal proposal : pending.values()) {
            withPending.add(proposal.items());
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
        for (Proposal proposal : pending.values()) {
            for (ConfigurationItem pendingItem : proposal.items()) {
                for (ConfigurationItem item : items) {
                    boolean sameRevision =
                            item.key().equals(pendingItem.key()) && item.revision() == pendingItem.revision();
                    if (sameRevision && !item.equals(pendingItem)) {
                        return true;
                    }
                }
            }
        }
        return false;
    }

    /**
     * Validates the revision of one item. Returns null if the revision has been committed with the same body, and
     * {@link ValidationResult#VALID} if it has not been committed.
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

    /** Why the most recently validated invalid proposal was not valid. */
    public String problem() {
        return problem;
    }

    /** Returns the items whose revisions have not been committed, as far as this replica knows. */
    public List<ConfigurationItem> findUncommitted(List<ConfigurationItem> items) {
        List<ConfigurationItem> uncommitted = new ArrayList<>();
        for (ConfigurationItem item : items) {
            if (classify(item) == ValidationResult.VALID) {
                uncommitted.add(item);
            }
        }
        return uncommitted;
    }

    /** Whether the committed items would be valid after the given proposals, each of them a list of items. */
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

    /** Adds a valid proposal to the pending ones, or replaces it there if its ballot has changed. */
    public void addPending(Proposal proposal) {
        pending.put(proposal.id(), proposal);
    }

    /** Removes a proposal from the pending ones and commits or discards its items. */
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

    /** Returns a live view of the pending proposals by id, in the order in which they became pending. */
    public Map<String, Proposal> pending() {
        return pending;
    }

    // ---- Committed items and watermarks ------------------------------------------------------------

    /** Merges items that other stores have committed; returns those that were added here or replaced an older item. */
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

    /** Commits an item; {@code replaced} is the item committed before under the same key, or null. */
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

    /** Returns the items that {@link #merge} would retain, either as items or as watermarks. */
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

    /** Merges the watermarks of another store; returns those that were not known here. */
    public List<Watermark> mergeWatermarks(Collection<Watermark> received) {
        List<Watermark> added = new ArrayList<>();
        for (Watermark watermark : received) {
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

    /** Returns a live view of all watermarks, in the order in which they were added. */
    public Collection<Watermark> watermarks() {
        return watermarks.all();
    }

    /** Returns the watermarks that were added after a change. */
    public List<Watermark> watermarksSince(long change) {
        return watermarks.since(change);
    }

    /** Returns a live view of all committed items including deletions, in the order of their keys. */
    public Collection<ConfigurationItem> committed() {
        return committed.values();
    }

    /** The number of the last change, or 0 if there is none. */
    public long lastChange() {
        return lastChange;
    }

    /** Returns the items that were committed after a change, in the order of their commits. */
    public List<ConfigurationItem> committedSince(long change) {
        return new ArrayList<>(itemsByChange.tailMap(change, false).values());
    }

    // ---- Batches for followers ---------------------------------------------------------------------

    /**
     * Returns the changes after {@code change}, in a batch that is limited to about {@code maxBytes}. It holds at least
     * one change if there is one.
     */
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

    /** Returns the digests of all committed items and watermarks; after the first call they are kept up to date. */
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

    /** Returns all items and watermarks whose keys are in the given fine ranges of {@link #digests()}. */
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
