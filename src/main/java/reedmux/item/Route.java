package reedmux.item;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * A route as it is used; times are microseconds.
 *
 * @param repeatable whether a request may run more than once
 * @param cutoff     the longest time that a request is held
 * @param aim        the time within which an answer earns its full worth
 */
public record Route(
        String name,
        String host,
        String prefix,
        boolean repeatable,
        long cutoff,
        long aim,
        int priority,
        List<Part> parts,
        int attempts,
        boolean unkeyed) {

    /** A service that a share of the requests goes to. */
    public record Part(String plant, double gain) {}

    private static final long MILLI = 1000;
    private static final long LONGEST = 3_600_000;

    static Route of(Item item) throws Invalid {
        String place = "route " + item.name();
        Map<String, Object> map = Json.map(Json.read(item.body()), place);
        String host = Json.text(map.get("host"), place + ": host");
        String prefix = Json.text(map.get("prefix"), place + ": prefix");
        if (host.isEmpty()) {
            throw new Invalid(place + ": host is empty");
        } else if (!prefix.startsWith("/")) {
            throw new Invalid(place + ": prefix does not begin with a slash");
        }
        List<Part> parts = new ArrayList<>();
        Object split = map.get("split");
        if (split != null) {
            for (Object element : Json.list(split, place + ": split")) {
                Map<String, Object> part = Json.map(element, place + ": split");
                parts.add(new Part(
                        Json.text(part.get("plant"), place + ": split: plant"),
                        Json.number(part.get("gain"), 1, place + ": split: gain")));
            }
            if (parts.stream().mapToDouble(Part::gain).sum() <= 0) {
                throw new Invalid(place + ": split has no gain above 0");
            }
        } else {
            parts.add(new Part(Json.text(map.get("plant"), place + ": plant"), 1));
        }
        String kind = Json.text(map.get("kind"), place + ": kind");
        if (!List.of("idempotent", "effectful", "inflow").contains(kind)) {
            throw new Invalid(place + ": kind is none that is known: " + kind);
        }
        return new Route(
                item.name(),
                host.toLowerCase(java.util.Locale.ROOT),
                prefix,
                kind.equals("idempotent"),
                millis(map, "cutoffMs", place),
                millis(map, "setpointMs", place),
                (int) Json.number(map.get("priority"), 0, place + ": priority"),
                List.copyOf(parts),
                (int) Math.max(1, Json.number(map.get("attempts"), 1, place + ": attempts")),
                Json.flag(map.get("unkeyed"), false, place + ": unkeyed"));
    }

    private static long millis(Map<String, Object> map, String key, String place) throws Invalid {
        return (long) Math.min(LONGEST, Json.number(map.get(key), LONGEST, place + ": " + key)) * MILLI;
    }
}
