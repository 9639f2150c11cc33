package reedmux.simulation.soak;

import java.io.IOException;
import java.util.List;
import java.util.function.Supplier;
import reedmux.common.eventloop.Reactor;
import reedmux.simulation.harness.OneShotHttpCall;

/**
 * Detects proxies that get too little processor time from the host, which happens when many processes share few cores.
 * It probes the readiness of each proxy periodically and checks whether its own timers fire late. If a proxy takes more
 * than a second to respond, its late actions are not faults of the program. A proxy that is down or refuses connections
 * is not reported as stalled. Must be used on the reactor's thread only.
 */
final class ResponsivenessMonitor {
    private static final long SECOND = 1_000_000;
    private static final long PROBE_INTERVAL_MICROS = SECOND / 2;
    private static final long PROBE_TIMEOUT_MICROS = 5 * SECOND;
    private static final long MAX_RESPONSE_MICROS = SECOND;
    private static final long MAX_TIMER_LATENESS_MICROS = SECOND / 2;
    private static final String NO_ANSWER = "no answer";

    /** Receives the intervals, in microseconds, in which proxies were stalled. */
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
            // no file descriptor is available, so the proxy can't be probed
        }
    }

    private void onProbeEnded(SoakMachine proxy, long sentAt, boolean listens) {
        if (listens && reactor.now() - sentAt > MAX_RESPONSE_MICROS) {
            listener.onStalled(proxy, sentAt, reactor.now());
        }
    }
}
