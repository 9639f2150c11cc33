package reedmux.gatekeeper.policy;

import java.util.ArrayList;
import java.util.List;

/**
 * Two processes that are one gateway for a while, as one takes the other's place: carries what one policy has counted
 * to the other, and then what each goes on to count. It decides nothing: a policy counts what it hears from the other
 * process as it would count a neighbour's units. Called by the thread that handles events.
 */
public final class HandoverCounts {
    /** Where units come from that the other process has counted: no neighbour, so that they are reported to all. */
    static final int HANDOVER_SOURCE = -2;
    /** Of the rate limit's tokens and their refill, as long as there are two processes. */
    private static final double SHARE_DURING_HANDOVER = 0.5;

    /**
     * What was counted of a customer.
     *
     * @param knownFor   how long it has been known, in microseconds
     * @param neighbours members to which {@code unreportedUnits} have not been reported yet; -1 for none
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

    /** Units that were counted of a customer since the last time. */
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

    /** All that was counted; from now on there are two. What neighbours may not have had yet goes along. */
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

    /** Goes on from what another process has counted, which goes on beside this one. */
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

    /** What was counted here since the last time and is not the other process's own report. */
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

    /** Counts what the other process has counted. */
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

    /** There is no other process any more: the whole share is this one's. */
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
