package reedmux.region;

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
final class Gateways {
    /** Failures in a row that put a gateway out. */
    static final int FAILURES_OUT = 3;
    /** Microseconds that a gateway is out at first, and at most. */
    static final long OUT_FIRST = 500_000;

    static final long OUT_MOST = 8_000_000;
    /** The longest that a refusal keeps a gateway out, in microseconds. */
    static final long PAUSE_MOST = 5_000_000;

    private static final class Gateway {
        final String name;
        int open;
        int failures;
        int timesOut;
        long outUntil = -1;
        long pausedUntil;

        Gateway(String name) {
            this.name = name;
        }
    }

    private final SplittableRandom random;
    private List<Gateway> all = new ArrayList<>();

    Gateways(List<String> names, SplittableRandom random) {
        this.random = random;
        adopt(names);
    }

    /** Takes over another list; what is known of those that stay is kept. */
    void adopt(List<String> names) {
        Map<String, Gateway> known = new HashMap<>();
        all.forEach(gateway -> known.put(gateway.name, gateway));
        all = new ArrayList<>(names.stream()
                .map(name -> known.getOrDefault(name, new Gateway(name)))
                .toList());
    }

    /** The gateway with the fewest requests of ours, by lot among equals; null while there is none. */
    String choose(long now, boolean repeatable) {
        Gateway best = null;
        int ties = 0;
        for (Gateway gateway : all) {
            if (now < gateway.pausedUntil) {
                continue;
            }
            if (gateway.outUntil >= 0) {
                if (now >= gateway.outUntil && gateway.open == 0 && repeatable) {
                    return gateway.name; // its trial
                }
                continue;
            }
            ties = best != null && gateway.open == best.open ? ties + 1 : 1;
            if (best == null || gateway.open < best.open || gateway.open == best.open && random.nextInt(ties) == 0) {
                best = gateway;
            }
        }
        return best == null ? null : best.name;
    }

    void sent(String name) {
        Gateway gateway = find(name);
        if (gateway != null) {
            gateway.open++;
        }
    }

    /** It answered, whatever it said. */
    void answered(String name) {
        Gateway gateway = find(name);
        if (gateway != null) {
            gateway.open = Math.max(0, gateway.open - 1);
            gateway.failures = 0;
            gateway.timesOut = 0;
            gateway.outUntil = -1;
        }
    }

    /** It refused, and told when to come again. */
    void refused(String name, long now, long retryAfter) {
        answered(name);
        Gateway gateway = find(name);
        if (gateway != null) {
            gateway.pausedUntil = Math.max(gateway.pausedUntil, now + Math.min(PAUSE_MOST, Math.max(0, retryAfter)));
        }
    }

    /** It could not be reached, broke off or did not answer in time. */
    void failed(String name, long now) {
        Gateway gateway = find(name);
        if (gateway == null) {
            return;
        }
        gateway.open = Math.max(0, gateway.open - 1);
        gateway.failures++;
        if (gateway.outUntil >= 0 && now < gateway.outUntil) {
            return; // a late word of the time before it was put out
        }
        if (gateway.outUntil >= 0 || gateway.failures >= FAILURES_OUT) {
            gateway.outUntil = now + Math.min(OUT_MOST, OUT_FIRST << Math.min(5, gateway.timesOut));
            gateway.timesOut++;
        }
    }

    /** It was given up by us, which says nothing of it. */
    void givenUp(String name) {
        Gateway gateway = find(name);
        if (gateway != null) {
            gateway.open = Math.max(0, gateway.open - 1);
        }
    }

    private Gateway find(String name) {
        for (Gateway gateway : all) {
            if (gateway.name.equals(name)) {
                return gateway;
            }
        }
        return null; // taken off the list meanwhile
    }
}
