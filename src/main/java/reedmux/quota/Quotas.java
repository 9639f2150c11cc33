package reedmux.quota;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import reedmux.item.Tenant;
import reedmux.member.View;
import reedmux.policy.HeapCount;

/**
 * The tenants' counts at one proxy: DESIGN's heap over all members, with four counters a tenant, a periodic
 * send and reset, a count that drains at the quota's rate, and refusal on arrival past the burst. What is
 * told to a neighbour is a running total for that link in that view, so that a lost message heals with the
 * next and a repeated one changes nothing. Pure; times are microseconds.
 */
public final class Quotas {
    /** How often the counters are sent while nobody is near its burst, and while somebody is. */
    private static final long PACE = 50_000;
    private static final long QUICK_PACE = 20_000;
    private static final double NEAR = 0.1;
    /** What a message takes from one member to the next at the most, but for its waiting to be sent. */
    private static final long UNDER_WAY = 20_000;
    private static final double SECOND = 1e6;
    /** A total is told so often after its last change, as datagrams are lost now and then. */
    private static final int TIMES = 3;
    /**
     * Of the burst, the most that is ever counted: what was let through too much is paid back, but not for
     * long.
     */
    private static final double MOST = 1.6;
    /** How long a member that went away may still go on by itself with its part. */
    private static final long AWAY = 10_000_000;
    /** Without a registry we go on as a member only as long as others tell us as one. */
    private static final long UNTOLD = 300_000;
    /** Of the burst, what a tenant has used as far as a restarted process can know. */
    private static final double FORGOTTEN = 0.2;

    /**
     * What one member tells a neighbour.
     *
     * @param life       drawn at the start of its process
     * @param generation rises whenever its totals begin anew, as with each of its views, also one that
     *                   comes back
     */
    public record Packet(String from, long life, long generation, long view, ArrayList<Entry> entries) { }

    /** {@code count} is below nought unless the receiver is new and is told what the sender counts. */
    public record Entry(String tenant, double total, double count) { }

    /** Where a packet goes. */
    public record Letter(int place, Packet packet) { }

    private static final class Count extends HeapCount {
        private double rate;
        private double burst;
        private final double[] total = new double[3];
        private final int[] times = new int[3];
        private long drainedAt;
        private long seenAt;
        private double sight;
    }

    /** The totals of one sender's last generation. */
    private record Heard(long life, long generation, Map<String, Double> totals) { }

    private final String self;
    private final boolean restarted;
    private final long bornAt;
    private final Map<String, Count> counts = new LinkedHashMap<>();
    /** Totals heard, by the sender's node. */
    private final Map<String, Heard> heard = new HashMap<>();
    private final long life;
    private long generation;
    private View view = View.of(List.of());
    private int place = -1;
    private long newNeighbourAt;
    private boolean alone;
    /** When somebody with our view told us something last. */
    private long toldAt;
    private final Map<String, Long> away = new HashMap<>();

    /** {@code life}: of this process; {@code restarted}: others may remember what we no longer do. */
    public Quotas(String self, long life, boolean restarted, long now) {
        this.self = self;
        this.life = life;
        this.restarted = restarted;
        bornAt = now;
    }

    /** The members have changed. */
    public void view(View next, long now) {
        if (next.tag() == view.tag() && next.size() == view.size()) {
            return;
        }
        View before = view;
        view = next;
        place = next.place(self);
        newNeighbourAt = now;
        generation++;
        before.members().stream().filter(member -> next.place(member.node()) < 0)
                .forEach(member -> away.put(member.node(), now));
        next.members().forEach(member -> away.remove(member.node()));
        counts.values().forEach(count -> rewire(count, before));
    }

    /** Links begin anew; what waits to be told to a member that is still a neighbour goes on waiting. */
    private void rewire(Count count, View before) {
        int[] was = new int[3];
        for (int i = 0; i < 3; i++) {
            int old = count.neighbour(i);
            was[i] = old < 0 || old >= before.size() ? -1 : view.place(before.member(old).node());
        }
        count.renumber(was);
        count.rewire(view.neighbours(place));
        java.util.Arrays.fill(count.total, 0);
        java.util.Arrays.fill(count.times, 0);
    }

    /** Whether no registry can be heard. */
    public void alone(boolean isAlone) {
        alone = isAlone;
    }

    /**
     * Whether we have to do with our own part: nobody tells us anything as a member of our view, so that
     * the others have gone on without us and do with theirs. Where it is the registries that are gone, the
     * heap goes on.
     */
    private boolean apart(long now) {
        return alone && now - toldAt > UNTOLD;
    }

    private int members() {
        return Math.max(1, view.size());
    }

    private Count count(Tenant tenant, long now) {
        Count count = counts.get(tenant.name());
        if (count == null) {
            count = new Count();
            count.drainedAt = count.seenAt = now;
            if (restarted && now - bornAt < AWAY) {
                count.add(FORGOTTEN * tenant.burst(), HeapCount.NOBODY);
                count.forget();
            }
            count.rewire(view.neighbours(place));
            counts.put(tenant.name(), count);
        }
        count.rate = tenant.rate();
        count.burst = tenant.burst();
        drain(count, now);
        return count;
    }

