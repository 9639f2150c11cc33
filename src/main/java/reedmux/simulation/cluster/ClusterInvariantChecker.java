package reedmux.simulation.cluster;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Predicate;
import reedmux.control.configuration.ConfigurationChangeFormat;
import reedmux.control.configuration.ConfigurationItem;
import reedmux.control.configuration.ConfigurationTable;
import reedmux.control.configuration.InvalidConfigurationException;

/**
 * The rules, judged by what clients, checkers and the operator have seen. It knows nothing of the inside of
 * a process. Times are microseconds; pure.
 */
final class ClusterInvariantChecker {
    private static final long SECOND = 1_000_000;
    private static final long PROPAGATION_LIMIT_MICROS = 2 * SECOND;
    private static final long FAULT_ALLOWANCE_MICROS = 5 * SECOND;
    private static final long REVERT_TOLERANCE_MICROS = SECOND / 4;
    private static final long CONTACT_MICROS = 3 * SECOND;
    private static final long DRAIN_LIMIT_MICROS = 2 * SECOND;
    private static final long ACKNOWLEDGEMENT_LIMIT_MICROS = 4 * SECOND;
    private static final long QUOTA_WINDOW_MICROS = 5 * SECOND;
    private static final double QUOTA_OVERSHOOT = 1.1;
    private static final double QUOTA_SLACK = 20;
    private static final long RETRY_WINDOW_MICROS = 10 * SECOND;
    private static final double RETRY_RATIO = 0.2;
    private static final double RETRY_SLACK = 56;
    private static final int MAX_VIOLATIONS = 40;
    private static final int MIN_UNACKNOWLEDGED_DRAINS = 3;
    private static final int UNACKNOWLEDGED_DRAIN_SHARE = 5;

    /** What a version of an item lets be seen: a service, a sign that a key is known, or nothing. */
    static final String NO_EFFECT = "none";

    /** What is right to do with a call of the operator. */
    enum ExpectedDecision {
        ACCEPT,
        REJECT,
        /** Of two that are sent at once and cannot stand together, either may be refused. */
        EITHER
    }

    private static final class ObservedVersion {
        private final ConfigurationItem item;
        private final String effect;
        private final long sentAt;
        private long acknowledgedAt = -1;
        private boolean rejected;

        private ObservedVersion(ConfigurationItem item, String shows, long sentAt) {
            this.item = item;
            this.effect = shows;
            this.sentAt = sentAt;
        }
    }

    private static final class ObservedRequest {
        private final long sentAt;
        private final String proxy;
        private final boolean idempotent;
        private final String tenant;
        private final String service;
        private final String route;
        private final List<String> executedBy = new ArrayList<>();
        private int arrivals;
        private int status = -1;

        private ObservedRequest(
                long at, String proxy, boolean repeatable, String tenant, String service, String route) {
            this.sentAt = at;
            this.route = route;
            this.proxy = proxy;
            this.idempotent = repeatable;
            this.tenant = tenant;
            this.service = service;
        }
    }

    private final List<String> violations = new ArrayList<>();
    private final Map<String, TreeMap<ConfigurationItem, ObservedVersion>> versions = new LinkedHashMap<>();
    private final Map<String, ObservedRequest> requests = new LinkedHashMap<>();
    private final Map<String, Long> drainAcknowledgedAt = new HashMap<>();
    private final Map<String, Deque<Long>> executionTimes = new HashMap<>();
    /** Of tenants beyond their quota, the most that ran in one window. */
    private final Map<String, Integer> quotaPeaks = new LinkedHashMap<>();

    private final Map<String, Map<Long, int[]>> retryCounts = new HashMap<>();
    private final Map<String, Long> observedFloors = new HashMap<>();
    private final Map<String, List<long[]>> machineFaults = new HashMap<>();
    private final List<long[]> coreFaults = new ArrayList<>();
    private final List<long[]> majorityFaults = new ArrayList<>();
    private final Map<String, List<long[]>> minorities = new HashMap<>();
    private int drains;
    private int unacknowledgedDrains;
    private double rate;
    private double burst;
    private long servedCount;
    private long requestCount;

    List<String> violations() {
        return violations;
    }

    long servedCount() {
        return servedCount;
    }

    long requestCount() {
        return requestCount;
    }

