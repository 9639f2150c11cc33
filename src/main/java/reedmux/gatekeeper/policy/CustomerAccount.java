package reedmux.gatekeeper.policy;

import java.util.Arrays;
import reedmux.common.quota.HeapCounter;
import reedmux.common.quota.RunAheadLimit;
import reedmux.gatekeeper.policy.PeerPacket.AccountEntry;
import reedmux.gatekeeper.policy.TrafficPolicy.CustomerPlan;
import reedmux.gatekeeper.policy.TrafficPolicy.IncomingRequest;

/**
 * The quota counters of one customer at this gateway, and the state of its rate limit and concurrency cap. Arrays have
 * an entry for each slot: parent, left child and right child in the heap. A data holder that makes no decisions.
 */
final class CustomerAccount extends HeapCounter {
    /** Number of neighbours in the heap: parent, left child and right child. */
    static final int SLOTS = 3;

    final long customer;
    CustomerPlan plan;
    int planIndex;
    /** Number of the first of the customer's {@code memberCount} consecutive gateways. */
    int firstMember;

    int memberCount;
    /** The highest member count ever reported; a share is never larger than an even split among these. */
    int maxMemberCount;
    /** Whether this gateway is one of the customer's gateways. */
    boolean member;
    /** Units received from each neighbour, decaying exponentially: the branch's rate times the decay time constant. */
    double[] branchUnits = new double[SLOTS];
    /** Attempts in flight behind each neighbour, as it last reported them. */
    int[] branchConcurrency = new int[SLOTS];
    /** Attempts in flight that were last reported to each neighbour; -1 if they must be reported again. */
    int[] reportedConcurrency = new int[SLOTS];
    /** Rate-limit tokens to transfer to each neighbour with the next report. */
    double[] pendingGrant = new double[SLOTS];
    /** Whether the full count must be reported to a neighbour. */
    boolean[] countRequested = new boolean[SLOTS];
    /** The share of the customer's gateways that are unreachable. */
    double unreachableShare;
    /** Units that racing gateways are assumed to have admitted but not yet reported here. */
    double raceMargin;

    double unitsSinceFirstSeen;
    double rateLimitTokens;
    /** Units counted since the last report to the other process during a handover. */
    double unreportedToHandover;
    /** Attempts in flight at this gateway. */
    int inFlight;
    /** The topology revision for which the neighbours were computed; -1 if they must be recomputed. */
    int membershipView = -1;

    private final QuotaShare quotaShare;
    private final RunAheadLimit runAhead;
    long firstSeenAt;
    long drainedAt;
    long usedAt;

    CustomerAccount(
            long customer,
            CustomerPlan plan,
            int planIndex,
            int firstMember,
            int memberCount,
            QuotaShare quotaShare,
            long now) {
        this.customer = customer;
        this.plan = plan;
        this.planIndex = planIndex;
        this.firstMember = firstMember;
        this.memberCount = memberCount;
        this.quotaShare = quotaShare;
        maxMemberCount = memberCount;
        firstSeenAt = now;
        drainedAt = now;
        usedAt = now;
        runAhead = new RunAheadLimit(now, RunAheadLimit.ALL_KNOWN);
    }

    /** Changes the customer's plan and gateways; the counted units are kept. */
    void changePlan(CustomerPlan newPlan, IncomingRequest request) {
        plan = newPlan;
        planIndex = request.plan();
        firstMember = request.firstMember();
        memberCount = request.memberCount();
        rateLimitTokens = Math.max(0, rateLimitTokens); // a debt is meaningless if the former plan had no limit
        membershipView = -1;
    }

    /** Returns this gateway's even share of an amount, or 0 if it is not one of the customer's gateways. */
    double share(double amount) {
        return member ? amount * quotaShare.fraction / maxMemberCount : 0;
    }

    @Override
    public void add(double units, int from) {
        super.add(units, from);
        if (from == PeerTable.NO_PEER) {
            runAhead.onAdmitted(units, Math.max(drainedAt, usedAt));
        } else {
            runAhead.onCounted(units, Math.max(drainedAt, usedAt));
        }
        unreportedToHandover += from == HandoverCounts.HANDOVER_SOURCE ? 0 : units;
    }

