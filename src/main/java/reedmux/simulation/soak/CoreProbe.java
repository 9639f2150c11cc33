package reedmux.simulation.soak;

import java.io.IOException;
import java.util.List;
import java.util.function.Consumer;
import reedmux.common.eventloop.Reactor;
import reedmux.common.http1.Http1Head;
import reedmux.simulation.harness.OneShotHttpCall;

/**
 * Asks all machines of the core whether their stores are members and have recovered all that they hold. Must be used on
 * the reactor's thread only.
 */
final class CoreProbe {
    private static final long TIMEOUT_MICROS = 1_000_000;
    private static final int STATUS_OK = 200;
    private static final String SHOW_CORE = "/v1/Show.Core";

    private final Consumer<Boolean> onResult;
    private int pending;
    private boolean whole = true;

    private CoreProbe(int machines, Consumer<Boolean> onResult) {
        pending = machines;
        this.onResult = onResult;
    }

    /** Probes the machines; {@code onResult} is called once, with whether the core could lose one of them now. */
    static void probe(Reactor reactor, List<SoakMachine> cores, Consumer<Boolean> onResult) {
        List<SoakMachine> probed = List.copyOf(cores);
        CoreProbe probe = new CoreProbe(probed.size(), onResult);
        for (SoakMachine core : probed) {
            try {
                new OneShotHttpCall(
                        reactor,
                        core.address(SoakMachine.CONTROL_PORT_OFFSET),
                        OneShotHttpCall.request("GET", SHOW_CORE, "control", ""),
                        TIMEOUT_MICROS,
                        probe::onResponse);
            } catch (IOException e) {
                probe.onResponse(0, null, "");
            }
        }
    }

    private void onResponse(int status, Http1Head head, String text) {
        whole &= status == STATUS_OK && text.contains("\"member\":true") && text.contains("\"whole\":true");
        pending--;
        if (pending == 0) {
            onResult.accept(whole);
        }
    }
}
