package reedmux.simulation.invariants;

import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/**
 * Finds which of the platform's rules a history breaks. Events come in the order of their times, in microseconds of one
 * clock; a group is a set of gatekeepers with quotas of their own. For one thread.
 */
public final class HistoryChecker {

    /** The rules, by the names that histories use. */
    public enum HistoryRule {
        /** Each request has one final answer in time. */
        ANSWER,
        /** A request is sent again only where that has no second effect, and not too often. */
        REPEAT,
        /** A provider that is not ready is sent nothing after a grace time. */
        DRAIN,
        /** A provider that warms up is not overloaded. */
        COLD,
        /** A customer never passes its plan's rate limit. */
        CEILING,
        /** A customer passes its plan's quota by a tolerance at most. */
        QUOTA,
        /** A request is forwarded once, within its group's budget. */
        AWAY
    }

    /** What a final answer says. */
    public enum AnswerKind {
        SERVED,
        REFUSED,
        FAILED
    }

    /**
     * The parameters of the rules, times in microseconds.
     *
     * @param deadlineSlack        how far behind its deadline an answer still counts
     * @param drainGrace           how long new calls may go on after the notice that a provider drains or is gone
     * @param coldOverloadMultiple of a cold provider's capacity, which may not be sent within the window
     * @param coldOverloadWindow   that window
     * @param rateLimitSlackTime   what the rate limit gives in this time is added to its slack
     * @param maxCalls             calls of one request at most
     * @param hedging              whether two calls of one request may be in flight at once
     * @param quotaTolerance       how far quotas may be passed
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

    /** How far quotas may be passed: bursts, and microseconds of the rate. */
    public record QuotaTolerance(double bursts, long time) {}

    /** A plan's quota and rate limit in units and units a second; a rate of 0 for none. */
    public record PlanLimits(
            double quotaRate, double quotaBurst, double rateLimit, double rateLimitBurst, double rateLimitSlack) {}

    /** What a group may forward to other regions: a share of its requests, and units a second with a burst. */
    public record ForwardingBudget(double share, double rate, double burst) {}

    /** A rule that is broken. */
    public record Violation(HistoryRule rule, long timeMicros, String description) {
        @Override
        public String toString() {
            return rule + " at " + timeMicros + " us: " + description;
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
                String gatekeeper,
                boolean repeatable,
                PlanLimits plan,
                long customer,
                double units,
                long deadline) {
            this.group = group;
            this.gatekeeper = gatekeeper;
            this.repeatable = repeatable;
            this.plan = plan;
            this.customer = group + '/' + customer;
            this.units = units;
            this.deadline = deadline;
        }
    }

    /** An amount at a time. */
    record TimedAmount(long timeMicros, double amount) {}

    static final double MICROS_PER_SECOND = 1e6;
    /** What sums of floating-point numbers may differ by. */
    static final double ROUNDING_TOLERANCE = 1e-6;

    private final RuleParameters parameters;
    private final HistoryTranscript transcript = new HistoryTranscript();
    private final ViolationLog log = new ViolationLog();
    private final QuotaInvariant quotas;
    private final ColdLoadInvariant coldLoad;
    private final ForwardingInvariant forwarding = new ForwardingInvariant(log);
    private final Map<String, CheckedRequest> requests = new HashMap<>();
    /** When a gatekeeper was first notified that a provider is not ready, by the names of both. */
    private final Map<String, Long> notReadySince = new HashMap<>();

    /** A checker that knows of no event yet. */
    public HistoryChecker(RuleParameters parameters) {
        this.parameters = parameters;
        quotas = new QuotaInvariant(parameters, log);
        coldLoad = new ColdLoadInvariant(parameters, log);
    }

    /** Sets how far quotas may be passed in what follows. */
    public void setQuotaTolerance(QuotaTolerance tolerance) {
        quotas.setTolerance(tolerance);
        transcript.appendTolerance(tolerance);
    }

    /** From now on writes all events down, in the form that {@link HistoryReader} reads. */
    public void startTranscript() {
        transcript.start();
    }

    /** All events since {@link #startTranscript}. */
    public String transcript() {
        return transcript.text();
    }