    @Override
    public void addWithoutForwarding(double units) {
        super.addWithoutForwarding(units);
        runAhead.onCounted(units, Math.max(drainedAt, usedAt));
    }

    /**
     * Returns how many units may be admitted before the other members know of them.
     *
     * @param unknownMicros how long units may remain unknown to some member, in microseconds
     */
    double unknownAllowance(long unknownMicros, long now) {
        return runAhead.allowance(localCount(), plan.quotaRate(), plan.quotaBurst(), memberCount, unknownMicros, now);
    }

    void spend(double units, long now) {
        unitsSinceFirstSeen += units;
        rateLimitTokens -= units;
        usedAt = now;
    }

    boolean hasNeighbours(int[] candidates) {
        return Arrays.equals(neighbours, candidates);
    }

    /** Returns the units that have not been reported to a neighbour yet. */
    double pending(int slot) {
        return pending[slot];
    }

    void addPending(int slot, double units) {
        pending[slot] += units;
    }

    int[] neighboursCopy() {
        return neighbours.clone();
    }

    double[] pendingCopy() {
        return pending.clone();
    }

    /** Whether anything remains to be reported to a neighbour. */
    boolean hasUnreported(int slot, boolean reportsInFlight) {
        return PeerPacket.roundToWire(pending[slot]) != 0
                || countRequested[slot]
                || pendingGrant[slot] > 0
                || reportsInFlight && inFlightExcept(slot) != reportedConcurrency[slot];
    }

    /** Adds the report for a neighbour to a packet. Returns the units to restore if the packet is lost. */
    CarriedUnits report(int slot, boolean reportsInFlight, PeerPacketWriter packet) {
        double delta = PeerPacket.roundToWire(pending[slot]);
        boolean countIncluded = countRequested[slot];
        pending[slot] -= delta;
        countRequested[slot] = false;
        reportedConcurrency[slot] = inFlightExcept(slot);
        packet.add(new AccountEntry(
                customer,
                planIndex,
                firstMember,
                memberCount,
                delta,
                countIncluded ? Double.valueOf(localCount() - delta) : null,
                reportsInFlight ? Integer.valueOf(reportedConcurrency[slot]) : null,
                pendingGrant[slot]));
        pendingGrant[slot] = 0;
        return new CarriedUnits(this, delta, countIncluded);
    }

    @Override
    public void rewire(int[] next) {
        int[] old = neighbours;
        double[] oldBranchUnits = branchUnits;
        super.rewire(next);
        branchUnits = new double[SLOTS];
        branchConcurrency = new int[SLOTS];
        reportedConcurrency = new int[SLOTS];
        pendingGrant = new double[SLOTS];
        countRequested = new boolean[SLOTS];
        for (int slot = 0; slot < SLOTS; slot++) {
            int oldSlot = slotIn(old, neighbours[slot]);
            branchUnits[slot] = oldSlot >= 0 ? oldBranchUnits[oldSlot] : 0;
        }
    }

    /**
     * Puts the units of a lost packet back into the counter facing the peer. Returns false if the peer is no longer a
     * neighbour.
     */
    boolean restoreUnits(int peer, CarriedUnits lost) {
        int slot = slotOf(peer);
        if (slot < 0) {
            return false;
        }
        pending[slot] += lost.units();
        countRequested[slot] |= lost.countIncluded();
        reportedConcurrency[slot] = -1;
        return true;
    }

    /**
     * Returns the attempts in flight here and behind all neighbours except the one in {@code slot}; -1 excludes none.
     */
    int inFlightExcept(int slot) {
        int total = inFlight + branchConcurrency[0] + branchConcurrency[1] + branchConcurrency[2];
        return total - (slot < 0 ? 0 : branchConcurrency[slot]);
    }

    void decayBranches(double factor) {
        for (int slot = 0; slot < SLOTS; slot++) {
            branchUnits[slot] *= factor;
        }
    }
}
