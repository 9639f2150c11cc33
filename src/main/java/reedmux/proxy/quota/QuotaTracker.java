package reedmux.proxy.quota;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import reedmux.common.quota.HeapCounter;
import reedmux.control.configuration.TenantItem;
import reedmux.control.session.SessionView;

/**
 * The tenants' counts at one proxy: DESIGN's heap over all members, with four counters a tenant, a periodic
 * send and reset, a count that drains at the quota's rate, and refusal on arrival past the burst. What is
 * told to a neighbour is a running total for that link in that view, so that a lost message heals with the
 * next and a repeated one changes nothing. Pure; times are microseconds.
 */
public final class QuotaTracker {
    /** How often the counters are sent while nobody is near its burst, and while somebody is. */
    private static final long SEND_INTERVAL_MICROS = 50_000;

    private static final long FAST_SEND_INTERVAL_MICROS = 20_000;
    private static final double NEAR_BURST_FRACTION = 0.1;
    private static final double SURGE_BURST_FRACTION = 0.3;
    /** What a message takes from one member to the next at the most, but for its waiting to be sent. */
    private static final long MAX_TRANSIT_MICROS = 20_000;

    private static final double MICROS_PER_SECOND = 1e6;
    /** A total is told so often after its last change, as datagrams are lost now and then. */
    private static final int SENDS_PER_CHANGE = 3;
    /**
     * Of the burst, the most that is ever counted: what was let through too much, as counts are late where
     * proxies or links are busy, is paid back within a few seconds, and no longer.
     */
    private static final double MAX_COUNT_BURSTS = 3.5;
    /** How often a neighbour hears from us without news: usually, and while a tenant is near its burst. */
    private static final long HEARTBEAT_INTERVAL_MICROS = 200_000;

    private static final long FAST_HEARTBEAT_INTERVAL_MICROS = 40_000;
    /** A neighbour that says nothing for so long is cut off, with all who are behind it. */
    private static final long NEIGHBOUR_TIMEOUT_MICROS = 500_000;

    private static final long FAST_NEIGHBOUR_TIMEOUT_MICROS = 160_000;
    /**
     * The same by how long a count takes to cross the heap: so much of a surge is let through before all know
     * of it, and if it were forgotten it would not be paid back.
     */
    private static final double MAX_COUNT_PROPAGATION_TIMES = 3;
    /** How long a member that went away may still go on by itself with its part. */
    private static final long DEPARTED_RETENTION_MICROS = 10_000_000;
    /** Without a registry we go on as a member only as long as others tell us as one. */
    private static final long VIEW_CONTACT_TIMEOUT_MICROS = 300_000;
    /** Of the burst, what a tenant has used as far as a restarted process can know. */
    private static final double RESTART_USED_FRACTION = 0.2;

    /**
     * What one member tells a neighbour.
     *
     * @param life       drawn at the start of its process
     * @param generation rises whenever its totals begin anew, as with each of its views, also one that
     *                   comes back
     * @param reach      how many members it can reach without the receiver, itself among them
     */
    public record QuotaUpdate(
            String sender,
            long incarnation,
            long generation,
            long viewTag,
            int reachableMembers,
            ArrayList<TenantTotal> entries) {}

    /** {@code counterOf} is below nought unless the receiver is new and is told what the sender counts. */
    public record TenantTotal(String tenant, double total, double senderCount) {}

    /** Where a packet goes. */
    public record OutgoingUpdate(int receiver, QuotaUpdate update) {}

    private static final class TenantCounter extends HeapCounter {
        private double rate;
        private double burst;
        private final double[] linkTotals = new double[3];
        private final int[] sendsLeft = new int[3];
        private long drainedAt;
        private long seenAt;
        private double admittedAtStart;
        /** Of the burst, what is left to those that we cannot reach, in this view and in those before it. */
        private double reservedForUnreachable;

        private double reservedInFormerViews;
        /** What did not drain since then for the sake of those that we cannot reach. */
        private double deferredDrain;
    }

    /** The totals of one sender's last generation; {@code ended}: its incarnation before this one. */
    private record SenderTotals(
            long incarnation, long generation, long previousIncarnation, Map<String, Double> totals) {}

    private final String self;
    private final boolean restarted;
    private final long startedAt;
    private final Map<String, TenantCounter> counters = new LinkedHashMap<>();
    /** Totals heard, by the sender's node. */
    private final Map<String, SenderTotals> receivedTotals = new HashMap<>();

    private final long incarnation;
    private long generation;
    private SessionView view = SessionView.of(List.of());
    private int selfIndex = -1;
    private long viewChangedAt;
    /** By link: when we said and heard something last, and how many the other side can reach. */
    private final long[] lastSentAt = new long[3];

