package reedmux.common.settings;

import java.util.ArrayList;
import java.util.List;

/** An array of tables that headers in double brackets fill; headers that follow refer to its last table. */
final class TomlTableArray {
    private final List<TomlTable> tables = new ArrayList<>();

    TomlTable addTable() {
        TomlTable table = new TomlTable(TomlTable.Origin.HEADER);
        tables.add(table);
        return table;
    }

    TomlTable last() {
        return tables.get(tables.size() - 1);
    }
}
