package reedmux.proxy.quota;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.Function;
import reedmux.common.quota.HeapCounter;
import reedmux.common.quota.QuotaUpdate;
import reedmux.common.quota.QuotaUpdate.TenantTotal;
import reedmux.common.quota.RunAheadLimit;
import reedmux.control.configuration.TenantItem;
import reedmux.control.session.ProxySession;
import reedmux.control.session.SessionView;

/**
 * Admits the requests of tenants at one of the proxies that enforce each quota together.
 *
 * <p>The members of the session view form a binary heap, so that each has at most three neighbours. A proxy keeps four
 * counters per tenant: one for each neighbour, with the units that have not been sent to it yet, and one with all units
 * that any member has used. A unit that one neighbour reports is added to the counters of the other two, so that it
 * crosses each link once and reaches every member.
 *
 * <ol>
 *   <li>Admission: a request is admitted if its unit fits into the burst. The count drains at the quota rate, as in a
 *       leaky bucket.
 *   <li>Exchange: the pending units are sent to each neighbour periodically, as a cumulative total for the link in the
 *       view. The next datagram makes up for a lost one, and a duplicate has no effect.
 *   <li>Partition: a proxy uses the fraction of the rate that belongs to the members it can reach, and reserves the
 *       other members' part of the burst until the view changes or they send updates again.
 * </ol>
 *
 * <p>The class is deterministic: callers pass the time in microseconds and send the returned updates. It is not
 * thread-safe.
 */
public final class QuotaTracker {
    /** Interval between sends. A shorter interval keeps the counts of members closer but sends more datagrams. */
    private static final long SEND_INTERVAL_MICROS = 50_000;
    /** Interval between sends while some tenant is near its burst, when delayed counts admit too many requests. */
    private static final long FAST_SEND_INTERVAL_MICROS = 20_000;
    /**
     * Fraction of a burst above which sends are fast; a lower one sends more datagrams for tenants far from a limit.
     */
    private static final double NEAR_BURST_FRACTION = 0.1;
    /**
     * Fraction of a burst above which a silent neighbour counts as unreachable after a shorter timeout. A lower one
     * reserves part of the quota because of links that are only congested; a higher one lets both sides of a partition
     * use the whole quota for longer.
     */
    private static final double SURGE_BURST_FRACTION = 0.3;

    private static final double MICROS_PER_SECOND = 1e6;
    /**
     * Maximum count, in bursts. Counts are delayed when proxies or links are busy, and requests admitted above the
     * quota are compensated by rejecting more later. A higher value compensates all of them; a lower one rejects
     * requests for a shorter time.
     */
    private static final double MAX_COUNT_BURSTS = 3.5;
    /**
     * Maximum count above one burst, as a multiple of the units that the quota rate allows in a propagation time. That
     * many units of a surge are admitted before all members know of it, and units above the maximum are not
     * compensated.
     */
    private static final double MAX_COUNT_PROPAGATION_TIMES = 3;
    /** Interval between heartbeats, the updates that are sent to a neighbour when there is nothing to report. */
    private static final long HEARTBEAT_INTERVAL_MICROS = 200_000;
    /** Heartbeat interval while some tenant is near its burst; several fit into the neighbours' surge timeout. */
    private static final long FAST_HEARTBEAT_INTERVAL_MICROS = 40_000;
    /** How long a member that left the view may still serve clients and use its share of the rate. */
    private static final long DEPARTED_RETENTION_MICROS = 10_000_000;
    /**
     * Without a registry, this proxy counts as a member only while other members of its view send updates; after this
     * time without an update it uses only its own share.
     */
    private static final long VIEW_CONTACT_TIMEOUT_MICROS = 300_000;
    /**
     * Fraction of a burst that a restarted proxy assumes to be used. A higher value rejects requests that are within
     * the quota; a lower one admits again what the proxy had already admitted before its restart.
     */
    private static final double RESTART_USED_FRACTION = 0.2;

