package reedmux.cli;

import com.github.rvesse.airline.HelpOption;
import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Command;
import java.io.IOException;
import java.util.concurrent.Callable;
import reedmux.common.settings.ProcessSettingsException;
import reedmux.simulation.harness.LoopbackGateway;

/** Runs a complete gateway on loopback for a few seconds; the build creates the class archive from this run. */
@Command(name = "rehearse", description = "runs a complete gateway on loopback for a few seconds, then exits")
public final class RehearseCommand implements Callable<Integer> {
    private static final int REQUESTS = 60;
    private static final int PROXIES = 2;
    private static final int CHECKERS = 3;
    private static final long READY_TIMEOUT_MILLIS = 10_000;
    private static final long PROGRAM_RUN_MICROS = 900_000;
    private static final int LOOPBACK_NETWORK = 77;

    @AirlineModule
    private HelpOption<RehearseCommand> help;

    @Override
    public Integer call() throws ProcessSettingsException, IOException {
        if (help != null && help.showHelpIfRequested()) {
            return ExitCode.OK;
        }
        try (LoopbackGateway gateway = new LoopbackGateway(LOOPBACK_NETWORK, PROXIES, CHECKERS)) {
            int applyStatus = gateway.changeConfiguration(LoopbackGateway.INITIAL_CONFIGURATION)
                    .status();
            boolean ready = gateway.awaitReady(READY_TIMEOUT_MILLIS);
            int served = sendRequests(gateway);
            int readStatus = gateway.readConfiguration().status();
            new StoreCommand().rehearse(gateway.spareSettings("store"), PROGRAM_RUN_MICROS);
            new RegistryCommand().rehearse(gateway.spareSettings("registry"), PROGRAM_RUN_MICROS);
            new ProxyCommand().rehearse(gateway.spareSettings("proxy"), PROGRAM_RUN_MICROS);
            System.out.println("first items " + applyStatus + ", proxies " + (ready ? "" : "not ") + "ready, " + served
                    + " of " + REQUESTS + " requests served, items read " + readStatus);
            return applyStatus == 200 && ready && served == REQUESTS && readStatus == 200
                    ? ExitCode.OK
                    : ExitCode.FAILED;
        }
    }

    /** Sends alternating GET and POST requests to both proxies; returns the number of requests served. */
    private static int sendRequests(LoopbackGateway gateway) throws IOException {
        int served = 0;
        for (int i = 0; i < REQUESTS; i++) {
            int proxy = i / 2 % PROXIES;
            String attempt = "rehearsed-" + i;
            int status = i % 2 == 0
                    ? gateway.request(proxy, "GET", "/look/1", attempt, "").status()
                    : gateway.request(proxy, "POST", "/order/1", attempt, "one").status();
            served += status == 200 ? 1 : 0;
        }
        return served;
    }
}
