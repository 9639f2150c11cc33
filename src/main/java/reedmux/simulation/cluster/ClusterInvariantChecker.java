package reedmux.simulation.cluster;

import java.util.Collection;
import java.util.List;
import java.util.function.Predicate;
import reedmux.common.http1.Http1Head;
import reedmux.control.configuration.ConfigurationItem;

/**
 * Checks the invariants of a deployment against what clients, checkers and operators observe from outside, without
 * access to the state of the processes. {@link ConfigurationInvariants} checks the configuration,
 * {@link RequestInvariants} checks requests, and {@link FaultSchedule} records the faults that both allow for. Times
 * are microseconds of simulated time. This class does no I/O.
 */
public final class ClusterInvariantChecker {
    /** With this many requests or fewer after a closing fault, the recovery is not checked. */
    private static final int MIN_RECOVERY_REQUESTS = 20;

    /** One in this many requests must be served after the recovery. */
    private static final int RECOVERY_SHARE = 4;

    private static final int MICROS_PER_MILLI = 1000;

    /** The effect of a version under which requests are not served; see {@link #onVersionSent} for effects. */
    static final String NO_EFFECT = "none";

    /** The decision that is expected for a change of an operator. */
    public enum ExpectedDecision {
        /** The change is valid, regardless of concurrent changes. */
        ACCEPT,
        /** The change is invalid. */
        REJECT,
        /** The change conflicts with a concurrent one, and either of the two may be rejected. */
        EITHER
    }

    private final ViolationLog log = new ViolationLog();
    private final FaultSchedule faults = new FaultSchedule();
    private final ConfigurationInvariants configuration = new ConfigurationInvariants(faults, log);
    private final BodyInvariants bodies = new BodyInvariants(log);
    private final RequestInvariants requests = new RequestInvariants(faults, log, configuration);

    /** Returns the violations recorded so far. */
    public List<String> violations() {
        return log.violations();
    }

    /** Returns the number of client requests that were served, excluding probes. */
    public long servedCount() {
        return requests.servedCount();
    }

    /** Returns the number of client requests, excluding probes. */
    public long requestCount() {
        return requests.requestCount();
    }

    /** Sets the default quota of all tenants: a rate in requests per second and a burst in requests. */
    public void setQuota(double rate, double burst) {
        requests.quotas().setDefaultLimits(rate, burst);
    }

    /** Records that a change of a tenant's quota is sent now. */
    public void onQuotaSent(String tenant, double rate, double burst) {
        requests.quotas().onLimitsSent(tenant, rate, burst);
    }

    /** Records that the last change of a tenant's quota is acknowledged. */
    public void onQuotaAcknowledged(String tenant, long now) {
        requests.quotas().onLimitsAcknowledged(tenant, now);
    }

    /** Lets replaced quotas expire if the core is settled and all the given proxies are in contact now. */
    public void settleQuotas(Collection<String> proxies, long now) {
        if (faults.isCoreSettled(now, now) && proxies.stream().allMatch(proxy -> faults.isInContact(proxy, now, now))) {
            requests.quotas().onAllInContact(now);
        }
    }

    /** Reports the tenants that exceeded their quota in any window. */
    public void checkQuotas() {
        requests.checkQuotas();
    }

    /** Returns the highest ratio of executed to allowed requests that any tenant reached in a window. */
    public double worstQuotaShare() {
        return requests.quotas().worstShare();
    }

    // ---- Faults ------------------------------------------------------------------------------------
    /** Adds a fault of a machine, identified by node name or address. */
    public void addMachineFault(String machine, long from, long to) {
        faults.addMachineFault(machine, from, to);
    }

    /** Adds a fault of the core that is repaired by {@code to}; see {@link FaultSchedule#addCoreFault}. */
    public void addCoreFault(long from, long to, boolean majorityLost) {
        faults.addCoreFault(from, to, majorityLost);
    }

    /** Adds an interval in which a machine could reach less than a majority of the core. */
    void addMinoritySpan(String machine, long from, long to) {
        faults.addMinority(machine, from, to);
    }

    // ---- Processes ---------------------------------------------------------------------------------
    /** Handles the report of a proxy that it is ready; its processes were started at {@code startedAt}. */
    void onReady(String machine, long startedAt, long now) {
        if (faults.wasInMinority(machine, startedAt, now)) {
            log.report(
                    "CONTACT",
                    machine + " is ready " + (now - startedAt) / MICROS_PER_MILLI
                            + " ms after its start, but could reach only a minority of the core");
        }
    }

    /** Reports a process that exited without a requested shutdown, or failed to start. */
    public void onUnexpectedExit(String process) {
        log.report("FAULT", process + " exited unexpectedly");
    }

    /** Reports a violation that a program detected in its own invariants. */
    public void onInvariantViolation(String violation) {
        log.report("INVARIANT", violation);
    }

    // ---- Configuration -----------------------------------------------------------------------------
    /**
     * Records that a version of an item is sent for the first time.
     *
     * @param effect how requests reveal that the version is in force: the service of a route, the keys of a tenant, or
     *               {@link #NO_EFFECT}
     */
    void onVersionSent(ConfigurationItem item, String effect, long now) {
        configuration.onVersionSent(item, effect, now);
    }

    /** Handles the acknowledgement of a change that was sent at {@code sentAt}, even if the response is then lost. */
    void onChangeAcknowledged(List<ConfigurationItem> items, ExpectedDecision expected, long sentAt, long now) {
        configuration.onChangeAcknowledged(items, expected, sentAt, now);
    }

