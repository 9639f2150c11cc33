package reedmux.store;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import reedmux.boot.Boot;
import reedmux.item.Agreement;
import reedmux.item.Item;
import reedmux.item.Json;
import reedmux.item.Members;
import reedmux.item.Membership;
import reedmux.item.Proposal;
import reedmux.item.Replica;
import reedmux.link.Messages.Show;

/** What an operator is shown of one store: what it knows, as of when, and whether a quorum is in touch. */
final class StoreView {
    private static final long MILLI = 1000;
    /** So much of items' text goes into one answer. */
    private static final int MOST_TEXT = 1024 * 1024;

    private final Boot boot;
    private final long incarnation;
    private final Agreement agreement;
    private final Membership membership;
    private final Replica replica;
    private final Map<String, Long> heard;
    private final long linkedAt;
    private final long now;

    /** {@code heard}: when each of the others with which a link stands was heard last. */
    StoreView(
            Boot boot,
            long incarnation,
            Agreement agreement,
            Membership membership,
            Replica replica,
            Map<String, Long> heard,
            long linkedAt,
            long now) {
        this.boot = boot;
        this.incarnation = incarnation;
        this.agreement = agreement;
        this.membership = membership;
        this.replica = replica;
        this.heard = heard;
        this.linkedAt = linkedAt;
        this.now = now;
    }

    /** {@code reached}: a quorum has answered since {@code begun}. */
    String text(Show show, boolean reached, long begun) {
        Map<String, Object> all = new LinkedHashMap<>();
        all.put("node", boot.node());
        all.put("ip", boot.ip());
        all.put("incarnation", Long.toHexString(incarnation));
        all.put("majority", reached);
        all.put("ageMs", reached ? (Long) ((now - begun) / MILLI) : ago(agreement.provenAt()));
        all.put("linkedMs", ago(linkedAt));
        all.put("epoch", membership.epoch());
        all.put("member", membership.member());
        all.put("whole", agreement.whole());
        all.put("fenced", membership.fenced());
        switch (show.what()) {
            case "Core" -> all.put("entries", core());
            case "Duties" -> all.put("entries", List.of(duty()));
            case "Items" -> items(all, show.after(), show.limit());
            default -> {}
        }
        return Json.write(all);
    }

    /** How long ago that was in milliseconds; null for never. */
    private Long ago(long at) {
        return at < 0 ? null : (Long) ((now - at) / MILLI);
    }

    private List<Object> core() {
        List<Object> entries = new ArrayList<>();
        Members core = membership.core();
        if (core != null) {
            for (Map.Entry<String, String> member : core.nodes().entrySet()) {
                Map<String, Object> entry = new LinkedHashMap<>();
                boolean self = member.getKey().equals(boot.ip());
                Long at = heard.get(member.getKey());
                entry.put("node", member.getValue());
                entry.put("ip", member.getKey());
                entry.put("linked", self || at != null);
                entry.put("heardMs", self ? (Long) 0L : at == null ? null : ago(at));
                entries.add(entry);
            }
        }
        return entries;
    }

    private Map<String, Object> duty() {
        Membership.Duty duty = membership.duty();
        Map<String, Object> entry = new LinkedHashMap<>();
        entry.put("duty", "core changes");
        entry.put("holder", duty.holder());
        entry.put(
                "node",
                membership.core() == null ? "" : membership.core().nodes().getOrDefault(duty.holder(), ""));
        entry.put("epoch", duty.epoch());
        entry.put("sinceMs", ago(duty.since()));
        entry.put("here", membership.onDuty());
        return entry;
    }

    private void items(Map<String, Object> all, String after, int limit) {
        TreeMap<String, Item> page = new TreeMap<>();
        for (Item item : replica.inForce()) {
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
        for (Item item : page.values()) {
            if (entries.size() == limit || text > MOST_TEXT) {
                more = last;
                break;
            }
            Map<String, Object> entry = new LinkedHashMap<>();
            entry.put("kind", item.kind());
            entry.put("name", item.name());
            entry.put("revision", item.revision());
            entry.put("dropped", item.dropped());
            entry.put("body", item.body());
            entries.add(entry);
            text += item.body().length();
            last = item.key();
        }
        List<Object> held = new ArrayList<>();
        for (Proposal proposal : replica.held().values()) {
            if (held.size() < limit) {
                Map<String, Object> call = new LinkedHashMap<>();
                call.put("call", proposal.call());
                call.put("items", proposal.items().size());
                held.add(call);
            }
        }
        all.put("change", replica.changes());
        all.put("total", replica.inForce().size());
        all.put("held", held);
        all.put("entries", entries);
        all.put("next", more);
    }
}
