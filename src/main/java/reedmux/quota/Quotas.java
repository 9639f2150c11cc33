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
    private static final double HOT = 0.3;
    /** What a message takes from one member to the next at the most, but for its waiting to be sent. */
    private static final long UNDER_WAY = 20_000;

    private static final double SECOND = 1e6;
    /** A total is told so often after its last change, as datagrams are lost now and then. */
    private static final int TIMES = 3;
    /**
     * Of the burst, the most that is ever counted: what was let through too much, as counts are late where
     * proxies or links are busy, is paid back within a few seconds, and no longer.
     */
    private static final double MOST = 3.5;
    /** How often a neighbour hears from us without news: usually, and while a tenant is near its burst. */
    private static final long BEAT = 200_000;

    private static final long QUICK_BEAT = 40_000;
    /** A neighbour that says nothing for so long is cut off, with all who are behind it. */
    private static final long SILENCE = 500_000;

    private static final long QUICK_SILENCE = 160_000;
    /**
     * The same by how long a count takes to cross the heap: so much of a surge is let through before all know
     * of it, and if it were forgotten it would not be paid back.
     */
    private static final double EXCESS = 3;
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
     * @param reach      how many members it can reach without the receiver, itself among them
     */
    public record Packet(String from, long life, long generation, long view, int reach, ArrayList<Entry> entries) {}

    /** {@code count} is below nought unless the receiver is new and is told what the sender counts. */
    public record Entry(String tenant, double total, double count) {}

    /** Where a packet goes. */
    public record Letter(int place, Packet packet) {}

    private static final class Count extends HeapCount {
        private double rate;
        private double burst;
        private final double[] total = new double[3];
        private final int[] times = new int[3];
        private long drainedAt;
        private long seenAt;
        private double sight;
        /** Of the burst, what is left to those that we cannot reach, in this view and in those before it. */
        private double withheld;

        private double former;
        /** What did not drain since then for the sake of those that we cannot reach. */
        private double owed;
    }

    /** The totals of one sender's last generation; {@code ended}: its incarnation before this one. */
    private record Heard(long life, long generation, long ended, Map<String, Double> totals) {}

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
    /** By link: when we said and heard something last, and how many the other side can reach. */
    private final long[] saidAt = new long[3];

    private final long[] heardAt = new long[3];
    private final int[] reach = new int[3];
    private final boolean[] silent = new boolean[3];
    /** Whether a tenant has used so much that a silent neighbour matters at once, and since when. */
    private boolean hot;

    private long hotSince;
    private int reached = 1;
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
        hotSince = now;
        int[] links = view.neighbours(place);
        for (int i = 0; i < 3; i++) {
            heardAt[i] = now;
            silent[i] = false;
            saidAt[i] = 0;
            reach[i] = links[i] < 0 ? 0 : i == 0 ? members() - below(place) : below(links[i]);
        }
        reached = members();
        generation++;
        before.members().stream()
                .filter(member -> next.place(member.node()) < 0)
                .forEach(member -> away.put(member.node(), now));
        next.members().forEach(member -> away.remove(member.node()));
        counts.values().forEach(count -> rewire(count, before));
    }

    /** Links begin anew; what waits to be told to a member that is still a neighbour goes on waiting. */
    private void rewire(Count count, View before) {
        int[] was = new int[3];
        for (int i = 0; i < 3; i++) {
            int old = count.neighbour(i);
            was[i] = old < 0 || old >= before.size()
                    ? -1
                    : view.place(before.member(old).node());
        }
        count.renumber(was);
        count.rewire(view.neighbours(place));
        // What another part of a former view has used it does not tell in this one.
        count.former = Math.max(count.former, count.withheld);
        count.withheld = 0;
        count.owed = 0;
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

    /** How many are in the heap from a place on downwards. */
    private int below(int from) {
        int sum = 0;
        int width = 1;
        for (int at = from; at >= 0 && at < view.size(); at = 2 * at + 1) {
            sum += Math.min(width, view.size() - at);
            width *= 2;
        }
        return sum;
    }

    /** Who was counted out is so until it is heard, also if it matters less or more by then. */
    private boolean live(int link, long now) {
        silent[link] |= now - heardAt[link] > SILENCE || hot && now - Math.max(heardAt[link], hotSince) > QUICK_SILENCE;
        return view.neighbours(place)[link] >= 0 && !silent[link];
    }

    /** How many we can reach, ourselves among them, but for those behind a link. */
    private int reach(int without, long now) {
        int sum = 1;
        for (int i = 0; i < 3; i++) {
            sum += i != without && live(i, now) ? reach[i] : 0;
        }
        return Math.min(members(), sum);
    }

    /**
     * Who we cannot reach goes on by itself until the registries know of it: each side does with its part
     * of the quota, by its number of members. Who comes back in the same view tells all that it used
     * meanwhile, so what did not drain for its sake does so then.
     */
    private void look(long now) {
        int next = place < 0 ? members() : reach(-1, now);
        if (next == reached) {
            return;
        }
        counts.values().forEach(count -> drain(count, now)); // up to now by what was reached before
        double still = next < reached ? 1 : (double) (members() - next) / (members() - reached);
        boolean fewer = next < reached;
        reached = next;
        for (Count count : counts.values()) {
            if (fewer) {
                double room = Math.max(0, count.burst - count.localCount());
                count.withheld = Math.max(count.withheld, room * (1 - part()));
            } else {
                count.drain(count.owed * (1 - still));
                count.owed *= still;
                count.withheld *= still;
            }
        }
    }

    private double part() {
        return (double) reached / members();
    }

    private Count count(Tenant tenant, long now) {
        Count count = counts.get(tenant.name());
        if (count == null) {
            count = new Count();
            count.drainedAt = now;
            count.seenAt = now;
            if (restarted && now - bornAt < AWAY) {
                count.add(FORGOTTEN * tenant.burst(), HeapCount.NOBODY);
                count.forget();
            }
            count.rewire(view.neighbours(place));
            count.withheld = tenant.burst() * (1 - part());
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
        boolean apart = apart(now);
        double there = apart ? 1.0 / members() : (double) reached / (members() + away.size());
        double units = count.rate * there * passed;
        count.owed += apart ? 0 : units / reached * (members() - reached);
        double back = Math.min(count.former, units / 2);
        count.former -= back;
        units -= back;
        count.drain(units);
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
        look(now);
        double burst = apart(now)
                ? Math.max(1, tenant.burst()) / members()
                : Math.max(1, tenant.burst() - Math.max(count.withheld, count.former));
        boolean sight = now - bornAt < crossing();
        if (count.localCount() + 1 > burst || sight && count.sight >= Math.max(1, tenant.burst() / members())) {
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
        return anyOver(NEAR) ? QUICK_PACE : PACE;
    }

    private boolean anyOver(double part) {
        for (Count count : counts.values()) {
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
    public List<Letter> send(long now) {
        List<Letter> letters = new ArrayList<>();
        boolean wasHot = hot;
        hot = anyOver(HOT);
        hotSince = hot && !wasHot ? now : hotSince;
        look(now);
        long beat = anyOver(NEAR) ? QUICK_BEAT : BEAT;
        int[] links = view.neighbours(place);
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
                if (links[i] >= 0 && (count.times[i] > 0 || tellCounts && count.localCount() > 0)) {
                    count.times[i] = Math.max(0, count.times[i] - 1);
                    entries.add(new Entry(entry.getKey(), count.total[i], tellCounts ? count.localCount() : -1));
                }
            }
            if (links[i] >= 0 && (!entries.isEmpty() || now - saidAt[i] >= beat)) {
                saidAt[i] = now;
                letters.add(
                        new Letter(links[i], new Packet(self, life, generation, view.tag(), reach(i, now), entries)));
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
        int[] links = view.neighbours(place);
        for (int i = 0; i < 3 && packet.view() == view.tag(); i++) {
            if (links[i] >= 0 && links[i] == from) {
                heardAt[i] = now;
                silent[i] = false;
                reach[i] = packet.reach();
            }
        }
        Heard before = heard.get(packet.from());
        boolean sameLife = before != null && before.life() == packet.life();
        if (before != null && before.ended() == packet.life()) {
            return; // of the incarnation before, whose totals would be counted again
        }
        if (sameLife && packet.generation() < before.generation()) {
            return; // overtaken by one whose totals began anew
        } else if (!sameLife || packet.generation() > before.generation()) {
            before = new Heard(
                    packet.life(),
                    packet.generation(),
                    before == null ? packet.life() - 1 : sameLife ? before.ended() : before.life(),
                    new HashMap<>());
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
            count.atMost(count.owed
                    + Math.max(MOST * tenant.burst(), tenant.burst() + tenant.rate() * EXCESS * crossing() / SECOND));
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
