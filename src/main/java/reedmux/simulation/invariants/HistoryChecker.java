package reedmux.simulation.invariants;

import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/**
 * Checks a history of events against the platform's rules and collects the violations. Events must be reported in
 * chronological order; all times are in microseconds of one clock. A group is a set of gatekeepers that share quotas
 * with each other but not with other groups. Not thread-safe.
 */
public final class HistoryChecker {

    /** The rules, under the names used in histories. */
    public enum HistoryRule {
        /** Each request receives exactly one final answer, before its deadline plus a slack. */
        ANSWER,
        /** A request is sent again only if this cannot have a second effect, and only a limited number of times. */
        REPEAT,
        /** A provider that is not ready receives no new calls after a grace period. */
        DRAIN,
        /** A provider that is warming up is not overloaded. */
        COLD,
        /** A customer never exceeds its plan's rate limit. */
        CEILING,
        /** A customer exceeds its plan's quota by at most a tolerance. */
        QUOTA,
        /** A request is forwarded at most once, and within its group's budget. */
        AWAY
    }

    /** The outcome that a final answer reports. */
    public enum AnswerKind {
        SERVED,
        REFUSED,
        FAILED
    }

    /**
     * The parameters of the rules; times are in microseconds.
     *
     * @param deadlineSlack        time after its deadline at which an answer is still in time
     * @param drainGrace           time for which new calls are allowed after the notice that a provider drains or is
     *                             gone
     * @param coldOverloadMultiple multiple of a cold provider's capacity that the work sent within the window must not
     *                             exceed
     * @param coldOverloadWindow   length of that window
     * @param rateLimitSlackTime   time whose worth of tokens at the rate limit is added to the rate limit's slack
     * @param maxCalls             maximum number of calls per request
     * @param hedging              whether two calls of one request may be in flight at the same time
     * @param quotaTolerance       amount by which quotas may be exceeded
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

    /**
     * The amount by which quotas may be exceeded: a number of bursts plus the units of {@code time} us at the quota
     * rate.
     */
    public record QuotaTolerance(double bursts, long time) {}

    /** A plan's quota and rate limit, in units and units per second; a rate of 0 disables the limit. */
    public record PlanLimits(
            double quotaRate, double quotaBurst, double rateLimit, double rateLimitBurst, double rateLimitSlack) {}

    /** A group's budget for forwards to other regions: a share of its requests, and units per second with a burst. */
    public record ForwardingBudget(double share, double rate, double burst) {}

    /** A violation of a rule. */
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

    /** An amount that was recorded at a point in time. */
    record TimedAmount(long timeMicros, double amount) {}

    static final double MICROS_PER_SECOND = 1e6;
    /** Absolute rounding error allowed in sums of floating-point numbers. */
    static final double ROUNDING_TOLERANCE = 1e-6;

    private final RuleParameters parameters;
    private final HistoryTranscript transcript = new HistoryTranscript();
    private final ViolationLog log = new ViolationLog();
    private final QuotaInvariant quotas;
    private final ColdLoadInvariant coldLoad;
    private final ForwardingInvariant forwarding = new ForwardingInvariant(log);
    private final Map<String, CheckedRequest> requests = new HashMap<>();
    /** Time at which a gatekeeper was first notified that a provider is not ready, keyed by "gatekeeper provider". */
    private final Map<String, Long> notReadySince = new HashMap<>();

    /** Creates a checker with an empty history. */
    public HistoryChecker(RuleParameters parameters) {
        this.parameters = parameters;
        quotas = new QuotaInvariant(parameters, log);
        coldLoad = new ColdLoadInvariant(parameters, log);
    }

    /** Sets the quota tolerance for all subsequent events. */
    public void setQuotaTolerance(QuotaTolerance tolerance) {
        quotas.setTolerance(tolerance);
        transcript.appendTolerance(tolerance);
    }

    /** Starts to record all subsequent events in the text format that {@link HistoryReader} reads. */
    public void startTranscript() {
        transcript.start();
    }

    /** Returns the recorded events since {@link #startTranscript}. */
    public String transcript() {
        return transcript.text();
    }

    // ---- Consumers ---------------------------------------------------------------------------------
    /** A gatekeeper has received the last byte of a request; {@code plan} is null if no quota is checked. */
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

    /**
     * A request no longer needs an answer: its consumer has disconnected, or the gatekeeper that accepted it has
     * crashed.
     */
    public void onExcused(long timeMicros, String id) {
        transcript.appendEvent(timeMicros, "excused %s", id);
        requests.get(id).excused = true;
    }

