package reedmux.simulation.region;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import reedmux.gatekeeper.reducer.FinalAnswer;
import reedmux.simulation.invariants.HistoryChecker;
import reedmux.simulation.invariants.HistoryChecker.AnswerKind;

/**
 * Is notified of all that happens to requests, passes it on to the checker of rules, and counts how regions are served.
 * It knows nothing of how the gatekeepers decide. Times are in microseconds.
 */
public final class RequestLedger {
    /** By how much an answer may come after the deadline. */
    static final long DEADLINE_SLACK_MICROS = 8_000;
    /** Longest time for a count to cross a heap of a few gatekeepers, with a lost packet on the way. */
    private static final long COUNT_PROPAGATION_MICROS = 2_000_000;

    /** One request. */
    private static final class LedgerRequest {
        final String home;
        final boolean repeatable;
        final long acceptedAt;
        final long latencyTarget;
        FinalAnswer answer;
        long answeredAt;
        int executions;
        boolean forwarded;

        LedgerRequest(String home, boolean repeatable, long takenAt, long aim) {
            this.home = home;
            this.repeatable = repeatable;
            this.acceptedAt = takenAt;
            this.latencyTarget = aim;
        }
    }

    /** One forward of a request. */
    private record RegionCrossing(long at, double units) {}

    private final VirtualTimeline time;
    private final Map<String, LedgerRequest> entries = new HashMap<>();
    private final Map<String, List<RegionCrossing>> crossings = new TreeMap<>();
    final HistoryChecker rules;
    private long duplicateRuns;

    /** A ledger for groups of so many gatekeepers at most. */
    RequestLedger(VirtualTimeline time, int gatekeepers) {
        this.time = time;
        rules = new HistoryChecker(new HistoryChecker.RuleParameters(
                DEADLINE_SLACK_MICROS,
                250_000,
                4,
                1_000_000,
                150_000,
                4,
                true,
                new HistoryChecker.QuotaTolerance(gatekeepers - 1, gatekeepers * COUNT_PROPAGATION_MICROS)));
    }

    /** A gatekeeper of a region has accepted a consumer's request. */
    void onAccepted(
            String region,
            String keeper,
            String id,
            boolean repeatable,
            HistoryChecker.PlanLimits plan,
            long customer,
            double units,
            long deadline,
            long aim) {
        entries.put(id, new LedgerRequest(region, repeatable, time.now(), aim));
        rules.onAccepted(time.now(), region, keeper, id, repeatable, plan, customer, units, deadline);
    }

    /** The gatekeeper that owes this answer has died, or its consumer has left. */
    void onExcused(String id) {
        rules.onExcused(time.now(), id);
    }

    void onAnswered(String id, FinalAnswer answer) {
        LedgerRequest entry = entries.get(id);
        entry.answer = answer;
        entry.answeredAt = time.now();
        rules.onAnswered(
                time.now(),
                id,
                answer instanceof FinalAnswer.Served
                        ? AnswerKind.SERVED
                        : answer instanceof FinalAnswer.Rejected ? AnswerKind.REFUSED : AnswerKind.FAILED);
    }

    /** A provider has begun to run it. */
    void onExecuted(String id) {
        LedgerRequest entry = entries.get(id);
        duplicateRuns += ++entry.executions > 1 && !entry.repeatable ? 1 : 0;
        rules.onExecuted(time.now(), id);
    }

    /** It was forwarded from one region to another, whether or not it arrives. */
    void onForwarded(String from, String id, double units) {
        entries.get(id).forwarded = true;
        rules.onForwarded(time.now(), from, id, units);
        crossings.computeIfAbsent(from, region -> new ArrayList<>()).add(new RegionCrossing(time.now(), units));
    }

    /** Checks what only the end shows; returns all violations. */
    List<String> violations(Map<String, HistoryChecker.ForwardingBudget> budgets) {
        return rules.violations(time.now(), budgets).stream()
                .map(HistoryChecker.Violation::toString)
                .toList();
    }

    /** What became of one region's requests. */
    public record RegionService(
            int accepted, int inTime, int served, int rejected, int failed, int forwarded, double maxUnitsPerSecond) {
        /** The share that was served within the latency target. */
        double share() {
            return accepted == 0 ? 0 : (double) inTime / accepted;
        }
    }

    /** Counts a region's requests that were accepted from a time on. */
    RegionService service(String region, long from) {
        int[] n = new int[6];
        for (LedgerRequest entry : entries.values()) {
            if (!entry.home.equals(region) || entry.acceptedAt < from) {
                continue;
            }
            n[0]++;
            boolean served = entry.answer instanceof FinalAnswer.Served;
            n[1] += served && entry.answeredAt - entry.acceptedAt <= entry.latencyTarget ? 1 : 0;
            n[2] += served ? 1 : 0;
            n[3] += entry.answer instanceof FinalAnswer.Rejected ? 1 : 0;
            n[4] += entry.answer instanceof FinalAnswer.Failed ? 1 : 0;
            n[5] += entry.forwarded ? 1 : 0;
        }
        List<RegionCrossing> sent = crossings.getOrDefault(region, List.of());
        double most = 0;
        double units = 0;
        for (int to = 0, first = 0; to < sent.size(); to++) {
            units += sent.get(to).units();
            for (; sent.get(to).at() - sent.get(first).at() >= 1_000_000; first++) {
                units -= sent.get(first).units();
            }
            most = Math.max(most, units);
        }
        return new RegionService(n[0], n[1], n[2], n[3], n[4], n[5], most);
    }

    /** Units of a region's requests that were forwarded. */
    double unitsForwarded(String region) {
        return crossings.getOrDefault(region, List.of()).stream()
                .mapToDouble(RegionCrossing::units)
                .sum();
    }

    /** When requests of a region were forwarded. */
    List<Long> forwardTimes(String region) {
        return crossings.getOrDefault(region, List.of()).stream()
                .map(RegionCrossing::at)
                .toList();
    }

    /** Requests that must not run twice. */
    long unsafeRequests() {
        return entries.values().stream().filter(entry -> !entry.repeatable).count();
    }

    long duplicateRuns() {
        return duplicateRuns;
    }
}
