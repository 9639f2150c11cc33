package reedmux.lab.rules;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/**
 * Says which of the brief's rules a history breaks. It is told of events in the order of their times, in
 * microseconds of one clock; a group is a set of gatekeepers with quotas of their own. For one thread.
 */
public final class RuleChecker {

    /** The rules, and the budget of what another region may be sent. */
    public enum Rule {
        ANSWER,
        REPEAT,
        DRAIN,
        COLD,
        CEILING,
        QUOTA,
        AWAY
    }

    /** What a final answer says. */
    public enum Kind {
        SERVED,
        REFUSED,
        FAILED
    }

    /**
     * The figures of the rules, times in microseconds.
     *
     * @param answerSlack    how far behind its deadline an answer still counts
     * @param drainGrace     how long new calls may go on after the word that a provider drains or is gone
     * @param fallMultiple   of a cold provider's capacity, which may not be sent within any fall time
     * @param fallTime       that window
     * @param ceilingTime    what the ceiling's rate gives in this time is added to its slack
     * @param calls          most calls of one request
     * @param copies         whether two calls of one request may be out at once
     * @param quotaTolerance by how many bursts, and how many microseconds of the rate, quotas may be passed
     */
    public record Figures(
            long answerSlack,
            long drainGrace,
            double fallMultiple,
            long fallTime,
            long ceilingTime,
            int calls,
            boolean copies,
            Tolerance quotaTolerance) {}

    /** See {@link Figures}. */
    public record Tolerance(double bursts, long time) {}

    /** A plan's quota and ceiling in units and units a second; a rate of nought for none. */
    public record Plan(double rate, double burst, double ceilingRate, double ceilingBurst, double ceilingSlack) {}

    /** What a group may send to other regions: a share of its requests, and a rate with a burst. */
    public record Budget(double share, double rate, double burst) {}

    /** A rule that is broken. */
    public record Fault(Rule rule, long at, String what) {
        @Override
        public String toString() {
            return rule + " at " + at + " us: " + what;
        }
    }

    private static final class Call {
        boolean whole;
        boolean ended;
        boolean neverRan;

        boolean mayHaveRun() {
            return whole && !(ended && neverRan);
        }
    }

    private static final class Entry {
        final String group;
        final String keeper;
        final boolean repeatable;
        final Plan plan;
        final String customer;
        final double units;
        final long deadline;
        final Map<String, Call> calls = new TreeMap<>();
        Kind answer;
        boolean excused;
        boolean counted;
        int ran;
        int crossed;

        Entry(String group, String keeper, boolean repeatable, Plan plan, long customer, double units, long deadline) {
            this.group = group;
            this.keeper = keeper;
            this.repeatable = repeatable;
            this.plan = plan;
            this.customer = group + '/' + customer;
            this.units = units;
            this.deadline = deadline;
        }
    }

    /** What a customer has had sent on: a level over the quota's drain, and the ceiling's store. */
    private static final class Use {
        double level;
        double store;
        long at;
    }

    private record Sent(long at, double amount) {}

    private static final class Provider {
        long startedAt = Long.MIN_VALUE;
        double capacity;
        double coldFrom = 1;
        long coldTime;
        final Deque<Sent> sent = new ArrayDeque<>();
    }

    private static final int MOST_FAULTS = 20;
    private static final double SECOND = 1e6;
    private static final double GRAIN = 1e-6;
    private final Figures figures;
    private final Map<String, Entry> entries = new HashMap<>();
    private final Map<String, Use> uses = new HashMap<>();
    private final Map<String, Long> notReadySince = new HashMap<>();
    private final Map<String, Provider> providers = new HashMap<>();
    private final Map<String, List<Sent>> crossings = new TreeMap<>();
    private final Map<String, Integer> taken = new TreeMap<>();
    private final Map<Rule, Integer> seen = new EnumMap<>(Rule.class);
    private final List<Fault> faults = new ArrayList<>();
    private Tolerance quotaTolerance;
    private StringBuilder transcript;