    private void report(String rule, String what) {
        String line = rule + ": " + what;
        if (violations.size() < MAX_VIOLATIONS && !violations.contains(line)) {
            violations.add(line);
        }
    }

    void setQuota(double flow, double most) {
        rate = flow;
        burst = most;
    }

    // ---- Troubles that the day brought about -------------------------------------------------------
    /** A machine was in trouble from one time to another. */
    void addMachineFault(String machine, long from, long to) {
        machineFaults.computeIfAbsent(machine, name -> new ArrayList<>()).add(new long[] {from, to});
    }

    /**
     * Something was done to the core, and undone by {@code to}; {@code half}: not even half of it ran,
     * connected. Else it is settled in between, {@code contactMs} after the first.
     */
    void addCoreFault(long from, long to, boolean half) {
        if (half) {
            majorityFaults.add(new long[] {from, to});
            coreFaults.add(new long[] {from, to});
        } else {
            coreFaults.add(new long[] {from, from});
            coreFaults.add(new long[] {Math.max(from, to - SECOND), to});
        }
    }

    private static boolean overlapsAny(List<long[]> spans, long from, long to) {
        return spans != null && spans.stream().anyMatch(span -> span[0] <= to && from <= span[1]);
    }

    private boolean isInContact(String machine, long from, long to) {
        return !overlapsAny(machineFaults.get(machine), from - CONTACT_MICROS, to);
    }

    private boolean isCoreSettled(long from, long to) {
        return !overlapsAny(coreFaults, from - CONTACT_MICROS, to);
    }

    // ---- The configuration -------------------------------------------------------------------------
    /** A version was sent for the first time; {@code shows}: what requests under it come to. */
    void onVersionSent(ConfigurationItem item, String shows, long now) {
        versions.computeIfAbsent(item.key(), key -> {
                    TreeMap<ConfigurationItem, ObservedVersion> all = new TreeMap<>();
                    ConfigurationItem none = new ConfigurationItem(item.kind(), item.name(), 0, "");
                    all.put(none, new ObservedVersion(none, NO_EFFECT, 0));
                    return all;
                })
                .putIfAbsent(item, new ObservedVersion(item, shows, now));
    }

    private ObservedVersion version(ConfigurationItem item) {
        return versions.get(item.key()).get(item);
    }

    /**
     * A call was acknowledged, also where the answer was lost on its way; the operator had waited for it
     * since {@code sentAt}.
     */
    void onChangeAcknowledged(List<ConfigurationItem> items, ExpectedDecision proper, long sentAt, long now) {
        for (ConfigurationItem item : items) {
            ObservedVersion version = version(item);
            if (proper == ExpectedDecision.REJECT) {
                report("CONFIG", "an invalid call is acknowledged: " + item);
            } else if (version.acknowledgedAt < 0) {
                version.acknowledgedAt = now;
                for (ObservedVersion other : versions.get(item.key()).values()) {
                    if (other != version && other.acknowledgedAt >= 0 && other.item.revision() == item.revision()) {
                        report(
                                "CONFIG",
                                "two contents are acknowledged under one number: " + item + " and " + other.item);
                    }
                }
            }
        }
        checkWait(items, proper, sentAt, now);
    }

    /** A call was refused, or given up by the operator. */
    void onChangeRejected(
            List<ConfigurationItem> items, ExpectedDecision proper, boolean clear, long sentAt, long now) {
        if (clear) {
            if (!items.isEmpty() && items.stream().allMatch(item -> version(item).acknowledgedAt >= 0)) {
                report("CONFIG", "a change that was acknowledged is sent again and refused: " + items);
            } else if (proper == ExpectedDecision.ACCEPT) {
                report("DUTY", "a valid change is refused: " + items);
            }
            items.forEach(item -> version(item).rejected = true);
        } else {
            checkWait(items, proper, sentAt, now);
        }
    }

    private void checkWait(List<ConfigurationItem> items, ExpectedDecision proper, long sentAt, long now) {
        if (proper == ExpectedDecision.ACCEPT && longestSettledMicros(sentAt, now) >= ACKNOWLEDGEMENT_LIMIT_MICROS) {
            report("ACKS", "a valid change has no acknowledgement after " + (now - sentAt) / 1000 + " ms: " + items);
        }
    }

