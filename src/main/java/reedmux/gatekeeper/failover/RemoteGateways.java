package reedmux.gatekeeper.failover;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * The other region's gateways: which one takes a request. One that fails is left out for a time that
 * doubles, and then tried with one request whose repeat does no harm; one that refuses is left alone for as
 * long as it says. Both end by themselves.
 */
final class RemoteGateways {
    /** Failures in a row that put a gateway out. */
    static final int EJECTION_FAILURES = 3;
    /** Microseconds that a gateway is out at first, and at most. */
    static final long MIN_EJECTION_MICROS = 500_000;

    static final long MAX_EJECTION_MICROS = 8_000_000;
    /** The longest that a refusal keeps a gateway out, in microseconds. */
    static final long MAX_BACKOFF_MICROS = 5_000_000;

    private static final class RemoteGateway {
        final String name;
        int inFlight;
        int failures;
        int ejections;
        long ejectedUntil = -1;
        long backoffUntil;

        RemoteGateway(String name) {
            this.name = name;
        }
    }

    private final SplittableRandom random;
    private List<RemoteGateway> gateways = new ArrayList<>();

    RemoteGateways(List<String> names, SplittableRandom random) {
        this.random = random;
        setGateways(names);
    }

    /** Takes over another list; what is known of those that stay is kept. */
    void setGateways(List<String> names) {
        Map<String, RemoteGateway> known = new HashMap<>();
        gateways.forEach(gateway -> known.put(gateway.name, gateway));
        gateways = new ArrayList<>(names.stream()
                .map(name -> known.getOrDefault(name, new RemoteGateway(name)))
                .toList());
    }

    /** The gateway with the fewest requests of ours, by lot among equals; null while there is none. */
    String choose(long now, boolean repeatable) {
        RemoteGateway best = null;
        int ties = 0;
        for (RemoteGateway gateway : gateways) {
            if (now < gateway.backoffUntil) {
                continue;
            }
            if (gateway.ejectedUntil >= 0) {
                if (now >= gateway.ejectedUntil && gateway.inFlight == 0 && repeatable) {
                    return gateway.name; // its trial
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

    void onForwarded(String name) {
        RemoteGateway gateway = find(name);
        if (gateway != null) {
            gateway.inFlight++;
        }
    }

    /** It answered, whatever it said. */
    void onAnswered(String name) {
        RemoteGateway gateway = find(name);
        if (gateway != null) {
            gateway.inFlight = Math.max(0, gateway.inFlight - 1);
            gateway.failures = 0;
            gateway.ejections = 0;
            gateway.ejectedUntil = -1;
        }
    }

    /** It refused, and told when to come again. */
    void onRejected(String name, long now, long retryAfter) {
        onAnswered(name);
        RemoteGateway gateway = find(name);
        if (gateway != null) {
            gateway.backoffUntil =
                    Math.max(gateway.backoffUntil, now + Math.min(MAX_BACKOFF_MICROS, Math.max(0, retryAfter)));
        }
    }

    /** It could not be reached, broke off or did not answer in time. */
    void onFailed(String name, long now) {
        RemoteGateway gateway = find(name);
        if (gateway == null) {
            return;
        }
        gateway.inFlight = Math.max(0, gateway.inFlight - 1);
        gateway.failures++;
        if (gateway.ejectedUntil >= 0 && now < gateway.ejectedUntil) {
            return; // a late word of the time before it was put out
        }
        if (gateway.ejectedUntil >= 0 || gateway.failures >= EJECTION_FAILURES) {
            gateway.ejectedUntil =
                    now + Math.min(MAX_EJECTION_MICROS, MIN_EJECTION_MICROS << Math.min(5, gateway.ejections));
            gateway.ejections++;
        }
    }

    /** It was given up by us, which says nothing of it. */
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
        return null; // taken off the list meanwhile
    }
}