    public RuleChecker(Figures figures) {
        this.figures = figures;
        quotaTolerance = figures.quotaTolerance;
    }

    /** Sets how far quotas may be passed in what follows. */
    public void allow(Tolerance tolerance) {
        quotaTolerance = tolerance;
        if (transcript != null) {
            transcript
                    .append("tolerance ")
                    .append(tolerance.bursts)
                    .append(' ')
                    .append(tolerance.time)
                    .append('\n');
        }
    }

    /** From now on keeps all that it is told, in the form that {@link History} reads. */
    public void record() {
        transcript = new StringBuilder();
    }

    /** What it has been told since {@link #record}. */
    public String transcript() {
        return transcript.toString();
    }

    private void note(long at, String line, Object... values) {
        if (transcript != null) {
            transcript
                    .append(at)
                    .append(' ')
                    .append(String.format(Locale.ROOT, line, values))
                    .append('\n');
        }
    }

    private void fault(Rule rule, long at, String what) {
        if (faults.size() < MOST_FAULTS) {
            faults.add(new Fault(rule, at, what));
        }
    }

    private void saw(Rule rule) {
        seen.merge(rule, 1, Integer::sum);
    }

    // ---- Consumers ---------------------------------------------------------------------------------
    /** A request's last byte has come in at a gatekeeper; {@code plan} is null where nothing is counted. */
    public void taken(
            long at,
            String group,
            String keeper,
            String id,
            boolean repeatable,
            Plan plan,
            long customer,
            double units,
            long deadline) {
        note(
                at,
                "taken %s %s %s %s %s %d %s %d",
                group,
                keeper,
                id,
                repeatable ? "safe" : "unsafe",
                planName(plan),
                customer,
                units,
                deadline);
        saw(Rule.ANSWER);
        entries.put(id, new Entry(group, keeper, repeatable, plan, customer, units, deadline));
        taken.merge(group, 1, Integer::sum);
    }

    private static String planName(Plan plan) {
        return plan == null
                ? "-"
                : plan.rate + "/" + plan.burst + "/" + plan.ceilingRate + "/" + plan.ceilingBurst + "/"
                        + plan.ceilingSlack;
    }

    /** Nobody waits for it any more: its consumer has left, or the gatekeeper that took it has died. */
    public void excused(long at, String id) {
        note(at, "excused %s", id);
        entries.get(id).excused = true;
    }

    /** The last byte of a final answer has gone out. */
    public void answered(long at, String id, Kind kind) {
        note(at, "answered %s %s", id, kind.name().toLowerCase(Locale.ROOT));
        Entry entry = entries.get(id);
        if (entry.answer != null) {
            fault(Rule.ANSWER, at, id + " is answered twice");
        } else if (at > entry.deadline + figures.answerSlack) {
            fault(Rule.ANSWER, at, id + " is answered " + (at - entry.deadline) + " us late");
        }
        entry.answer = kind;
        if (kind == Kind.REFUSED
                && !entry.repeatable
                && (entry.ran > 0 || entry.calls.values().stream().anyMatch(Call::mayHaveRun))) {
            fault(Rule.REPEAT, at, id + " is rejected, but has run or may have");
        }
    }

    // ---- Calls -------------------------------------------------------------------------------------
    private Call call(Entry entry, String keeper, int number) {
        return entry.calls.computeIfAbsent(keeper + '#' + number, key -> new Call());
    }

    /** The first byte of a gatekeeper's call goes out. */
    public void begins(long at, String keeper, String id, int number, String provider) {
        note(at, "begins %s %s %d %s", keeper, id, number, provider);
        Entry entry = entries.get(id);
        call(entry, keeper, number);
        if (keeper.equals(entry.keeper) && entry.answer != null) {
            fault(Rule.ANSWER, at, id + " is sent after its final answer");
        }
        if (number >= figures.calls) {
            fault(Rule.REPEAT, at, id + " is sent more than " + figures.calls + " times");
        }
        Long since = notReadySince.get(keeper + ' ' + provider);
        if (since != null && at - since > figures.drainGrace) {
            fault(
                    Rule.DRAIN,
                    at,
                    id + " goes to " + provider + " " + (at - since) + " us after the word that it is not ready");
        }
    }

