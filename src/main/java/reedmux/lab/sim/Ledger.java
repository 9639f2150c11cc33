package reedmux.lab.sim;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import reedmux.core.Answer;
import reedmux.lab.rules.RuleChecker;
import reedmux.lab.rules.RuleChecker.Kind;

/**
 * Sees all that crosses, tells the checker of rules, and counts how regions are served. It knows nothing of
 * how the gatekeepers decide.
 */
final class Ledger {
    /** Microseconds by which an answer may come behind the deadline. */
    static final long SLACK = 8_000;
    /** Longest time for a count to cross a heap of a few gatekeepers, with a lost packet on the way. */
    private static final long CROSSING = 2_000_000;

    /** One request as the world knows it. */
    private static final class Entry {
        final String home;
        final boolean repeatable;
        final long takenAt;
        final long aim;
        Answer answer;
        long answeredAt;
        int ran;
        boolean crossed;

        Entry(String home, boolean repeatable, long takenAt, long aim) {
            this.home = home;
            this.repeatable = repeatable;
            this.takenAt = takenAt;
            this.aim = aim;
        }
    }

    /** One crossing of a link. */
    private record Crossing(long at, double units) {}

    private final Timeline time;
    private final Map<String, Entry> entries = new HashMap<>();
    private final Map<String, List<Crossing>> crossings = new TreeMap<>();
    final RuleChecker rules;
    private long copies;

    /** For groups of so many gatekeepers at most. */
    Ledger(Timeline time, int gatekeepers) {
        this.time = time;
        rules = new RuleChecker(new RuleChecker.Figures(
                SLACK,
                250_000,
                4,
                1_000_000,
                150_000,
                4,
                true,
                new RuleChecker.Tolerance(gatekeepers - 1, gatekeepers * CROSSING)));
    }

    /** A gatekeeper of a region has taken a consumer's request. */
    void taken(
            String region,
            String keeper,
            String id,
            boolean repeatable,
            RuleChecker.Plan plan,
            long customer,
            double units,
            long deadline,
            long aim) {
        entries.put(id, new Entry(region, repeatable, time.now(), aim));
        rules.taken(time.now(), region, keeper, id, repeatable, plan, customer, units, deadline);
    }

    /** The gatekeeper that owes this answer has died, or its consumer has left. */
    void excused(String id) {
        rules.excused(time.now(), id);
    }

    void answered(String id, Answer answer) {
        Entry entry = entries.get(id);
        entry.answer = answer;
        entry.answeredAt = time.now();
        rules.answered(
                time.now(),
                id,
                answer instanceof Answer.Served
                        ? Kind.SERVED
                        : answer instanceof Answer.Rejection ? Kind.REFUSED : Kind.FAILED);
    }

    /** A provider has begun to run it. */
    void ran(String id) {
        Entry entry = entries.get(id);
        copies += ++entry.ran > 1 && !entry.repeatable ? 1 : 0;
        rules.runs(time.now(), id);
    }

    /** It has gone from one region towards another, whether or not it gets there. */
    void crossed(String from, String id, double units) {
        entries.get(id).crossed = true;
        rules.crossed(time.now(), from, id, units);
        crossings.computeIfAbsent(from, region -> new ArrayList<>()).add(new Crossing(time.now(), units));
    }

    /** Looks at what only the end shows; returns all that is wrong, or nothing. */
    List<String> faults(Map<String, RuleChecker.Budget> budgets) {
        return rules.faults(time.now(), budgets).stream()
                .map(RuleChecker.Fault::toString)
                .toList();
    }

    /** What became of one region's requests. */
    record Service(
            int taken, int inTime, int served, int rejected, int failed, int crossed, double mostUnitsInASecond) {
        /** Share answered well within the wanted time. */
        double share() {
            return taken == 0 ? 0 : (double) inTime / taken;
        }
    }

    /** Counts a region's requests taken from a time on. */
    Service service(String region, long from) {
        int[] n = new int[6];
        for (Entry entry : entries.values()) {
            if (!entry.home.equals(region) || entry.takenAt < from) {
                continue;
            }
            n[0]++;
            boolean served = entry.answer instanceof Answer.Served;
            n[1] += served && entry.answeredAt - entry.takenAt <= entry.aim ? 1 : 0;
            n[2] += served ? 1 : 0;
            n[3] += entry.answer instanceof Answer.Rejection ? 1 : 0;
            n[4] += entry.answer instanceof Answer.Failed ? 1 : 0;
            n[5] += entry.crossed ? 1 : 0;
        }
        List<Crossing> sent = crossings.getOrDefault(region, List.of());
        double most = 0;
        double units = 0;
        for (int to = 0, first = 0; to < sent.size(); to++) {
            units += sent.get(to).units();
            for (; sent.get(to).at() - sent.get(first).at() >= 1_000_000; first++) {
                units -= sent.get(first).units();
            }
            most = Math.max(most, units);
        }
        return new Service(n[0], n[1], n[2], n[3], n[4], n[5], most);
    }

    /** Units of a region's requests that crossed. */
    double unitsCrossed(String region) {
        return crossings.getOrDefault(region, List.of()).stream()
                .mapToDouble(Crossing::units)
                .sum();
    }

    /** When requests of a region crossed, in microseconds. */
    List<Long> crossedAt(String region) {
        return crossings.getOrDefault(region, List.of()).stream()
                .map(Crossing::at)
                .toList();
    }

    /** Requests that must not run twice: taken in all, and second runs. */
    long mustNotRepeat() {
        return entries.values().stream().filter(entry -> !entry.repeatable).count();
    }

    long copies() {
        return copies;
    }
}
