package reedmux.gatekeeper.policy;

import java.util.ArrayList;
import java.util.List;

/**
 * Transfers counts between two processes that both serve as one gateway while one replaces the other: first a snapshot
 * of everything that was counted, then the usage that each process counts afterwards. It makes no decisions: a policy
 * counts units from the other process as it counts units from a neighbour. Called by the thread that handles events.
 */
public final class HandoverCounts {
    /**
     * Source of units counted by the other process. It matches no neighbour, so these units are reported to all
     * neighbours.
     */
    static final int HANDOVER_SOURCE = -2;
    /** Fraction of the rate-limit tokens and of their refill that each process has while there are two. */
    private static final double SHARE_DURING_HANDOVER = 0.5;

    /**
     * The counts of one customer.
     *
     * @param knownFor   time since the customer was first seen, in microseconds
     * @param neighbours members that {@code unreportedUnits} have not been reported to yet; -1 for none
     */
    public record AccountSnapshot(
            long customer,
            int plan,
            int firstMember,
            int memberCount,
            int maxMemberCount,
            double count,
            double raceMargin,
            double unitsSinceFirstSeen,
            double rateLimitTokens,
            long knownFor,
            int[] neighbours,
            double[] unreportedUnits) {}

    /** Units counted for a customer since the last exchange. */
    public record AccountUsage(long customer, int plan, int firstMember, int memberCount, double units) {}

    private final PolicyContext context;
    private final CustomerAccounts accounts;
    private final PeerTable peers;
    private final QuotaPolicy quotas;
    private final PeerExchange exchange;

    HandoverCounts(
            PolicyContext context,
            CustomerAccounts accounts,
            PeerTable peers,
            QuotaPolicy quotas,
            PeerExchange exchange) {
        this.context = context;
        this.accounts = accounts;
        this.peers = peers;
        this.quotas = quotas;
        this.exchange = exchange;
    }

    /**
     * Takes a snapshot of all counts; from now on two processes share the limits. The snapshot includes the units that
     * neighbours may not have received yet.
     */
    public List<AccountSnapshot> snapshot(long now) {
        context.now = now;
        for (PeerState peer : peers.all()) {
            exchange.restoreUnacknowledged(peer);
        }
        List<AccountSnapshot> snapshots = new ArrayList<>();
        for (CustomerAccount account : accounts.all()) {
            quotas.refresh(account);
            account.rateLimitTokens *= SHARE_DURING_HANDOVER;
            account.unreportedToHandover = 0;
            snapshots.add(new AccountSnapshot(
                    account.customer,
                    account.planIndex,
                    account.firstMember,
                    account.memberCount,
                    account.maxMemberCount,
                    account.localCount(),
                    account.raceMargin,
                    account.unitsSinceFirstSeen,
                    account.rateLimitTokens,
                    now - account.firstSeenAt,
                    account.neighboursCopy(),
                    account.pendingCopy()));
        }
        accounts.quotaShare().fraction = SHARE_DURING_HANDOVER;
        return snapshots;
    }

    /** Restores the counts of another process, which continues to serve alongside this one. */
    public void restore(long now, List<AccountSnapshot> snapshots) {
        context.now = now;
        accounts.quotaShare().fraction = SHARE_DURING_HANDOVER;
        for (AccountSnapshot snapshot : snapshots) {
            if (isValid(snapshot.customer, snapshot.plan, snapshot.firstMember, snapshot.memberCount)) {
                restore(now, snapshot);
            }
        }
    }

    private void restore(long now, AccountSnapshot snapshot) {
        CustomerAccount account =
                accounts.getOrCreate(snapshot.customer, snapshot.plan, snapshot.firstMember, snapshot.memberCount);
        peers.refresh(account);
        account.firstSeenAt = Math.min(account.firstSeenAt, now - Math.max(0, snapshot.knownFor));
        account.maxMemberCount = Math.max(account.maxMemberCount, snapshot.maxMemberCount);
        account.addWithoutForwarding(Math.max(0, snapshot.count));
        account.raceMargin = Math.max(account.raceMargin, snapshot.raceMargin);
        account.unitsSinceFirstSeen += Math.max(0, snapshot.unitsSinceFirstSeen);
        account.rateLimitTokens = Math.min(snapshot.rateLimitTokens, account.share(account.plan.rateLimitBurst()));
        for (int i = 0; i < snapshot.neighbours.length; i++) {
            int slot = snapshot.neighbours[i] < 0 ? -1 : account.slotOf(snapshot.neighbours[i]);
            if (slot >= 0) {
                account.addPending(slot, snapshot.unreportedUnits[i]);
            }
        }
        peers.markPending(account, PeerTable.NO_PEER);
    }

    /** Returns the units counted here since the last call, without those reported by the other process. */
    public List<AccountUsage> takeUsage() {
        List<AccountUsage> usages = new ArrayList<>();
        for (CustomerAccount account : accounts.all()) {
            if (account.unreportedToHandover != 0) {
                usages.add(new AccountUsage(
                        account.customer,
                        account.planIndex,
                        account.firstMember,
                        account.memberCount,
                        account.unreportedToHandover));
                account.unreportedToHandover = 0;
            }
        }
        return usages;
    }

    /** Counts units that the other process has counted. */
    public void addUsage(long now, List<AccountUsage> usages) {
        context.now = now;
        for (AccountUsage usage : usages) {
            if (isValid(usage.customer, usage.plan, usage.firstMember, usage.memberCount)) {
                CustomerAccount account = quotas.refresh(
                        accounts.getOrCreate(usage.customer, usage.plan, usage.firstMember, usage.memberCount));
                account.usedAt = now;
                quotas.count(account, usage.units, HANDOVER_SOURCE);
            }
        }
    }

    /** Ends the sharing of limits when the other process is gone: this process has the whole share again. */
    public void endSharing() {
        accounts.quotaShare().fraction = 1;
    }

    private boolean isValid(long customer, int plan, int firstMember, int memberCount) {
        TrafficPolicy.PolicySettings settings = context.settings;
        return customer >= 0
                && plan >= 0
                && plan < settings.plans().size()
                && memberCount >= 1
                && memberCount <= settings.groupSize()
                && firstMember >= 0
                && firstMember < settings.groupSize();
    }
}
