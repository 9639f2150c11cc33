package reedmux.cli;

import com.github.rvesse.airline.HelpOption;
import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import reedmux.common.settings.ProcessSettings;
import reedmux.common.settings.ProcessSettingsException;
import reedmux.common.settings.SettingKeys;

/** Validates a settings file: prints the node and zone that it sets, or fails with the first error. */
@Command(name = "check", description = "validates a settings file and reports the first error")
public final class CheckCommand implements Callable<Integer> {
    private static final List<String> SOCKET_KEYS =
            List.of(SettingKeys.FRONT_SOCKET, SettingKeys.READY_SOCKET, SettingKeys.CONTROL_SOCKET);

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
        for (String socketKey : SOCKET_KEYS) {
            if (settings.contains(socketKey)) {
                settings.socketAddress(socketKey);
            }
        }
        settings.number(SettingKeys.RETRY_RATIO, 0);
        settings.number(SettingKeys.RETRY_SLACK, 0);
        settings.number(SettingKeys.DESCRIPTOR_LIMIT, 0);
        settings.durationMicrosOfSeconds(SettingKeys.SHUTDOWN_GRACE_SECONDS, 0);
        settings.durationMicros(SettingKeys.HEARTBEAT_INTERVAL_MILLIS, 0);
        settings.wholeNumber(SettingKeys.TOLERATED_MACHINES, 0);
        System.out.println("ok: " + settings.node() + " in " + settings.zone());
        return ExitCode.OK;
    }
}
