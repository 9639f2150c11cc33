package reedmux.cli;

import com.github.rvesse.airline.HelpOption;
import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.help.ExitCodes;
import java.io.IOException;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import reedmux.common.settings.ProcessSettingsException;
import reedmux.control.configuration.InvalidConfigurationException;
import reedmux.control.configuration.ItemJson;

/** Shows what a control machine knows, also one that is cut off, with its age and contact. */
@Command(
        name = "show",
        description = "shows members, core, checkers, items or duties as one control"
                + " machine knows them, with age and epoch, and whether that machine has contact with a majority")
@ExitCodes(
        codes = {0, 1, 2},
        descriptions = {
            "told, also by a machine without a majority, which is said",
            "nobody answered, or the answer was a refusal",
            "bad usage"
        })
public final class ShowCommand implements Callable<Integer> {
    private static final int FAILED = 1;
    private static final int BAD_USAGE = 2;
    private static final int MAX_CELL_WIDTH = 48;
    private static final Map<String, String> SUBJECTS = new LinkedHashMap<>();

    static {
        for (String thing : new String[] {"Members", "Core", "Checkers", "Items", "Duties"}) {
            SUBJECTS.put(thing.toLowerCase(java.util.Locale.ROOT), thing);
        }
    }

    @AirlineModule
    private HelpOption<ShowCommand> help;

    @Arguments(title = "WHAT", description = "members, core, checkers, items or duties")
    private List<String> subjects = new ArrayList<>();

    @Option(name = "--json", description = "print the answer as it came")
    private boolean json;

    @Option(name = "--control", title = "ADDRESS", description = "a control address to ask; may be repeated")
    private List<String> control = new ArrayList<>();

    @Option(name = "--boot", title = "FILE", description = "a settings file whose control address and seeds are asked")
    private String boot;

    @Option(name = "--service", title = "NAME", description = "only the checkers of that service")
    private String service;

    @Option(name = "--limit", title = "N", description = "so many entries, 1 to 1000; 200 where none is given")
    private String limit;

    @Option(name = "--after", title = "KEY", description = "only entries behind that one, as 'next' told it")
    private String after;

    @Option(name = "--wait", title = "MS", description = "how long to try; 10000 where none is given")
    private long timeoutMillis = 10_000;

    @Override
    public Integer call() throws InterruptedException {
        if (help != null && help.showHelpIfRequested()) {
            return 0;
        }
        List<String> addresses;
        try {
            addresses = ControlClient.addresses(control, boot);
        } catch (ProcessSettingsException e) {
            return usageError(e.getMessage());
        }
        if (subjects.size() != 1 || !SUBJECTS.containsKey(subjects.get(0))) {
            return usageError("say one of " + String.join(", ", SUBJECTS.keySet()));
        } else if (addresses.isEmpty()) {
            return usageError("say whom to ask: --control ADDRESS or --boot FILE");
        }
        try {
            ControlClient.ControlResponse told = new ControlClient(addresses, timeoutMillis).call("GET", target());
            if (told.status() == 400) {
                return usageError(told.body().strip());
            } else if (told.status() != 200) {
                System.err.println("reedmux: show: " + told.address() + " answers " + told.status() + ": "
                        + told.body().strip());
                return FAILED;
            }
            System.out.println(json ? told.body() : table(told.address(), told.body()));
            return 0;
        } catch (IOException | InvalidConfigurationException e) {
            System.err.println("reedmux: show: " + e.getMessage());
            return FAILED;
        }
    }

    private static int usageError(String line) {
        System.err.println("reedmux: show: " + line);
        System.err.println("try: reedmux show --help");
        return BAD_USAGE;
    }

    private String target() {
        StringBuilder target = new StringBuilder("/v1/Show.").append(SUBJECTS.get(subjects.get(0)));
        char before = '?';
        String[][] parameters = {{"service", service}, {"limit", limit}, {"after", after}};
        for (String[] parameter : parameters) {
            if (parameter[1] != null) {
                target.append(before)
                        .append(parameter[0])
                        .append('=')
                        .append(URLEncoder.encode(parameter[1], StandardCharsets.UTF_8));
                before = '&';
            }
        }
        return target.toString();
    }

    /** The answer as lines for a person: from whom, how old, how far to be relied on; then its entries. */
    static String table(String at, String text) throws InvalidConfigurationException {
        Map<String, Object> all = ItemJson.requireObject(ItemJson.parse(text), "the answer");
        boolean majority = Boolean.TRUE.equals(all.get("majority"));
        StringBuilder out = new StringBuilder();
        out.append(majority ? "in contact with a majority" : "NO CONTACT WITH A MAJORITY: may be out of date");
        out.append("; told by ")
                .append(all.get("node"))
                .append(" (")
                .append(at)
                .append("), age ")
                .append(all.get("ageMs") == null ? "not known" : all.get("ageMs") + " ms")
                .append(", epoch ")
                .append(all.get("epoch") == null ? "not known" : all.get("epoch"))
                .append('\n');
        if (all.get("why") != null) {
            out.append("no store has answered: ").append(all.get("why")).append('\n');
        }
        List<Map<String, Object>> rows = new ArrayList<>();
        for (Object entry : ItemJson.listOrEmpty(all.get("entries"), "entries")) {
            rows.add(ItemJson.requireObject(entry, "an entry"));
        }
        if (!rows.isEmpty()) {
            List<String> names = new ArrayList<>(rows.get(0).keySet());
            names.remove("body"); // for tools; it may be long
            rows(out, names, rows);
        }
        out.append(rows.size()).append(" shown");
        if (all.get("total") != null) {
            out.append(" of ").append(all.get("total"));
        }
        if (all.get("next") != null) {
            out.append("; the next: --after ").append(all.get("next"));
        }
        List<?> held = ItemJson.listOrEmpty(all.get("held"), "held");
        return out.append(held.isEmpty() ? "" : "; " + held.size() + " calls not decided on")
                .toString();
    }

    private static void rows(StringBuilder out, List<String> names, List<Map<String, Object>> rows) {
        int[] width = new int[names.size()];
        for (int i = 0; i < width.length; i++) {
            width[i] = names.get(i).length();
            for (Map<String, Object> row : rows) {
                width[i] = Math.max(
                        width[i],
                        Math.min(MAX_CELL_WIDTH, cell(row, names.get(i)).length()));
            }
        }
        for (int row = -1; row < rows.size(); row++) {
            StringBuilder line = new StringBuilder();
            for (int i = 0; i < width.length; i++) {
                String cell = row < 0 ? names.get(i) : cell(rows.get(row), names.get(i));
                line.append(cell).append(" ".repeat(Math.max(0, width[i] - cell.length()) + 2));
            }
            out.append(line.toString().stripTrailing()).append('\n');
        }
    }

    private static String cell(Map<String, Object> row, String name) {
        Object value = row.get(name);
        return value == null ? "-" : value.toString();
    }
}