    private static final long NOT_JOINED = -1;
    /** Longest wait for a process to become a member of its view; afterwards it continues on its own. */
    private static final long MAX_JOIN_MICROS = 5_000_000;
    /** Minimum rate for computing a retry delay, in requests per second. */
    private static final double MIN_RATE_FOR_WAIT = 0.01;

    /** An update and the member that receives it. */
    public record OutgoingUpdate(ProxySession receiver, QuotaUpdate update) {}

    private final String self;
    private final long incarnation;
    private final boolean restarted;
    private final Random random;
    private final PropagationLatency latency;
    private final long startedAt;
    private final Map<String, TenantCounter> counters = new LinkedHashMap<>();
    private final ReceivedTotals receivedTotals = new ReceivedTotals();
    private final HeapNeighbours neighbours = new HeapNeighbours();
    /** The members that left the view, with the time at which they left. */
    private final Map<String, Long> departedMembers = new HashMap<>();

    private final InactiveHeapViews inactiveViews = new InactiveHeapViews();
    private final ViewChurn churn = new ViewChurn();

    private HeapView currentView = new HeapView(SessionView.of(List.of()), -1, 0);
    private long viewChangedAt;
    /** When this process first became a member of its view; it receives the counts of others only from then on. */
    private long joinedAt = NOT_JOINED;

    private int reachableMembers = 1;
    private boolean registriesUnreachable;
    /** When the last update from a member with the same view was received. */
    private long viewContactAt;

    /**
     * Creates a tracker without a view.
     *
     * @param self        the name of this proxy's node
     * @param incarnation the incarnation of this process
     * @param restarted   whether an earlier process of the node may have admitted requests shortly before
     * @param now         the current time, in microseconds
     */
    public QuotaTracker(String self, long incarnation, boolean restarted, long now) {
        this.self = self;
        this.incarnation = incarnation;
        this.restarted = restarted;
        startedAt = now;
        latency = new PropagationLatency(FAST_SEND_INTERVAL_MICROS, now);
        random = new Random(incarnation);
    }

    // ---- Members and their reachability ------------------------------------------------------------

    /** Switches to a new view of the members; a view equal to the current one has no effect. */
    public void onViewChange(SessionView next, long now) {
        SessionView before = currentView.members();
        if (next.digest() == before.digest() && next.size() == before.size()) {
            return;
        }
        HeapView replaced = currentView;
        currentView = new HeapView(next, next.indexOf(self), replaced.generation() + 1);
        viewChangedAt = now;
        churn.onViewChange(now);
        if (joinedAt == NOT_JOINED && currentView.selfIndex() >= 0) {
            joinedAt = now;
        }
        neighbours.onViewChange(next, currentView.selfIndex(), now);
        reachableMembers = neighbours.memberCount();
        latency.setMemberCount(reachableMembers);
        before.members().stream()
                .filter(member -> next.indexOf(member.node()) < 0)
                .forEach(member -> departedMembers.put(member.node(), now));
        next.members().forEach(member -> departedMembers.remove(member.node()));
        // Units that members admit before they receive this view are forwarded along the heap of their former view.
        // Otherwise most members would never count them.
        for (Map.Entry<String, TenantCounter> entry : counters.entrySet()) {
            LinkTotals former = entry.getValue().onViewChange(neighbours.indexes(), now);
            if (former.isUsed()) {
                replaced.keepLinks(entry.getKey(), former);
            }
        }
        inactiveViews.addFormer(replaced, now);
        for (InactiveHeapViews.EarlyUnits units : inactiveViews.takeEarlyUnits(currentView.digest())) {
            forwardEarly(units);
        }
    }

    /** Queues units, already counted when they were received, for the neighbours in the view that they belong to. */
    private void forwardEarly(InactiveHeapViews.EarlyUnits units) {
        TenantCounter counter = counters.get(units.tenant());
        int senderIndex = currentView.members().indexOf(units.sender());
        if (counter != null && counter.slotOf(senderIndex) >= 0) {
            counter.queue(units.units(), senderIndex);
        }
    }

