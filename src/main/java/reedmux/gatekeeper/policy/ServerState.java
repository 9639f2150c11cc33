package reedmux.gatekeeper.policy;

import reedmux.gatekeeper.policy.TrafficPolicy.ListedServer;
import reedmux.gatekeeper.policy.TrafficPolicy.ServerStatus;

/** A server as seen by one gateway; times are in microseconds. A data holder that makes no decisions. */
final class ServerState {
    /** The server's entry in the list. */
    ListedServer listing;
    /** Attempts of this gateway that load the server, their limit, and their mean number when others were sent. */
    int inFlight;

    double concurrencyLimit;
    double meanInFlight;
    /** When the limit was last reduced; attempts sent before then say nothing about the reduced limit. */
    long limitReducedAt;
    /** Latency relative to the typical one, as of the last sample. */
    double latencyRatio = 1;

    long sampledAt;
    /** Start of the period in which attempts in flight there have received no answer. */
    long noProgressSince;

    double errorRate;
    int consecutiveFailures;
    int consecutiveSuccesses;
    int ejectionCount;
    /** End of the ejection, after which the server is due for a trial; -1 while it is not ejected. */
    long ejectedUntil = -1;
    /**
     * Work that may be sent while the server warms up, in microseconds, and when it was last refilled; never above
     * zero.
     */
    double warmUpCredit;

    long warmUpCreditAt;

    ServerState(ListedServer listing, double concurrencyLimit) {
        this.listing = listing;
        this.concurrencyLimit = concurrencyLimit;
    }

    boolean isReady() {
        return listing.status() == ServerStatus.READY;
    }

    boolean isEjected() {
        return ejectedUntil >= 0;
    }

    /** Whether another attempt would exceed the limit; the first one is always allowed. */
    boolean isFull() {
        return inFlight > 0 && inFlight + 1 > concurrencyLimit;
    }

    void addInFlight(long now) {
        if (inFlight == 0) {
            noProgressSince = now;
        }
        inFlight++;
    }
}