    // ---- Consumers ---------------------------------------------------------------------------------
    /** A request's last byte has come in at a gatekeeper; {@code plan} is null where no quota is checked. */
    public void onAccepted(
            long timeMicros,
            String group,
            String gatekeeper,
            String id,
            boolean repeatable,
            PlanLimits plan,
            long customer,
            double units,
            long deadline) {
        transcript.appendEvent(
                timeMicros,
                "taken %s %s %s %s %s %d %s %d",
                group,
                gatekeeper,
                id,
                repeatable ? "safe" : "unsafe",
                HistoryTranscript.formatPlan(plan),
                customer,
                units,
                deadline);
        log.countCheck(HistoryRule.ANSWER);
        requests.put(id, new CheckedRequest(group, gatekeeper, repeatable, plan, customer, units, deadline));
        forwarding.onAccepted(group);
    }

    /** Nobody waits for an answer any more: the consumer has left, or the gatekeeper that accepted it has died. */
    public void onExcused(long timeMicros, String id) {
        transcript.appendEvent(timeMicros, "excused %s", id);
        requests.get(id).excused = true;
    }

    /** The last byte of a final answer has gone out. */
    public void onAnswered(long timeMicros, String id, AnswerKind kind) {
        transcript.appendEvent(timeMicros, "answered %s %s", id, kind.name().toLowerCase(Locale.ROOT));
        CheckedRequest request = requests.get(id);
        if (request.answer != null) {
            log.add(HistoryRule.ANSWER, timeMicros, id + " is answered twice");
        } else if (timeMicros > request.deadline + parameters.deadlineSlack) {
            log.add(HistoryRule.ANSWER, timeMicros, id + " is answered " + (timeMicros - request.deadline) + " us late");
        }
        request.answer = kind;
        if (kind == AnswerKind.REFUSED
                && !request.repeatable
                && (request.executions > 0 || request.calls.values().stream().anyMatch(CheckedCall::mayHaveRun))) {
            log.add(HistoryRule.REPEAT, timeMicros, id + " is rejected, but has run or may have");
        }
    }

    // ---- Calls -------------------------------------------------------------------------------------
    private CheckedCall findOrCreateCall(CheckedRequest request, String gatekeeper, int number) {
        return request.calls.computeIfAbsent(gatekeeper + '#' + number, key -> new CheckedCall());
    }

    /** The first byte of a gatekeeper's call goes out. */
    public void onCallStarted(long timeMicros, String gatekeeper, String id, int number, String provider) {
        transcript.appendEvent(timeMicros, "begins %s %s %d %s", gatekeeper, id, number, provider);
        CheckedRequest request = requests.get(id);
        findOrCreateCall(request, gatekeeper, number);
        if (gatekeeper.equals(request.gatekeeper) && request.answer != null) {
            log.add(HistoryRule.ANSWER, timeMicros, id + " is sent after its final answer");
        }
        if (number >= parameters.maxCalls) {
            log.add(HistoryRule.REPEAT, timeMicros, id + " is sent more than " + parameters.maxCalls + " times");
        }
        Long notReadySinceMicros = notReadySince.get(gatekeeper + ' ' + provider);
        if (notReadySinceMicros != null && timeMicros - notReadySinceMicros > parameters.drainGrace) {
            log.add(
                    HistoryRule.DRAIN,
                    timeMicros,
                    id + " goes to " + provider + " " + (timeMicros - notReadySinceMicros) + " us after the word that it is not ready");
        }
    }

    /** A call's last byte has come to the provider; {@code work} in microseconds of one core. */
    public void onRequestDelivered(long timeMicros, String gatekeeper, String id, int number, String provider, double work) {
        transcript.appendEvent(timeMicros, "whole %s %s %d %s %s", gatekeeper, id, number, provider, work);
        CheckedRequest request = requests.get(id);
        CheckedCall call = findOrCreateCall(request, gatekeeper, number);
        for (CheckedCall other : request.calls.values()) {
            if (other == call || !other.delivered) {
                continue;
            }
            log.countCheck(HistoryRule.REPEAT);
            if (!request.repeatable && other.mayHaveRun()) {
                log.add(HistoryRule.REPEAT, timeMicros, id + " is sent again and may have run");
            } else if (!parameters.hedging && !other.ended) {
                log.add(HistoryRule.REPEAT, timeMicros, id + " is out twice at once");
            }
        }
        if (!request.repeatable && request.answer == AnswerKind.REFUSED) {
            log.add(HistoryRule.REPEAT, timeMicros, id + " comes to a provider after its rejection");
        }
        call.delivered = true;
        if (!request.charged && request.plan != null) {
            request.charged = true;
            quotas.onDelivered(timeMicros, id, request.customer, request.plan, request.units);
        }
        coldLoad.onDelivered(timeMicros, id, provider, work);
    }

