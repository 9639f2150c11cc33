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
import reedmux.control.instances.InstanceDirectory;
import reedmux.control.instances.InstanceIncarnation;
import reedmux.control.registry.ControlCall.ShowCall;
import reedmux.control.rpc.Messages.Hello;
import reedmux.control.rpc.RpcConnection;
import reedmux.control.rpc.RpcDialer;
import reedmux.control.session.ProxySession;
import reedmux.control.session.SessionTable;
import reedmux.control.session.SessionView;

/**
 * Renders the JSON response to an operator's {@code Show} call, which combines the state of this machine's registry at
 * one point in time with the status that the nearest store reported.
 */
final class RegistryStatusReport {
    private static final String MEMBERS = "Members";
    private static final String CHECKERS = "Checkers";
    private static final long MICROS_PER_MILLI = 1000;
    /** Fields of a store's status that are moved to the top level of the report. */
    private static final List<String> STORE_ENTRY_FIELDS = List.of("change", "total", "held", "entries", "next");
    /** Indexed by the phases of {@link InstanceIncarnation}. */
    private static final List<String> PHASE_NAMES = List.of("ready", "draining", "gone");

    private final Hello localHello;
    private final InstanceDirectory directory;
    private final SessionTable sessions;
    private final List<RpcDialer> registries;
    private final long now;

    /**
     * Creates a report.
     *
     * @param registries the connections to the other registries
     * @param now the time by the reactor's clock, in microseconds
     */
    RegistryStatusReport(
            Hello localHello,
            InstanceDirectory directory,
            SessionTable sessions,
            List<RpcDialer> registries,
            long now) {
        this.localHello = localHello;
        this.directory = directory;
        this.sessions = sessions;
        this.registries = registries;
        this.now = now;
    }

    /**
     * Renders the report.
     *
     * @param storeJson the status that a store reported, or null if there is none
     * @param storeProblem the reason why there is no status
     */
    String toJson(ShowCall show, String storeJson, String storeProblem) {
        Map<String, Object> storeStatus;
        String problem = storeProblem;
        try {
            storeStatus = parseStoreStatus(storeJson);
        } catch (InvalidConfigurationException e) {
            storeStatus = Map.of();
            problem = "the store's answer cannot be read: " + e.getMessage();
        }
        Map<String, Object> report = new LinkedHashMap<>();
        report.put("show", show.subject());
        report.put("node", localHello.node());
        report.put("ip", localHello.ip());
        report.put("incarnation", Long.toHexString(localHello.incarnation()));
        // Only a store can verify contact with a majority, so without its status the report says false.
        report.put("majority", Boolean.TRUE.equals(storeStatus.get("majority")));
        report.put("epoch", storeStatus.get("epoch"));
        boolean reportedByRegistry =
                show.subject().equals(MEMBERS) || show.subject().equals(CHECKERS);
        report.put("ageMs", reportedByRegistry ? addRegistries(report) : storeStatus.get("ageMs"));
        Map<String, Object> entryFields = entryFields(show, storeStatus);
        if (storeStatus.isEmpty()) {
            report.put("why", problem);
        } else {
            STORE_ENTRY_FIELDS.forEach(storeStatus::remove);
            report.put("store", storeStatus);
        }
        report.putAll(entryFields);
        return ItemJson.write(report);
    }

    /** Returns an empty map if there is no status. */
    private static Map<String, Object> parseStoreStatus(String storeJson) throws InvalidConfigurationException {
        return storeJson == null
                ? Map.of()
                : new LinkedHashMap<>(ItemJson.requireObject(ItemJson.parse(storeJson), "its answer"));
    }

    /**
     * Returns the entries with their counts and the paging field. The entries of proxies and instances come from this
     * registry, all others from the store.
     */
    private Map<String, Object> entryFields(ShowCall show, Map<String, Object> storeStatus) {
        Map<String, Object> fields = new LinkedHashMap<>();
        for (String field : STORE_ENTRY_FIELDS) {
            if (storeStatus.containsKey(field)) {
                fields.put(field, storeStatus.get(field));
            }
        }
        if (show.subject().equals(MEMBERS)) {
            addSessions(fields, show);
        } else if (show.subject().equals(CHECKERS)) {
            addInstances(fields, show);
        } else if (storeStatus.isEmpty()) {
            fields.put("entries", List.of());
        }
        return fields;
    }

