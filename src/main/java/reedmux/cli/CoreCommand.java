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
import java.util.List;
import java.util.concurrent.Callable;
import reedmux.common.settings.ProcessSettingsException;

/** Orders a machine out of the core. */
@Command(
        name = "core",
        description = "core leave NODE: orders a machine out of the core; sent"
                + " again until the core has agreed, which is harmless")
@ExitCodes(
        codes = {0, 1, 2},
        descriptions = {"it is no member of the core", "refused, or not agreed on in time: send it again", "bad usage"})
public final class CoreCommand implements Callable<Integer> {
    private static final int FAILED = 1;
    private static final int BAD_USAGE = 2;

    @AirlineModule
    private HelpOption<CoreCommand> help;

    @Arguments(title = "leave NODE", description = "the machine, by its node's name or its ip")
    private List<String> arguments = new ArrayList<>();

    @Option(name = "--control", title = "ADDRESS", description = "a control address; may be repeated")
    private List<String> control = new ArrayList<>();

    @Option(name = "--boot", title = "FILE", description = "a settings file whose control address and seeds are called")
    private String boot;

    @Option(name = "--wait", title = "MS", description = "how long to try; 30000 where none is given")
    private long timeoutMillis = 30_000;

    @Override
    public Integer call() throws InterruptedException {
        if (help != null && help.showHelpIfRequested()) {
            return 0;
        }
        String line = arguments.size() == 2
                        && arguments.get(0).equals("leave")
                        && !arguments.get(1).isEmpty()
                ? null
                : "say: core leave NODE";
        List<String> addresses = List.of();
        try {
            addresses = ControlClient.addresses(control, boot);
        } catch (ProcessSettingsException e) {
            line = e.getMessage();
        }
        if (line == null && addresses.isEmpty()) {
            line = "say whom to call: --control ADDRESS or --boot FILE";
        }
        if (line != null) {
            System.err.println("reedmux: core: " + line);
            return BAD_USAGE;
        }
        try {
            ControlClient.ControlResponse told = new ControlClient(addresses, timeoutMillis)
                    .call("POST", "/v1/Core.Leave/" + URLEncoder.encode(arguments.get(1), StandardCharsets.UTF_8));
            if (told.status() == 200) {
                System.out.println(arguments.get(1) + " is no member of the core");
                return 0;
            }
            System.err.println("reedmux: core: " + told.address() + " answers " + told.status() + ": "
                    + told.body().strip());
        } catch (IOException e) {
            System.err.println("reedmux: core: " + e.getMessage());
        }
        return FAILED;
    }
}
