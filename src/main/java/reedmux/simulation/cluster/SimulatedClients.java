package reedmux.simulation.cluster;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.Consumer;
import java.util.function.Predicate;
import reedmux.common.http1.Http1Head;
import reedmux.simulation.harness.DigestedBody;
import reedmux.simulation.harness.OneShotHttpCall;

/**
 * Simulates clients in all zones, the load balancer of the platform that routes them to ready proxies, and probes that
 * reveal which configuration a proxy uses.
 */
public final class SimulatedClients {
    private static final long PROBE_INTERVAL_MICROS = 1_000_000;
    private static final long DEADLINE_MICROS = 1_500_000;
    /** A proxy is out of rotation after this many consecutive readiness probes without a 200. */
    private static final int MAX_MISSED_PROBES = 2;

    private static final int MAX_ATTEMPTS = 3;
    /** Longer than what a proxy buffers of a body and the sockets hold of an unread connection. */
    private static final int MAX_BODY_BYTES = 1_200_000;
    /** One in this many requests that are not idempotent has a large body; none while requests are counted. */
    private static final int LARGE_BODY_SHARE = 60;

    private final ClusterSimulation simulation;
    private final Deployment deployment;
    private final ClusterInvariantChecker invariants;
    private final SimulatedProcess process;
    private final Map<String, Integer> missedProbes = new HashMap<>();
    /** Draws the large bodies, apart from the faults of a seed. */
    private final Random bodies;

    private long nextRequestNumber;
    private long countedRequests;
    private long countedServed;
    /** The time from which {@link #request} counts requests for the recovery check. */
    private long countFrom = Long.MAX_VALUE;

    /**
     * A request that a client may send.
     *
     * @param tenant    the tenant that owns the key
     * @param routeItem the key of the configuration item whose version a probe of the route reveals
     * @param keyItem   the key of the configuration item whose version a probe of the API key reveals
     */
    public record PlannedRequest(
            String path,
            boolean idempotent,
            String key,
            String tenant,
            String service,
            String routeItem,
            String keyItem) {}

    SimulatedClients(ClusterSimulation simulation, Deployment deployment, ClusterInvariantChecker invariants) {
        this.simulation = simulation;
        this.deployment = deployment;
        this.invariants = invariants;
        bodies = new Random(simulation.random().nextLong());
        process = new SimulatedProcess(
                simulation,
                new SimulatedMachine(simulation, "10.9.0.1", Deployment.ZONES[1], false),
                "clients",
                0,
                line -> {});
        probeReadiness();
    }

    // ---- Load balancer -----------------------------------------------------------------------------
    private void probeReadiness() {
        for (Deployment.DeployedNode proxy : deployment.proxies()) {
            runOnProcess(() -> new OneShotHttpCall(
                    process.reactor(),
                    deployment.readinessAddress(proxy),
                    OneShotHttpCall.request("GET", "/v1/readiness", "ready", ""),
                    PROBE_INTERVAL_MICROS,
                    (status, head, text) -> {
                        missedProbes.merge(proxy.name(), 1, (missed, increment) -> status == 200 ? 0 : missed + 1);
                        if (status == 200) {
                            invariants.onReady(proxy.name(), proxy.startedAt(), simulation.now());
                        }
                    }));
        }
        simulation.scheduleAfter(PROBE_INTERVAL_MICROS, this::probeReadiness);
    }

    private interface ClientCall {
        void make() throws IOException;
    }

    private void runOnProcess(ClientCall call) {
        process.reactor().execute(() -> {
            try {
                call.make();
            } catch (IOException e) {
                throw new IllegalStateException(e);
            }
        });
    }

    boolean isInRotation(Deployment.DeployedNode proxy) {
        return missedProbes.getOrDefault(proxy.name(), MAX_MISSED_PROBES) < MAX_MISSED_PROBES;
    }

    /**
     * Picks a random ready proxy of a random zone. If none of the zone is ready, all zones are used; if fewer than half
     * of the zone's proxies are ready, all proxies of the zone are used.
     */
    private Deployment.DeployedNode pickProxy() {
        String zone = Deployment.ZONES[simulation.random().nextInt(Deployment.ZONES.length)];
        List<Deployment.DeployedNode> inZone = new ArrayList<>();
        List<Deployment.DeployedNode> ready = new ArrayList<>();
        for (Deployment.DeployedNode proxy : deployment.proxies()) {
            if (proxy.machine().zone().equals(zone)) {
                inZone.add(proxy);
                if (isInRotation(proxy)) {
                    ready.add(proxy);
                }
            }
        }
        if (ready.isEmpty()) {
            deployment.proxies().stream().filter(this::isInRotation).forEach(ready::add);
        } else if (ready.size() * 2 < inZone.size()) {
            ready = inZone;
        }
        List<Deployment.DeployedNode> candidates = ready.isEmpty() ? deployment.proxies() : ready;
        return candidates.get(simulation.random().nextInt(candidates.size()));
    }

    // ---- Requests ----------------------------------------------------------------------------------
    /** Counts the requests that are sent from now on; see {@link #countedRequests}. */
    void countFromNow() {
        countFrom = simulation.now();
    }

    long countedRequests() {
        return countedRequests;
    }

    long countedServed() {
        return countedServed;
    }