    /** The longest time within a span in which the core was settled. */
    private long longestSettledMicros(long from, long to) {
        long longest = 0;
        long begin = from;
        List<long[]> spans = new ArrayList<>(coreFaults);
        spans.sort((one, other) -> Long.compare(one[0], other[0]));
        for (long[] span : spans) {
            longest = Math.max(longest, Math.min(to, span[0]) - begin);
            begin = Math.max(begin, span[1] + CONTACT_MICROS);
        }
        return Math.max(longest, to - begin);
    }

    /** A process that was started out of reach of more than half of the core. */
    void addMinoritySpan(String machine, long from, long to) {
        minorities.computeIfAbsent(machine, name -> new ArrayList<>()).add(new long[] {from, to});
    }

    /** A process that began at {@code bornAt} was asked and says that it is ready. */
    void onReady(String machine, long bornAt, long now) {
        for (long[] span : minorities.getOrDefault(machine, List.of())) {
            if (span[0] <= bornAt && now <= span[1]) {
                report(
                        "CONTACT",
                        machine + " is ready " + (now - bornAt) / 1000 + " ms after a start on the word of a minority");
                return;
            }
        }
    }

    /** A process has ended, or does not start, and nobody has told it to. */
    void onUnexpectedExit(String process) {
        report("FAULT", process + " ends by itself");
    }

    /** What a request sent to one proxy has shown of an item; {@code fits}: the versions that show it. */
    void onEffectObserved(
            String proxy, String life, String key, String shows, Predicate<String> fits, long sentAt, long now) {
        TreeMap<ConfigurationItem, ObservedVersion> all = versions.get(key);
        if (all == null || !isInContact(proxy, sentAt, now)) {
            return;
        }
        long bound = PROPAGATION_LIMIT_MICROS
                + (isCoreSettled(sentAt - PROPAGATION_LIMIT_MICROS, now) ? 0 : FAULT_ALLOWANCE_MICROS);
        long must = 0;
        for (ObservedVersion version : all.values()) {
            if (version.acknowledgedAt >= 0 && version.acknowledgedAt + bound < sentAt) {
                must = version.item.revision();
            }
        }
        long least = -1;
        long most = -1;
        for (ObservedVersion version : all.values()) {
            if (fits.test(version.effect)
                    && version.sentAt <= now
                    && !version.rejected
                    && !isSuperseded(version, all)) {
                least = least < 0 ? version.item.revision() : least;
                most = version.item.revision();
            }
        }
        boolean half = overlapsAny(majorityFaults, sentAt - PROPAGATION_LIMIT_MICROS - FAULT_ALLOWANCE_MICROS, now);
        if (most < 0) {
            report("CONFIG", proxy + " handles " + key + " as no version allows: " + shows);
        } else if (most < must && !half) {
            report(
                    "CONFIG",
                    proxy + " shows " + shows + " of " + key + ", which only " + most + " allows; " + must
                            + " was acknowledged long before");
        }
        String floor = life + ' ' + key;
        long[] seen = {observedFloors.getOrDefault(floor, -1L), observedFloors.getOrDefault(floor + " at", 0L)};
        if (most >= 0 && most < seen[0] && sentAt > seen[1] + REVERT_TOLERANCE_MICROS) {
            report("CONFIG", life + " goes back from " + seen[0] + " to " + most + " of " + key);
        }
        if (least > seen[0]) {
            observedFloors.put(floor, least);
            observedFloors.put(floor + " at", now);
        }
    }

    /** Another content was acknowledged under its number. */
    private static boolean isSuperseded(ObservedVersion version, Map<ConfigurationItem, ObservedVersion> all) {
        return version.acknowledgedAt < 0
                && all.values().stream()
                        .anyMatch(
                                other -> other.acknowledgedAt >= 0 && other.item.revision() == version.item.revision());
    }

    /** What the operator reads back at the end; null: no answer at all. */
    void checkFinalRead(String text, String rule, long sentAt) {
        if (text == null) {
            report(rule, "no answer to the operator who reads back");
        } else {
            checkRead(text, rule, sentAt);
        }
    }

    /** What a machine has answered in the midst of the day to a read that was sent at {@code sentAt}. */
    void checkRead(String text, long sentAt) {
        checkRead(text, "CONFIG", sentAt);
    }

