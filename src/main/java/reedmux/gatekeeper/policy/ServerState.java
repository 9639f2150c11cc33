package reedmux.gatekeeper.policy;

import reedmux.gatekeeper.policy.TrafficPolicy.ListedServer;
import reedmux.gatekeeper.policy.TrafficPolicy.ServerStatus;

/** A server as one gateway sees it; times in microseconds. It holds values and decides nothing. */
final class ServerState {
    /** What the list says of it. */
    ListedServer listing;
    /** Attempts of ours that are work there now, the bound on them, and their mean when others were sent. */
    int inFlight;

    double concurrencyLimit;
    double meanInFlight;
    /** When the bound was last reduced: attempts sent before tell nothing of the reduced one. */
    long limitReducedAt;
    /** The latency there against the usual one, as of the last sample. */
    double latencyRatio = 1;

    long sampledAt;
    /** Since when attempts in flight there have had no answer. */
    long noProgressSince;

    double errorRate;
    int consecutiveFailures;
    int consecutiveSuccesses;
    int ejectionCount;
    /** Until when it is ejected, and due for a trial after that; -1 while it is not ejected. */
    long ejectedUntil = -1;
    /** Work that may be sent there while it warms up, and when that was last refilled; never above zero. */
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

    /** Whether one more attempt would pass the bound; the first always may. */
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