    /**
     * Adds the other registries to the report.
     *
     * @return the time in milliseconds since the last message of the registry that has been silent for longest, or null
     *     if a registry is not connected
     */
    private Long addRegistries(Map<String, Object> report) {
        List<Object> entries = new ArrayList<>();
        Long ageMillis = 0L;
        for (RpcDialer dialer : registries) {
            RpcConnection connection = dialer.connection();
            Long millisSinceReceived =
                    connection == null ? null : (Long) ((now - connection.lastReceivedMicros()) / MICROS_PER_MILLI);
            Map<String, Object> entry = new LinkedHashMap<>();
            entry.put("ip", dialer.address().getAddress().getHostAddress());
            entry.put("linked", connection != null);
            entry.put("heardMs", millisSinceReceived);
            entries.add(entry);
            ageMillis = ageMillis == null || millisSinceReceived == null
                    ? null
                    : (Long) Math.max(ageMillis, millisSinceReceived);
        }
        report.put("registries", entries);
        return ageMillis;
    }

    private void addSessions(Map<String, Object> fields, ShowCall show) {
        Set<String> localNodes = new HashSet<>();
        sessions.localSessions().forEach(session -> localNodes.add(session.node()));
        SessionView view = sessions.view(now);
        List<Object> entries = new ArrayList<>();
        String lastNode = null;
        String nextAfterName = null;
        for (ProxySession session : view.members()) { // sorted by node name
            if (session.node().compareTo(show.afterName()) <= 0) {
                continue;
            } else if (entries.size() == show.limit()) {
                nextAfterName = lastNode;
                break;
            }
            entries.add(sessionEntry(session, localNodes.contains(session.node())));
            lastNode = session.node();
        }
        fields.put("view", Long.toHexString(view.digest()));
        fields.put("total", view.size());
        fields.put("entries", entries);
        fields.put("next", nextAfterName);
    }

    private static Map<String, Object> sessionEntry(ProxySession session, boolean local) {
        Map<String, Object> entry = new LinkedHashMap<>();
        entry.put("node", session.node());
        entry.put("ip", session.ip());
        entry.put("zone", session.zone());
        entry.put("incarnation", Long.toHexString(session.incarnation()));
        entry.put("here", local);
        return entry;
    }

    private void addInstances(Map<String, Object> fields, ShowCall show) {
        // Holds the page and one more entry, sorted by id; the directory is sorted by change.
        TreeMap<String, InstanceIncarnation> page = new TreeMap<>();
        int total = 0;
        for (InstanceIncarnation instance : directory.all(now)) {
            if (!show.service().isEmpty() && !show.service().equals(instance.service())) {
                continue;
            }
            total++;
            if (instance.id().compareTo(show.afterName()) > 0) {
                page.put(instance.id(), instance);
                if (page.size() > show.limit() + 1) {
                    page.pollLastEntry();
                }
            }
        }
        boolean hasMore = page.size() > show.limit();
        if (hasMore) {
            page.pollLastEntry();
        }
        List<Object> entries = new ArrayList<>();
        page.values().forEach(instance -> entries.add(instanceEntry(instance)));
        fields.put("total", total);
        fields.put("entries", entries);
        fields.put("next", hasMore ? page.lastKey() : null);
    }

    private Map<String, Object> instanceEntry(InstanceIncarnation instance) {
        Map<String, Object> entry = new LinkedHashMap<>();
        entry.put("id", instance.id());
        entry.put("service", instance.service());
        entry.put("address", instance.address());
        entry.put("zone", instance.zone());
        entry.put("phase", PHASE_NAMES.get(instance.phase()));
        entry.put("silent", instance.unresponsive());
        entry.put("seq", instance.sequence());
        entry.put("heardMs", directory.millisSinceLastContact(instance.id(), now));
        return entry;
    }
}
