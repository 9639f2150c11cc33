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
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.Callable;
import reedmux.common.settings.ProcessSettingsException;
import reedmux.control.configuration.InvalidConfigurationException;

/**
 * The {@code show} command, which prints the state known to one control machine, the age of that state, and whether the
 * machine is in contact with a majority. A partitioned machine responds with the state that it has.
 */
@Command(
        name = "show",
        description = "prints the members, core, checkers, items or duties known to one control"
                + " machine, with age and epoch, and whether the machine is in contact with a majority")
@ExitCodes(
        codes = {0, 1, 2},
        descriptions = {
            "told, also by a machine without a majority, which is said",
            "no machine responded, or the request was rejected",
            "bad usage"
        })
public final class ShowCommand implements Callable<Integer> {
    /** The names of the RPCs by the argument of the command. */
    private static final Map<String, String> SUBJECTS = new LinkedHashMap<>();

    static {
        for (String subject : new String[] {"Members", "Core", "Checkers", "Items", "Duties"}) {
            SUBJECTS.put(subject.toLowerCase(Locale.ROOT), subject);
        }
    }

    @AirlineModule
    private HelpOption<ShowCommand> help;

    @Arguments(title = "WHAT", description = "members, core, checkers, items or duties")
    private List<String> subjects = new ArrayList<>();

    @Option(name = "--json", description = "print the response as received")
    private boolean json;

    @Option(name = "--control", title = "ADDRESS", description = "a control address to call; may be repeated")
    private List<String> control = new ArrayList<>();

    @Option(name = "--boot", title = "FILE", description = "a settings file whose control address and seeds are called")
    private String boot;

    @Option(name = "--service", title = "NAME", description = "print only the checkers of this service")
    private String service;

    @Option(name = "--limit", title = "N", description = "the maximum number of entries, 1 to 1000; 200 by default")
    private String limit;

    @Option(
            name = "--after",
            title = "KEY",
            description = "print only entries after this key, the 'next' of a previous response")
    private String after;

    @Option(name = "--wait", title = "MS", description = "timeout of the command in milliseconds; 10000 by default")
    private long timeoutMillis = 10_000;

    @Override
    public Integer call() throws InterruptedException {
        if (help != null && help.showHelpIfRequested()) {
            return ExitCode.OK;
        }
        List<String> addresses;
        try {
            addresses = ControlClient.addresses(control, boot);
        } catch (CommandUsageException | ProcessSettingsException e) {
            return usageError(e.getMessage());
        }
        if (subjects.size() != 1 || !SUBJECTS.containsKey(subjects.get(0))) {
            return usageError("say one of " + String.join(", ", SUBJECTS.keySet()));
        } else if (addresses.isEmpty()) {
            return usageError("say whom to ask: --control ADDRESS or --boot FILE");
        }
        try {
            ControlClient.ControlResponse response = new ControlClient(addresses, timeoutMillis).call("GET", target());
            if (response.status() == 400) {
                return usageError(response.body().strip());
            } else if (response.status() != 200) {
                System.err.println("reedmux: show: " + response.address() + " answers " + response.status() + ": "
                        + response.body().strip());
                return ExitCode.FAILED;
            }
            System.out.println(json ? response.body() : ShowTable.format(response.address(), response.body()));
            return ExitCode.OK;
        } catch (IOException | InvalidConfigurationException e) {
            System.err.println("reedmux: show: " + e.getMessage());
            return ExitCode.FAILED;
        }
    }

    private static int usageError(String line) {
        System.err.println("reedmux: show: " + line);
        System.err.println("try: reedmux show --help");
        return ExitCode.BAD_USAGE;
    }

    private String target() {
        StringBuilder target = new StringBuilder("/v1/Show.").append(SUBJECTS.get(subjects.get(0)));
        char separator = '?';
        String[][] parameters = {{"service", service}, {"limit", limit}, {"after", after}};
        for (String[] parameter : parameters) {
            if (parameter[1] != null) {
                target.append(separator)
                        .append(parameter[0])
                        .append('=')
                        .append(URLEncoder.encode(parameter[1], StandardCharsets.UTF_8));
                separator = '&';
            }
        }
        return target.toString();
    }
}
