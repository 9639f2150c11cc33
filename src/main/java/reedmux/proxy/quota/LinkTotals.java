package reedmux.proxy.quota;

import reedmux.common.quota.HeapCounter;

/**
 * Reports one tenant's units to the neighbours in one view. Each link has its pending units and a cumulative total,
 * which starts at zero with the view.
 */
class LinkTotals extends HeapCounter {
    /** How often a total is sent after its last change; more sends tolerate more datagram loss but add traffic. */
    private static final int SENDS_PER_CHANGE = 3;

    private double[] sentTotals = new double[NEIGHBOUR_COUNT];
    /** Number of sends that are still due for each total. */
    private int[] sendsLeft = new int[NEIGHBOUR_COUNT];

    /** Adds the units pending for a neighbour to the total of its link. */
    final void advanceTotal(int link) {
        double units = takePending(link);
        if (units != 0) {
            sentTotals[link] += units;
            sendsLeft[link] = SENDS_PER_CHANGE;
        }
    }

    final boolean hasTotalToSend(int link) {
        return sendsLeft[link] > 0;
    }

    /** Returns the total of a link and counts it as sent. */
    final double sendTotal(int link) {
        sendsLeft[link] = Math.max(0, sendsLeft[link] - 1);
        return sentTotals[link];
    }

    /** Returns the state of the current links as a separate object, and starts empty links to new neighbours. */
    final LinkTotals replaceLinks(int[] next) {
        LinkTotals former = new LinkTotals();
        former.neighbours = neighbours;
        former.pending = pending;
        former.sentTotals = sentTotals;
        former.sendsLeft = sendsLeft;
        neighbours = next.clone();
        clearPending();
        sentTotals = new double[NEIGHBOUR_COUNT];
        sendsLeft = new int[NEIGHBOUR_COUNT];
        return former;
    }

    /** Returns whether any units have been sent or are pending. */
    final boolean isUsed() {
        for (int link = 0; link < NEIGHBOUR_COUNT; link++) {
            if (pending[link] != 0 || sentTotals[link] != 0) {
                return true;
            }
        }
        return false;
    }

    /** Queues units that are already counted for all neighbours except the one that reported them. */
    final void queue(double units, int from) {
        add(units, from);
        localCount -= units;
    }
}
