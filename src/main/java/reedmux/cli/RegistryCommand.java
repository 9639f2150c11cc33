package reedmux.cli;

import com.github.rvesse.airline.annotations.Command;
import java.io.IOException;
import reedmux.common.eventloop.Reactor;
import reedmux.common.settings.ProcessSettings;
import reedmux.common.settings.ProcessSettingsException;
import reedmux.common.settings.Program;
import reedmux.control.registry.Registry;

/** Runs a registry, which serves the RPCs of checkers and operators. */
@Command(name = "registry", description = "tracks checkers and proxies, and serves the RPCs of checkers and operators")
public final class RegistryCommand extends ProgramCommand {
    @Override
    Program start(ProcessSettings settings, Reactor reactor) throws ProcessSettingsException, IOException {
        return new Registry(settings, reactor);
    }
}
