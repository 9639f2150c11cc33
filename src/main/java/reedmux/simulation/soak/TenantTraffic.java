package reedmux.simulation.soak;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.function.Consumer;
import reedmux.common.eventloop.Reactor;
import reedmux.common.http1.Http1Head;
import reedmux.simulation.cluster.ClusterInvariantChecker;
import reedmux.simulation.cluster.ClusterInvariantChecker.ExpectedDecision;
import reedmux.simulation.cluster.ConfigurationGenerator;
import reedmux.simulation.cluster.SimulatedClients;
import reedmux.simulation.cluster.SimulatedOperator;
import reedmux.simulation.harness.OneShotHttpCall;

/**
 * Generates the traffic of tenants with quotas of their own, a few of them large. Each tenant sends at its own rate,
 * regardless of its responses (open loop). At random times a tenant surges to several times its quota, or the quota of
 * a tenant is changed. Must be used on the reactor's thread only.
 */
final class TenantTraffic {
    private static final long SECOND = 1_000_000;
    /** The rate of the n-th largest tenant is that of the largest one divided by n to the power of this. */
    private static final double SIZE_EXPONENT = 0.8;

    private static final int CLIENTS_OF_TENANT = 12;
    private static final double SURGE_FACTOR = 7.5;
    private static final long SURGE_MICROS = 6_500_000;
    private static final int MAX_SURGE_INTERVAL_MICROS = 3_000_000;
    private static final int MAX_QUOTA_CHANGE_INTERVAL_MICROS = 4_000_000;
    private static final double[] QUOTA_FACTORS = {0.5, 1, 1, 2};
    /** One in this many surges is of the largest tenant; the others are of a tenant drawn from all of them. */
    private static final int LARGEST_SURGE_SHARE = 3;

    private static final long RESPONSE_TIMEOUT_MICROS = 5_000_000;
    private static final int TIME_LEFT_MILLIS = 4_000;
    private static final int REFUSED = 429;

    private final ClientContext context;
    private final Reactor reactor;
    private final Random random;
    private final ClusterInvariantChecker invariants;
    private final SimulatedOperator operator;
    private final ConfigurationGenerator configurations;
    private final Consumer<String> log;
    private final List<SoakTenant> tenants = new ArrayList<>();
    private long requests;
    private boolean stopped;
    private boolean faultsEnded;

    /** Creates tenants whose usual total rate is {@code rate}, in requests per second. */
    TenantTraffic(
            ClientContext context,
            SimulatedOperator operator,
            ConfigurationGenerator configurations,
            Consumer<String> log,
            int count,
            double rate) {
        this.context = context;
        reactor = context.reactor();
        random = context.random();
        invariants = context.invariants();
        this.operator = operator;
        this.configurations = configurations;
        this.log = log;
        double sizes = 0;
        for (int i = 0; i < count; i++) {
            sizes += size(i);
        }
        for (int i = 0; i < count; i++) {
            List<SoakMachine> proxies = new ArrayList<>();
            for (int client = 0; client < CLIENTS_OF_TENANT; client++) {
                proxies.add(context.anyProxy());
            }
            tenants.add(new SoakTenant("s" + i, rate * size(i) / sizes, proxies));
        }
    }

    private static double size(int number) {
        return Math.pow(number + 1, -SIZE_EXPONENT);
    }

    /** Returns the configuration change that creates all tenants. */
    String initialChange() {
        List<String> items = new ArrayList<>();
        long revision = configurations.nextRevision();
        for (SoakTenant tenant : tenants) {
            invariants.onQuotaSent(tenant.name(), tenant.quotaRate(), tenant.quotaRate());
            items.add(itemOf(tenant, revision));
        }
        return ConfigurationGenerator.callJson(items, "");
    }

    private static String itemOf(SoakTenant tenant, long revision) {
        return ConfigurationGenerator.itemJson(
                "tenants",
                tenant.name(),
                revision,
                "\"keys\":[\"" + tenant.key() + "\"],\"priority\":1,\"flowPerS\":" + tenant.quotaRate() + ",\"burst\":"
                        + tenant.quotaRate());
    }

    /** Starts the requests of all tenants, their surges and the changes of their quotas. */
    void start() {
        for (SoakTenant tenant : tenants) {
            scheduleRequest(tenant);
        }
        if (!tenants.isEmpty()) {
            scheduleSurge();
            scheduleQuotaChange();
        }
    }

    /** Starts no further surges and changes no further quotas. */
    void endFaults() {
        faultsEnded = true;
    }

    void stop() {
        stopped = true;
    }