    private final long[] lastHeardAt = new long[3];
    private final int[] reachableBehind = new int[3];
    private final boolean[] timedOut = new boolean[3];
    /** Whether a tenant has used so much that a silent neighbour matters at once, and since when. */
    private boolean surge;

    private long surgeSince;
    private int reachableMembers = 1;
    private boolean registriesUnreachable;
    /** When somebody with our view told us something last. */
    private long viewContactAt;

    private final Map<String, Long> departedMembers = new HashMap<>();

    /** {@code incarnation}: of this process; {@code restarted}: others may remember what we no longer do. */
    public QuotaTracker(String self, long life, boolean restarted, long now) {
        this.self = self;
        this.incarnation = life;
        this.restarted = restarted;
        startedAt = now;
    }

    /** The members have changed. */
    public void onViewChange(SessionView next, long now) {
        if (next.digest() == view.digest() && next.size() == view.size()) {
            return;
        }
        SessionView before = view;
        view = next;
        selfIndex = next.indexOf(self);
        viewChangedAt = now;
        surgeSince = now;
        int[] links = view.heapNeighbours(selfIndex);
        for (int i = 0; i < 3; i++) {
            lastHeardAt[i] = now;
            timedOut[i] = false;
            lastSentAt[i] = 0;
            reachableBehind[i] =
                    links[i] < 0 ? 0 : i == 0 ? memberCount() - subtreeSize(selfIndex) : subtreeSize(links[i]);
        }
        reachableMembers = memberCount();
        generation++;
        before.members().stream()
                .filter(member -> next.indexOf(member.node()) < 0)
                .forEach(member -> departedMembers.put(member.node(), now));
        next.members().forEach(member -> departedMembers.remove(member.node()));
        counters.values().forEach(count -> rewireCounter(count, before));
    }

    /** Links begin anew; what waits to be told to a member that is still a neighbour goes on waiting. */
    private void rewireCounter(TenantCounter count, SessionView before) {
        int[] was = new int[3];
        for (int i = 0; i < 3; i++) {
            int old = count.neighbour(i);
            was[i] = old < 0 || old >= before.size()
                    ? -1
                    : view.indexOf(before.member(old).node());
        }
        count.renumber(was);
        count.rewire(view.heapNeighbours(selfIndex));
        // What another part of a former view has used it does not tell in this one.
        count.reservedInFormerViews = Math.max(count.reservedInFormerViews, count.reservedForUnreachable);
        count.reservedForUnreachable = 0;
        count.deferredDrain = 0;
        java.util.Arrays.fill(count.linkTotals, 0);
        java.util.Arrays.fill(count.sendsLeft, 0);
    }

    /** Whether no registry can be heard. */
    public void setRegistriesUnreachable(boolean isAlone) {
        registriesUnreachable = isAlone;
    }

    /**
     * Whether we have to do with our own part: nobody tells us anything as a member of our view, so that
     * the others have gone on without us and do with theirs. Where it is the registries that are gone, the
     * heap goes on.
     */
    private boolean usesOwnShareOnly(long now) {
        return registriesUnreachable && now - viewContactAt > VIEW_CONTACT_TIMEOUT_MICROS;
    }

    private int memberCount() {
        return Math.max(1, view.size());
    }

    /** How many are in the heap from a place on downwards. */
    private int subtreeSize(int from) {
        int sum = 0;
        int width = 1;
        for (int at = from; at >= 0 && at < view.size(); at = 2 * at + 1) {
            sum += Math.min(width, view.size() - at);
            width *= 2;
        }
        return sum;
    }

    /** Who was counted out is so until it is heard, also if it matters less or more by then. */
    private boolean isNeighbourAlive(int link, long now) {
        timedOut[link] |= now - lastHeardAt[link] > NEIGHBOUR_TIMEOUT_MICROS
                || surge && now - Math.max(lastHeardAt[link], surgeSince) > FAST_NEIGHBOUR_TIMEOUT_MICROS;
        return view.heapNeighbours(selfIndex)[link] >= 0 && !timedOut[link];
    }

    /** How many we can reach, ourselves among them, but for those behind a link. */
    private int reachableWithout(int without, long now) {
        int sum = 1;
        for (int i = 0; i < 3; i++) {
            sum += i != without && isNeighbourAlive(i, now) ? reachableBehind[i] : 0;
        }
        return Math.min(memberCount(), sum);
    }

