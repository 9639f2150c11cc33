package reedmux.simulation.soak;

import java.io.IOException;
import java.util.List;
import java.util.function.Supplier;
import reedmux.common.eventloop.Reactor;
import reedmux.simulation.harness.OneShotHttpCall;

/**
 * Finds out which proxies the machine holds up, as it does where many processes share few cores: it asks each proxy
 * again and again whether it is ready, and looks whether its own timers are late. What a proxy that takes over a second
 * for this does late is no fault of the program; one that is down or refuses counts as usual. For the reactor's thread.
 */
final class ResponsivenessMonitor {
    private static final long SECOND = 1_000_000;
    private static final long PROBE_INTERVAL_MICROS = SECOND / 2;
    private static final long PROBE_TIMEOUT_MICROS = 5 * SECOND;
    private static final long MAX_RESPONSE_MICROS = SECOND;
    private static final long MAX_TIMER_LATENESS_MICROS = SECOND / 2;
    private static final String NO_ANSWER = "no answer";

    /** Hears of a proxy that was held up. */
    interface StallListener {
        void onStalled(SoakMachine proxy, long from, long until);
    }

    private final Reactor reactor;
    private final Supplier<List<SoakMachine>> proxies;
    private final StallListener listener;
    private long probedAt;

    ResponsivenessMonitor(Reactor reactor, Supplier<List<SoakMachine>> proxies, StallListener listener) {
        this.reactor = reactor;
        this.proxies = proxies;
        this.listener = listener;
    }

    void start() {
        probedAt = reactor.now();
        reactor.scheduleEvery(PROBE_INTERVAL_MICROS, this::probeAll);
    }

    private void probeAll() {
        long now = reactor.now();
        boolean late = now - probedAt > PROBE_INTERVAL_MICROS + MAX_TIMER_LATENESS_MICROS;
        for (SoakMachine proxy : List.copyOf(proxies.get())) {
            if (late) {
                listener.onStalled(proxy, probedAt, now);
            }
            probe(proxy, now);
        }
        probedAt = now;
    }

    private void probe(SoakMachine proxy, long sentAt) {
        try {
            new OneShotHttpCall(
                    reactor,
                    proxy.address(SoakMachine.READINESS_PORT_OFFSET),
                    OneShotHttpCall.request("GET", "/v1/readiness", "ready", ""),
                    PROBE_TIMEOUT_MICROS,
                    (status, head, text) -> onProbeEnded(proxy, sentAt, status != 0 || text.equals(NO_ANSWER)));
        } catch (IOException e) {
            // without a descriptor nothing is known of it
        }
    }

    private void onProbeEnded(SoakMachine proxy, long sentAt, boolean listens) {
        if (listens && reactor.now() - sentAt > MAX_RESPONSE_MICROS) {
            listener.onStalled(proxy, sentAt, reactor.now());
        }
    }
}
