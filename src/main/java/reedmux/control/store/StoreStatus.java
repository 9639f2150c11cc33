package reedmux.control.store;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import reedmux.common.settings.ProcessSettings;
import reedmux.control.configuration.ConfigurationItem;
import reedmux.control.configuration.ItemJson;
import reedmux.control.consensus.ConsensusNode;
import reedmux.control.consensus.CoreLeader;
import reedmux.control.consensus.CoreMembers;
import reedmux.control.consensus.CoreMembership;
import reedmux.control.consensus.Proposal;
import reedmux.control.replication.Replica;
import reedmux.control.rpc.Messages.StoreStatusRequest;

/**
 * The status of one store that operators receive as JSON: its view of the system, the age of that view, and whether a
 * quorum is reachable. The keys and values are part of the command-line interface and must not change.
 */
final class StoreStatus {
    private static final long MICROS_PER_MILLI = 1000;
    /** A page of items ends with the item whose body makes the total length, in characters, exceed this value. */
    private static final int MAX_BODY_CHARS = 1024 * 1024;

    private final ProcessSettings settings;
    private final long incarnation;
    private final ConsensusNode consensus;
    private final CoreMembership membership;
    private final Replica replica;
    private final Map<String, Long> lastReceivedMicros;
    private final long quorumConnectedAt;
    private final long now;

    /**
     * Creates the status as of {@code now}. Times are in microseconds of the reactor's clock.
     *
     * @param lastReceivedMicros when the latest message from each connected peer was received, keyed by IP address
     * @param quorumConnectedAt when this store last had connections to a quorum; negative if never
     */
    StoreStatus(
            ProcessSettings settings,
            long incarnation,
            ConsensusNode consensus,
            CoreMembership membership,
            Replica replica,
            Map<String, Long> lastReceivedMicros,
            long quorumConnectedAt,
            long now) {
        this.settings = settings;
        this.incarnation = incarnation;
        this.consensus = consensus;
        this.membership = membership;
        this.replica = replica;
        this.lastReceivedMicros = lastReceivedMicros;
        this.quorumConnectedAt = quorumConnectedAt;
        this.now = now;
    }

    /**
     * Returns the JSON response to a request.
     *
     * @param quorumReached whether a quorum has confirmed contact since the request was received
     * @param receivedAt when the request was received
     */
    String toJson(StoreStatusRequest request, boolean quorumReached, long receivedAt) {
        Map<String, Object> fields = new LinkedHashMap<>();
        fields.put("node", settings.node());
        fields.put("ip", settings.ip());
        fields.put("incarnation", Long.toHexString(incarnation));
        fields.put("majority", quorumReached);
        fields.put("ageMs", ageMillis(quorumReached ? receivedAt : consensus.lastQuorumContactAt()));
        fields.put("linkedMs", ageMillis(quorumConnectedAt));
        fields.put("epoch", membership.epoch());
        fields.put("member", membership.isMember());
        fields.put("whole", consensus.isComplete());
        fields.put("fenced", membership.isFenced());
        switch (request.subject()) {
            case "Core" -> fields.put("entries", memberEntries());
            case "Duties" -> fields.put("entries", List.of(leaderEntry()));
            case "Items" -> addItems(fields, request.afterName(), request.limit());
            default -> {}
        }
        return ItemJson.write(fields);
    }

    /** Returns the milliseconds that have passed since a time; null if it is negative, which means never. */
    private Long ageMillis(long timeMicros) {
        return timeMicros < 0 ? null : Long.valueOf((now - timeMicros) / MICROS_PER_MILLI);
    }

    /** Returns one entry for each member of the core. */
    private List<Object> memberEntries() {
        List<Object> entries = new ArrayList<>();
        CoreMembers core = membership.core();
        if (core != null) {
            for (Map.Entry<String, String> member : core.nodeNames().entrySet()) {
                Map<String, Object> entry = new LinkedHashMap<>();
                boolean isSelf = member.getKey().equals(settings.ip());
                Long lastReceived = lastReceivedMicros.get(member.getKey());
                entry.put("node", member.getValue());
                entry.put("ip", member.getKey());
                entry.put("linked", isSelf || lastReceived != null);
                entry.put("heardMs", isSelf ? Long.valueOf(0) : lastReceived == null ? null : ageMillis(lastReceived));
                entries.add(entry);
            }
        }
        return entries;
    }

    /** Returns the entry of the leader, which makes changes to the core. */
    private Map<String, Object> leaderEntry() {
        CoreLeader leader = membership.leader();
        Map<String, Object> entry = new LinkedHashMap<>();
        entry.put("duty", "core changes");
        entry.put("holder", leader.ip());
        entry.put(
                "node",
                membership.core() == null ? "" : membership.core().nodeNames().getOrDefault(leader.ip(), ""));
        entry.put("epoch", leader.epoch());
        entry.put("sinceMs", ageMillis(leader.since()));
        entry.put("here", membership.isLeader());
        return entry;
    }

    /** Adds one page of the committed items, ordered by key, and the pending proposals. */
    private void addItems(Map<String, Object> fields, String afterKey, int limit) {
        List<Object> entries = new ArrayList<>();
        String lastKey = null;
        String nextAfter = null;
        int bodyChars = 0;
        for (ConfigurationItem item : firstItems(afterKey, limit + 1)) {
            if (entries.size() == limit || bodyChars > MAX_BODY_CHARS) {
                nextAfter = lastKey;
                break;
            }
            entries.add(itemEntry(item));
            bodyChars += item.body().length();
            lastKey = item.key();
        }
        fields.put("change", replica.lastChange());
        fields.put("total", replica.committed().size());
        fields.put("held", pendingEntries(limit));
        fields.put("entries", entries);
        fields.put("next", nextAfter);
    }

    /** Returns the first {@code count} items after a key, ordered by key. */
    private Iterable<ConfigurationItem> firstItems(String afterKey, int count) {
        TreeMap<String, ConfigurationItem> first = new TreeMap<>();
        for (ConfigurationItem item : replica.committed()) {
            if (item.key().compareTo(afterKey) > 0) {
                first.put(item.key(), item);
                if (first.size() > count) {
                    first.pollLastEntry();
                }
            }
        }
        return first.values();
    }

    private static Map<String, Object> itemEntry(ConfigurationItem item) {
        Map<String, Object> entry = new LinkedHashMap<>();
        entry.put("kind", item.kind());
        entry.put("name", item.name());
        entry.put("revision", item.revision());
        entry.put("dropped", item.isDeleted());
        entry.put("body", item.body());
        return entry;
    }

    private List<Object> pendingEntries(int limit) {
        List<Object> entries = new ArrayList<>();
        for (Proposal proposal : replica.pending().values()) {
            if (entries.size() == limit) {
                break;
            }
            Map<String, Object> entry = new LinkedHashMap<>();
            entry.put("call", proposal.id());
            entry.put("items", proposal.items().size());
            entries.add(entry);
        }
        return entries;
    }
}