    /** Its last byte has come to the provider; {@code work} in microseconds of one core. */
    public void whole(long at, String keeper, String id, int number, String provider, double work) {
        note(at, "whole %s %s %d %s %s", keeper, id, number, provider, work);
        Entry entry = entries.get(id);
        Call call = call(entry, keeper, number);
        for (Call other : entry.calls.values()) {
            if (other == call || !other.whole) {
                continue;
            }
            saw(Rule.REPEAT);
            if (!entry.repeatable && other.mayHaveRun()) {
                fault(Rule.REPEAT, at, id + " is sent again and may have run");
            } else if (!figures.copies && !other.ended) {
                fault(Rule.REPEAT, at, id + " is out twice at once");
            }
        }
        if (!entry.repeatable && entry.answer == Kind.REFUSED) {
            fault(Rule.REPEAT, at, id + " comes to a provider after its rejection");
        }
        call.whole = true;
        if (!entry.counted && entry.plan != null) {
            entry.counted = true;
            use(at, id, entry);
        }
        load(at, id, providers.computeIfAbsent(provider, name -> new Provider()), provider, work);
    }

    private void use(long at, String id, Entry entry) {
        Plan plan = entry.plan;
        Use use = uses.computeIfAbsent(entry.customer, customer -> {
            Use fresh = new Use();
            fresh.store = plan.ceilingBurst;
            fresh.at = at;
            return fresh;
        });
        double passed = (at - use.at) / SECOND;
        use.at = at;
        if (plan.rate > 0) {
            saw(Rule.QUOTA);
            use.level = Math.max(0, use.level - plan.rate * passed) + entry.units;
            double over = use.level - plan.burst;
            double most = quotaTolerance.bursts * plan.burst + plan.rate * quotaTolerance.time / SECOND;
            if (over > most + GRAIN) {
                fault(
                        Rule.QUOTA,
                        at,
                        id + " lifts " + entry.customer + " " + over + " units over its quota, at most " + most);
            }
        }
        if (plan.ceilingRate > 0) {
            saw(Rule.CEILING);
            use.store = Math.min(plan.ceilingBurst, use.store + plan.ceilingRate * passed) - entry.units;
            double least = -plan.ceilingSlack - plan.ceilingRate * figures.ceilingTime / SECOND;
            if (use.store < least - GRAIN) {
                fault(
                        Rule.CEILING,
                        at,
                        id + " leaves " + entry.customer + " " + use.store + " units of its ceiling, at least "
                                + least);
            }
        }
    }

    private void load(long at, String id, Provider provider, String name, double work) {
        provider.sent.add(new Sent(at, work));
        while (provider.sent.peek().at <= at - figures.fallTime) {
            provider.sent.poll();
        }
        long age = at - provider.startedAt;
        if (provider.startedAt == Long.MIN_VALUE || age >= provider.coldTime) {
            return;
        }
        saw(Rule.COLD);
        double share = provider.coldFrom + (1 - provider.coldFrom) * age / provider.coldTime;
        double most = figures.fallMultiple * share * provider.capacity * figures.fallTime / SECOND;
        double sum = provider.sent.stream().mapToDouble(Sent::amount).sum();
        if (sum > most) {
            fault(Rule.COLD, at, id + " brings " + name + " to " + sum + " us of work, at most " + most);
        }
    }

    /** What a gatekeeper was told of a call's end, or that it closed it itself, which proves nothing. */
    public void ended(long at, String keeper, String id, int number, boolean neverRan) {
        note(at, "ended %s %s %d %s", keeper, id, number, neverRan ? "never-ran" : "may-have-run");
        Call call = call(entries.get(id), keeper, number);
        call.ended = true;
        call.neverRan = neverRan;
    }

