package reedmux.simulation.cluster;

import java.util.Collection;
import java.util.List;
import java.util.function.Predicate;
import reedmux.control.configuration.ConfigurationItem;

/**
 * Checks the deployment's invariants by what clients, checkers and operators observe from outside; it knows nothing of
 * the inside of a process. {@link ConfigurationInvariants} has those of the configuration, {@link RequestInvariants}
 * those of requests, and {@link FaultSchedule} the faults for which they make allowance. Times are microseconds of
 * simulated time; no I/O.
 */
public final class ClusterInvariantChecker {
    /** Fewer requests after a closing fault say nothing about the recovery. */
    private static final int MIN_RECOVERY_REQUESTS = 20;

    /** One request in so many has to be served after the recovery. */
    private static final int RECOVERY_SHARE = 4;

    private static final int MICROS_PER_MILLI = 1000;

    /** The effect of a version under which requests are not served: {@link #onVersionSent} describes effects. */
    static final String NO_EFFECT = "none";

    /** How a change of the operator is to be decided. */
    public enum ExpectedDecision {
        /** It is valid whatever else is sent meanwhile. */
        ACCEPT,
        /** It is invalid. */
        REJECT,
        /** Of two concurrent changes that are invalid together, either may be rejected. */
        EITHER
    }

    private final ViolationLog log = new ViolationLog();
    private final FaultSchedule faults = new FaultSchedule();
    private final ConfigurationInvariants configuration = new ConfigurationInvariants(faults, log);
    private final RequestInvariants requests = new RequestInvariants(faults, log, configuration);

    /** What was violated so far. */
    public List<String> violations() {
        return log.violations();
    }

    /** Requests of clients that were served, probes not counted. */
    public long servedCount() {
        return requests.servedCount();
    }

    /** Requests of clients, probes not counted. */
    public long requestCount() {
        return requests.requestCount();
    }

    /** Sets the quota of every tenant: requests a second, and requests at once. */
    public void setQuota(double rate, double burst) {
        requests.quotas().setDefaultLimits(rate, burst);
    }

    /** A change of one tenant's quota is sent. */
    public void onQuotaSent(String tenant, double rate, double burst) {
        requests.quotas().onLimitsSent(tenant, rate, burst);
    }

    /** The last change of a tenant's quota is acknowledged. */
    public void onQuotaAcknowledged(String tenant, long now) {
        requests.quotas().onLimitsAcknowledged(tenant, now);
    }

    /** Looks whether lower quotas bind by now, which they do only after all these proxies had contact. */
    public void settleQuotas(Collection<String> proxies, long now) {
        if (faults.isCoreSettled(now, now) && proxies.stream().allMatch(proxy -> faults.isInContact(proxy, now, now))) {
            requests.quotas().onAllInContact(now);
        }
    }

    /** Reports the tenants that were beyond their quota in some window. */
    public void checkQuotas() {
        requests.checkQuotas();
    }

    /** The largest share of what its quota allows that any tenant had executed in a window. */
    public double worstQuotaShare() {
        return requests.quotas().worstShare();
    }

    // ---- Faults ------------------------------------------------------------------------------------
    /** A machine, by node or address, had a fault from one time to another. */
    public void addMachineFault(String machine, long from, long to) {
        faults.addMachineFault(machine, from, to);
    }

    /** The core had a fault that was undone by {@code to}; {@code majorityLost}: no majority ran in contact. */
    public void addCoreFault(long from, long to, boolean majorityLost) {
        faults.addCoreFault(from, to, majorityLost);
    }

    /** A machine could reach less than a majority of the core from one time to another. */
    void addMinoritySpan(String machine, long from, long to) {
        faults.addMinority(machine, from, to);
    }

    // ---- Processes ---------------------------------------------------------------------------------
    /** A proxy that was started at {@code startedAt} has said that it is ready. */
    void onReady(String machine, long startedAt, long now) {
        if (faults.wasInMinority(machine, startedAt, now)) {
            log.report(
                    "CONTACT",
                    machine + " is ready " + (now - startedAt) / MICROS_PER_MILLI
                            + " ms after a start on the word of a minority");
        }
    }

    /** A process has ended, or does not start, without having been asked to shut down. */
    public void onUnexpectedExit(String process) {
        log.report("FAULT", process + " ends by itself");
    }

    /** A program has found one of its own invariants violated. */
    public void onInvariantViolation(String violation) {
        log.report("INVARIANT", violation);
    }

    // ---- Configuration -----------------------------------------------------------------------------
    /**
     * A version was sent for the first time.
     *
     * @param effect how requests show that it is in force: the service of a route, the keys of a tenant, or
     *               {@link #NO_EFFECT}
     */
    void onVersionSent(ConfigurationItem item, String effect, long now) {
        configuration.onVersionSent(item, effect, now);
    }

