package reedmux.gatekeeper.failover;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * Chooses the gateway of the other region that a request is forwarded to. A gateway that fails several times in a row
 * is ejected for a time that doubles with each ejection, and is then tried with one idempotent request. A gateway that
 * rejects a request gets none for as long as its {@code Retry-After} says. Times are microseconds.
 */
final class RemoteGateways {
    /** Consecutive failures after which a gateway is ejected. */
    static final int EJECTION_FAILURES = 3;
    /** The length of the first ejection. */
    static final long MIN_EJECTION_MICROS = 500_000;
    /** The length that ejections do not exceed, however often they are doubled. */
    static final long MAX_EJECTION_MICROS = 8_000_000;
    /** The longest {@code Retry-After} that is honoured. */
    static final long MAX_BACKOFF_MICROS = 5_000_000;

    private static final int MAX_DOUBLINGS = 5;
    private static final long NOT_EJECTED = -1;

    private static final class RemoteGateway {
        final String name;
        int inFlight;
        int consecutiveFailures;
        /** Ejections since the last response. */
        int consecutiveEjections;

        long ejectedUntil = NOT_EJECTED;
        long backoffUntil;

        RemoteGateway(String name) {
            this.name = name;
        }

        boolean isEjected() {
            return ejectedUntil != NOT_EJECTED;
        }

        /** Whether its ejection is over and a trial request may show how it is now. */
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

    /** Replaces the list; what is known of the gateways that remain is kept. */
    void setGateways(List<String> names) {
        Map<String, RemoteGateway> known = new HashMap<>();
        gateways.forEach(gateway -> known.put(gateway.name, gateway));
        gateways = new ArrayList<>(names.stream()
                .map(name -> known.getOrDefault(name, new RemoteGateway(name)))
                .toList());
    }

    /**
     * The gateway with the fewest requests of ours in flight, a random one of several; a gateway that is due for its
     * trial comes first.
     *
     * @return null if no gateway can be used now
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

    /** A request was forwarded to it. */
    void onForwarded(String name) {
        RemoteGateway gateway = find(name);
        if (gateway != null) {
            gateway.inFlight++;
        }
    }

    /** It answered, with whatever status. */
    void onAnswered(String name) {
        RemoteGateway gateway = find(name);
        if (gateway != null) {
            gateway.inFlight = Math.max(0, gateway.inFlight - 1);
            gateway.consecutiveFailures = 0;
            gateway.consecutiveEjections = 0;
            gateway.ejectedUntil = NOT_EJECTED;
        }
    }

    /** It rejected a request. */
    void onRejected(String name, long now, long retryAfterMicros) {
        onAnswered(name);
        RemoteGateway gateway = find(name);
        if (gateway != null) {
            long backoff = Math.min(MAX_BACKOFF_MICROS, Math.max(0, retryAfterMicros));
            gateway.backoffUntil = Math.max(gateway.backoffUntil, now + backoff);
        }
    }

    /** It could not be reached, its connection broke, or it did not answer in time. */
    void onFailed(String name, long now) {
        RemoteGateway gateway = find(name);
        if (gateway == null) {
            return;
        }
        gateway.inFlight = Math.max(0, gateway.inFlight - 1);
        gateway.consecutiveFailures++;
        if (gateway.isEjected() && now < gateway.ejectedUntil) {
            return; // a request that was forwarded before the ejection
        }
        if (gateway.isEjected() || gateway.consecutiveFailures >= EJECTION_FAILURES) {
            long ejection = MIN_EJECTION_MICROS << Math.min(MAX_DOUBLINGS, gateway.consecutiveEjections);
            gateway.ejectedUntil = now + Math.min(MAX_EJECTION_MICROS, ejection);
            gateway.consecutiveEjections++;
        }
    }

    /** The request was cancelled by us, which says nothing about the gateway. */
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
        return null; // no longer in the list
    }
}
