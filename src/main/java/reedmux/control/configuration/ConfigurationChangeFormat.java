package reedmux.control.configuration;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The JSON format in which operators send configuration changes and read the whole configuration:
 *
 * <pre>{@code
 * {"apply": {"signals": [{"signalKind": "routes", "heading": {"name": "shop", "revision": 7}, "reference": {...}}]},
 *  "remove": {"tenants": [{"name": "acme", "revision": 3}]}}
 * }</pre>
 *
 * <p>{@code reference} contains an item's body. Items of the kind {@code saturation} have no name.
 */
public final class ConfigurationChangeFormat {
    private ConfigurationChangeFormat() {}

    /** An item of a change with its parsed body; {@code body} is null if the change deletes the item. */
    private record ChangedItem(ConfigurationItem item, Map<String, Object> body) {}

    /**
     * Parses a change.
     *
     * @return the items of the change in their original order, without duplicates; each item is valid on its own
     * @throws InvalidConfigurationException if the text cannot be parsed, an item is invalid on its own, or an item
     *     occurs twice with the same revision and different bodies
     */
    public static List<ConfigurationItem> parse(String text) throws InvalidConfigurationException {
        Map<String, Object> change = ItemJson.requireObject(ItemJson.parse(text), "the call");
        List<ChangedItem> changed = new ArrayList<>();
        if (change.get("apply") != null) {
            parseApplied(ItemJson.requireObject(change.get("apply"), "apply"), changed);
        }
        if (change.get("remove") != null) {
            parseRemoved(ItemJson.requireObject(change.get("remove"), "remove"), changed);
        }
        Map<String, ConfigurationItem> byRevision = new LinkedHashMap<>();
        for (ChangedItem changedItem : changed) {
            ConfigurationItem item = changedItem.item;
            if (!item.isDeleted()) {
                ParsedItem.parse(item.kind(), item.name(), changedItem.body);
            }
            ConfigurationItem previous = byRevision.put(item.key() + ' ' + item.revision(), item);
            if (previous != null && !previous.equals(item)) {
                throw new InvalidConfigurationException(
                        item.key() + " has two contents with the revision " + item.revision());
            }
        }
        return new ArrayList<>(byRevision.values());
    }

    private static void parseApplied(Map<String, Object> apply, List<ChangedItem> changed)
            throws InvalidConfigurationException {
        for (Object element : ItemJson.listOrEmpty(apply.get("signals"), "apply: signals")) {
            Map<String, Object> signal = ItemJson.requireObject(element, "a signal");
            String kind =
                    requireKnownKind(ItemJson.requireString(signal.get("signalKind"), "signalKind"), "signalKind");
            Map<String, Object> heading = ItemJson.requireObject(signal.get("heading"), "heading");
            String name = parseName(kind, heading);
            long revision = parseRevision(kind, heading);
            Map<String, Object> body = ItemJson.requireObject(signal.get("reference"), "reference");
            changed.add(new ChangedItem(new ConfigurationItem(kind, name, revision, ItemJson.write(body)), body));
        }
    }

    private static void parseRemoved(Map<String, Object> remove, List<ChangedItem> changed)
            throws InvalidConfigurationException {
        for (Map.Entry<String, Object> itemsOfKind : remove.entrySet()) {
            String kind = requireKnownKind(itemsOfKind.getKey(), "remove");
            String path = "remove: " + kind;
            for (Object element : ItemJson.listOrEmpty(itemsOfKind.getValue(), path)) {
                Map<String, Object> heading = ItemJson.requireObject(element, path);
                String name = parseName(kind, heading);
                long revision = parseRevision(kind, heading);
                changed.add(new ChangedItem(ConfigurationItem.deleted(kind, name, revision), null));
            }
        }
    }

    private static String requireKnownKind(String kind, String key) throws InvalidConfigurationException {
        if (!ItemKinds.isKnown(kind)) {
            throw new InvalidConfigurationException(key, key + ": no kind of item is called " + kind);
        }
        return kind;
    }

    private static String parseName(String kind, Map<String, Object> heading) throws InvalidConfigurationException {
        if (kind.equals(ItemKinds.LIMITS)) {
            return "";
        }
        String key = kind + ": name";
        String name = ItemJson.requireString(heading.get("name"), key);
        if (name.isEmpty()) {
            throw new InvalidConfigurationException(key, key + " is empty");
        }
        return name;
    }

    private static long parseRevision(String kind, Map<String, Object> heading) throws InvalidConfigurationException {
        return ItemJson.requireInteger(heading.get("revision"), kind + ": revision");
    }

    /** Writes all items that are not deleted, in the format of {@code apply} in a change. */
    public static String write(Iterable<ConfigurationItem> items) {
        StringBuilder out = new StringBuilder("{\"signals\":[");
        String separator = "";
        for (ConfigurationItem item : items) {
            if (!item.isDeleted()) {
                out.append(separator);
                writeItem(out, item);
                separator = ",";
            }
        }
        return out.append("]}").toString();
    }

    private static void writeItem(StringBuilder out, ConfigurationItem item) {
        out.append("{\"signalKind\":").append(ItemJson.write(item.kind())).append(",\"heading\":{");
        if (!item.kind().equals(ItemKinds.LIMITS)) {
            out.append("\"name\":").append(ItemJson.write(item.name())).append(',');
        }
        out.append("\"revision\":").append(item.revision()).append("},\"reference\":");
        out.append(item.body()).append('}');
    }
}
