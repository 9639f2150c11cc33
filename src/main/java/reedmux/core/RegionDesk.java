package reedmux.core;

import java.net.InetSocketAddress;
import java.util.Map;
import reedmux.policy.Gateway.Outcome;
import reedmux.region.Decision;
import reedmux.region.Departure;
import reedmux.region.Path;
import reedmux.region.Refusal;
import reedmux.region.RegionRules;
import reedmux.region.Regions;
import reedmux.region.Return;
import reedmux.region.Wish;

/**
 * Tells the decisions about other regions what the reducer sees, and the reducer what they decide. Without
 * settings of regions there is none. The thread that owns the reducer owns it too.
 */
public final class RegionDesk {
    private final Regions regions;
    private final long[] aims;
    private Map<String, InetSocketAddress> gateways;

    /**
     * A desk.
     *
     * @param gateways the other region's gateways, by the names that the rules use
     * @param aims     the time in which a request of each class should be answered, in microseconds
     */
    public RegionDesk(Regions regions, Map<String, InetSocketAddress> gateways, long[] aims) {
        this.regions = regions;
        this.gateways = Map.copyOf(gateways);
        this.aims = aims.clone();
    }

    /** The decisions; their figures may be read by the owning thread. */
    public Regions regions() {
        return regions;
    }

    void adopt(RegionRules rules, Map<String, InetSocketAddress> told, long now) {
        regions.adopt(rules, now);
        gateways = Map.copyOf(told);
    }

    InetSocketAddress address(String gateway) {
        return gateways.get(gateway);
    }

    void taken(Invocation invocation) {
        if (!invocation.visitor) {
            regions.taken();
        }
    }

    /** How one of our own was served here; only the first word of each counts. */
    void judge(Invocation invocation, long now, boolean good) {
        if (!invocation.visitor && !invocation.judged) {
            invocation.judged = true;
            regions.ownEnded(now, good);
        }
    }

    void answered(Invocation invocation, Answer answer, long now) {
        if (answer instanceof Answer.Served) {
            judge(invocation, now, now - invocation.takenAt <= aims[invocation.request.requestClass()]);
        } else if (answer instanceof Answer.Failed) {
            judge(invocation, now, false);
        }
    }

    void over(Invocation invocation) {
        if (invocation.visitor) {
            regions.visitorLeft();
        }
    }

    Refusal admit(Invocation invocation, Path path, long now) {
        return regions.admit(now, path, invocation.request.units());
    }

    Departure depart(Invocation invocation, int callsLeft, long now) {
        Decision decision = regions.depart(
                now,
                new Wish(
                        invocation.request.deadline(),
                        invocation.request.units(),
                        invocation.repeatable,
                        invocation.neverRan(),
                        invocation.visitor,
                        callsLeft));
        return decision.departure();
    }

    void returned(InvokerCall call, CallResult result, Outcome outcome, long now) {
        long tookThere = result instanceof CallResult.Answered answered ? answered.took() : -1;
        long retryAfter = result instanceof CallResult.Answered answered ? answered.retryAfter() : -1;
        Return how = call.stop == InvokerCall.Stop.CANCELLED
                ? Return.GIVEN_UP
                : outcome == Outcome.FULL
                        ? Return.REFUSED
                        : result instanceof CallResult.Answered ? Return.ANSWERED : Return.FAILED;
        regions.returned(now, call.departure, how, now - call.sentAt, tookThere, retryAfter);
    }
}
