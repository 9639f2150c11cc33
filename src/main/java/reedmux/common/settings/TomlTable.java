package reedmux.common.settings;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * A table of a TOML document. Its values are of the types String, Long, Double, Boolean, {@link TomlDateTime}, List of
 * these, {@link TomlTable} or {@link TomlTableArray}.
 */
final class TomlTable {

    /** How a table came about, which decides what may still be added to it. */
    enum Origin {
        /** Part of the path of a header; its own header may follow once. */
        PATH,
        /** Part of a dotted key; further dotted keys and headers of tables below it may follow. */
        DOTTED_KEY,
        /** Named by a header, or an element of an array of tables; headers of tables below it may follow. */
        HEADER,
        /** Written in braces; nothing may be added. */
        INLINE
    }

    /** A value and the line of its key, starting at 1. */
    record TomlEntry(Object value, int line) {}

    private final Map<String, TomlEntry> entries = new LinkedHashMap<>();
    private Origin origin;

    TomlTable(Origin origin) {
        this.origin = origin;
    }

    Origin origin() {
        return origin;
    }

    void setOrigin(Origin origin) {
        this.origin = origin;
    }

    /** Returns the entry of a key, or null. */
    TomlEntry get(String key) {
        return entries.get(key);
    }

    void put(String key, Object value, int line) {
        entries.put(key, new TomlEntry(value, line));
    }
}
