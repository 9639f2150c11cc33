package reedmux.policy;

import java.util.ArrayList;
import java.util.List;
import reedmux.policy.State.Account;
import reedmux.policy.State.Edge;

/**
 * Two processes that are one gateway for a while, as one takes the other's place: carries what one module has
 * counted to the other, and then what each goes on to count. It decides nothing: the module counts what it
 * hears from its twin as it would count a neighbour's units. Called by the thread that handles events.
 */
public final class Twin {
    /** Where units come from that the twin has counted: no neighbour, so all of them are told. */
    static final int FROM = -2;
    /** Of a ceiling's store and its refill, as long as there are two. */
    private static final double HALF = 0.5;

    /**
     * What was counted of a customer.
     *
     * @param seenFor how long it has been known, in microseconds
     * @param near    neighbours that have not been told {@code owed} units yet; -1 for none
     */
    public record Kept(
            long customer,
            int plan,
            int first,
            int spread,
            int sharers,
            double count,
            double margin,
            double sight,
            double ceiling,
            long seenFor,
            int[] near,
            double[] owed) {}

    /** Units that were counted of a customer since the last time. */
    public record Spent(long customer, int plan, int first, int spread, double units) {}

    private final Brain brain;

    Twin(Brain brain) {
        this.brain = brain;
    }

    /** All that was counted; from now on there are two. What neighbours may not have had yet goes along. */
    public List<Kept> hand(long now) {
        brain.now = now;
        for (Edge edge : brain.edges) {
            brain.takeBack(edge, edge.takeUnacknowledged());
        }
        List<Kept> all = new ArrayList<>();
        for (Account account : brain.accounts.values()) {
            brain.refresh(account);
            brain.drain(account);
            account.ceiling *= HALF;
            account.toTwin = 0;
            all.add(new Kept(
                    account.customer,
                    account.planIndex,
                    account.first,
                    account.spread,
                    account.sharers,
                    account.localCount,
                    account.margin,
                    account.sightUnits,
                    account.ceiling,
                    now - account.seenAt,
                    account.near.clone(),
                    account.to.clone()));
        }
        brain.part.of = HALF;
        return all;
    }

    /** Goes on from what another process has counted, which goes on beside us. */
    public void take(long now, List<Kept> told) {
        brain.now = now;
        brain.part.of = HALF;
        for (Kept kept : told) {
            if (!fits(kept.customer, kept.plan, kept.first, kept.spread)) {
                continue;
            }
            Account account = brain.account(kept.customer, kept.plan, kept.first, kept.spread);
            brain.refresh(account);
            account.seenAt = Math.min(account.seenAt, now - Math.max(0, kept.seenFor));
            account.sharers = Math.max(account.sharers, kept.sharers);
            account.localCount += Math.max(0, kept.count);
            account.margin = Math.max(account.margin, kept.margin);
            account.sightUnits += Math.max(0, kept.sight);
            account.ceiling = Math.min(kept.ceiling, account.share(account.plan.ceilingBurst()));
            for (int i = 0; i < kept.near.length; i++) {
                int slot = kept.near[i] < 0 ? -1 : account.slot(kept.near[i]);
                if (slot >= 0) {
                    account.to[slot] += kept.owed[i];
                }
            }
            brain.markDirty(account, -1);
        }
    }

    /** What was counted here since the last time and is not the twin's own word. */
    public List<Spent> spent() {
        List<Spent> all = new ArrayList<>();
        for (Account account : brain.accounts.values()) {
            if (account.toTwin != 0) {
                all.add(new Spent(account.customer, account.planIndex, account.first, account.spread, account.toTwin));
                account.toTwin = 0;
            }
        }
        return all;
    }

    /** Counts what the twin has counted. */
    public void hear(long now, List<Spent> told) {
        brain.now = now;
        for (Spent spent : told) {
            if (fits(spent.customer, spent.plan, spent.first, spent.spread)) {
                Account account = brain.account(spent.customer, spent.plan, spent.first, spent.spread);
                brain.refresh(account);
                brain.drain(account);
                account.usedAt = now;
                brain.count(account, spent.units, FROM);
            }
        }
    }

    /** There is no other any more: the whole share is ours. */
    public void alone() {
        brain.part.of = 1;
    }

    private boolean fits(long customer, int plan, int first, int spread) {
        Gateway.Settings settings = brain.settings;
        return customer >= 0
                && plan >= 0
                && plan < settings.plans().size()
                && spread >= 1
                && spread <= settings.groupSize()
                && first >= 0
                && first < settings.groupSize();
    }
}
