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
 * Admits the requests of tenants at one proxy, as one of many that enforce each quota together.
 *
 * <p>The members of the session view form a binary heap, so that each has at most three neighbours. A proxy keeps four
 * counters a tenant: one for each neighbour, of units that it has still to be sent, and one of all units that are
 * counted anywhere. A unit that comes from one neighbour enters the counters that face the other two, and so crosses
 * the heap once and reaches every member.
 *
 * <ol>
 *   <li>Admission: a request passes while its unit fits into the burst; the count drains at the quota's rate, as a
 *       leaky bucket.
 *   <li>Exchange: periodically each neighbour is sent what waits for it, as a running total of its link in the view. A
 *       lost datagram is made good by the next one, and a repeated one changes nothing.
 *   <li>Partition: a proxy uses the fraction of the rate that belongs to the members it can reach, and sets the others'
 *       part of the burst aside, until the view changes or they are heard again.
 * </ol>
 *
 * <p>Deterministic: it is told the time, in microseconds, and returns what is to be sent. For one thread.
 */
public final class QuotaTracker {
    /** Between two sends. Shorter keeps the counts closer to each other and costs datagrams. */
    private static final long SEND_INTERVAL_MICROS = 50_000;
    /** The same while some tenant is near its burst, where late counts let too much through. */
    private static final long FAST_SEND_INTERVAL_MICROS = 20_000;
    /** The fraction of a burst from which sends are fast: lower means more datagrams for tenants far from a limit. */
    private static final double NEAR_BURST_FRACTION = 0.1;
    /**
     * The fraction of a burst from which an unheard neighbour is given up soon: lower gives up part of the quota for
     * links that are only busy, higher lets both sides of a partition use all of it for longer.
     */
    private static final double SURGE_BURST_FRACTION = 0.3;

    private static final double MICROS_PER_SECOND = 1e6;
    /**
     * The most that is ever counted, in bursts. Counts are late where proxies or links are busy, and what was admitted
     * too much is paid back by refusing more: higher pays back all of it, lower refuses for a shorter time.
     */
    private static final double MAX_COUNT_BURSTS = 3.5;
    /**
     * The same beyond one burst, in propagation times at the quota's rate: as much of a surge is admitted before all
     * members know of it, and what is not counted is not paid back.
     */
    private static final double MAX_COUNT_PROPAGATION_TIMES = 3;
    /** Between two updates to a neighbour where there is nothing to report. */
    private static final long HEARTBEAT_INTERVAL_MICROS = 200_000;
    /** The same while some tenant is near its burst; several of them fit into a neighbour's short timeout. */
    private static final long FAST_HEARTBEAT_INTERVAL_MICROS = 40_000;
    /** How long a member that left the view may still serve clients, with its share of the rate. */
    private static final long DEPARTED_RETENTION_MICROS = 10_000_000;
    /** Without a registry this proxy counts as a member only while others of its view send to it. */
    private static final long VIEW_CONTACT_TIMEOUT_MICROS = 300_000;
    /**
     * The fraction of a burst that a restarted proxy takes as used: more refuses requests that had room, less admits
     * once more what it admitted before its restart.
     */
    private static final double RESTART_USED_FRACTION = 0.2;

    private static final long NOT_JOINED = -1;
    /** A process that is no member of its view by then goes on alone. */
    private static final long MAX_JOIN_MICROS = 5_000_000;
    /** The least rate by which a wait is computed, in requests a second. */
    private static final double MIN_RATE_FOR_WAIT = 0.01;

    /** An update and the member that it goes to. */
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
    /** The members that left the view, and when. */
    private final Map<String, Long> departedMembers = new HashMap<>();

    private final InactiveHeapViews inactiveViews = new InactiveHeapViews();
    private final ViewChurn churn = new ViewChurn();

    private HeapView currentView = new HeapView(SessionView.of(List.of()), -1, 0);
    private long viewChangedAt;
    /** When this process was first a member of its view: only from then on is it told what others count. */
    private long joinedAt = NOT_JOINED;

    private int reachableMembers = 1;
    private boolean registriesUnreachable;
    /** When a member of the same view was last heard. */
    private long viewContactAt;

    /**
     * A tracker without a view.
     *
     * @param self        this proxy's node
     * @param incarnation of this process
     * @param restarted   whether an earlier process of the node may have admitted requests shortly before
     * @param now         in microseconds
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

    /** Takes over the members as they are now; a view that is the same changes nothing. */
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
        // What members admit before they hear of this view goes on along the heap of theirs, or it is lost to most.
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

