package reedmux.lab.sim;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import reedmux.core.Answer;

/**
 * Sees all that crosses and says which rule is broken. It knows nothing of how the gatekeepers decide.
 */
final class Ledger {
    /** Microseconds by which an answer may come behind the deadline. */
    static final long SLACK = 8_000;

    /** One request as the world knows it. */
    private static final class Entry {
        final String home;
        final boolean repeatable;
        final long takenAt;
        final long deadline;
        final long aim;
        boolean ownerDied;
        boolean left;
        Answer answer;
        long answeredAt;
        int ran;
        int crossed;

        Entry(String home, boolean repeatable, long takenAt, long deadline, long aim) {
            this.home = home;
            this.repeatable = repeatable;
            this.takenAt = takenAt;
            this.deadline = deadline;
            this.aim = aim;
        }
    }

    /** One crossing of a link. */
    private record Crossing(long at, double units) { }

    private final Timeline time;
    private final Map<String, Entry> entries = new HashMap<>();
    private final Map<String, List<Crossing>> crossings = new TreeMap<>();
    private final Map<String, Integer> taken = new TreeMap<>();
    private final List<String> faults = new ArrayList<>();
    private long copies;

    Ledger(Timeline time) {
        this.time = time;
    }

    private void fault(String what) {
        if (faults.size() < 20) {
            faults.add("at " + time.now() + " us: " + what);
        }
    }

    /** A gatekeeper of a region has taken a consumer's request. */
    void taken(String region, String id, boolean repeatable, long deadline, long aim) {
        entries.put(id, new Entry(region, repeatable, time.now(), deadline, aim));
        taken.merge(region, 1, Integer::sum);
    }

    /** The gatekeeper that owes this answer has died, or its consumer has left. */
    void ownerDied(String id) {
        entries.get(id).ownerDied = true;
    }

    void left(String id) {
        entries.get(id).left = true;
    }

    void answered(String id, Answer answer) {
        Entry entry = entries.get(id);
        if (entry.answer != null) {
            fault(id + " is answered twice");
        }
        if (time.now() > entry.deadline + SLACK) {
            fault(id + " is answered " + (time.now() - entry.deadline) + " us late");
        }
        entry.answer = answer;
        entry.answeredAt = time.now();
        if (answer instanceof Answer.Rejection && !entry.repeatable && entry.ran > 0) {
            fault(id + " is rejected, but has run");
        }
    }

    /** A provider has begun to run it. */
    void ran(String id) {
        Entry entry = entries.get(id);
        entry.ran++;
        if (entry.ran > 1 && !entry.repeatable) {
            copies++;
            fault(id + " runs a second time and must not");
        }
        if (entry.answer instanceof Answer.Rejection && !entry.repeatable) {
            fault(id + " runs after its rejection");
        }
    }

    /** It has gone from one region towards another, whether or not it gets there. */
    void crossed(String from, String id, double units) {
        Entry entry = entries.get(id);
        if (++entry.crossed > 1) {
            fault(id + " travels twice");
        }
        if (!entry.home.equals(from)) {
            fault(id + " of " + entry.home + " is sent on by " + from);
        }
        crossings.computeIfAbsent(from, region -> new ArrayList<>()).add(new Crossing(time.now(), units));
    }

    /** Looks at what only the end shows; returns all that is wrong, or nothing. */
    List<String> faults(Map<String, World.Budget> budgets) {
        entries.forEach((id, entry) -> {
            if (entry.answer == null && !entry.ownerDied && !entry.left
                    && entry.deadline + SLACK < time.now()) {
                fault(id + " is never answered");
            }
        });
        budgets.forEach((region, budget) -> {
            List<Crossing> sent = crossings.getOrDefault(region, List.of());
            if (sent.size() > budget.share() * taken.getOrDefault(region, 0) + 1e-6) {
                fault(region + " sent " + sent.size() + " away of " + taken.get(region));
            }
            for (int from = 0; from < sent.size(); from++) {
                double units = 0;
                for (int to = from; to < sent.size(); to++) {
                    units += sent.get(to).units();
                    double most = budget.burst()
                            + budget.rate() * (sent.get(to).at() - sent.get(from).at()) / 1e6;
                    if (units > most + 1e-6) {
                        fault(region + " sent " + units + " units away in "
                                + (sent.get(to).at() - sent.get(from).at()) + " us, at most " + most);
                        return;
                    }
                }
            }
        });
        return faults;
    }

    /** What became of one region's requests. */
    record Service(int taken, int inTime, int served, int rejected, int failed, int crossed,
                   double mostUnitsInASecond) {
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
            n[5] += entry.crossed > 0 ? 1 : 0;
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
        return crossings.getOrDefault(region, List.of()).stream().mapToDouble(Crossing::units).sum();
    }

    /** When requests of a region crossed, in microseconds. */
    List<Long> crossedAt(String region) {
        return crossings.getOrDefault(region, List.of()).stream().map(Crossing::at).toList();
    }

    /** Requests that must not run twice: taken in all, and second runs. */
    long mustNotRepeat() {
        return entries.values().stream().filter(entry -> !entry.repeatable).count();
    }

    long copies() {
        return copies;
    }
}