    /** Handles a change that was rejected, if {@code definitive}, or that the operator abandoned after a timeout. */
    void onChangeRejected(
            List<ConfigurationItem> items, ExpectedDecision expected, boolean definitive, long sentAt, long now) {
        configuration.onChangeRejected(items, expected, definitive, sentAt, now);
    }

    /** Handles an observed effect of an item; see {@link ConfigurationInvariants#onEffectObserved}. */
    void onEffectObserved(
            String proxy,
            String incarnation,
            String key,
            String effect,
            Predicate<String> matches,
            long sentAt,
            long now) {
        configuration.onEffectObserved(proxy, incarnation, key, effect, matches, sentAt, now);
    }

    /**
     * Checks the configuration that the operator reads at the end of the run.
     *
     * @param text the response, or null if no machine responded
     * @param rule the rule that a lost change violates
     */
    public void checkFinalRead(String text, String rule, long sentAt) {
        configuration.checkFinalRead(text, rule, sentAt);
    }

    /** Checks the response of a machine to a read that was sent at {@code sentAt}. */
    public void checkRead(String text, long sentAt) {
        configuration.checkRead(text, sentAt);
    }

    // ---- Requests and checkers ---------------------------------------------------------------------
    /** Records that a client sends a request; {@code service} is null for a probe. */
    public void onRequestSent(
            String id, String proxy, boolean idempotent, String tenant, String service, String route, long now) {
        requests.onRequestSent(id, proxy, idempotent, tenant, service, route, now);
    }

    /** Records that a request arrives at the checker it is addressed to. */
    public void onRequestArrived(String id, String service, long now) {
        requests.onRequestArrived(id, service, now);
    }

    /** Handles a request body that a checker has received to its end, with its digest. */
    public void onBodyReceived(Http1Head head, String checker, String digest) {
        bodies.onBodyReceived(head, checker, digest);
    }

    /** Handles input of a checker that is no request, or no body. */
    public void onMalformedInput(String checker, String problem) {
        bodies.onMalformedInput(checker, problem);
    }

    /** Returns the number of bodies whose digest was compared. */
    public int comparedBodies() {
        return bodies.comparedBodies();
    }

    /** Handles the start of an execution of a request by a checker. */
    public void onRequestExecuted(String id, String checker, String service, String tenant, long now) {
        requests.onRequestExecuted(id, checker, service, tenant, now);
    }

    /** Handles an execution that completed, or that the checker aborted because its connection was closed. */
    public void onExecutionEnded(String id, String checker, boolean completed, long now) {
        requests.departures().onExecutionEnded(id, checker, completed, now);
    }

    /** Returns the invariants of requests whose client disconnected before the response. */
    DepartureInvariants departures() {
        return requests.departures();
    }

    /** Records that a client disconnects before it receives the response to its request. */
    public void onClientLeft(String id, long now) {
        requests.onClientLeft(id, now);
    }

    /** Sets how long a request may continue after its client has disconnected; the default is half a second. */
    public void setDepartureLimit(long micros) {
        requests.departures().setLimit(micros);
    }

    /** Returns how many executions of idempotent requests ended in time after their client disconnected. */
    public int executionsEndedByDeparture() {
        return requests.departures().cancelledCount();
    }

    /** Reports requests that continued too long after their client disconnected; call after the last event. */
    public void checkDepartures(long now) {
        requests.departures().report(now);
    }

    /** Returns whether a checker has begun to execute a request. */
    boolean hasExecuted(String id) {
        return requests.hasExecuted(id);
    }

    /**
     * Handles a response that a client receives.
     *
     * @param sealedBy the checker whose complete response this is, or null
     */
    public void onResponse(String id, int status, String sealedBy, long now) {
        requests.onResponse(id, status, sealedBy, now);
    }

    /** Handles a request without a response; see {@link RequestInvariants#onConnectionLost}. */
    void onConnectionLost(String id, boolean cutOff, boolean planned, long now) {
        requests.onConnectionLost(id, cutOff, planned, now);
    }

    /**
     * Handles a proxy that closes the connection of a request without a response, or doesn't respond in time.
     *
     * @param excused whether the proxy was killed or suspended meanwhile, or the checker aborted the response
     * @param reason  how the client noticed the missing response
     */
    public void onServerClosed(String id, boolean excused, String reason) {
        requests.onServerClosed(id, excused, reason);
    }

    /** Records that a control machine acknowledges the drain of a checker. */
    void onDrainAcknowledged(String checker, String acknowledger, long now) {
        requests.onDrainAcknowledged(checker, acknowledger, now);
    }

    /** Records that a drain announced since {@code announcedAt} remains unacknowledged. */
    void onDrainUnacknowledged(long announcedAt, long now) {
        requests.onDrainUnacknowledged(announcedAt, now);
    }

    /** Checks the rules that apply to time windows and to all drains together; call after the last event. */
    void checkWindows() {
        requests.checkWindows();
    }

    /** Reports a failed recovery if too few requests are served once the closing fault should be repaired. */
    void checkRecovery(long requestCount, long servedCount) {
        if (requestCount > MIN_RECOVERY_REQUESTS && servedCount * RECOVERY_SHARE < requestCount) {
            log.report("RECOVER", servedCount + " of " + requestCount + " requests are served after the closing fault");
        }
    }
}