    /** Units that were counted when they came in, for the neighbours of the view that they belong to. */
    private void forwardEarly(InactiveHeapViews.EarlyUnits units) {
        TenantCounter counter = counters.get(units.tenant());
        int senderIndex = currentView.members().indexOf(units.sender());
        if (counter != null && counter.slotOf(senderIndex) >= 0) {
            counter.queue(units.units(), senderIndex);
        }
    }

    /** Whether no registry can be reached, so that the view is no longer updated. */
    public void setRegistriesUnreachable(boolean unreachable) {
        registriesUnreachable = unreachable;
    }

    /**
     * Whether this proxy is partitioned from the registries and from its view: the others have gone on without it, and
     * all that is left to it is one member's share. Where only the registries are gone, members of the view are still
     * heard and the heap works on.
     */
    private boolean isIsolated(long now) {
        return registriesUnreachable && now - viewContactAt > VIEW_CONTACT_TIMEOUT_MICROS;
    }

    /** Sets shares aside for members that have become unreachable, or settles with those that are back. */
    private void updateReachableMembers(long now) {
        int members = neighbours.memberCount();
        int next = currentView.selfIndex() < 0 ? members : neighbours.reachableMembers(-1, now);
        int before = reachableMembers;
        if (next == before) {
            return;
        }
        counters.values().forEach(counter -> drain(counter, now)); // until now by the members reachable before
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

    /** Counts one request of a tenant if it fits into the quota, and returns whether it does. */
    public boolean admit(TenantItem tenant, long now) {
        if (tenant.requestsPerSecond() <= 0) {
            return true;
        }
        TenantCounter counter = counterOf(tenant, now);
        updateReachableMembers(now);
        // Until every member's counts have had time to come in, a new process admits one member's share at most.
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
     * Whether one more unit might go beyond the bound before the others know of it. A part of a unit is left to chance,
     * as many members may each have a small one.
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

    /** Whether this process has become a member less than so long ago, or may still become one. */
    private boolean joinedWithin(long micros, long now) {
        long joined = joinedAt == NOT_JOINED ? startedAt + MAX_JOIN_MICROS : joinedAt;
        return now - joined < micros;
    }

    /** Takes back the unit of a request that was admitted and never executed. */
    public void refund(TenantItem tenant, long now) {
        if (tenant.requestsPerSecond() > 0) {
            counterOf(tenant, now).countAdmitted(-1, now);
        }
    }

    /** How long until one request of the tenant fits, in microseconds. */
    public long retryAfterMicros(TenantItem tenant, long now) {
        TenantCounter counter = counterOf(tenant, now);
        double excess = Math.max(1, counter.localCount() + 1 - tenant.burst());
        return (long) (excess / Math.max(MIN_RATE_FOR_WAIT, tenant.requestsPerSecond()) * MICROS_PER_SECOND);
    }

    /** The requests that are counted for a tenant here; for tests and diagnosis. */
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

    /** Drains a count by this side's share of the rate since it was drained last. */
    private void drain(TenantCounter counter, long now) {
        departedMembers.values().removeIf(since -> now - since > DEPARTED_RETENTION_MICROS);
        int members = neighbours.memberCount();
        if (isIsolated(now)) {
            counter.drainAfterFormerReserve(counter.elapsedUnits(1.0 / members, now));
            return;
        }
        double share = (double) reachableMembers / (members + departedMembers.size());
        // As if what was lost on the way had been counted, and all had drained.
        double units = counter.elapsedUnits(share * churn.countedFraction(now), now);
        counter.deferDrain(units / reachableMembers * (members - reachableMembers));
        counter.drainAfterFormerReserve(units);
    }

    // ---- Exchange with the neighbours --------------------------------------------------------------

    /** How long until {@link #collectUpdates} is to be called again, in microseconds. */
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

    /** The updates that are due: to each neighbour what has changed for it, or a heartbeat. */
    public List<OutgoingUpdate> collectUpdates(long now) {
        neighbours.setSurge(anyTenantAbove(SURGE_BURST_FRACTION), now);
        updateReachableMembers(now);
        long heartbeatInterval =
                anyTenantAbove(NEAR_BURST_FRACTION) ? FAST_HEARTBEAT_INTERVAL_MICROS : HEARTBEAT_INTERVAL_MICROS;
        // After a view change neighbours may be new and are sent the counts themselves.
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
     * Counts what a member reports, and passes it on to the other neighbours of the view that it belongs to, so that
     * none can go round while views differ.
     *
     * @param tenants finds a tenant by its name, null where there is none
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
            // A process that is new may take over what its neighbours count.
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