    private void scheduleSurge() {
        reactor.scheduleAfter(1 + random.nextInt(MAX_SURGE_INTERVAL_MICROS), () -> {
            if (!faultsEnded) {
                surge();
                scheduleSurge();
            }
        });
    }

    private void surge() {
        boolean largest = random.nextInt(LARGEST_SURGE_SHARE) == 0;
        SoakTenant tenant = tenants.get(largest ? 0 : random.nextInt(tenants.size()));
        boolean atAllProxies = random.nextBoolean();
        log.accept(tenant.name() + " sends " + SURGE_FACTOR + " times its usual rate"
                + (atAllProxies ? ", to all proxies" : ""));
        tenant.surge(SURGE_FACTOR, atAllProxies, reactor.now() + SURGE_MICROS);
    }

    private void scheduleQuotaChange() {
        reactor.scheduleAfter(1 + random.nextInt(MAX_QUOTA_CHANGE_INTERVAL_MICROS), () -> {
            if (!faultsEnded) {
                changeQuota(tenants.get(random.nextInt(tenants.size())));
                scheduleQuotaChange();
            }
        });
    }

    private void changeQuota(SoakTenant tenant) {
        double rate = tenant.usualQuotaRate() * QUOTA_FACTORS[random.nextInt(QUOTA_FACTORS.length)];
        log.accept(tenant.name() + " has a new quota of " + rate + " requests per second");
        tenant.setQuotaRate(rate);
        invariants.onQuotaSent(tenant.name(), rate, rate);
        operator.changeConfiguration(
                ConfigurationGenerator.callJson(List.of(itemOf(tenant, configurations.nextRevision())), ""),
                ExpectedDecision.ACCEPT,
                ConfigurationGenerator::visibleEffect,
                status -> {
                    if (status == 200 && tenant.quotaRate() == rate) {
                        invariants.onQuotaAcknowledged(tenant.name(), reactor.now());
                    }
                });
    }

    private void scheduleRequest(SoakTenant tenant) {
        double meanSeconds = 1 / tenant.demand(reactor.now());
        long delay = (long) (-Math.log(1 - random.nextDouble()) * meanSeconds * SECOND);
        reactor.scheduleAfter(Math.min(delay, SECOND), () -> {
            if (!stopped) {
                if (delay <= SECOND) { // longer delays are drawn again, because the demand may have changed
                    send(tenant);
                }
                scheduleRequest(tenant);
            }
        });
    }

    private void send(SoakTenant tenant) {
        long sentAt = reactor.now();
        List<SoakMachine> proxies = tenant.proxies(context.proxies(), sentAt);
        SoakMachine proxy = proxies.get(random.nextInt(proxies.size()));
        SimulatedClients.PlannedRequest route = context.plan().get();
        SimulatedClients.PlannedRequest planned = new SimulatedClients.PlannedRequest(
                route.path(),
                route.idempotent(),
                tenant.key(),
                tenant.name(),
                route.service(),
                route.routeItem(),
                "tenants/" + tenant.name());
        String id = tenant.name() + '.' + ++requests;
        byte[] request = OneShotHttpCall.request(
                planned.idempotent() ? "GET" : "POST",
                planned.path(),
                "h.example",
                planned.idempotent() ? "" : "some body",
                "Reedmux-Attempt-Id: " + id + "\r\n",
                "Reedmux-Time-Left-Ms: " + TIME_LEFT_MILLIS + "\r\n",
                "Authorization: Bearer " + planned.key() + "\r\n");
        context.reportSent(id, proxy, planned);
        try {
            new OneShotHttpCall(
                    reactor,
                    proxy.address(SoakMachine.FRONT_PORT_OFFSET),
                    request,
                    RESPONSE_TIMEOUT_MICROS,
                    (status, head, text) -> onResponse(tenant, id, sentAt, status, head));
        } catch (IOException e) {
            // no file descriptor is available, so the request is not sent
        }
    }

    private void onResponse(SoakTenant tenant, String id, long sentAt, int status, Http1Head head) {
        if (status != 0) {
            tenant.countResponse(sentAt, status == REFUSED);
            invariants.onResponse(id, status, head.get("Reedmux-Server-Seal"), reactor.now());
        }
    }

    /** The number of responses to tenants that stayed within their quota. */
    int requestsWithinQuota() {
        return tenants.stream().mapToInt(SoakTenant::requestsWithinQuota).sum();
    }

    /** The number of these responses that refused the request for exceeding the quota. */
    int refusedWithinQuota() {
        return tenants.stream().mapToInt(SoakTenant::refusedWithinQuota).sum();
    }
}