    /**
     * Who we cannot reach goes on by itself until the registries know of it: each side does with its part
     * of the quota, by its number of members. Who comes back in the same view tells all that it used
     * meanwhile, so what did not drain for its sake does so then.
     */
    private void updateReachableMembers(long now) {
        int next = selfIndex < 0 ? memberCount() : reachableWithout(-1, now);
        if (next == reachableMembers) {
            return;
        }
        counters.values().forEach(count -> drain(count, now)); // up to now by what was reached before
        double still =
                next < reachableMembers ? 1 : (double) (memberCount() - next) / (memberCount() - reachableMembers);
        boolean fewer = next < reachableMembers;
        reachableMembers = next;
        for (TenantCounter count : counters.values()) {
            if (fewer) {
                double room = Math.max(0, count.burst - count.localCount());
                count.reservedForUnreachable = Math.max(count.reservedForUnreachable, room * (1 - reachableFraction()));
            } else {
                count.drain(count.deferredDrain * (1 - still));
                count.deferredDrain *= still;
                count.reservedForUnreachable *= still;
            }
        }
    }

    private double reachableFraction() {
        return (double) reachableMembers / memberCount();
    }

    private TenantCounter counterOf(TenantItem tenant, long now) {
        TenantCounter count = counters.get(tenant.name());
        if (count == null) {
            count = new TenantCounter();
            count.drainedAt = now;
            count.seenAt = now;
            if (restarted && now - startedAt < DEPARTED_RETENTION_MICROS) {
                count.add(RESTART_USED_FRACTION * tenant.burst(), HeapCounter.LOCAL);
                count.clearPending();
            }
            count.rewire(view.heapNeighbours(selfIndex));
            count.reservedForUnreachable = tenant.burst() * (1 - reachableFraction());
            counters.put(tenant.name(), count);
        }
        count.rate = tenant.requestsPerSecond();
        count.burst = tenant.burst();
        drain(count, now);
        return count;
    }

    private void drain(TenantCounter count, long now) {
        double passed = (now - count.drainedAt) / MICROS_PER_SECOND;
        count.drainedAt = now;
        departedMembers.values().removeIf(since -> now - since > DEPARTED_RETENTION_MICROS);
        boolean apart = usesOwnShareOnly(now);
        double there =
                apart ? 1.0 / memberCount() : (double) reachableMembers / (memberCount() + departedMembers.size());
        double units = count.rate * there * passed;
        count.deferredDrain += apart ? 0 : units / reachableMembers * (memberCount() - reachableMembers);
        double back = Math.min(count.reservedInFormerViews, units / 2);
        count.reservedInFormerViews -= back;
        units -= back;
        count.drain(units);
    }

    /** Worst time for a count to cross the heap: 2(log2(N+1)-1)(Δs+Δt), with whole levels. */
    private long propagationTimeMicros() {
        int depth = 32 - Integer.numberOfLeadingZeros(memberCount());
        return 2L * Math.max(1, depth - 1) * (FAST_SEND_INTERVAL_MICROS + MAX_TRANSIT_MICROS);
    }

    /** Counts one request of a tenant, or says that there is no room for it. */
    public boolean admit(TenantItem tenant, long now) {
        if (tenant.requestsPerSecond() <= 0) {
            return true;
        }
        TenantCounter count = counterOf(tenant, now);
        updateReachableMembers(now);
        double burst = usesOwnShareOnly(now)
                ? Math.max(1, tenant.burst()) / memberCount()
                : Math.max(1, tenant.burst() - Math.max(count.reservedForUnreachable, count.reservedInFormerViews));
        boolean sight = now - startedAt < propagationTimeMicros();
        if (count.localCount() + 1 > burst
                || sight && count.admittedAtStart >= Math.max(1, tenant.burst() / memberCount())) {
            return false;
        }
        count.admittedAtStart += sight ? 1 : 0;
        spend(count, 1);
        return true;
    }

    /** A request that was counted has never run. */
    public void refund(TenantItem tenant, long now) {
        if (tenant.requestsPerSecond() > 0) {
            spend(counterOf(tenant, now), -1);
        }
    }

    private static void spend(TenantCounter count, double units) {
        count.add(units, HeapCounter.LOCAL);
    }

    /** How long until one request has room. */
    public long retryAfterMicros(TenantItem tenant, long now) {
        TenantCounter count = counterOf(tenant, now);
        double over = Math.max(1, count.localCount() + 1 - tenant.burst());
        return (long) (over / Math.max(0.01, tenant.requestsPerSecond()) * MICROS_PER_SECOND);
    }

    /** How long until {@link #collectUpdates} is to be called again. */
    public long sendIntervalMicros() {
        return anyTenantAbove(NEAR_BURST_FRACTION) ? FAST_SEND_INTERVAL_MICROS : SEND_INTERVAL_MICROS;
    }

    private boolean anyTenantAbove(double part) {
        for (TenantCounter count : counters.values()) {
            if (count.burst > 0 && count.localCount() > part * count.burst) {
                return true;
            }
        }
        return false;
    }

