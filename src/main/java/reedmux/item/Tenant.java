package reedmux.item;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * A customer.
 *
 * @param priority below nought where the route's holds
 * @param rate     requests a second over all proxies, 0 for no limit
 * @param burst    requests beyond that
 */
public record Tenant(String name, List<String> keys, int priority, double rate, double burst) {

    static Tenant of(Item item) throws Invalid {
        String place = "tenant " + item.name();
        Map<String, Object> map = Json.map(Json.read(item.body()), place);
        List<String> keys = new ArrayList<>();
        for (Object key : Json.list(map.get("keys"), place + ": keys")) {
            keys.add(Json.text(key, place + ": keys"));
        }
        return new Tenant(
                item.name(),
                List.copyOf(keys),
                (int) Json.number(map.get("priority"), -1, place + ": priority"),
                Json.number(map.get("flowPerS"), 0, place + ": flowPerS"),
                Json.number(map.get("burst"), 0, place + ": burst"));
    }
}
