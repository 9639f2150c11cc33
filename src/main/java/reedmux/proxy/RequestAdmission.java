package reedmux.proxy;

import reedmux.common.eventloop.BufferBudget;
import reedmux.common.eventloop.Reactor;
import reedmux.common.http1.Http1Head;
import reedmux.control.configuration.ConfigurationTable;
import reedmux.control.configuration.RequestLimits;
import reedmux.control.configuration.RouteItem;
import reedmux.control.configuration.TenantItem;
import reedmux.proxy.quota.QuotaTracker;
import reedmux.proxy.request.ProxyRequest;
import reedmux.proxy.request.ProxyResponse;

/**
 * Admits or rejects a request by its head. The checks are, in this order: whether the proxy can serve requests at all,
 * which route and tenant the request belongs to, whether it is well-formed and within the limits, and finally whether
 * the tenant's quota permits it. An admitted request consumes quota.
 *
 * <p>While the configuration may be outdated, a request that does not match it is rejected with a retryable status
 * instead of a permanent one. Not thread-safe; used on the reactor's thread only.
 */
final class RequestAdmission {
    static final String ATTEMPT_ID_HEADER = "Reedmux-Attempt-Id";
    static final String TIME_LEFT_HEADER = "Reedmux-Time-Left-Ms";
    private static final String BEARER_PREFIX = "Bearer ";
    /** Fraction of the buffer budget above which no request with a body is admitted. */
    private static final double MAX_BUDGET_USE_FOR_BODIES = 0.75;

    /** Retry-After of rejections whose reason is not the client's own quota. */
    private static final long RETRY_AFTER_MICROS = 250_000;
    /**
     * Minimum Retry-After during startup. Deferring the request until it can be served would delay it, whereas a retry
     * shortly after the startup is a new request.
     */
    private static final long MIN_STARTUP_RETRY_AFTER_MICROS = RETRY_AFTER_MICROS / 2;

    private static final long MIN_QUOTA_RETRY_AFTER_MICROS = RETRY_AFTER_MICROS / 4;
    /** Retry-After of a proxy that shuts down. It is short because another proxy can serve the request at once. */
    private static final long SHUTDOWN_RETRY_AFTER_MICROS = 50_000;

    private static final long NO_RETRY_AFTER = -1;
    /** Time left of a request without the header: one hour. */
    private static final long DEFAULT_TIME_LEFT_MILLIS = 3_600_000;
    /** Maximum number of digits of the time left. Longer values are not plausible and could overflow. */
    private static final int MAX_TIME_LEFT_DIGITS = 9;

    private final Reactor reactor;
    private final ControlPlaneClient controlPlane;
    private final StartupGate startupGate;
    private final GracefulShutdown shutdown;
    private final QuotaTracker quotas;

    /**
     * The result of {@link #admit}: either the admitted request or the response that rejects it; the other one is null.
     */
    record AdmissionResult(ClientRequest request, ProxyResponse rejection) {}

    RequestAdmission(
            Reactor reactor,
            ControlPlaneClient controlPlane,
            StartupGate startupGate,
            GracefulShutdown shutdown,
            QuotaTracker quotas) {
        this.reactor = reactor;
        this.controlPlane = controlPlane;
        this.startupGate = startupGate;
        this.shutdown = shutdown;
        this.quotas = quotas;
    }