    /** A provider begins to run it. */
    public void runs(long at, String id) {
        note(at, "runs %s", id);
        Entry entry = entries.get(id);
        saw(Rule.REPEAT);
        if (++entry.ran > 1 && !entry.repeatable) {
            fault(Rule.REPEAT, at, id + " runs a second time and must not");
        }
        if (entry.answer == Kind.REFUSED && !entry.repeatable) {
            fault(Rule.REPEAT, at, id + " runs after its rejection");
        }
    }

    // ---- Providers and other regions ---------------------------------------------------------------
    /** Discovery has told a gatekeeper whether a provider may have new work. */
    public void told(long at, String keeper, String provider, boolean ready) {
        note(at, "told %s %s %s", keeper, provider, ready ? "ready" : "not-ready");
        if (ready) {
            notReadySince.remove(keeper + ' ' + provider);
        } else {
            saw(Rule.DRAIN);
            notReadySince.putIfAbsent(keeper + ' ' + provider, at);
        }
    }

    /** A gatekeeper has died; a new one under its name has been told nothing yet. */
    public void restarted(long at, String keeper) {
        note(at, "restarted %s", keeper);
        notReadySince.keySet().removeIf(key -> key.startsWith(keeper + ' '));
    }

    /** A provider has started; {@code capacity} in microseconds of work a second once it is warm. */
    public void started(long at, String provider, double capacity, double coldFrom, long coldTime) {
        note(at, "started %s %s %s %d", provider, capacity, coldFrom, coldTime);
        Provider now = providers.computeIfAbsent(provider, name -> new Provider());
        now.startedAt = at;
        now.capacity = capacity;
        now.coldFrom = coldFrom;
        now.coldTime = coldTime;
        now.sent.clear();
    }

    /** A request has gone from one region towards another, whether or not it gets there. */
    public void crossed(long at, String from, String id, double units) {
        note(at, "crossed %s %s %s", from, id, units);
        Entry entry = entries.get(id);
        saw(Rule.AWAY);
        if (++entry.crossed > 1) {
            fault(Rule.AWAY, at, id + " travels twice");
        }
        if (!entry.group.equals(from)) {
            fault(Rule.AWAY, at, id + " of " + entry.group + " is sent on by " + from);
        }
        crossings.computeIfAbsent(from, group -> new ArrayList<>()).add(new Sent(at, units));
    }

    // ---- The verdict -------------------------------------------------------------------------------
    /** Looks at what only the end shows; returns all that is wrong, or nothing. */
    public List<Fault> faults(long at, Map<String, Budget> budgets) {
        entries.forEach((id, entry) -> {
            if (entry.answer == null && !entry.excused && entry.deadline + figures.answerSlack < at) {
                fault(Rule.ANSWER, at, id + " is never answered");
            }
        });
        budgets.forEach((group, budget) -> checkBudget(at, group, budget));
        return List.copyOf(faults);
    }

    private void checkBudget(long at, String group, Budget budget) {
        List<Sent> sent = crossings.getOrDefault(group, List.of());
        if (sent.size() > budget.share * taken.getOrDefault(group, 0) + GRAIN) {
            fault(Rule.AWAY, at, group + " sent " + sent.size() + " away of " + taken.get(group));
        }
        double level = 0;
        for (int i = 0; i < sent.size(); i++) {
            long passed = i == 0 ? 0 : sent.get(i).at - sent.get(i - 1).at;
            level = Math.max(0, level - budget.rate * passed / SECOND) + sent.get(i).amount;
            if (level > budget.burst + GRAIN) {
                fault(
                        Rule.AWAY,
                        sent.get(i).at,
                        group + " sent " + level + " units away in a burst, at most " + budget.burst);
                return;
            }
        }
    }

    /** How many events spoke of each rule: one that nothing spoke of was not checked. */
    public Map<Rule, Integer> seen() {
        return Map.copyOf(seen);
    }
}