    private void checkRead(String text, String rule, long sentAt) {
        Map<String, ConfigurationItem> found = new HashMap<>();
        try {
            List<ConfigurationItem> items = ConfigurationChangeFormat.parse("{\"apply\":" + text + "}");
            items.forEach(item -> found.put(item.key(), item));
            ConfigurationTable.of(items);
        } catch (InvalidConfigurationException e) {
            report("CONFIG", "what is in force is invalid: " + e.getMessage());
        }
        versions.forEach((key, all) -> {
            ConfigurationItem acked = null;
            for (ObservedVersion version : all.values()) {
                acked = version.acknowledgedAt >= 0 && version.acknowledgedAt <= sentAt ? version.item : acked;
            }
            ConfigurationItem has = found.remove(key);
            ObservedVersion told = has == null ? null : all.get(has);
            boolean droppedLater = false;
            for (ObservedVersion version : all.values()) {
                droppedLater |= acked != null
                        && version.item.revision() >= acked.revision()
                        && version.item.isDeleted()
                        && !version.rejected;
            }
            if (acked != null
                    && (has == null
                            ? !droppedLater
                            : has.revision() < acked.revision()
                                    || has.revision() == acked.revision() && !has.equals(acked))) {
                report(
                        rule,
                        key + " was acknowledged with " + acked.revision() + " and reads "
                                + (has == null ? "missing" : has.revision()));
            } else if (has != null && (told == null || told.rejected || !told.item.equals(has))) {
                report("CONFIG", key + " reads as nobody sent it, or as it was refused: " + has);
            }
        });
        found.forEach((key, item) -> report("CONFIG", key + " was never sent"));
    }

    // ---- Requests ----------------------------------------------------------------------------------
    /** {@code service}: that it is a request for, or null where it is only a probe. */
    void onRequestSent(
            String id, String proxy, boolean repeatable, String tenant, String service, String route, long now) {
        requests.put(id, new ObservedRequest(now, proxy, repeatable, tenant, service, route));
        if (service != null) {
            requestCount++;
            retryCount(service, now)[0]++;
        }
    }

    private int[] retryCount(String service, long now) {
        return retryCounts
                .computeIfAbsent(service, name -> new HashMap<>())
                .computeIfAbsent(now / SECOND, second -> new int[2]);
    }

    /** A request has reached a checker that did not turn it away for being another. */
    void onRequestArrived(String id, String service, long now) {
        ObservedRequest request = requests.get(id);
        if (request != null && request.service != null && ++request.arrivals > 1) {
            retryCount(service, now)[1]++;
        }
    }

    /** A checker begins to work on a request. */
    void onRequestExecuted(String id, String checker, String service, String tenant, long now) {
        ObservedRequest request = requests.get(id);
        if (request == null) {
            report("UNASKED", checker + " runs " + id + ", which nobody sent");
            return;
        }
        request.executedBy.add(checker);
        if (versions.containsKey(request.route)
                && versions.get(request.route).values().stream().noneMatch(version -> version.effect.equals(service))) {
            report("ROUTE", id + " runs at " + service + ", where no version of " + request.route + " leads");
        }
        if (!request.idempotent && request.executedBy.size() > 1) {
            report("TWICE", id + " is run by " + request.executedBy);
        }
        if (!request.idempotent && guaranteesNotExecuted(request.status)) {
            report("REFUSED", id + " is run after " + request.status);
        }
        if (request.tenant != null && !request.tenant.equals(tenant)) {
            report("UNASKED", id + " is of " + request.tenant + " and runs for " + tenant);
        }
        Long drainedAt = drainAcknowledgedAt.get(checker);
        if (drainedAt != null
                && now > drainedAt + DRAIN_LIMIT_MICROS
                && isInContact(request.proxy, now, now)
                && isCoreSettled(now, now)) {
            report(
                    "DRAIN",
                    id + " reaches " + checker + " " + (now - drainedAt) / 1000
                            + " ms after its drain was acknowledged");
        }
        if (tenant != null && rate > 0) {
            Deque<Long> times = executionTimes.computeIfAbsent(tenant, name -> new ArrayDeque<>());
            times.add(now);
            while (times.peek() < now - QUOTA_WINDOW_MICROS) {
                times.poll();
            }
            double most = (rate * QUOTA_WINDOW_MICROS / SECOND + burst) * QUOTA_OVERSHOOT + QUOTA_SLACK;
            if (times.size() > most && times.size() > quotaPeaks.getOrDefault(tenant, 0)) {
                quotaPeaks.put(tenant, times.size());
            }
        }
    }