    private void drain(Count count, long now) {
        double passed = (now - count.drainedAt) / SECOND;
        count.drainedAt = now;
        away.values().removeIf(since -> now - since > AWAY);
        double there = apart(now) ? 1.0 / members() : (double) members() / (members() + away.size());
        count.drain(count.rate * there * passed);
    }

    /** Worst time for a count to cross the heap: 2(log2(N+1)-1)(Δs+Δt), with whole levels. */
    private long crossing() {
        int depth = 32 - Integer.numberOfLeadingZeros(members());
        return 2L * Math.max(1, depth - 1) * (QUICK_PACE + UNDER_WAY);
    }

    /** Counts one request of a tenant, or says that there is no room for it. */
    public boolean admit(Tenant tenant, long now) {
        if (tenant.rate() <= 0) {
            return true;
        }
        Count count = count(tenant, now);
        double burst = Math.max(1, tenant.burst()) / (apart(now) ? members() : 1);
        boolean sight = now - bornAt < crossing();
        if (count.localCount() + 1 > burst || sight && count.sight >= Math.max(1,
                tenant.burst() / members())) {
            return false;
        }
        count.sight += sight ? 1 : 0;
        spend(count, 1);
        return true;
    }

    /** A request that was counted has never run. */
    public void giveBack(Tenant tenant, long now) {
        if (tenant.rate() > 0) {
            spend(count(tenant, now), -1);
        }
    }

    private static void spend(Count count, double units) {
        count.add(units, HeapCount.NOBODY);
    }

    /** How long until one request has room. */
    public long roomIn(Tenant tenant, long now) {
        Count count = count(tenant, now);
        double over = Math.max(1, count.localCount() + 1 - tenant.burst());
        return (long) (over / Math.max(0.01, tenant.rate()) * SECOND);
    }

    /** How long until {@link #send} is to be called again. */
    public long pace() {
        for (Count count : counts.values()) {
            if (count.burst > 0 && count.localCount() > NEAR * count.burst) {
                return QUICK_PACE;
            }
        }
        return PACE;
    }

    /** Sends each neighbour the counter facing it, skipping zeros, and resets it. */
    public List<Letter> send(long now) {
        List<Letter> letters = new ArrayList<>();
        int[] near = view.neighbours(place);
        boolean tellCounts = now - newNeighbourAt < crossing();
        for (int i = 0; i < 3; i++) {
            ArrayList<Entry> entries = new ArrayList<>();
            for (Map.Entry<String, Count> entry : counts.entrySet()) {
                Count count = entry.getValue();
                double news = count.take(i);
                if (news != 0) {
                    count.total[i] += news;
                    count.times[i] = TIMES;
                }
                if (near[i] >= 0 && (count.times[i] > 0 || tellCounts && count.localCount() > 0)) {
                    count.times[i] = Math.max(0, count.times[i] - 1);
                    entries.add(new Entry(entry.getKey(), count.total[i], tellCounts
                            ? count.localCount() : -1));
                }
            }
            if (near[i] >= 0 && !entries.isEmpty()) {
                letters.add(new Letter(near[i], new Packet(self, life, generation, view.tag(), entries)));
            }
        }
        return letters;
    }

    /**
     * Takes in what a member tells: into every counter but the one facing it. Where it has another view, or
     * is no neighbour in ours, its units are counted here and go no further, so that nothing can go round.
     */
    public void take(Packet packet, Function<String, Tenant> tenants, long now) {
        int from = view.place(packet.from());
        toldAt = packet.view() == view.tag() ? now : toldAt;
        Heard before = heard.get(packet.from());
        boolean sameLife = before != null && before.life() == packet.life();
        if (sameLife && packet.generation() < before.generation()) {
            return; // overtaken by one whose totals began anew
        } else if (!sameLife || packet.generation() > before.generation()) {
            before = new Heard(packet.life(), packet.generation(), new HashMap<>());
            heard.put(packet.from(), before);
        }
        Map<String, Double> totals = before.totals();
        for (Entry entry : packet.entries()) {
            Tenant tenant = tenants.apply(entry.tenant());
            if (tenant == null || tenant.rate() <= 0) {
                continue;
            }
            Count count = count(tenant, now);
            double delta = entry.total() - totals.getOrDefault(entry.tenant(), 0.0);
            boolean passes = packet.view() == view.tag() && count.slot(from) >= 0;
            if (delta != 0) {
                totals.put(entry.tenant(), entry.total());
                if (passes) {
                    count.add(delta, from);
                } else {
                    count.hear(delta);
                }
            }
            count.atMost(MOST * tenant.burst());
            if (entry.count() >= 0 && now - bornAt < 2 * crossing()) {
                count.atLeast(entry.count());
            }
        }
    }

    /** What a tenant is counted with here, for operators and tests. */
    public double counted(Tenant tenant, long now) {
        return count(tenant, now).localCount();
    }
}
