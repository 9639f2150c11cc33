package reedmux.gatekeeper.failover;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * Chooses the gateway of the other region to which a request is forwarded. A gateway that fails several times in a row
 * is ejected. The ejection time doubles with each consecutive ejection, and afterwards one idempotent request is sent
 * as a trial. A gateway that rejects a request receives no further requests until its {@code Retry-After} has expired.
 * Times are in microseconds.
 */
final class RemoteGateways {
    /** Number of consecutive failures after which a gateway is ejected. */
    static final int EJECTION_FAILURES = 3;
    /** Duration of the first ejection. */
    static final long MIN_EJECTION_MICROS = 500_000;
    /** Maximum duration of an ejection, regardless of the number of doublings. */
    static final long MAX_EJECTION_MICROS = 8_000_000;
    /** Maximum {@code Retry-After} that is honoured; longer values are reduced to it. */
    static final long MAX_BACKOFF_MICROS = 5_000_000;

    private static final int MAX_DOUBLINGS = 5;
    private static final long NOT_EJECTED = -1;

    private static final class RemoteGateway {
        final String name;
        int inFlight;
        int consecutiveFailures;
        /** Number of ejections since the last response. */
        int consecutiveEjections;

        long ejectedUntil = NOT_EJECTED;
        long backoffUntil;

        RemoteGateway(String name) {
            this.name = name;
        }

        boolean isEjected() {
            return ejectedUntil != NOT_EJECTED;
        }

        /** Returns whether the ejection has expired and a trial request may be sent. */
        boolean isReadyForTrial(long now) {
            return now >= ejectedUntil && inFlight == 0;
        }
    }

    private final SplittableRandom random;
    private List<RemoteGateway> gateways = new ArrayList<>();

    RemoteGateways(List<String> names, SplittableRandom random) {
        this.random = random;
        setGateways(names);
    }

    /** Replaces the list of gateways, keeping the state of those that remain. */
    void setGateways(List<String> names) {
        Map<String, RemoteGateway> known = new HashMap<>();
        gateways.forEach(gateway -> known.put(gateway.name, gateway));
        gateways = new ArrayList<>(names.stream()
                .map(name -> known.getOrDefault(name, new RemoteGateway(name)))
                .toList());
    }

    /**
     * Returns the gateway with the fewest forwarded requests in flight, and a random one among equals. A gateway that
     * is ready for its trial request takes precedence if the request is idempotent.
     *
     * @return null if no gateway is available
     */
    String choose(long now, boolean idempotent) {
        RemoteGateway best = null;
        int ties = 0;
        for (RemoteGateway gateway : gateways) {
            if (now < gateway.backoffUntil) {
                continue;
            }
            if (gateway.isEjected()) {
                if (idempotent && gateway.isReadyForTrial(now)) {
                    return gateway.name;
                }
                continue;
            }
            ties = best != null && gateway.inFlight == best.inFlight ? ties + 1 : 1;
            if (best == null
                    || gateway.inFlight < best.inFlight
                    || gateway.inFlight == best.inFlight && random.nextInt(ties) == 0) {
                best = gateway;
            }
        }
        return best == null ? null : best.name;
    }

    /** Records that a request was forwarded to a gateway. */
    void onForwarded(String name) {
        RemoteGateway gateway = find(name);
        if (gateway != null) {
            gateway.inFlight++;
        }
    }

    /** Records that a gateway sent a response, with any status. */
    void onAnswered(String name) {
        RemoteGateway gateway = find(name);
        if (gateway != null) {
            gateway.inFlight = Math.max(0, gateway.inFlight - 1);
            gateway.consecutiveFailures = 0;
            gateway.consecutiveEjections = 0;
            gateway.ejectedUntil = NOT_EJECTED;
        }
    }

    /** Records that a gateway rejected a request. */
    void onRejected(String name, long now, long retryAfterMicros) {
        onAnswered(name);
        RemoteGateway gateway = find(name);
        if (gateway != null) {
            long backoff = Math.min(MAX_BACKOFF_MICROS, Math.max(0, retryAfterMicros));
            gateway.backoffUntil = Math.max(gateway.backoffUntil, now + backoff);
        }
    }

    /** Records that a gateway could not be reached, that its connection broke, or that a request to it timed out. */
    void onFailed(String name, long now) {
        RemoteGateway gateway = find(name);
        if (gateway == null) {
            return;
        }
        gateway.inFlight = Math.max(0, gateway.inFlight - 1);
        gateway.consecutiveFailures++;
        if (gateway.isEjected() && now < gateway.ejectedUntil) {
            return; // the request was forwarded before the ejection
        }
        if (gateway.isEjected() || gateway.consecutiveFailures >= EJECTION_FAILURES) {
            long ejection = MIN_EJECTION_MICROS << Math.min(MAX_DOUBLINGS, gateway.consecutiveEjections);
            gateway.ejectedUntil = now + Math.min(MAX_EJECTION_MICROS, ejection);
            gateway.consecutiveEjections++;
        }
    }

    /** Records that a request was cancelled here, which says nothing about the health of the gateway. */
    void onCancelled(String name) {
        RemoteGateway gateway = find(name);
        if (gateway != null) {
            gateway.inFlight = Math.max(0, gateway.inFlight - 1);
        }
    }

    private RemoteGateway find(String name) {
        for (RemoteGateway gateway : gateways) {
            if (gateway.name.equals(name)) {
                return gateway;
            }
        }
        return null; // removed from the list by a change of the settings
    }
}
