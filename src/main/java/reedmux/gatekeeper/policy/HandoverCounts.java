package reedmux.gatekeeper.policy;

import java.util.ArrayList;
import java.util.List;
import reedmux.gatekeeper.policy.PolicyState.CustomerAccount;
import reedmux.gatekeeper.policy.PolicyState.PeerState;

/**
 * Two processes that are one gateway for a while, as one takes the other's place: carries what one module has
 * counted to the other, and then what each goes on to count. It decides nothing: the module counts what it
 * hears from its twin as it would count a neighbour's units. Called by the thread that handles events.
 */
public final class HandoverCounts {
    /** Where units come from that the twin has counted: no neighbour, so all of them are told. */
    static final int HANDOVER_SOURCE = -2;
    /** Of a ceiling's store and its refill, as long as there are two. */
    private static final double SHARE_DURING_HANDOVER = 0.5;

    /**
     * What was counted of a customer.
     *
     * @param seenFor how long it has been known, in microseconds
     * @param near    neighbours that have not been told {@code owed} units yet; -1 for none
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

    private final GatekeeperPolicy policy;

    HandoverCounts(GatekeeperPolicy brain) {
        this.policy = brain;
    }

    /** All that was counted; from now on there are two. What neighbours may not have had yet goes along. */
    public List<AccountSnapshot> snapshot(long now) {
        policy.now = now;
        for (PeerState edge : policy.edges) {
            policy.takeBack(edge, edge.takeUnacknowledged());
        }
        List<AccountSnapshot> all = new ArrayList<>();
        for (CustomerAccount account : policy.accounts.values()) {
            policy.refresh(account);
            policy.drain(account);
            account.rateLimitTokens *= SHARE_DURING_HANDOVER;
            account.unreportedToHandover = 0;
            all.add(new AccountSnapshot(
                    account.customer,
                    account.planIndex,
                    account.firstMember,
                    account.memberCount,
                    account.maxMemberCount,
                    account.localCount,
                    account.raceMargin,
                    account.unitsSinceFirstSeen,
                    account.rateLimitTokens,
                    now - account.firstSeenAt,
                    account.neighbours.clone(),
                    account.pending.clone()));
        }
        policy.part.fraction = SHARE_DURING_HANDOVER;
        return all;
    }

    /** Goes on from what another process has counted, which goes on beside us. */
    public void restore(long now, List<AccountSnapshot> told) {
        policy.now = now;
        policy.part.fraction = SHARE_DURING_HANDOVER;
        for (AccountSnapshot kept : told) {
            if (!isValid(kept.customer, kept.plan, kept.firstMember, kept.memberCount)) {
                continue;
            }
            CustomerAccount account = policy.account(kept.customer, kept.plan, kept.firstMember, kept.memberCount);
            policy.refresh(account);
            account.firstSeenAt = Math.min(account.firstSeenAt, now - Math.max(0, kept.knownFor));
            account.maxMemberCount = Math.max(account.maxMemberCount, kept.maxMemberCount);
            account.localCount += Math.max(0, kept.count);
            account.raceMargin = Math.max(account.raceMargin, kept.raceMargin);
            account.unitsSinceFirstSeen += Math.max(0, kept.unitsSinceFirstSeen);
            account.rateLimitTokens = Math.min(kept.rateLimitTokens, account.share(account.plan.rateLimitBurst()));
            for (int i = 0; i < kept.neighbours.length; i++) {
                int slot = kept.neighbours[i] < 0 ? -1 : account.slotOf(kept.neighbours[i]);
                if (slot >= 0) {
                    account.pending[slot] += kept.unreportedUnits[i];
                }
            }
            policy.markDirty(account, -1);
        }
    }

    /** What was counted here since the last time and is not the twin's own word. */
    public List<AccountUsage> takeUsage() {
        List<AccountUsage> all = new ArrayList<>();
        for (CustomerAccount account : policy.accounts.values()) {
            if (account.unreportedToHandover != 0) {
                all.add(new AccountUsage(
                        account.customer,
                        account.planIndex,
                        account.firstMember,
                        account.memberCount,
                        account.unreportedToHandover));
                account.unreportedToHandover = 0;
            }
        }
        return all;
    }

    /** Counts what the twin has counted. */
    public void addUsage(long now, List<AccountUsage> told) {
        policy.now = now;
        for (AccountUsage spent : told) {
            if (isValid(spent.customer, spent.plan, spent.firstMember, spent.memberCount)) {
                CustomerAccount account =
                        policy.account(spent.customer, spent.plan, spent.firstMember, spent.memberCount);
                policy.refresh(account);
                policy.drain(account);
                account.usedAt = now;
                policy.count(account, spent.units, HANDOVER_SOURCE);
            }
        }
    }

    /** There is no other any more: the whole share is ours. */
    public void endSharing() {
        policy.part.fraction = 1;
    }

    private boolean isValid(long customer, int plan, int first, int spread) {
        TrafficPolicy.PolicySettings settings = policy.settings;
        return customer >= 0
                && plan >= 0
                && plan < settings.plans().size()
                && spread >= 1
                && spread <= settings.groupSize()
                && first >= 0
                && first < settings.groupSize();
    }
}