    /** A change was acknowledged, even if the response was lost; the operator had waited since {@code sentAt}. */
    void onChangeAcknowledged(List<ConfigurationItem> items, ExpectedDecision expected, long sentAt, long now) {
        configuration.onChangeAcknowledged(items, expected, sentAt, now);
    }

    /** A change was rejected ({@code clear}), or given up by the operator. */
    void onChangeRejected(
            List<ConfigurationItem> items, ExpectedDecision expected, boolean definitive, long sentAt, long now) {
        configuration.onChangeRejected(items, expected, definitive, sentAt, now);
    }

    /** A request has shown what is in force; see {@link ConfigurationInvariants#onEffectObserved}. */
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

    /** What the operator reads at the end; null if nobody responded. A lost change violates {@code rule}. */
    public void checkFinalRead(String text, String rule, long sentAt) {
        configuration.checkFinalRead(text, rule, sentAt);
    }

    /** What a machine has responded to a read that was sent at {@code sentAt}. */
    public void checkRead(String text, long sentAt) {
        configuration.checkRead(text, sentAt);
    }

    // ---- Requests and checkers ---------------------------------------------------------------------
    /** A client has sent a request; {@code service} is null for a probe. */
    public void onRequestSent(
            String id, String proxy, boolean idempotent, String tenant, String service, String route, long now) {
        requests.onRequestSent(id, proxy, idempotent, tenant, service, route, now);
    }

    /** A request has reached the checker that it was meant for. */
    public void onRequestArrived(String id, String service, long now) {
        requests.onRequestArrived(id, service, now);
    }

    /** A checker begins to execute a request. */
    public void onRequestExecuted(String id, String checker, String service, String tenant, long now) {
        requests.onRequestExecuted(id, checker, service, tenant, now);
    }

    /** A checker has executed a request ({@code completed}), or has dropped it since its connection was closed. */
    public void onExecutionEnded(String id, String checker, boolean completed, long now) {
        requests.departures().onExecutionEnded(id, checker, completed, now);
    }

    /** What became of requests whose client has left. */
    DepartureInvariants departures() {
        return requests.departures();
    }

    /** A client has left without waiting for the response to its request. */
    public void onClientLeft(String id, long now) {
        requests.onClientLeft(id, now);
    }

    /** Sets how long a request may go on after its client has left; half a second unless it is set. */
    public void setDepartureLimit(long micros) {
        requests.departures().setLimit(micros);
    }

    /** Executions of idempotent requests that ended in time after the departure of their client. */
    public int executionsEndedByDeparture() {
        return requests.departures().cancelledCount();
    }

    /** After the last event: what went on for requests although their client had left. */
    public void checkDepartures(long now) {
        requests.departures().report(now);
    }

    /** Whether a checker has begun to execute a request. */
    boolean hasExecuted(String id) {
        return requests.hasExecuted(id);
    }

    /** A client has received a response; {@code sealedBy}: the checker that sent it completely, or null. */
    public void onResponse(String id, int status, String sealedBy, long now) {
        requests.onResponse(id, status, sealedBy, now);
    }

    /** A request has no response: its connection was {@code cutOff}, or its time is up. */
    void onConnectionLost(String id, boolean cutOff, boolean planned, long now) {
        requests.onConnectionLost(id, cutOff, planned, now);
    }

    /**
     * A proxy has closed the connection of a request without a response, or given none in time.
     *
     * @param excused whether the proxy was killed or held up meanwhile, or the checker has broken off
     * @param reason  how the client has noticed it
     */
    public void onServerClosed(String id, boolean excused, String reason) {
        requests.onServerClosed(id, excused, reason);
    }

    /** A checker's drain was acknowledged by a control machine. */
    void onDrainAcknowledged(String checker, String acknowledger, long now) {
        requests.onDrainAcknowledged(checker, acknowledger, now);
    }

    /** A checker has announced its drain since {@code announcedAt}, and nobody has acknowledged it. */
    void onDrainUnacknowledged(long announcedAt, long now) {
        requests.onDrainUnacknowledged(announcedAt, now);
    }

    /** After the last event: what is judged by windows, and by all drains together. */
    void checkWindows() {
        requests.checkWindows();
    }

    /** Of the requests after a closing fault and the time to recover from it, too few were served. */
    void checkRecovery(long requestCount, long servedCount) {
        if (requestCount > MIN_RECOVERY_REQUESTS && servedCount * RECOVERY_SHARE < requestCount) {
            log.report("RECOVER", servedCount + " of " + requestCount + " are served after the closing fault");
        }
    }
}