    /** Sets whether all registries are unreachable, so that the view is not updated. */
    public void setRegistriesUnreachable(boolean unreachable) {
        registriesUnreachable = unreachable;
    }

    /**
     * Returns whether this proxy is partitioned both from the registries and from the members of its view. The others
     * then continue without it, and it may use only one member's share. If only the registries are unreachable, members
     * of the view still send updates and the heap continues to work.
     */
    private boolean isIsolated(long now) {
        return registriesUnreachable && now - viewContactAt > VIEW_CONTACT_TIMEOUT_MICROS;
    }

    /** Reserves shares for members that became unreachable, and releases those of members that are reachable again. */
    private void updateReachableMembers(long now) {
        int members = neighbours.memberCount();
        int next = currentView.selfIndex() < 0 ? members : neighbours.reachableMembers(-1, now);
        int before = reachableMembers;
        if (next == before) {
            return;
        }
        // The time up to now is drained with the previous number of reachable members.
        counters.values().forEach(counter -> drain(counter, now));
        reachableMembers = next;
        for (TenantCounter counter : counters.values()) {
            if (next < before) {
                counter.onMembersLost(1 - reachableFraction());
            } else {
                counter.onMembersRestored((double) (members - next) / (members - before));
            }
        }
    }

    private double reachableFraction() {
        return (double) reachableMembers / neighbours.memberCount();
    }

    // ---- Admission ---------------------------------------------------------------------------------

    /** Counts one request of a tenant if it fits into the quota. Returns whether the request is admitted. */
    public boolean admit(TenantItem tenant, long now) {
        if (tenant.requestsPerSecond() <= 0) {
            return true;
        }
        TenantCounter counter = counterOf(tenant, now);
        updateReachableMembers(now);
        // A new process admits at most one member's share until it has had time to receive the counts of all members.
        boolean starting = joinedWithin(latency.settleMicros(now), now);
        if (counter.localCount() + 1 > usableBurst(tenant, counter, now)
                || starting && counter.admittedAtStart() >= startBurst(tenant)
                || exceedsRunAheadAllowance(tenant, counter, now)) {
            return false;
        }
        if (starting) {
            counter.countAdmittedAtStart();
        }
        counter.countAdmitted(1, now);
        return true;
    }

    /**
     * Returns whether one more unit exceeds what this member may admit before the others know of it. An allowance below
     * one unit is the probability of admission, because many members may each have a small allowance.
     */
    private boolean exceedsRunAheadAllowance(TenantItem tenant, TenantCounter counter, long now) {
        double allowance = counter.runAhead()
                .allowance(
                        counter.localCount(),
                        tenant.requestsPerSecond(),
                        tenant.burst(),
                        neighbours.memberCount(),
                        latency.expectedPropagationMicros(now),
                        now);
        return allowance < 1 && random.nextDouble() >= allowance;
    }

    private double usableBurst(TenantItem tenant, TenantCounter counter, long now) {
        return isIsolated(now)
                ? Math.max(1, tenant.burst()) / neighbours.memberCount()
                : Math.max(1, tenant.burst() - counter.reserved());
    }

    private double startBurst(TenantItem tenant) {
        boolean membersUnknown = restarted && joinedAt == NOT_JOINED;
        return membersUnknown ? 1 : Math.max(1, tenant.burst() / neighbours.memberCount());
    }

    /** Returns whether this process became a member within the given time, or may still become one. */
    private boolean joinedWithin(long micros, long now) {
        long joined = joinedAt == NOT_JOINED ? startedAt + MAX_JOIN_MICROS : joinedAt;
        return now - joined < micros;
    }

    /** Refunds the unit of a request that was admitted but never executed. */
    public void refund(TenantItem tenant, long now) {
        if (tenant.requestsPerSecond() > 0) {
            counterOf(tenant, now).countAdmitted(-1, now);
        }
    }

