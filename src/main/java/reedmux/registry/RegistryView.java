package reedmux.registry;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import reedmux.fleet.Fleet;
import reedmux.fleet.Incarnation;
import reedmux.item.Invalid;
import reedmux.item.Json;
import reedmux.link.Dialer;
import reedmux.link.Messages.Hello;
import reedmux.member.Session;
import reedmux.member.Sessions;

/** What an operator is shown at one machine: what its registry knows, and what a store has said. */
final class RegistryView {
    private static final long MILLI = 1000;
    private static final String[] PHASES = {"ready", "draining", "gone"};
    private final Hello self;
    private final Fleet fleet;
    private final Sessions sessions;
    private final List<Dialer> others;
    private final long now;

    RegistryView(Hello self, Fleet fleet, Sessions sessions, List<Dialer> others, long now) {
        this.self = self;
        this.fleet = fleet;
        this.sessions = sessions;
        this.others = others;
        this.now = now;
    }

    /** {@code store}: what the store has said in JSON, or null and {@code why}. */
    String text(ControlCall.Show show, String store, String why) {
        Map<String, Object> all = new LinkedHashMap<>();
        all.put("show", show.what());
        all.put("node", self.node());
        all.put("ip", self.ip());
        all.put("incarnation", Long.toHexString(self.life()));
        Map<String, Object> told;
        String cause = why;
        try {
            told = store == null ? Map.of() : new LinkedHashMap<>(Json.map(Json.read(store), "its answer"));
        } catch (Invalid e) {
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
        boolean ours = show.what().equals("Members") || show.what().equals("Checkers");
        if (ours) {
            all.put("ageMs", heard(all));
        } else {
            all.put("ageMs", told.get("ageMs"));
        }
        if (told.isEmpty()) {
            all.put("why", cause);
        } else {
            told.keySet().removeAll(entries.keySet());
            all.put("store", told);
        }
        if (show.what().equals("Members")) {
            members(entries, show);
        } else if (show.what().equals("Checkers")) {
            checkers(entries, show);
        } else if (told.isEmpty()) {
            entries.put("entries", List.of());
        }
        all.putAll(entries);
        return Json.write(all);
    }

    /** Tells of the other registries; returns how old the oldest of their word is, null where one is lost. */
    private Long heard(Map<String, Object> all) {
        List<Object> list = new ArrayList<>();
        Long oldest = 0L;
        for (Dialer other : others) {
            Map<String, Object> entry = new LinkedHashMap<>();
            boolean up = other.link() != null;
            Long ago = up ? (Long) ((now - other.link().heardAt()) / MILLI) : null;
            entry.put("ip", other.to().getAddress().getHostAddress());
            entry.put("linked", up);
            entry.put("heardMs", ago);
            list.add(entry);
            oldest = oldest == null || ago == null ? null : (Long) Math.max(oldest, ago);
        }
        all.put("registries", list);
        return oldest;
    }

    private void members(Map<String, Object> into, ControlCall.Show show) {
        Set<String> own = new HashSet<>();
        sessions.own().forEach(session -> own.add(session.node()));
        List<Object> entries = new ArrayList<>();
        String last = null;
        String more = null;
        List<Session> members = sessions.view(now).members();
        for (Session member : members) { // in the order of their names
            if (member.node().compareTo(show.after()) <= 0) {
                continue;
            } else if (entries.size() == show.limit()) {
                more = last;
                break;
            }
            Map<String, Object> entry = new LinkedHashMap<>();
            entry.put("node", member.node());
            entry.put("ip", member.ip());
            entry.put("zone", member.zone());
            entry.put("incarnation", Long.toHexString(member.life()));
            entry.put("here", own.contains(member.node()));
            entries.add(entry);
            last = member.node();
        }
        into.put("view", Long.toHexString(sessions.view(now).tag()));
        into.put("total", members.size());
        into.put("entries", entries);
        into.put("next", more);
    }

    private void checkers(Map<String, Object> into, ControlCall.Show show) {
        TreeMap<String, Incarnation> page = new TreeMap<>();
        int total = 0;
        for (Incarnation checker : fleet.all(now)) {
            if (show.service().isEmpty() || show.service().equals(checker.plant())) {
                total++;
                if (checker.id().compareTo(show.after()) > 0) {
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
        for (Incarnation checker : page.values()) {
            if (entries.size() == show.limit()) {
                more = last;
                break;
            }
            Map<String, Object> entry = new LinkedHashMap<>();
            entry.put("id", checker.id());
            entry.put("service", checker.plant());
            entry.put("address", checker.address());
            entry.put("zone", checker.zone());
            entry.put("phase", PHASES[checker.phase()]);
            entry.put("silent", checker.silent());
            entry.put("seq", checker.seq());
            entry.put("heardMs", fleet.heardAgoMs(checker.id(), now));
            entries.add(entry);
            last = checker.id();
        }
        into.put("total", total);
        into.put("entries", entries);
        into.put("next", more);
    }
}