    /**
     * Admits or rejects a request.
     *
     * @param body body of the request, or null if it has none
     */
    AdmissionResult admit(ClientConnection client, Http1Head head, ClientRequestBody body, RequestLimits limits) {
        ConfigurationTable table = controlPlane.table();
        if (!startupGate.canServe()) {
            return reject(
                    503,
                    "not ready yet",
                    Math.max(MIN_STARTUP_RETRY_AFTER_MICROS, startupGate.expectedRemainingMicros()));
        }
        RouteItem route = table.matchRoute(head.get("Host"), head.path());
        if (route == null) {
            return rejectByConfiguration(404, "no route leads there");
        }
        TenantItem tenant = null;
        if (table.requiresKey() && !route.keyOptional()) {
            tenant = authenticate(table, head);
            if (tenant == null) {
                return rejectByConfiguration(401, "the key is not known");
            }
        }
        String attemptId = head.get(ATTEMPT_ID_HEADER);
        long timeLeftMillis = timeLeftMillis(head);
        if (attemptId == null || attemptId.isEmpty() || head.count(ATTEMPT_ID_HEADER) > 1 || timeLeftMillis < 0) {
            return reject(
                    400, "Reedmux-Attempt-Id is missing, or Reedmux-Time-Left-Ms is no whole number", NO_RETRY_AFTER);
        }
        if (body != null && body.length() > limits.maxBodyBytes()) {
            return reject(413, "the body is larger than " + limits.maxBodyBytes() + " bytes", NO_RETRY_AFTER);
        }
        if (body != null && !hasBufferForBody()) {
            return new AdmissionResult(null, buffersFullRejection());
        }
        long deadline = client.headReceivedAt() + Math.min(timeLeftMillis * 1000, route.timeoutMicros());
        if (!shutdown.admits(reactor.now(), deadline)) {
            return new AdmissionResult(null, shutdownRejection());
        }
        if (tenant != null && !quotas.admit(tenant, reactor.now())) {
            long retryAfterMicros = quotas.retryAfterMicros(tenant, reactor.now());
            return reject(429, "the quota is used up", Math.max(MIN_QUOTA_RETRY_AFTER_MICROS, retryAfterMicros));
        }
        ClientRequest request = new ClientRequest(client, head, attemptId, tenant == null ? null : tenant.name(), body);
        request.setProxyRequest(new ProxyRequest(route, tenant, request, deadline));
        return new AdmissionResult(request, null);
    }

    private boolean hasBufferForBody() {
        BufferBudget budget = reactor.bufferBudget();
        return budget.totalBytes() <= MAX_BUDGET_USE_FOR_BODIES * budget.limitBytes();
    }

    /** Returns the response to requests whose body cannot be buffered. */
    static ProxyResponse buffersFullRejection() {
        return new ProxyResponse.LocalResponse(503, "too many bodies are coming in", RETRY_AFTER_MICROS);
    }

    /** Returns the response to requests that can no longer be answered before this process terminates. */
    static ProxyResponse shutdownRejection() {
        return new ProxyResponse.LocalResponse(503, "this process ends", SHUTDOWN_RETRY_AFTER_MICROS);
    }

    /** Refunds the quota of a request that was certainly not executed. */
    void refund(ProxyRequest request) {
        if (request.tenant() != null) {
            quotas.refund(request.tenant(), reactor.now());
        }
    }

    /** Returns the tenant whose key the request carries, or null. */
    private static TenantItem authenticate(ConfigurationTable table, Http1Head head) {
        String authorization = head.count("Authorization") == 1 ? head.get("Authorization") : null;
        if (authorization == null || !authorization.regionMatches(true, 0, BEARER_PREFIX, 0, BEARER_PREFIX.length())) {
            return null;
        }
        return table.tenantByKey(authorization.substring(BEARER_PREFIX.length()).trim());
    }

    private AdmissionResult rejectByConfiguration(int status, String text) {
        return controlPlane.isConfigurationCurrent()
                ? reject(status, text, NO_RETRY_AFTER)
                : reject(503, "the configuration may be old", RETRY_AFTER_MICROS);
    }

    private static AdmissionResult reject(int status, String text, long retryAfterMicros) {
        return new AdmissionResult(null, new ProxyResponse.LocalResponse(status, text, retryAfterMicros));
    }

    /** Returns the time left of a request at its receipt, in milliseconds; -1 if the header is malformed. */
    static long timeLeftMillis(Http1Head head) {
        String text = head.get(TIME_LEFT_HEADER);
        if (text == null) {
            return DEFAULT_TIME_LEFT_MILLIS;
        }
        return text.isEmpty()
                        || text.length() > MAX_TIME_LEFT_DIGITS
                        || !text.chars().allMatch(c -> c >= '0' && c <= '9')
                ? -1
                : Long.parseLong(text);
    }
}