    /** Returns the time until one request of the tenant fits into the quota, in microseconds. */
    public long retryAfterMicros(TenantItem tenant, long now) {
        TenantCounter counter = counterOf(tenant, now);
        double excess = Math.max(1, counter.localCount() + 1 - tenant.burst());
        return (long) (excess / Math.max(MIN_RATE_FOR_WAIT, tenant.requestsPerSecond()) * MICROS_PER_SECOND);
    }

    /** Returns the requests that this proxy counts for a tenant; for tests and diagnostics. */
    public double countedUnits(TenantItem tenant, long now) {
        return counterOf(tenant, now).localCount();
    }

    private TenantCounter counterOf(TenantItem tenant, long now) {
        TenantCounter counter = counters.get(tenant.name());
        if (counter == null) {
            counter = newCounter(tenant, now);
            counters.put(tenant.name(), counter);
        }
        counter.setLimits(tenant.requestsPerSecond(), tenant.burst());
        drain(counter, now);
        return counter;
    }

    private TenantCounter newCounter(TenantItem tenant, long now) {
        long knownSince = joinedAt == NOT_JOINED ? now : joinedAt;
        TenantCounter counter = new TenantCounter(now, restarted ? knownSince : RunAheadLimit.ALL_KNOWN);
        if (restarted && now - startedAt < DEPARTED_RETENTION_MICROS) {
            counter.add(RESTART_USED_FRACTION * tenant.burst(), HeapCounter.LOCAL);
            counter.clearPending();
        }
        counter.rewire(neighbours.indexes());
        counter.setReservedForUnreachable(tenant.burst() * (1 - reachableFraction()));
        return counter;
    }

    /** Drains a count by this side's share of the rate for the time since the last drain. */
    private void drain(TenantCounter counter, long now) {
        departedMembers.values().removeIf(since -> now - since > DEPARTED_RETENTION_MICROS);
        int members = neighbours.memberCount();
        if (isIsolated(now)) {
            counter.drainAfterFormerReserve(counter.elapsedUnits(1.0 / members, now));
            return;
        }
        double share = (double) reachableMembers / (members + departedMembers.size());
        // Drains only the counted fraction, as if the lost units had been counted and had drained as well.
        double units = counter.elapsedUnits(share * churn.countedFraction(now), now);
        counter.deferDrain(units / reachableMembers * (members - reachableMembers));
        counter.drainAfterFormerReserve(units);
    }

    // ---- Exchange with the neighbours --------------------------------------------------------------

    /** Returns the time until {@link #collectUpdates} must be called again, in microseconds. */
    public long sendIntervalMicros() {
        return anyTenantAbove(NEAR_BURST_FRACTION) ? FAST_SEND_INTERVAL_MICROS : SEND_INTERVAL_MICROS;
    }

    private boolean anyTenantAbove(double fractionOfBurst) {
        for (TenantCounter counter : counters.values()) {
            if (counter.isAbove(fractionOfBurst)) {
                return true;
            }
        }
        return false;
    }

    /** Returns the updates that are due: for each neighbour its changed totals, or a heartbeat. */
    public List<OutgoingUpdate> collectUpdates(long now) {
        neighbours.setSurge(anyTenantAbove(SURGE_BURST_FRACTION), now);
        updateReachableMembers(now);
        long heartbeatInterval =
                anyTenantAbove(NEAR_BURST_FRACTION) ? FAST_HEARTBEAT_INTERVAL_MICROS : HEARTBEAT_INTERVAL_MICROS;
        // After a view change neighbours may be new, so the updates also contain the counts.
        boolean sendsCounts = now - viewChangedAt < latency.settleMicros(now);
        List<OutgoingUpdate> updates = new ArrayList<>();
        for (int link = 0; link < HeapNeighbours.COUNT; link++) {
            ArrayList<TenantTotal> entries = collectEntries(link, sendsCounts);
            boolean due = !entries.isEmpty() || now - neighbours.lastSentAt(link) >= heartbeatInterval;
            if (neighbours.index(link) >= 0 && due) {
                neighbours.onSent(link, now);
                int reachable = neighbours.reachableMembers(link, now);
                updates.add(buildUpdate(currentView, neighbours.index(link), reachable, entries));
            }
        }
        inactiveViews.expire(now);
        for (HeapView former : inactiveViews.formerViews()) {
            collectFormerUpdates(former, updates);
        }
        latency.onSend(sendIntervalMicros(), now);
        return updates;
    }

