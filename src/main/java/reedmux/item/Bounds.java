package reedmux.item;

import java.util.Map;

/** What a client may send and how long it may take, the item {@code saturation}; times are microseconds. */
public record Bounds(int headerBytes, long bodyBytes, long headerTime, long idleTime) {
    /** What holds before there is an item. */
    public static final Bounds USUAL = new Bounds(16_384, 64 << 20, 3_000_000, 15_000_000);

    /** Whatever either of the two allows. */
    public Bounds loosest(Bounds other) {
        return new Bounds(
                Math.max(headerBytes, other.headerBytes),
                Math.max(bodyBytes, other.bodyBytes),
                Math.max(headerTime, other.headerTime),
                Math.max(idleTime, other.idleTime));
    }

    static Bounds of(Item item) throws Invalid {
        Map<String, Object> map = Json.map(Json.read(item.body()), "saturation");
        return new Bounds(
                (int) Json.number(map.get("headerBytes"), USUAL.headerBytes, "saturation: headerBytes"),
                (long) Json.number(map.get("bodyBytes"), USUAL.bodyBytes, "saturation: bodyBytes"),
                (long) (1000 * Json.number(map.get("headerMs"), 3000, "saturation: headerMs")),
                (long) (1000 * Json.number(map.get("idleMs"), 15_000, "saturation: idleMs")));
    }
}