    /** A call has ended for its gatekeeper; one that the gatekeeper closed itself may have run. */
    public void onCallEnded(long timeMicros, String gatekeeper, String id, int number, boolean neverRan) {
        transcript.appendEvent(timeMicros, "ended %s %s %d %s", gatekeeper, id, number, neverRan ? "never-ran" : "may-have-run");
        CheckedCall call = findOrCreateCall(requests.get(id), gatekeeper, number);
        call.ended = true;
        call.neverRan = neverRan;
    }

    /** A provider begins to run it. */
    public void onExecuted(long timeMicros, String id) {
        transcript.appendEvent(timeMicros, "runs %s", id);
        CheckedRequest request = requests.get(id);
        log.countCheck(HistoryRule.REPEAT);
        if (++request.executions > 1 && !request.repeatable) {
            log.add(HistoryRule.REPEAT, timeMicros, id + " runs a second time and must not");
        }
        if (request.answer == AnswerKind.REFUSED && !request.repeatable) {
            log.add(HistoryRule.REPEAT, timeMicros, id + " runs after its rejection");
        }
    }

    // ---- Providers and other regions ---------------------------------------------------------------
    /** Discovery has notified a gatekeeper of whether a provider may be sent requests. */
    public void onProviderStatus(long timeMicros, String gatekeeper, String provider, boolean ready) {
        transcript.appendEvent(timeMicros, "told %s %s %s", gatekeeper, provider, ready ? "ready" : "not-ready");
        if (ready) {
            notReadySince.remove(gatekeeper + ' ' + provider);
        } else {
            log.countCheck(HistoryRule.DRAIN);
            notReadySince.putIfAbsent(gatekeeper + ' ' + provider, timeMicros);
        }
    }

    /** A gatekeeper has died; a new one under its name has been notified of nothing yet. */
    public void onGatekeeperRestarted(long timeMicros, String gatekeeper) {
        transcript.appendEvent(timeMicros, "restarted %s", gatekeeper);
        notReadySince.keySet().removeIf(key -> key.startsWith(gatekeeper + ' '));
    }

    /** A provider has started; {@code capacity} in microseconds of work a second once it is warm. */
    public void onProviderStarted(
            long timeMicros, String provider, double capacity, double coldCapacityShare, long warmUpTime) {
        transcript.appendEvent(timeMicros, "started %s %s %s %d", provider, capacity, coldCapacityShare, warmUpTime);
        coldLoad.onStarted(timeMicros, provider, capacity, coldCapacityShare, warmUpTime);
    }

    /** A request was forwarded from one region to another, whether or not it arrives. */
    public void onForwarded(long timeMicros, String from, String id, double units) {
        transcript.appendEvent(timeMicros, "crossed %s %s %s", from, id, units);
        CheckedRequest request = requests.get(id);
        log.countCheck(HistoryRule.AWAY);
        if (++request.forwards > 1) {
            log.add(HistoryRule.AWAY, timeMicros, id + " travels twice");
        }
        if (!request.group.equals(from)) {
            log.add(HistoryRule.AWAY, timeMicros, id + " of " + request.group + " is sent on by " + from);
        }
        forwarding.onForwarded(timeMicros, from, units);
    }

    // ---- The verdict -------------------------------------------------------------------------------
    /** Checks what only the end of the history shows; returns all violations. */
    public List<Violation> violations(long timeMicros, Map<String, ForwardingBudget> budgets) {
        requests.forEach((id, request) -> {
            if (request.answer == null && !request.excused && request.deadline + parameters.deadlineSlack < timeMicros) {
                log.add(HistoryRule.ANSWER, timeMicros, id + " is never answered");
            }
        });
        budgets.forEach((group, budget) -> forwarding.check(timeMicros, group, budget));
        return log.violations();
    }

    /** How many events were checked against each rule: one that is not in it was not checked at all. */
    public Map<HistoryRule, Integer> checks() {
        return log.checks();
    }
}
