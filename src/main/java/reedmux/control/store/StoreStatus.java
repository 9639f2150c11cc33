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
import reedmux.control.consensus.CoreMembers;
import reedmux.control.consensus.CoreMembership;
import reedmux.control.consensus.Proposal;
import reedmux.control.replication.Replica;
import reedmux.control.rpc.Messages.StoreStatusRequest;

/** What an operator is shown of one store: what it knows, as of when, and whether a quorum is in touch. */
final class StoreStatus {
    private static final long MICROS_PER_MILLI = 1000;
    /** So much of items' text goes into one answer. */
    private static final int MAX_BODY_CHARS = 1024 * 1024;

    private final ProcessSettings boot;
    private final long incarnation;
    private final ConsensusNode agreement;
    private final CoreMembership membership;
    private final Replica replica;
    private final Map<String, Long> lastHeardAt;
    private final long quorumConnectedAt;
    private final long now;

    /** {@code lastHeardAt}: when each of the others with which a link stands was heard last. */
    StoreStatus(
            ProcessSettings boot,
            long incarnation,
            ConsensusNode agreement,
            CoreMembership membership,
            Replica replica,
            Map<String, Long> heard,
            long linkedAt,
            long now) {
        this.boot = boot;
        this.incarnation = incarnation;
        this.agreement = agreement;
        this.membership = membership;
        this.replica = replica;
        this.lastHeardAt = heard;
        this.quorumConnectedAt = linkedAt;
        this.now = now;
    }

    /** {@code reached}: a quorum has answered since {@code begun}. */
    String toJson(StoreStatusRequest show, boolean reached, long begun) {
        Map<String, Object> all = new LinkedHashMap<>();
        all.put("node", boot.node());
        all.put("ip", boot.ip());
        all.put("incarnation", Long.toHexString(incarnation));
        all.put("majority", reached);
        all.put(
                "ageMs",
                reached ? (Long) ((now - begun) / MICROS_PER_MILLI) : ageMillis(agreement.lastQuorumContactAt()));
        all.put("linkedMs", ageMillis(quorumConnectedAt));
        all.put("epoch", membership.epoch());
        all.put("member", membership.isMember());
        all.put("whole", agreement.isComplete());
        all.put("fenced", membership.isFenced());
        switch (show.subject()) {
            case "Core" -> all.put("entries", memberEntries());
            case "Duties" -> all.put("entries", List.of(coreChangesRoleEntry()));
            case "Items" -> addItems(all, show.afterName(), show.limit());
            default -> {}
        }
        return ItemJson.write(all);
    }

    /** How long ago that was in milliseconds; null for never. */
    private Long ageMillis(long at) {
        return at < 0 ? null : (Long) ((now - at) / MICROS_PER_MILLI);
    }

    private List<Object> memberEntries() {
        List<Object> entries = new ArrayList<>();
        CoreMembers core = membership.core();
        if (core != null) {
            for (Map.Entry<String, String> member : core.nodeNames().entrySet()) {
                Map<String, Object> entry = new LinkedHashMap<>();
                boolean self = member.getKey().equals(boot.ip());
                Long at = lastHeardAt.get(member.getKey());
                entry.put("node", member.getValue());
                entry.put("ip", member.getKey());
                entry.put("linked", self || at != null);
                entry.put("heardMs", self ? (Long) 0L : at == null ? null : ageMillis(at));
                entries.add(entry);
            }
        }
        return entries;
    }

    private Map<String, Object> coreChangesRoleEntry() {
        CoreMembership.CoreLeader duty = membership.leader();
        Map<String, Object> entry = new LinkedHashMap<>();
        entry.put("duty", "core changes");
        entry.put("holder", duty.ip());
        entry.put(
                "node",
                membership.core() == null ? "" : membership.core().nodeNames().getOrDefault(duty.ip(), ""));
        entry.put("epoch", duty.epoch());
        entry.put("sinceMs", ageMillis(duty.since()));
        entry.put("here", membership.isLeader());
        return entry;
    }

    private void addItems(Map<String, Object> all, String after, int limit) {
        TreeMap<String, ConfigurationItem> page = new TreeMap<>();
        for (ConfigurationItem item : replica.committed()) {
            if (item.key().compareTo(after) > 0) {
                page.put(item.key(), item);
                if (page.size() > limit + 1) {
                    page.pollLastEntry();
                }
            }
        }
        List<Object> entries = new ArrayList<>();
        String last = null;
        String more = null;
        int text = 0;
        for (ConfigurationItem item : page.values()) {
            if (entries.size() == limit || text > MAX_BODY_CHARS) {
                more = last;
                break;
            }
            Map<String, Object> entry = new LinkedHashMap<>();
            entry.put("kind", item.kind());
            entry.put("name", item.name());
            entry.put("revision", item.revision());
            entry.put("dropped", item.isDeleted());
            entry.put("body", item.body());
            entries.add(entry);
            text += item.body().length();
            last = item.key();
        }
        List<Object> held = new ArrayList<>();
        for (Proposal proposal : replica.pending().values()) {
            if (held.size() < limit) {
                Map<String, Object> call = new LinkedHashMap<>();
                call.put("call", proposal.id());
                call.put("items", proposal.items().size());
                held.add(call);
            }
        }
        all.put("change", replica.lastChange());
        all.put("total", replica.committed().size());
        all.put("held", held);
        all.put("entries", entries);
        all.put("next", more);
    }
}
