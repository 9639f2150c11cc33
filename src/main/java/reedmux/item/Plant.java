package reedmux.item;

import java.util.Map;

/**
 * A service.
 *
 * @param ceiling connections that one checker takes from all callers together
 */
public record Plant(String name, String probe, int ceiling) {
    private static final int USUAL = 100;

    static Plant of(Item item) throws Invalid {
        String place = "plant " + item.name();
        Map<String, Object> map = Json.map(Json.read(item.body()), place);
        Object probe = map.get("probe");
        return new Plant(item.name(), probe == null ? "/" : Json.text(probe, place + ": probe"), (int)
                Json.number(map.get("connCeiling"), USUAL, place + ": connCeiling"));
    }
}
