package reedmux.item;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A call of the operator that changes items: as it is read, and as all items are told again. */
public final class Change {
    private static final List<String> KINDS = List.of("routes", "plants", "tenants", "saturation");

    private Change() {}

    /** Reads a call's body; what is wrong in one item alone is found here. */
    public static List<Item> read(String text) throws Invalid {
        Map<String, Object> call = Json.map(Json.read(text), "the call");
        List<Item> items = new ArrayList<>();
        Object apply = call.get("apply");
        if (apply != null) {
            for (Object element : Json.list(Json.map(apply, "apply").get("signals"), "apply: signals")) {
                items.add(signal(Json.map(element, "a signal")));
            }
        }
        Object remove = call.get("remove");
        if (remove != null) {
            for (Map.Entry<String, Object> list : Json.map(remove, "remove").entrySet()) {
                String kind = kind(list.getKey(), "remove");
                for (Object element : Json.list(list.getValue(), "remove: " + kind)) {
                    Map<String, Object> dropped = Json.map(element, "remove: " + kind);
                    items.add(new Item(kind, name(kind, dropped), revision(dropped, kind), ""));
                }
            }
        }
        Map<String, Item> all = new LinkedHashMap<>();
        for (Item item : items) {
            if (!item.dropped()) {
                alone(item);
            }
            Item other = all.put(item.key() + ' ' + item.revision(), item);
            if (other != null && !other.equals(item)) {
                throw new Invalid(item.key() + " has two contents with the revision " + item.revision());
            }
        }
        return new ArrayList<>(all.values());
    }

    private static void alone(Item item) throws Invalid {
        switch (item.kind()) {
            case "routes" -> Route.of(item);
            case "plants" -> Plant.of(item);
            case "tenants" -> Tenant.of(item);
            default -> Bounds.of(item);
        }
    }

    private static Item signal(Map<String, Object> signal) throws Invalid {
        String kind = kind(Json.text(signal.get("signalKind"), "signalKind"), "signalKind");
        Map<String, Object> heading = Json.map(signal.get("heading"), "heading");
        return new Item(
                kind,
                name(kind, heading),
                revision(heading, kind),
                Json.write(Json.map(signal.get("reference"), "reference")));
    }

    private static String kind(String told, String place) throws Invalid {
        if (!KINDS.contains(told)) {
            throw new Invalid(place + ": no kind of item is called " + told);
        }
        return told;
    }

    private static String name(String kind, Map<String, Object> heading) throws Invalid {
        if (kind.equals("saturation")) {
            return "";
        }
        String name = Json.text(heading.get("name"), kind + ": name");
        if (name.isEmpty()) {
            throw new Invalid(kind + ": name is empty");
        }
        return name;
    }

    private static long revision(Map<String, Object> heading, String kind) throws Invalid {
        return Json.whole(heading.get("revision"), kind + ": revision");
    }

    /** All items that stand, laid out as in a call's {@code apply}. */
    public static String write(Iterable<Item> items) {
        StringBuilder out = new StringBuilder("{\"signals\":[");
        String between = "";
        for (Item item : items) {
            if (!item.dropped()) {
                out.append(between)
                        .append("{\"signalKind\":")
                        .append(Json.write(item.kind()))
                        .append(",\"heading\":{");
                if (!item.kind().equals("saturation")) {
                    out.append("\"name\":").append(Json.write(item.name())).append(',');
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