    /** The last byte of a final answer has been sent. */
    public void onAnswered(long timeMicros, String id, AnswerKind kind) {
        transcript.appendEvent(timeMicros, "answered %s %s", id, kind.name().toLowerCase(Locale.ROOT));
        CheckedRequest request = requests.get(id);
        if (request.answer != null) {
            log.add(HistoryRule.ANSWER, timeMicros, id + " is answered twice");
        } else if (timeMicros > request.deadline + parameters.deadlineSlack) {
            log.add(
                    HistoryRule.ANSWER,
                    timeMicros,
                    id + " is answered " + (timeMicros - request.deadline) + " us late");
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

    /** A gatekeeper has sent the first byte of a call to a provider. */
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
                    id + " is sent to " + provider + " " + (timeMicros - notReadySinceMicros)
                            + " us after the notice that it is not ready");
        }
    }

    /** A provider has received the last byte of a call; {@code work} is in microseconds of one core. */
    public void onRequestDelivered(
            long timeMicros, String gatekeeper, String id, int number, String provider, double work) {
        transcript.appendEvent(timeMicros, "whole %s %s %d %s %s", gatekeeper, id, number, provider, work);
        CheckedRequest request = requests.get(id);
        CheckedCall call = findOrCreateCall(request, gatekeeper, number);
        for (CheckedCall otherCall : request.calls.values()) {
            if (otherCall == call || !otherCall.delivered) {
                continue;
            }
            log.countCheck(HistoryRule.REPEAT);
            if (!request.repeatable && otherCall.mayHaveRun()) {
                log.add(HistoryRule.REPEAT, timeMicros, id + " is sent again although it may have been executed");
            } else if (!parameters.hedging && !otherCall.ended) {
                log.add(HistoryRule.REPEAT, timeMicros, id + " has two calls in flight at the same time");
            }
        }
        if (!request.repeatable && request.answer == AnswerKind.REFUSED) {
            log.add(HistoryRule.REPEAT, timeMicros, id + " reaches a provider after its rejection");
        }
        call.delivered = true;
        if (!request.charged && request.plan != null) {
            request.charged = true;
            quotas.onDelivered(timeMicros, id, request.customer, request.plan, request.units);
        }
        coldLoad.onDelivered(timeMicros, id, provider, work);
    }

    /** A call has ended for its gatekeeper; a call that the gatekeeper cancelled itself may have been executed. */
    public void onCallEnded(long timeMicros, String gatekeeper, String id, int number, boolean neverRan) {
        transcript.appendEvent(
                timeMicros, "ended %s %s %d %s", gatekeeper, id, number, neverRan ? "never-ran" : "may-have-run");
        CheckedCall call = findOrCreateCall(requests.get(id), gatekeeper, number);
        call.ended = true;
        call.neverRan = neverRan;
    }

    /** A provider starts to execute a request. */
    public void onExecuted(long timeMicros, String id) {
        transcript.appendEvent(timeMicros, "runs %s", id);
        CheckedRequest request = requests.get(id);
        log.countCheck(HistoryRule.REPEAT);
        if (++request.executions > 1 && !request.repeatable) {
            log.add(HistoryRule.REPEAT, timeMicros, id + " runs a second time and must not");
        }
        if (request.answer == AnswerKind.REFUSED && !request.repeatable) {
            log.add(HistoryRule.REPEAT, timeMicros, id + " is executed after its rejection");
        }
    }

    // ---- Providers and other regions ---------------------------------------------------------------
    /** Discovery has notified a gatekeeper whether a provider is ready to receive requests. */
    public void onProviderStatus(long timeMicros, String gatekeeper, String provider, boolean ready) {
        transcript.appendEvent(timeMicros, "told %s %s %s", gatekeeper, provider, ready ? "ready" : "not-ready");
        if (ready) {
            notReadySince.remove(gatekeeper + ' ' + provider);
        } else {
            log.countCheck(HistoryRule.DRAIN);
            notReadySince.putIfAbsent(gatekeeper + ' ' + provider, timeMicros);
        }
    }

    /** A gatekeeper has crashed; its successor of the same name has received no provider status yet. */
    public void onGatekeeperRestarted(long timeMicros, String gatekeeper) {
        transcript.appendEvent(timeMicros, "restarted %s", gatekeeper);
        notReadySince.keySet().removeIf(key -> key.startsWith(gatekeeper + ' '));
    }

    /** A provider has started; {@code capacity} is its capacity once warm, in microseconds of work per second. */
    public void onProviderStarted(
            long timeMicros, String provider, double capacity, double coldCapacityShare, long warmUpTime) {
        transcript.appendEvent(timeMicros, "started %s %s %s %d", provider, capacity, coldCapacityShare, warmUpTime);
        coldLoad.onStarted(timeMicros, provider, capacity, coldCapacityShare, warmUpTime);
    }

    /** A request was forwarded from one region to another; it counts whether or not it arrives there. */
    public void onForwarded(long timeMicros, String from, String id, double units) {
        transcript.appendEvent(timeMicros, "crossed %s %s %s", from, id, units);
        CheckedRequest request = requests.get(id);
        log.countCheck(HistoryRule.AWAY);
        if (++request.forwards > 1) {
            log.add(HistoryRule.AWAY, timeMicros, id + " travels twice");
        }
        if (!request.group.equals(from)) {
            log.add(HistoryRule.AWAY, timeMicros, id + " of " + request.group + " is forwarded by " + from);
        }
        forwarding.onForwarded(timeMicros, from, units);
    }

    // ---- Results -----------------------------------------------------------------------------------
    /** Runs the checks that need the whole history, such as unanswered requests, and returns all violations. */
    public List<Violation> violations(long timeMicros, Map<String, ForwardingBudget> budgets) {
        requests.forEach((id, request) -> {
            if (request.answer == null
                    && !request.excused
                    && request.deadline + parameters.deadlineSlack < timeMicros) {
                log.add(HistoryRule.ANSWER, timeMicros, id + " is never answered");
            }
        });
        budgets.forEach((group, budget) -> forwarding.check(timeMicros, group, budget));
        return log.violations();
    }

    /** Returns how many events were checked against each rule; rules that were never checked are absent. */
    public Map<HistoryRule, Integer> checks() {
        return log.checks();
    }
}
