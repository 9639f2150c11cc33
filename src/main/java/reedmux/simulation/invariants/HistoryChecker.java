package reedmux.simulation.invariants;

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
public final class HistoryChecker {

    /** The rules, and the budget of what another region may be sent. */
    public enum HistoryRule {
        ANSWER,
        REPEAT,
        DRAIN,
        COLD,
        CEILING,
        QUOTA,
        AWAY
    }

    /** What a final answer says. */
    public enum AnswerKind {
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
    public record RuleParameters(
            long deadlineSlack,
            long drainGrace,
            double coldOverloadMultiple,
            long coldOverloadWindow,
            long rateLimitSlackTime,
            int maxCalls,
            boolean hedging,
            QuotaTolerance quotaTolerance) {}

    /** See {@link RuleParameters}. */
    public record QuotaTolerance(double bursts, long time) {}

    /** A plan's quota and ceiling in units and units a second; a rate of nought for none. */
    public record PlanLimits(
            double quotaRate, double quotaBurst, double rateLimit, double rateLimitBurst, double rateLimitSlack) {}

    /** What a group may send to other regions: a share of its requests, and a rate with a burst. */
    public record ForwardingBudget(double share, double rate, double burst) {}

    /** A rule that is broken. */
    public record Violation(HistoryRule rule, long at, String what) {
        @Override
        public String toString() {
            return rule + " at " + at + " us: " + what;
        }
    }

    private static final class CheckedCall {
        boolean delivered;
        boolean ended;
        boolean neverRan;

        boolean mayHaveRun() {
            return delivered && !(ended && neverRan);
        }
    }

    private static final class CheckedRequest {
        final String group;
        final String gatekeeper;
        final boolean repeatable;
        final PlanLimits plan;
        final String customer;
        final double units;
        final long deadline;
        final Map<String, CheckedCall> calls = new TreeMap<>();
        AnswerKind answer;
        boolean excused;
        boolean charged;
        int executions;
        int forwards;

        CheckedRequest(
                String group,
                String keeper,
                boolean repeatable,
                PlanLimits plan,
                long customer,
                double units,
                long deadline) {
            this.group = group;
            this.gatekeeper = keeper;
            this.repeatable = repeatable;
            this.plan = plan;
            this.customer = group + '/' + customer;
            this.units = units;
            this.deadline = deadline;
        }
    }

    /** What a customer has had sent on: a level over the quota's drain, and the ceiling's store. */
    private static final class CustomerUsage {
        double level;
        double tokens;
        long at;
    }

    private record TimedAmount(long at, double amount) {}

    private static final class CheckedProvider {
        long startedAt = Long.MIN_VALUE;
        double capacity;
        double coldCapacityShare = 1;
        long warmUpTime;
        final Deque<TimedAmount> sent = new ArrayDeque<>();
    }

    private static final int MAX_VIOLATIONS = 20;
    private static final double MICROS_PER_SECOND = 1e6;
    private static final double ROUNDING_TOLERANCE = 1e-6;
    private final RuleParameters parameters;
    private final Map<String, CheckedRequest> requests = new HashMap<>();
    private final Map<String, CustomerUsage> usageOfCustomer = new HashMap<>();
    private final Map<String, Long> notReadySince = new HashMap<>();
    private final Map<String, CheckedProvider> providers = new HashMap<>();
    private final Map<String, List<TimedAmount>> forwardsOfGroup = new TreeMap<>();
    private final Map<String, Integer> acceptedOfGroup = new TreeMap<>();
    private final Map<HistoryRule, Integer> checks = new EnumMap<>(HistoryRule.class);
    private final List<Violation> violations = new ArrayList<>();
    private QuotaTolerance quotaTolerance;
    private StringBuilder transcript;

    public HistoryChecker(RuleParameters figures) {
        this.parameters = figures;
        quotaTolerance = figures.quotaTolerance;
    }