    private static boolean guaranteesNotExecuted(int status) {
        return status == 429 || status == 503 || status == 408 || status == 421;
    }

    /** {@code sealedBy}: the checker whose whole answer it is, or null. */
    void onResponse(String id, int status, String sealedBy, long now) {
        ObservedRequest request = requests.get(id);
        request.status = status;
        if (!request.idempotent && guaranteesNotExecuted(status) && !request.executedBy.isEmpty()) {
            report("REFUSED", id + " gets " + status + " and has run at " + request.executedBy);
        }
        if (status >= 200 && status < 300) {
            if (!request.executedBy.contains(sealedBy)) {
                report("MIXED", id + " is answered with what " + sealedBy + " said, and ran at " + request.executedBy);
            }
            servedCount += request.service == null ? 0 : 1;
        }
    }

    /** A request's connection ended before a whole answer, or nothing came in time. */
    void onConnectionLost(String id, boolean cutOff, boolean planned, long now) {
        ObservedRequest request = requests.get(id);
        if (cutOff
                && planned
                && isInContact(request.proxy, request.sentAt, now)
                && isCoreSettled(request.sentAt, now)) {
            report("LOST", id + " ends without an answer while " + request.proxy + " leaves in order");
        }
    }

    /** A checker's word that it leaves was acknowledged, or was not within its patience. */
    void onDrainAcknowledged(String checker, String by, long now) {
        if (!isInContact(by, now, now)) {
            return;
        }
        drains += drainAcknowledgedAt.putIfAbsent(checker, now) == null ? 1 : 0;
    }

    /** A checker has said since {@code saidAt} that it leaves, and nobody has acknowledged it. */
    void onDrainUnacknowledged(long saidAt, long now) {
        if (longestSettledMicros(saidAt, now) >= ACKNOWLEDGEMENT_LIMIT_MICROS) {
            drains++;
            unacknowledgedDrains++;
        }
    }

    /** After the last event: the windows that are judged as a whole. */
    void checkWindows() {
        if (unacknowledgedDrains >= MIN_UNACKNOWLEDGED_DRAINS
                && unacknowledgedDrains * UNACKNOWLEDGED_DRAIN_SHARE > drains) {
            report("ACKS", unacknowledgedDrains + " of " + drains + " checkers that leave were not acknowledged");
        }
        quotaPeaks.forEach((tenant, most) -> report(
                "QUOTA",
                most + " of " + tenant + " in 5 s, "
                        + (long) ((rate * QUOTA_WINDOW_MICROS / SECOND + burst) * QUOTA_OVERSHOOT + QUOTA_SLACK)
                        + " allowed"));
        retryCounts.forEach((service, seconds) -> {
            Set<Long> ends = new HashSet<>(seconds.keySet());
            long window = RETRY_WINDOW_MICROS / SECOND;
            for (long end : ends) {
                int further = 0;
                int[] first = new int[3];
                for (long second = end - 2 * window + 1; second <= end; second++) {
                    int[] here = seconds.getOrDefault(second, new int[2]);
                    further += second > end - window ? here[1] : 0;
                    first[0] += second > end - window ? here[0] : 0;
                    first[1] += second <= end - window ? here[0] : 0;
                    first[2] += second > end - window - window / 2 && second <= end - window / 2 ? here[0] : 0;
                }
                double most = RETRY_RATIO * Math.max(first[0], Math.max(first[1], first[2])) + RETRY_SLACK;
                if (further > most) {
                    report("BUDGET", further + " further tries at " + service + ", " + (long) most + " allowed");
                    return;
                }
            }
        });
    }

    /** Of those sent after a closing fault and the time to recover from it. */
    void checkRecovery(long askedThen, long servedThen) {
        if (askedThen > 20 && servedThen * 4 < askedThen) {
            report("RECOVER", servedThen + " of " + askedThen + " are served after the closing fault");
        }
    }
}
