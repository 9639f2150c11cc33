package reedmux.control.configuration;

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
public record TenantItem(String name, List<String> keys, int priority, double requestsPerSecond, double burst) {

    static TenantItem parse(ConfigurationItem item) throws InvalidConfigurationException {
        String place = "tenant " + item.name();
        Map<String, Object> map = ItemJson.requireObject(ItemJson.parse(item.body()), place);
        List<String> keys = new ArrayList<>();
        for (Object key : ItemJson.listOrEmpty(map.get("keys"), place + ": keys")) {
            keys.add(ItemJson.requireString(key, place + ": keys"));
        }
        return new TenantItem(
                item.name(),
                List.copyOf(keys),
                (int) ItemJson.numberOrDefault(map.get("priority"), -1, place + ": priority"),
                ItemJson.numberOrDefault(map.get("flowPerS"), 0, place + ": flowPerS"),
                ItemJson.numberOrDefault(map.get("burst"), 0, place + ": burst"));
    }
}