    /** Sends a client request, including its retries. */
    void request(PlannedRequest planned) {
        boolean counted = simulation.now() >= countFrom;
        countedRequests += counted ? 1 : 0;
        request(
                planned,
                "q" + ++nextRequestNumber,
                1,
                simulation.now() + DEADLINE_MICROS,
                succeeded -> countedServed += counted && succeeded ? 1 : 0);
    }

    private void request(PlannedRequest planned, String name, int number, long deadline, Consumer<Boolean> callback) {
        Deployment.DeployedNode proxy = pickProxy();
        String id = name + '.' + number;
        invariants.onRequestSent(
                id,
                proxy.name(),
                planned.idempotent,
                planned.tenant,
                planned.service,
                planned.routeItem,
                simulation.now());
        long sentAt = simulation.now();
        send(proxy, planned, id, deadline, (status, head, text) -> {
            recordResponse(proxy, id, status, head, text, sentAt);
            boolean retry = status == 429
                    || status == 503
                    || planned.idempotent && status != 200 && status != 401 && status != 404;
            if (!retry || number >= MAX_ATTEMPTS || simulation.now() + 50_000 > deadline) {
                callback.accept(status == 200);
                return;
            }
            String retryAfter = head == null ? null : head.get("Retry-After");
            long delayMicros = retryAfter == null
                    ? 50_000
                    : Math.min(
                            (long) (Double.parseDouble(retryAfter) * PROBE_INTERVAL_MICROS),
                            (deadline - simulation.now()) / 3);
            simulation.scheduleAfter(delayMicros, () -> request(planned, name, number + 1, deadline, callback));
        });
    }

    private void recordResponse(
            Deployment.DeployedNode proxy, String id, int status, Http1Head head, String text, long sentAt) {
        simulation.addToDigest(id + ' ' + status);
        if (status == 0) {
            invariants.onConnectionLost(
                    id, text.equals("cut off") || text.contains("reset"), proxy.isShuttingDown(), simulation.now());
            return;
        }
        String seal = head.get("Reedmux-Server-Seal");
        String sealedBy = seal != null && text.startsWith(seal + ' ') && text.endsWith(' ' + id) ? seal : null;
        invariants.onResponse(id, status, sealedBy, simulation.now());
    }

    private void send(
            Deployment.DeployedNode proxy,
            PlannedRequest planned,
            String id,
            long deadline,
            OneShotHttpCall.ResponseCallback callback) {
        List<String> headers = new ArrayList<>(List.of(
                "Reedmux-Attempt-Id: " + id + "\r\n",
                "Reedmux-Time-Left-Ms: " + Math.max(1, (deadline - simulation.now()) / 1000) + "\r\n"));
        headers.add("Authorization: Bearer " + planned.key + "\r\n");
        byte[] bytes = encode(planned, headers.toArray(new String[0]));
        runOnProcess(() -> new OneShotHttpCall(
                process.reactor(),
                deployment.frontAddress(proxy),
                bytes,
                deadline - simulation.now() + 20_000,
                callback));
    }

    private byte[] encode(PlannedRequest planned, String[] headers) {
        if (planned.idempotent) {
            return OneShotHttpCall.request("GET", planned.path, "h.example", "", headers);
        } else if (bodies.nextInt(LARGE_BODY_SHARE) > 0 || countFrom != Long.MAX_VALUE) {
            return OneShotHttpCall.request("POST", planned.path, "h.example", "some body", headers);
        }
        byte[] body = DigestedBody.draw(bodies, MAX_BODY_BYTES);
        return DigestedBody.encodeRequest(planned.path, body, bodies.nextBoolean(), headers);
    }

    /**
     * Sends a request to a proxy that is in rotation, to observe which configuration it uses.
     *
     * @param isReplaced whether another route has taken over the prefix of a route item
     */
    void probeConfiguration(Deployment.DeployedNode proxy, PlannedRequest planned, Predicate<String> isReplaced) {
        if (!isInRotation(proxy)) {
            return;
        }
        String id = "p" + ++nextRequestNumber;
        String incarnation = proxy.incarnation();
        invariants.onRequestSent(id, proxy.name(), true, null, null, null, simulation.now());
        long sentAt = simulation.now();
        send(proxy, planned, id, sentAt + DEADLINE_MICROS, (status, head, text) -> {
            recordResponse(proxy, id, status, head, text, sentAt);
            if (!incarnation.equals(proxy.incarnation()) || isReplaced.test(planned.routeItem)) {
                return;
            }
            if (status == 404) {
                invariants.onEffectObserved(
                        proxy.name(),
                        incarnation,
                        planned.routeItem,
                        ClusterInvariantChecker.NO_EFFECT,
                        ClusterInvariantChecker.NO_EFFECT::equals,
                        sentAt,
                        simulation.now());
            } else if (status == 401) {
                invariants.onEffectObserved(
                        proxy.name(),
                        incarnation,
                        planned.keyItem,
                        "no " + planned.key,
                        keys -> !keys.contains(planned.key),
                        sentAt,
                        simulation.now());
            } else if (status == 200) {
                String service = text.split(" ")[1];
                invariants.onEffectObserved(
                        proxy.name(),
                        incarnation,
                        planned.routeItem,
                        service,
                        service::equals,
                        sentAt,
                        simulation.now());
                invariants.onEffectObserved(
                        proxy.name(),
                        incarnation,
                        planned.keyItem,
                        planned.key,
                        keys -> keys.contains(planned.key),
                        sentAt,
                        simulation.now());
            }
        });
    }
}
