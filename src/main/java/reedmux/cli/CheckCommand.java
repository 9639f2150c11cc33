package reedmux.cli;

import com.github.rvesse.airline.HelpOption;
import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import reedmux.common.settings.ProcessSettings;
import reedmux.common.settings.ProcessSettingsException;

/** Validates a settings file: prints the node and zone that it sets, or fails with the first error. */
@Command(name = "check", description = "validates a settings file and reports the first error")
public final class CheckCommand implements Callable<Integer> {
    @AirlineModule
    private HelpOption<CheckCommand> help;

    @Arguments(title = "FILE", description = "the settings file; defaults to the one that REEDMUX_BOOT names")
    private String file;

    @Override
    public Integer call() throws ProcessSettingsException {
        if (help != null && help.showHelpIfRequested()) {
            return ExitCode.OK;
        }
        ProcessSettings settings =
                file == null ? ProcessSettings.fromEnvironment() : ProcessSettings.load(Path.of(file));
        settings.checkAllValues();
        System.out.println("ok: " + settings.node() + " in " + settings.zone());
        return ExitCode.OK;
    }
}
