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

/** The {@code core leave} command, which removes a machine from the core's membership. */
@Command(
        name = "core",
        description = "core leave NODE: removes a machine from the core; the request is"
                + " idempotent and is retried until the core has agreed")
@ExitCodes(
        codes = {0, 1, 2},
        descriptions = {
            "the machine is not a member of the core",
            "rejected, or not agreed on in time: retry",
            "bad usage"
        })
public final class CoreCommand implements Callable<Integer> {
    @AirlineModule
    private HelpOption<CoreCommand> help;

    @Arguments(title = "leave NODE", description = "the machine, by node name or IP address")
    private List<String> arguments = new ArrayList<>();

    @Option(name = "--control", title = "ADDRESS", description = "a control address to call; may be repeated")
    private List<String> control = new ArrayList<>();

    @Option(name = "--boot", title = "FILE", description = "a settings file whose control address and seeds are called")
    private String boot;

    @Option(name = "--wait", title = "MS", description = "timeout of the command in milliseconds; 30000 by default")
    private long timeoutMillis = 30_000;

    @Override
    public Integer call() throws InterruptedException {
        if (help != null && help.showHelpIfRequested()) {
            return ExitCode.OK;
        }
        try {
            List<String> addresses = ControlClient.addresses(control, boot);
            checkArguments(addresses);
            return removeFromCore(arguments.get(1), addresses);
        } catch (CommandUsageException | ProcessSettingsException e) {
            System.err.println("reedmux: core: " + e.getMessage());
            return ExitCode.BAD_USAGE;
        } catch (IOException e) {
            System.err.println("reedmux: core: " + e.getMessage());
            return ExitCode.FAILED;
        }
    }

    private void checkArguments(List<String> addresses) throws CommandUsageException {
        if (arguments.size() != 2
                || !arguments.get(0).equals("leave")
                || arguments.get(1).isEmpty()) {
            throw new CommandUsageException("say: core leave NODE");
        } else if (addresses.isEmpty()) {
            throw new CommandUsageException("say whom to call: --control ADDRESS or --boot FILE");
        }
    }

    private int removeFromCore(String node, List<String> addresses) throws IOException, InterruptedException {
        ControlClient.ControlResponse response = new ControlClient(addresses, timeoutMillis)
                .call("POST", "/v1/Core.Leave/" + URLEncoder.encode(node, StandardCharsets.UTF_8));
        if (response.status() == 200) {
            System.out.println(node + " is no member of the core");
            return ExitCode.OK;
        }
        System.err.println("reedmux: core: " + response.address() + " answers " + response.status() + ": "
                + response.body().strip());
        return ExitCode.FAILED;
    }
}