    /** Sets how far quotas may be passed in what follows. */
    public void setQuotaTolerance(QuotaTolerance tolerance) {
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

    /** From now on keeps all that it is told, in the form that {@link HistoryReader} reads. */
    public void startTranscript() {
        transcript = new StringBuilder();
    }

    /** What it has been told since {@link #startTranscript}. */
    public String transcript() {
        return transcript.toString();
    }

    private void record(long at, String line, Object... values) {
        if (transcript != null) {
            transcript
                    .append(at)
                    .append(' ')
                    .append(String.format(Locale.ROOT, line, values))
                    .append('\n');
        }
    }

    private void violation(HistoryRule rule, long at, String what) {
        if (violations.size() < MAX_VIOLATIONS) {
            violations.add(new Violation(rule, at, what));
        }
    }

    private void countCheck(HistoryRule rule) {
        checks.merge(rule, 1, Integer::sum);
    }

    // ---- Consumers ---------------------------------------------------------------------------------
    /** A request's last byte has come in at a gatekeeper; {@code plan} is null where nothing is counted. */
    public void onAccepted(
            long at,
            String group,
            String keeper,
            String id,
            boolean repeatable,
            PlanLimits plan,
            long customer,
            double units,
            long deadline) {
        record(
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
        countCheck(HistoryRule.ANSWER);
        requests.put(id, new CheckedRequest(group, keeper, repeatable, plan, customer, units, deadline));
        acceptedOfGroup.merge(group, 1, Integer::sum);
    }

    private static String planName(PlanLimits plan) {
        return plan == null
                ? "-"
                : plan.quotaRate + "/" + plan.quotaBurst + "/" + plan.rateLimit + "/" + plan.rateLimitBurst + "/"
                        + plan.rateLimitSlack;
    }

    /** Nobody waits for it any more: its consumer has left, or the gatekeeper that took it has died. */
    public void onExcused(long at, String id) {
        record(at, "excused %s", id);
        requests.get(id).excused = true;
    }

    /** The last byte of a final answer has gone out. */
    public void onAnswered(long at, String id, AnswerKind kind) {
        record(at, "answered %s %s", id, kind.name().toLowerCase(Locale.ROOT));
        CheckedRequest entry = requests.get(id);
        if (entry.answer != null) {
            violation(HistoryRule.ANSWER, at, id + " is answered twice");
        } else if (at > entry.deadline + parameters.deadlineSlack) {
            violation(HistoryRule.ANSWER, at, id + " is answered " + (at - entry.deadline) + " us late");
        }
        entry.answer = kind;
        if (kind == AnswerKind.REFUSED
                && !entry.repeatable
                && (entry.executions > 0 || entry.calls.values().stream().anyMatch(CheckedCall::mayHaveRun))) {
            violation(HistoryRule.REPEAT, at, id + " is rejected, but has run or may have");
        }
    }

    // ---- Calls -------------------------------------------------------------------------------------
    private CheckedCall call(CheckedRequest entry, String keeper, int number) {
        return entry.calls.computeIfAbsent(keeper + '#' + number, key -> new CheckedCall());
    }

    /** The first byte of a gatekeeper's call goes out. */
    public void onCallStarted(long at, String keeper, String id, int number, String provider) {
        record(at, "begins %s %s %d %s", keeper, id, number, provider);
        CheckedRequest entry = requests.get(id);
        call(entry, keeper, number);
        if (keeper.equals(entry.gatekeeper) && entry.answer != null) {
            violation(HistoryRule.ANSWER, at, id + " is sent after its final answer");
        }
        if (number >= parameters.maxCalls) {
            violation(HistoryRule.REPEAT, at, id + " is sent more than " + parameters.maxCalls + " times");
        }
        Long since = notReadySince.get(keeper + ' ' + provider);
        if (since != null && at - since > parameters.drainGrace) {
            violation(
                    HistoryRule.DRAIN,
                    at,
                    id + " goes to " + provider + " " + (at - since) + " us after the word that it is not ready");
        }
    }

    /** Its last byte has come to the provider; {@code work} in microseconds of one core. */
    public void onRequestDelivered(long at, String keeper, String id, int number, String provider, double work) {
        record(at, "whole %s %s %d %s %s", keeper, id, number, provider, work);
        CheckedRequest entry = requests.get(id);
        CheckedCall call = call(entry, keeper, number);
        for (CheckedCall other : entry.calls.values()) {
            if (other == call || !other.delivered) {
                continue;
            }
            countCheck(HistoryRule.REPEAT);
            if (!entry.repeatable && other.mayHaveRun()) {
                violation(HistoryRule.REPEAT, at, id + " is sent again and may have run");
            } else if (!parameters.hedging && !other.ended) {
                violation(HistoryRule.REPEAT, at, id + " is out twice at once");
            }
        }
        if (!entry.repeatable && entry.answer == AnswerKind.REFUSED) {
            violation(HistoryRule.REPEAT, at, id + " comes to a provider after its rejection");
        }
        call.delivered = true;
        if (!entry.charged && entry.plan != null) {
            entry.charged = true;
            checkQuota(at, id, entry);
        }
        checkColdLoad(at, id, providers.computeIfAbsent(provider, name -> new CheckedProvider()), provider, work);
    }

    private void checkQuota(long at, String id, CheckedRequest entry) {
        PlanLimits plan = entry.plan;
        CustomerUsage use = usageOfCustomer.computeIfAbsent(entry.customer, customer -> {
            CustomerUsage fresh = new CustomerUsage();
            fresh.tokens = plan.rateLimitBurst;
            fresh.at = at;
            return fresh;
        });
        double passed = (at - use.at) / MICROS_PER_SECOND;
        use.at = at;
        if (plan.quotaRate > 0) {
            countCheck(HistoryRule.QUOTA);
            use.level = Math.max(0, use.level - plan.quotaRate * passed) + entry.units;
            double over = use.level - plan.quotaBurst;
            double most =
                    quotaTolerance.bursts * plan.quotaBurst + plan.quotaRate * quotaTolerance.time / MICROS_PER_SECOND;
            if (over > most + ROUNDING_TOLERANCE) {
                violation(
                        HistoryRule.QUOTA,
                        at,
                        id + " lifts " + entry.customer + " " + over + " units over its quota, at most " + most);
            }
        }
        if (plan.rateLimit > 0) {
            countCheck(HistoryRule.CEILING);
            use.tokens = Math.min(plan.rateLimitBurst, use.tokens + plan.rateLimit * passed) - entry.units;
            double least = -plan.rateLimitSlack - plan.rateLimit * parameters.rateLimitSlackTime / MICROS_PER_SECOND;
            if (use.tokens < least - ROUNDING_TOLERANCE) {
                violation(
                        HistoryRule.CEILING,
                        at,
                        id + " leaves " + entry.customer + " " + use.tokens + " units of its ceiling, at least "
                                + least);
            }
        }
    }

    private void checkColdLoad(long at, String id, CheckedProvider provider, String name, double work) {
        provider.sent.add(new TimedAmount(at, work));
        while (provider.sent.peek().at <= at - parameters.coldOverloadWindow) {
            provider.sent.poll();
        }
        long age = at - provider.startedAt;
        if (provider.startedAt == Long.MIN_VALUE || age >= provider.warmUpTime) {
            return;
        }
        countCheck(HistoryRule.COLD);
        double share = provider.coldCapacityShare + (1 - provider.coldCapacityShare) * age / provider.warmUpTime;
        double most = parameters.coldOverloadMultiple
                * share
                * provider.capacity
                * parameters.coldOverloadWindow
                / MICROS_PER_SECOND;
        double sum = provider.sent.stream().mapToDouble(TimedAmount::amount).sum();
        if (sum > most) {
            violation(HistoryRule.COLD, at, id + " brings " + name + " to " + sum + " us of work, at most " + most);
        }
    }

    /** What a gatekeeper was told of a call's end, or that it closed it itself, which proves nothing. */
    public void onCallEnded(long at, String keeper, String id, int number, boolean neverRan) {
        record(at, "ended %s %s %d %s", keeper, id, number, neverRan ? "never-ran" : "may-have-run");
        CheckedCall call = call(requests.get(id), keeper, number);
        call.ended = true;
        call.neverRan = neverRan;
    }

    /** A provider begins to run it. */
    public void onExecuted(long at, String id) {
        record(at, "runs %s", id);
        CheckedRequest entry = requests.get(id);
        countCheck(HistoryRule.REPEAT);
        if (++entry.executions > 1 && !entry.repeatable) {
            violation(HistoryRule.REPEAT, at, id + " runs a second time and must not");
        }
        if (entry.answer == AnswerKind.REFUSED && !entry.repeatable) {
            violation(HistoryRule.REPEAT, at, id + " runs after its rejection");
        }
    }

    // ---- Providers and other regions ---------------------------------------------------------------
    /** Discovery has told a gatekeeper whether a provider may have new work. */
    public void onProviderStatus(long at, String keeper, String provider, boolean ready) {
        record(at, "told %s %s %s", keeper, provider, ready ? "ready" : "not-ready");
        if (ready) {
            notReadySince.remove(keeper + ' ' + provider);
        } else {
            countCheck(HistoryRule.DRAIN);
            notReadySince.putIfAbsent(keeper + ' ' + provider, at);
        }
    }

    /** A gatekeeper has died; a new one under its name has been told nothing yet. */
    public void onGatekeeperRestarted(long at, String keeper) {
        record(at, "restarted %s", keeper);
        notReadySince.keySet().removeIf(key -> key.startsWith(keeper + ' '));
    }

    /** A provider has started; {@code capacity} in microseconds of work a second once it is warm. */
    public void onProviderStarted(long at, String provider, double capacity, double coldFrom, long coldTime) {
        record(at, "started %s %s %s %d", provider, capacity, coldFrom, coldTime);
        CheckedProvider now = providers.computeIfAbsent(provider, name -> new CheckedProvider());
        now.startedAt = at;
        now.capacity = capacity;
        now.coldCapacityShare = coldFrom;
        now.warmUpTime = coldTime;
        now.sent.clear();
    }

    /** A request has gone from one region towards another, whether or not it gets there. */
    public void onForwarded(long at, String from, String id, double units) {
        record(at, "crossed %s %s %s", from, id, units);
        CheckedRequest entry = requests.get(id);
        countCheck(HistoryRule.AWAY);
        if (++entry.forwards > 1) {
            violation(HistoryRule.AWAY, at, id + " travels twice");
        }
        if (!entry.group.equals(from)) {
            violation(HistoryRule.AWAY, at, id + " of " + entry.group + " is sent on by " + from);
        }
        forwardsOfGroup.computeIfAbsent(from, group -> new ArrayList<>()).add(new TimedAmount(at, units));
    }

    // ---- The verdict -------------------------------------------------------------------------------
    /** Looks at what only the end shows; returns all that is wrong, or nothing. */
    public List<Violation> violations(long at, Map<String, ForwardingBudget> budgets) {
        requests.forEach((id, entry) -> {
            if (entry.answer == null && !entry.excused && entry.deadline + parameters.deadlineSlack < at) {
                violation(HistoryRule.ANSWER, at, id + " is never answered");
            }
        });
        budgets.forEach((group, budget) -> checkBudget(at, group, budget));
        return List.copyOf(violations);
    }

    private void checkBudget(long at, String group, ForwardingBudget budget) {
        List<TimedAmount> sent = forwardsOfGroup.getOrDefault(group, List.of());
        if (sent.size() > budget.share * acceptedOfGroup.getOrDefault(group, 0) + ROUNDING_TOLERANCE) {
            violation(HistoryRule.AWAY, at, group + " sent " + sent.size() + " away of " + acceptedOfGroup.get(group));
        }
        double level = 0;
        for (int i = 0; i < sent.size(); i++) {
            long passed = i == 0 ? 0 : sent.get(i).at - sent.get(i - 1).at;
            level = Math.max(0, level - budget.rate * passed / MICROS_PER_SECOND) + sent.get(i).amount;
            if (level > budget.burst + ROUNDING_TOLERANCE) {
                violation(
                        HistoryRule.AWAY,
                        sent.get(i).at,
                        group + " sent " + level + " units away in a burst, at most " + budget.burst);
                return;
            }
        }
    }

    /** How many events spoke of each rule: one that nothing spoke of was not checked. */
    public Map<HistoryRule, Integer> checks() {
        return Map.copyOf(checks);
    }
}
