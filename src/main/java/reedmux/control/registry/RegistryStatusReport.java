package reedmux.control.registry;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import reedmux.control.configuration.InvalidConfigurationException;
import reedmux.control.configuration.ItemJson;
import reedmux.control.instances.CheckerIncarnation;
import reedmux.control.instances.InstanceDirectory;
import reedmux.control.rpc.Messages.Hello;
import reedmux.control.rpc.RpcDialer;
import reedmux.control.session.ProxySession;
import reedmux.control.session.SessionTable;

/** What an operator is shown at one machine: what its registry knows, and what a store has said. */
final class RegistryStatusReport {
    private static final long MICROS_PER_MILLI = 1000;
    private static final String[] PHASE_NAMES = {"ready", "draining", "gone"};
    private final Hello localHello;
    private final InstanceDirectory directory;
    private final SessionTable sessions;
    private final List<RpcDialer> registries;
    private final long now;

    RegistryStatusReport(Hello self, InstanceDirectory fleet, SessionTable sessions, List<RpcDialer> others, long now) {
        this.localHello = self;
        this.directory = fleet;
        this.sessions = sessions;
        this.registries = others;
        this.now = now;
    }

    /** {@code store}: what the store has said in JSON, or null and {@code why}. */
    String toJson(ControlCall.ShowCall show, String store, String why) {
        Map<String, Object> all = new LinkedHashMap<>();
        all.put("show", show.subject());
        all.put("node", localHello.node());
        all.put("ip", localHello.ip());
        all.put("incarnation", Long.toHexString(localHello.incarnation()));
        Map<String, Object> told;
        String cause = why;
        try {
            told = store == null
                    ? Map.of()
                    : new LinkedHashMap<>(ItemJson.requireObject(ItemJson.parse(store), "its answer"));
        } catch (InvalidConfigurationException e) {
            told = Map.of();
            cause = "the store's answer cannot be read: " + e.getMessage();
        }
        // Whatever is known here: contact with a majority is what a store has proved.
        all.put("majority", Boolean.TRUE.equals(told.get("majority")));
        all.put("epoch", told.get("epoch"));
        Map<String, Object> entries = new LinkedHashMap<>();
        for (String key : new String[] {"change", "total", "held", "entries", "next"}) {
            if (told.containsKey(key)) {
                entries.put(key, told.get(key));
            }
        }
        boolean ours = show.subject().equals("Members") || show.subject().equals("Checkers");
        if (ours) {
            all.put("ageMs", addRegistries(all));
        } else {
            all.put("ageMs", told.get("ageMs"));
        }
        if (told.isEmpty()) {
            all.put("why", cause);
        } else {
            told.keySet().removeAll(entries.keySet());
            all.put("store", told);
        }
        if (show.subject().equals("Members")) {
            addSessions(entries, show);
        } else if (show.subject().equals("Checkers")) {
            addInstances(entries, show);
        } else if (told.isEmpty()) {
            entries.put("entries", List.of());
        }
        all.putAll(entries);
        return ItemJson.write(all);
    }

    /** Tells of the other registries; returns how old the oldest of their word is, null where one is lost. */
    private Long addRegistries(Map<String, Object> all) {
        List<Object> list = new ArrayList<>();
        Long oldest = 0L;
        for (RpcDialer other : registries) {
            Map<String, Object> entry = new LinkedHashMap<>();
            boolean up = other.connection() != null;
            Long ago = up ? (Long) ((now - other.connection().lastReceivedMicros()) / MICROS_PER_MILLI) : null;
            entry.put("ip", other.address().getAddress().getHostAddress());
            entry.put("linked", up);
            entry.put("heardMs", ago);
            list.add(entry);
            oldest = oldest == null || ago == null ? null : (Long) Math.max(oldest, ago);
        }
        all.put("registries", list);
        return oldest;
    }

    private void addSessions(Map<String, Object> into, ControlCall.ShowCall show) {
        Set<String> own = new HashSet<>();
        sessions.localSessions().forEach(session -> own.add(session.node()));
        List<Object> entries = new ArrayList<>();
        String last = null;
        String more = null;
        List<ProxySession> members = sessions.view(now).members();
        for (ProxySession member : members) { // in the order of their names
            if (member.node().compareTo(show.afterName()) <= 0) {
                continue;
            } else if (entries.size() == show.limit()) {
                more = last;
                break;
            }
            Map<String, Object> entry = new LinkedHashMap<>();
            entry.put("node", member.node());
            entry.put("ip", member.ip());
            entry.put("zone", member.zone());
            entry.put("incarnation", Long.toHexString(member.incarnation()));
            entry.put("here", own.contains(member.node()));
            entries.add(entry);
            last = member.node();
        }
        into.put("view", Long.toHexString(sessions.view(now).digest()));
        into.put("total", members.size());
        into.put("entries", entries);
        into.put("next", more);
    }

    private void addInstances(Map<String, Object> into, ControlCall.ShowCall show) {
        TreeMap<String, CheckerIncarnation> page = new TreeMap<>();
        int total = 0;
        for (CheckerIncarnation checker : directory.all(now)) {
            if (show.service().isEmpty() || show.service().equals(checker.service())) {
                total++;
                if (checker.id().compareTo(show.afterName()) > 0) {
                    page.put(checker.id(), checker);
                    if (page.size() > show.limit() + 1) {
                        page.pollLastEntry();
                    }
                }
            }
        }
        List<Object> entries = new ArrayList<>();
        String last = null;
        String more = null;
        for (CheckerIncarnation checker : page.values()) {
            if (entries.size() == show.limit()) {
                more = last;
                break;
            }
            Map<String, Object> entry = new LinkedHashMap<>();
            entry.put("id", checker.id());
            entry.put("service", checker.service());
            entry.put("address", checker.address());
            entry.put("zone", checker.zone());
            entry.put("phase", PHASE_NAMES[checker.phase()]);
            entry.put("silent", checker.unresponsive());
            entry.put("seq", checker.sequence());
            entry.put("heardMs", directory.millisSinceHeard(checker.id(), now));
            entries.add(entry);
            last = checker.id();
        }
        into.put("total", total);
        into.put("entries", entries);
        into.put("next", more);
    }
}
