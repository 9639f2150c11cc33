package reedmux.simulation.cluster;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The invariants of requests and of the checkers that execute them: rules UNASKED, ROUTE, TWICE, REFUSED, MIXED, LOST,
 * DRAIN, QUOTA, BUDGET and, for drains, ACKS. Times are microseconds.
 */
final class RequestInvariants {
    private static final long SECOND = 1_000_000;
    /** How long after the acknowledgement of a drain requests may still reach the checker. */
    private static final long DRAIN_LIMIT_MICROS = 2 * SECOND;

    /** A drain that stays unacknowledged while the core is settled for this long counts as unacknowledged. */
    private static final long ACKNOWLEDGEMENT_LIMIT_MICROS = 4 * SECOND;

    private static final long RETRY_WINDOW_SECONDS = 10;
    /** Permitted retries per first attempt, as in the envelope settings of {@link Deployment}. */
    private static final double RETRY_RATIO = 0.2;
    /** Retries permitted in a window on top of the ratio, as in the envelope settings of {@link Deployment}. */
    private static final double RETRY_SLACK = 56;
    /** Fewer unacknowledged drains than this are no violation. */
    private static final int MIN_UNACKNOWLEDGED_DRAINS = 3;
    /** No more than one unacknowledged drain in this many drains is no violation. */
    private static final int UNACKNOWLEDGED_DRAIN_SHARE = 5;

    private static final int MICROS_PER_MILLI = 1000;

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
        /** Why the connection ended without a response, if no fault excuses that; otherwise null. */
        private String lostBy;