    private void collectFormerUpdates(HeapView former, List<OutgoingUpdate> updates) {
        for (int link = 0; link < HeapNeighbours.COUNT; link++) {
            ArrayList<TenantTotal> totals = new ArrayList<>(former.collectTotals(link));
            if (!totals.isEmpty()) {
                updates.add(buildUpdate(former, former.neighbour(link), 0, totals));
            }
        }
    }

    private OutgoingUpdate buildUpdate(HeapView view, int receiver, int reachable, ArrayList<TenantTotal> totals) {
        return new OutgoingUpdate(
                view.members().member(receiver),
                new QuotaUpdate(self, incarnation, view.generation(), view.digest(), reachable, totals));
    }

    private ArrayList<TenantTotal> collectEntries(int link, boolean sendsCounts) {
        ArrayList<TenantTotal> entries = new ArrayList<>();
        boolean hasNeighbour = neighbours.index(link) >= 0;
        for (Map.Entry<String, TenantCounter> entry : counters.entrySet()) {
            TenantCounter counter = entry.getValue();
            counter.advanceTotal(link);
            if (hasNeighbour && (counter.hasTotalToSend(link) || sendsCounts && counter.localCount() > 0)) {
                double count = sendsCounts ? counter.localCount() : -1;
                entries.add(new TenantTotal(entry.getKey(), counter.sendTotal(link), count));
            }
        }
        return entries;
    }

    /**
     * Counts the units that a member reports. They are forwarded only to the other neighbours in the view that they
     * belong to, so that no unit can circulate while members have different views.
     *
     * @param update  the received update
     * @param tenants finds a tenant by its name, or returns null if there is none
     * @param now     the current time, in microseconds
     */
    public void onUpdate(QuotaUpdate update, Function<String, TenantItem> tenants, long now) {
        int senderIndex = currentView.members().indexOf(update.sender());
        boolean sameView = update.viewDigest() == currentView.digest();
        if (sameView) {
            viewContactAt = now;
            neighbours.onUpdateReceived(senderIndex, update.reachableMembers(), now);
        }
        Map<String, Double> totals = receivedTotals.baselineOf(update, now);
        if (totals == null) {
            return;
        }
        for (TenantTotal entry : update.entries()) {
            TenantItem tenant = tenants.apply(entry.tenant());
            if (tenant == null || tenant.requestsPerSecond() <= 0) {
                continue;
            }
            TenantCounter counter = counterOf(tenant, now);
            double units = entry.total() - totals.getOrDefault(entry.tenant(), 0.0);
            if (units != 0) {
                totals.put(entry.tenant(), entry.total());
                counter.runAhead().onCounted(units, now);
                if (sameView && counter.slotOf(senderIndex) >= 0) {
                    counter.add(units, senderIndex);
                } else {
                    counter.addWithoutForwarding(units);
                    if (!sameView) {
                        inactiveViews.onUnits(update.viewDigest(), update.sender(), entry.tenant(), units, now);
                    }
                }
            }
            counter.capAt(counter.deferredDrain() + maxCount(tenant));
            // A new process may adopt the counts of its neighbours.
            if (entry.senderCount() >= 0 && joinedWithin(2 * latency.settleMicros(now), now)) {
                counter.raiseTo(entry.senderCount());
            }
        }
    }

    private double maxCount(TenantItem tenant) {
        double surge = tenant.requestsPerSecond()
                * MAX_COUNT_PROPAGATION_TIMES
                * latency.maxPropagationMicros()
                / MICROS_PER_SECOND;
        return Math.max(MAX_COUNT_BURSTS * tenant.burst(), tenant.burst() + surge);
    }
}
