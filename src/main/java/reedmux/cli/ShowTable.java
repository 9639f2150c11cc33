package reedmux.cli;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import reedmux.control.configuration.InvalidConfigurationException;
import reedmux.control.configuration.ItemJson;

/** Formats the response to a {@code Show} RPC as a human-readable table. */
final class ShowTable {
    /** The maximum width of a column in characters; longer cells extend beyond it. */
    private static final int MAX_CELL_WIDTH = 48;

    private static final int COLUMN_GAP = 2;
    /** A field of items that may be long and is intended for tools; the table omits it. */
    private static final String HIDDEN_COLUMN = "body";

    private ShowTable() {}

    /**
     * Formats a response: first its sender, its age and whether it may be out of date, then its entries as a table.
     *
     * @param address the address of the machine that sent the response
     * @param json    the body of the response
     * @throws InvalidConfigurationException if the body is not a response to a {@code Show} RPC
     */
    static String format(String address, String json) throws InvalidConfigurationException {
        Map<String, Object> response = ItemJson.requireObject(ItemJson.parse(json), "the answer");
        List<Map<String, Object>> rows = new ArrayList<>();
        for (Object entry : ItemJson.listOrEmpty(response.get("entries"), "entries")) {
            rows.add(ItemJson.requireObject(entry, "an entry"));
        }
        StringBuilder out = new StringBuilder();
        appendSource(out, address, response);
        appendRows(out, rows);
        appendTotals(out, rows.size(), response);
        return out.toString();
    }

    private static void appendSource(StringBuilder out, String address, Map<String, Object> response) {
        boolean majority = Boolean.TRUE.equals(response.get("majority"));
        Object age = response.get("ageMs");
        Object epoch = response.get("epoch");
        out.append(majority ? "in contact with a majority" : "NO CONTACT WITH A MAJORITY: may be out of date")
                .append("; told by ")
                .append(response.get("node"))
                .append(" (")
                .append(address)
                .append("), age ")
                .append(age == null ? "not known" : age + " ms")
                .append(", epoch ")
                .append(epoch == null ? "not known" : epoch)
                .append('\n');
        if (response.get("why") != null) {
            out.append("no store has answered: ").append(response.get("why")).append('\n');
        }
    }

    private static void appendRows(StringBuilder out, List<Map<String, Object>> rows) {
        if (rows.isEmpty()) {
            return;
        }
        List<String> columns = new ArrayList<>(rows.get(0).keySet());
        columns.remove(HIDDEN_COLUMN);
        int[] widths = new int[columns.size()];
        for (int i = 0; i < widths.length; i++) {
            widths[i] = width(columns.get(i), rows);
        }
        appendLine(out, columns, widths);
        for (Map<String, Object> row : rows) {
            List<String> cells = new ArrayList<>();
            columns.forEach(column -> cells.add(cell(row, column)));
            appendLine(out, cells, widths);
        }
    }

    private static int width(String column, List<Map<String, Object>> rows) {
        int width = column.length();
        for (Map<String, Object> row : rows) {
            width = Math.max(width, Math.min(MAX_CELL_WIDTH, cell(row, column).length()));
        }
        return width;
    }

    private static void appendLine(StringBuilder out, List<String> cells, int[] widths) {
        StringBuilder line = new StringBuilder();
        for (int i = 0; i < widths.length; i++) {
            String cell = cells.get(i);
            line.append(cell).append(" ".repeat(Math.max(0, widths[i] - cell.length()) + COLUMN_GAP));
        }
        out.append(line.toString().stripTrailing()).append('\n');
    }

    private static String cell(Map<String, Object> row, String column) {
        Object value = row.get(column);
        return value == null ? "-" : value.toString();
    }

    private static void appendTotals(StringBuilder out, int shown, Map<String, Object> response)
            throws InvalidConfigurationException {
        out.append(shown).append(" shown");
        if (response.get("total") != null) {
            out.append(" of ").append(response.get("total"));
        }
        if (response.get("next") != null) {
            out.append("; the next: --after ").append(response.get("next"));
        }
        int undecided = ItemJson.listOrEmpty(response.get("held"), "held").size();
        if (undecided > 0) {
            out.append("; ").append(undecided).append(" calls not decided on");
        }
    }
}
