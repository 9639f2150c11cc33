package reedmux.cli;

import com.github.rvesse.airline.annotations.Command;
import java.io.IOException;
import reedmux.common.eventloop.Reactor;
import reedmux.common.settings.ProcessSettings;
import reedmux.common.settings.ProcessSettingsException;
import reedmux.common.settings.Program;
import reedmux.control.store.StoreServer;

/** Runs a store, which replicates the configuration and persists it to disk. */
@Command(name = "store", description = "persists the configuration to disk and distributes it to the proxies")
public final class StoreCommand extends ProgramCommand {
    @Override
    Program start(ProcessSettings settings, Reactor reactor) throws ProcessSettingsException, IOException {
        return new StoreServer(settings, reactor);
    }
}
