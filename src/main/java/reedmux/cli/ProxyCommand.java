package reedmux.cli;

import com.github.rvesse.airline.annotations.Command;
import java.io.IOException;
import reedmux.common.eventloop.Reactor;
import reedmux.common.settings.ProcessSettings;
import reedmux.common.settings.ProcessSettingsException;
import reedmux.common.settings.Program;
import reedmux.proxy.Proxy;

/** Runs a proxy, which forwards clients' requests to checkers. */
@Command(name = "proxy", description = "forwards clients' requests to checkers; REEDMUX_BOOT names its settings file")
public final class ProxyCommand extends ProgramCommand {
    @Override
    Program start(ProcessSettings settings, Reactor reactor) throws ProcessSettingsException, IOException {
        return new Proxy(settings, reactor);
    }
}