    /**
     * Sends each neighbour the counter facing it, skipping zeros, and resets it. Who has not heard from us
     * for a while hears that we are there.
     */
    public List<OutgoingUpdate> collectUpdates(long now) {
        List<OutgoingUpdate> letters = new ArrayList<>();
        boolean wasHot = surge;
        surge = anyTenantAbove(SURGE_BURST_FRACTION);
        surgeSince = surge && !wasHot ? now : surgeSince;
        updateReachableMembers(now);
        long beat = anyTenantAbove(NEAR_BURST_FRACTION) ? FAST_HEARTBEAT_INTERVAL_MICROS : HEARTBEAT_INTERVAL_MICROS;
        int[] links = view.heapNeighbours(selfIndex);
        boolean tellCounts = now - viewChangedAt < propagationTimeMicros();
        for (int i = 0; i < 3; i++) {
            ArrayList<TenantTotal> entries = new ArrayList<>();
            for (Map.Entry<String, TenantCounter> entry : counters.entrySet()) {
                TenantCounter count = entry.getValue();
                double news = count.takePending(i);
                if (news != 0) {
                    count.linkTotals[i] += news;
                    count.sendsLeft[i] = SENDS_PER_CHANGE;
                }
                if (links[i] >= 0 && (count.sendsLeft[i] > 0 || tellCounts && count.localCount() > 0)) {
                    count.sendsLeft[i] = Math.max(0, count.sendsLeft[i] - 1);
                    entries.add(
                            new TenantTotal(entry.getKey(), count.linkTotals[i], tellCounts ? count.localCount() : -1));
                }
            }
            if (links[i] >= 0 && (!entries.isEmpty() || now - lastSentAt[i] >= beat)) {
                lastSentAt[i] = now;
                letters.add(new OutgoingUpdate(
                        links[i],
                        new QuotaUpdate(
                                self, incarnation, generation, view.digest(), reachableWithout(i, now), entries)));
            }
        }
        return letters;
    }

    /**
     * Takes in what a member tells: into every counter but the one facing it. Where it has another view, or
     * is no neighbour in ours, its units are counted here and go no further, so that nothing can go round.
     */
    public void onUpdate(QuotaUpdate packet, Function<String, TenantItem> tenants, long now) {
        int from = view.indexOf(packet.sender());
        viewContactAt = packet.viewTag() == view.digest() ? now : viewContactAt;
        int[] links = view.heapNeighbours(selfIndex);
        for (int i = 0; i < 3 && packet.viewTag() == view.digest(); i++) {
            if (links[i] >= 0 && links[i] == from) {
                lastHeardAt[i] = now;
                timedOut[i] = false;
                reachableBehind[i] = packet.reachableMembers();
            }
        }
        SenderTotals before = receivedTotals.get(packet.sender());
        boolean sameLife = before != null && before.incarnation() == packet.incarnation();
        if (before != null && before.previousIncarnation() == packet.incarnation()) {
            return; // of the incarnation before, whose totals would be counted again
        }
        if (sameLife && packet.generation() < before.generation()) {
            return; // overtaken by one whose totals began anew
        } else if (!sameLife || packet.generation() > before.generation()) {
            before = new SenderTotals(
                    packet.incarnation(),
                    packet.generation(),
                    before == null
                            ? packet.incarnation() - 1
                            : sameLife ? before.previousIncarnation() : before.incarnation(),
                    new HashMap<>());
            receivedTotals.put(packet.sender(), before);
        }
        Map<String, Double> totals = before.totals();
        for (TenantTotal entry : packet.entries()) {
            TenantItem tenant = tenants.apply(entry.tenant());
            if (tenant == null || tenant.requestsPerSecond() <= 0) {
                continue;
            }
            TenantCounter count = counterOf(tenant, now);
            double delta = entry.total() - totals.getOrDefault(entry.tenant(), 0.0);
            boolean passes = packet.viewTag() == view.digest() && count.slotOf(from) >= 0;
            if (delta != 0) {
                totals.put(entry.tenant(), entry.total());
                if (passes) {
                    count.add(delta, from);
                } else {
                    count.addWithoutForwarding(delta);
                }
            }
            count.capAt(count.deferredDrain
                    + Math.max(
                            MAX_COUNT_BURSTS * tenant.burst(),
                            tenant.burst()
                                    + tenant.requestsPerSecond()
                                            * MAX_COUNT_PROPAGATION_TIMES
                                            * propagationTimeMicros()
                                            / MICROS_PER_SECOND));
            if (entry.senderCount() >= 0 && now - startedAt < 2 * propagationTimeMicros()) {
                count.raiseTo(entry.senderCount());
            }
        }
    }

    /** What a tenant is counted with here, for operators and tests. */
    public double countedUnits(TenantItem tenant, long now) {
        return counterOf(tenant, now).localCount();
    }
}
