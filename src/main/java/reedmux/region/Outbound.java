package reedmux.region;

import java.util.SplittableRandom;
import reedmux.region.RegionRules.Away;

/**
 * Whether a request that our own providers cannot take goes to the other region. Three bounds hold at once:
 * a share of the requests that we take in, a rate with a burst, and requests away at once. The first is
 * earned request by request and the second split evenly over the gatekeepers of the region, so that both
 * hold over all of them together without a word between them, whoever dies or restarts.
 */
final class Outbound {
    /** Requests' worth of the share that may be saved up: a quiet hour must not buy a flood. */
    private static final double SHARE_SAVED = 20;

    private final int members;
    private final Bucket rate;
    private final Bucket share;
    private final Gateways gateways;
    private LinkTime link;
    private Away away;
    private int out;

    Outbound(Away away, int members, long now, SplittableRandom random) {
        this.away = away;
        this.members = members;
        rate = new Bucket(away.rate() / members, away.burst() / members, now);
        share = new Bucket(0, SHARE_SAVED, now);
        gateways = new Gateways(away.gateways(), random);
        link = new LinkTime(away.firstGuess());
    }

    void adopt(Away told, long now) {
        if (!told.region().equals(away.region()) || told.firstGuess() != away.firstGuess()) {
            link = new LinkTime(told.firstGuess()); // another region, another way
        }
        away = told;
        rate.bounds(told.rate() / members, told.burst() / members, now);
        gateways.adopt(told.gateways());
    }

    /** One of our own consumers' requests has come in. */
    void taken() {
        share.earn(away.share());
    }

    Decision decide(long now, Wish wish) {
        if (wish.visitor()) {
            return Decision.no(Decision.Why.VISITOR);
        } else if (!wish.repeatable() && !wish.neverRan()) {
            return Decision.no(Decision.Why.MAY_HAVE_RUN);
        } else if (wish.callsLeft() <= 0) {
            return Decision.no(Decision.Why.NO_CALL_LEFT);
        }
        long left = wish.deadline() - now - away.margin();
        long told = left - link.estimate();
        if (told < away.leastTime()) {
            return Decision.no(Decision.Why.NO_TIME);
        } else if (out >= away.mostAtOnce()) {
            return Decision.no(Decision.Why.AT_ONCE);
        } else if (!share.holds(1, now)) {
            return Decision.no(Decision.Why.SHARE);
        } else if (!rate.holds(wish.units(), now)) {
            return Decision.no(Decision.Why.RATE);
        }
        String gateway = gateways.choose(now, wish.repeatable());
        if (gateway == null) {
            return Decision.no(Decision.Why.NO_GATEWAY);
        }
        share.take(1);
        rate.take(wish.units());
        out++;
        gateways.sent(gateway);
        return new Decision(new Departure(gateway, told, left), Decision.Why.SENT);
    }

    /** A request is back, or lost; {@code took} is the time here, {@code tookThere} what they told, or -1. */
    void returned(long now, String gateway, Return how, long took, long tookThere, long retryAfter) {
        out--;
        switch (how) {
            case ANSWERED -> gateways.answered(gateway);
            case REFUSED -> gateways.refused(gateway, now, retryAfter);
            case FAILED -> gateways.failed(gateway, now);
            case GIVEN_UP -> gateways.givenUp(gateway);
            default -> throw new IllegalStateException("no such result: " + how);
        }
        if (tookThere >= 0 && tookThere <= took) {
            link.learn(took - tookThere);
        }
    }

    int out() {
        return out;
    }

    long linkTime() {
        return link.estimate();
    }
}
