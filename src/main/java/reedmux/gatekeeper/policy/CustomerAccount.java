package reedmux.gatekeeper.policy;

import java.util.Arrays;
import reedmux.common.quota.HeapCounter;
import reedmux.common.quota.RunAheadLimit;
import reedmux.gatekeeper.policy.PeerPacket.AccountEntry;
import reedmux.gatekeeper.policy.TrafficPolicy.CustomerPlan;
import reedmux.gatekeeper.policy.TrafficPolicy.IncomingRequest;

/**
 * What one gateway has counted of a customer: the paper's counters, and what the limits beside the quota need. Arrays
 * have an entry for each slot: parent, left and right child in the heap. It holds values and decides nothing.
 */
final class CustomerAccount extends HeapCounter {
    /** Neighbours in the heap: parent, left and right child. */
    static final int SLOTS = 3;

    final long customer;
    CustomerPlan plan;
    int planIndex;
    /** The customer's gateways are {@code memberCount} in a row, from this number on. */
    int firstMember;

    int memberCount;
    /** The most gateways that were ever reported: a share is never larger than for all of these. */
    int maxMemberCount;
    /** Whether this gateway is one of them. */
    boolean member;
    /** Units heard from each neighbour, decaying: a rate times its time constant. */
    double[] branchUnits = new double[SLOTS];
    /** Attempts in flight behind each neighbour, as it last reported. */
    int[] branchConcurrency = new int[SLOTS];
    /** Attempts in flight that were last reported to each neighbour; -1 where they have to be again. */
    int[] reportedConcurrency = new int[SLOTS];
    /** Tokens of the rate limit on their way to each neighbour. */
    double[] pendingGrant = new double[SLOTS];
    /** Whether all of the count has to be reported to a neighbour. */
    boolean[] countRequested = new boolean[SLOTS];
    /** The share of the customer's gateways that are silent. */
    double unreachableShare;
    /** Units that races are taken to have under way. */
    double raceMargin;

    double unitsSinceFirstSeen;
    double rateLimitTokens;
    /** Units counted since the last report to the process that takes this one's place. */
    double unreportedToHandover;
    /** Attempts in flight here. */
    int inFlight;
    /** The revision of the topology that the neighbours are of. */
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

    /** Its plan, or its gateways, are others from now on; what was counted stays. */
    void changePlan(CustomerPlan newPlan, IncomingRequest request) {
        plan = newPlan;
        planIndex = request.plan();
        firstMember = request.firstMember();
        memberCount = request.memberCount();
        rateLimitTokens = Math.max(0, rateLimitTokens); // where the former plan had no limit it says nothing
        membershipView = -1;
    }

    /** A member's even share of an amount; whoever is none has no share. */
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
     * How many units may be admitted before the other members know of them.
     *
     * @param unknownMicros how long units may be unknown to some member
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

    /** Units that are still to be reported to a neighbour. */
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

    /** Whether anything is still to be reported to a neighbour. */
    boolean hasUnreported(int slot, boolean reportsInFlight) {
        return PeerPacket.roundToWire(pending[slot]) != 0
                || countRequested[slot]
                || pendingGrant[slot] > 0
                || reportsInFlight && inFlightExcept(slot) != reportedConcurrency[slot];
    }

    /** Adds to a packet all that is to be reported to a neighbour; returns what goes again if the packet is lost. */
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

    /** Puts what a lost packet carried back into the counter facing the peer; returns whether there still is one. */
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

    /** Attempts in flight here and behind all neighbours but one, or behind all at -1. */
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