        private ObservedRequest(
                long sentAt, String proxy, boolean idempotent, String tenant, String service, String route) {
            this.sentAt = sentAt;
            this.route = route;
            this.proxy = proxy;
            this.idempotent = idempotent;
            this.tenant = tenant;
            this.service = service;
        }
    }

    /** First attempts and retries of a service within one second. */
    private static final class AttemptCounts {
        private static final AttemptCounts NONE = new AttemptCounts();
        private int first;
        private int retries;
    }

    private final FaultSchedule faults;
    private final ViolationLog log;
    private final ConfigurationInvariants configuration;
    private final DepartureInvariants departures;
    private final Map<String, ObservedRequest> requests = new LinkedHashMap<>();
    private final Map<String, Long> drainAcknowledgedAt = new HashMap<>();
    private final QuotaInvariants quotas = new QuotaInvariants();
    /** Attempt counts by service and second. */
    private final Map<String, Map<Long, AttemptCounts>> attempts = new HashMap<>();

    private int drains;
    private int unacknowledgedDrains;
    private long servedCount;
    private long requestCount;

    RequestInvariants(FaultSchedule faults, ViolationLog log, ConfigurationInvariants configuration) {
        this.faults = faults;
        this.log = log;
        this.configuration = configuration;
        departures = new DepartureInvariants(faults, log);
    }

    /** Returns the invariants of requests whose client disconnected. */
    DepartureInvariants departures() {
        return departures;
    }

    /** Records that a client disconnects before it has received a response. */
    void onClientLeft(String id, long now) {
        ObservedRequest request = requests.get(id);
        departures.onClientLeft(id, request.proxy, request.idempotent, now);
    }

    long servedCount() {
        return servedCount;
    }

    long requestCount() {
        return requestCount;
    }

    /** Returns the invariants of the quotas of tenants. */
    QuotaInvariants quotas() {
        return quotas;
    }

    /** Records that a client sends a request; {@code service} is null for a probe. */
    void onRequestSent(
            String id, String proxy, boolean idempotent, String tenant, String service, String route, long now) {
        requests.put(id, new ObservedRequest(now, proxy, idempotent, tenant, service, route));
        if (service != null) {
            requestCount++;
            attempts(service, now).first++;
        }
    }

    private AttemptCounts attempts(String service, long now) {
        return attempts.computeIfAbsent(service, name -> new HashMap<>())
                .computeIfAbsent(now / SECOND, second -> new AttemptCounts());
    }

    /** Records that a request arrives at the checker it is addressed to. */
    void onRequestArrived(String id, String service, long now) {
        departures.onArrived(id, service, now);
        ObservedRequest request = requests.get(id);
        if (request != null && request.service != null && ++request.arrivals > 1) {
            attempts(service, now).retries++;
        }
    }

    /** Checks the start of an execution of a request by a checker. */
    void onRequestExecuted(String id, String checker, String service, String tenant, long now) {
        ObservedRequest request = requests.get(id);
        if (request == null) {
            log.report("UNASKED", checker + " executes " + id + ", which no client sent");
            return;
        }
        request.executedBy.add(checker);
        departures.onExecutionBegun(id, checker);
        reportIfExecutedAndClosed(id, request);
        if (configuration.isNeverRoutedTo(request.route, service)) {
            log.report(
                    "ROUTE", id + " is executed by " + service + ", which no version of " + request.route + " targets");
        }
        if (!request.idempotent && request.executedBy.size() > 1) {
            log.report("TWICE", id + " is not idempotent and was executed by " + request.executedBy);
        }
        if (!request.idempotent && guaranteesNotExecuted(request.status)) {
            log.report("REFUSED", id + " is executed after the response " + request.status);
        }
        if (request.tenant != null && !request.tenant.equals(tenant)) {
            log.report("UNASKED", id + " belongs to " + request.tenant + " and is executed for " + tenant);
        }
        checkDrain(id, checker, request.proxy, now);
        if (tenant != null) {
            quotas.onExecuted(tenant, id, now);
        }
    }

    boolean hasExecuted(String id) {
        ObservedRequest request = requests.get(id);
        return request != null && !request.executedBy.isEmpty();
    }

    private void checkDrain(String id, String checker, String proxy, long now) {
        Long drainedAt = drainAcknowledgedAt.get(checker);
        if (drainedAt != null
                && now > drainedAt + DRAIN_LIMIT_MICROS
                && faults.isInContact(proxy, now, now)
                && faults.isCoreSettled(now, now)) {
            log.report(
                    "DRAIN",
                    id + " arrives at " + checker + " " + (now - drainedAt) / MICROS_PER_MILLI
                            + " ms after its drain was acknowledged");
        }
    }

    private static boolean guaranteesNotExecuted(int status) {
        return status == 429 || status == 503 || status == 408 || status == 421;
    }

    /** Checks a response; {@code sealedBy} is the checker whose complete response this is, or null. */
    void onResponse(String id, int status, String sealedBy, long now) {
        ObservedRequest request = requests.get(id);
        request.status = status;
        if (!request.idempotent && guaranteesNotExecuted(status) && !request.executedBy.isEmpty()) {
            log.report("REFUSED", id + " receives " + status + " but was executed by " + request.executedBy);
        }
        if (status >= 200 && status < 300) {
            if (!request.executedBy.contains(sealedBy)) {
                log.report(
                        "MIXED",
                        id + " receives the response of " + sealedBy + " but was executed by " + request.executedBy);
            }
            servedCount += request.service == null ? 0 : 1;
        }
    }

    /**
     * Checks a request without a response.
     *
     * @param cutOff  whether the connection was closed; otherwise the request timed out
     * @param planned whether the proxy was shutting down
     */
    void onConnectionLost(String id, boolean cutOff, boolean planned, long now) {
        ObservedRequest request = requests.get(id);
        if (cutOff
                && planned
                && faults.isInContact(request.proxy, request.sentAt, now)
                && faults.isCoreSettled(request.sentAt, now)) {
            log.report("LOST", id + " ends without a response while " + request.proxy + " shuts down gracefully");
        }
    }

    /**
     * Handles a proxy that closes a connection without a response. Unless a fault excuses that, the request must not
     * be executed by a checker, neither before the close nor after it.
     */
    void onServerClosed(String id, boolean excused, String reason) {
        ObservedRequest request = requests.get(id);
        if (!excused) {
            request.lostBy = reason;
            reportIfExecutedAndClosed(id, request);
        }
    }

    private void reportIfExecutedAndClosed(String id, ObservedRequest request) {
        if (request.lostBy != null && !request.executedBy.isEmpty()) {
            log.report(
                    "LOST",
                    id + " was executed by " + request.executedBy + ", and " + request.proxy + " sent no response: "
                            + request.lostBy);
        }
    }

    /** Records that a control machine acknowledges the drain of a checker; ignored if that machine had a fault. */
    void onDrainAcknowledged(String checker, String acknowledger, long now) {
        if (!faults.isInContact(acknowledger, now, now)) {
            return;
        }
        drains += drainAcknowledgedAt.putIfAbsent(checker, now) == null ? 1 : 0;
    }

    /** Records that a drain announced since {@code announcedAt} remains unacknowledged. */
    void onDrainUnacknowledged(long announcedAt, long now) {
        if (faults.longestSettledMicros(announcedAt, now) >= ACKNOWLEDGEMENT_LIMIT_MICROS) {
            drains++;
            unacknowledgedDrains++;
        }
    }

    /** Checks the rules that apply to time windows and to all drains together; call after the last event. */
    void checkWindows() {
        if (unacknowledgedDrains >= MIN_UNACKNOWLEDGED_DRAINS
                && unacknowledgedDrains * UNACKNOWLEDGED_DRAIN_SHARE > drains) {
            log.report("ACKS", unacknowledgedDrains + " of " + drains + " drains were not acknowledged");
        }
        checkQuotas();
        attempts.forEach(this::checkRetryBudget);
    }

    /** Reports the tenants that exceeded their quota; call after the last event. */
    void checkQuotas() {
        quotas.violations().forEach(violation -> log.report("QUOTA", violation));
    }

    /**
     * Checks that the retries in each window stay within the retry ratio of the first attempts. The first attempts are
     * counted in the same window, the one before it or one halfway between them, whichever has most, because a retry
     * may fall into the window after its first attempt.
     */
    private void checkRetryBudget(String service, Map<Long, AttemptCounts> seconds) {
        Set<Long> ends = new HashSet<>(seconds.keySet());
        for (long end : ends) {
            long start = end - RETRY_WINDOW_SECONDS;
            long middle = RETRY_WINDOW_SECONDS / 2;
            int retries = 0;
            for (long second = start + 1; second <= end; second++) {
                retries += seconds.getOrDefault(second, AttemptCounts.NONE).retries;
            }
            int first = Math.max(
                    firstAttempts(seconds, start, end),
                    Math.max(
                            firstAttempts(seconds, start - RETRY_WINDOW_SECONDS, start),
                            firstAttempts(seconds, start - middle, end - middle)));
            double allowed = RETRY_RATIO * first + RETRY_SLACK;
            if (retries > allowed) {
                log.report("BUDGET", retries + " retries at " + service + ", " + (long) allowed + " allowed");
                return;
            }
        }
    }

    /** Counts the first attempts in the seconds {@code after} (exclusive) to {@code upTo} (inclusive). */
    private static int firstAttempts(Map<Long, AttemptCounts> seconds, long after, long upTo) {
        int count = 0;
        for (long second = after + 1; second <= upTo; second++) {
            count += seconds.getOrDefault(second, AttemptCounts.NONE).first;
        }
        return count;
    }
}
