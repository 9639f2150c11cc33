package reedmux.control.configuration;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A call of the operator that changes items: as it is read, and as all items are told again. */
public final class ConfigurationChangeFormat {
    private static final List<String> KINDS = List.of("routes", "plants", "tenants", "saturation");

    private ConfigurationChangeFormat() {}

    /** Reads a call's body; what is wrong in one item alone is found here. */
    public static List<ConfigurationItem> parse(String text) throws InvalidConfigurationException {
        Map<String, Object> call = ItemJson.requireObject(ItemJson.parse(text), "the call");
        List<ConfigurationItem> items = new ArrayList<>();
        Object apply = call.get("apply");
        if (apply != null) {
            for (Object element :
                    ItemJson.listOrEmpty(ItemJson.requireObject(apply, "apply").get("signals"), "apply: signals")) {
                items.add(parseItem(ItemJson.requireObject(element, "a signal")));
            }
        }
        Object remove = call.get("remove");
        if (remove != null) {
            for (Map.Entry<String, Object> list :
                    ItemJson.requireObject(remove, "remove").entrySet()) {
                String kind = requireKnownKind(list.getKey(), "remove");
                for (Object element : ItemJson.listOrEmpty(list.getValue(), "remove: " + kind)) {
                    Map<String, Object> dropped = ItemJson.requireObject(element, "remove: " + kind);
                    items.add(new ConfigurationItem(kind, parseName(kind, dropped), parseRevision(dropped, kind), ""));
                }
            }
        }
        Map<String, ConfigurationItem> all = new LinkedHashMap<>();
        for (ConfigurationItem item : items) {
            if (!item.isDeleted()) {
                validate(item);
            }
            ConfigurationItem other = all.put(item.key() + ' ' + item.revision(), item);
            if (other != null && !other.equals(item)) {
                throw new InvalidConfigurationException(
                        item.key() + " has two contents with the revision " + item.revision());
            }
        }
        return new ArrayList<>(all.values());
    }

    private static void validate(ConfigurationItem item) throws InvalidConfigurationException {
        switch (item.kind()) {
            case "routes" -> RouteItem.parse(item);
            case "plants" -> ServiceItem.parse(item);
            case "tenants" -> TenantItem.parse(item);
            default -> RequestLimits.parse(item);
        }
    }

    private static ConfigurationItem parseItem(Map<String, Object> signal) throws InvalidConfigurationException {
        String kind = requireKnownKind(ItemJson.requireString(signal.get("signalKind"), "signalKind"), "signalKind");
        Map<String, Object> heading = ItemJson.requireObject(signal.get("heading"), "heading");
        return new ConfigurationItem(
                kind,
                parseName(kind, heading),
                parseRevision(heading, kind),
                ItemJson.write(ItemJson.requireObject(signal.get("reference"), "reference")));
    }

    private static String requireKnownKind(String told, String place) throws InvalidConfigurationException {
        if (!KINDS.contains(told)) {
            throw new InvalidConfigurationException(place + ": no kind of item is called " + told);
        }
        return told;
    }

    private static String parseName(String kind, Map<String, Object> heading) throws InvalidConfigurationException {
        if (kind.equals("saturation")) {
            return "";
        }
        String name = ItemJson.requireString(heading.get("name"), kind + ": name");
        if (name.isEmpty()) {
            throw new InvalidConfigurationException(kind + ": name is empty");
        }
        return name;
    }

    private static long parseRevision(Map<String, Object> heading, String kind) throws InvalidConfigurationException {
        return ItemJson.requireInteger(heading.get("revision"), kind + ": revision");
    }

    /** All items that stand, laid out as in a call's {@code apply}. */
    public static String write(Iterable<ConfigurationItem> items) {
        StringBuilder out = new StringBuilder("{\"signals\":[");
        String between = "";
        for (ConfigurationItem item : items) {
            if (!item.isDeleted()) {
                out.append(between)
                        .append("{\"signalKind\":")
                        .append(ItemJson.write(item.kind()))
                        .append(",\"heading\":{");
                if (!item.kind().equals("saturation")) {
                    out.append("\"name\":").append(ItemJson.write(item.name())).append(',');
                }
                out.append("\"revision\":")
                        .append(item.revision())
                        .append("},\"reference\":")
                        .append(item.body())
                        .append('}');
                between = ",";
            }
        }
        return out.append("]}").toString();
    }
}
