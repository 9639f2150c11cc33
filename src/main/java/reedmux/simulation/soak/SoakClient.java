package reedmux.simulation.soak;

import java.util.List;
import java.util.Random;
import java.util.function.Supplier;
import reedmux.common.eventloop.Reactor;
import reedmux.common.http1.Http1Head;
import reedmux.simulation.cluster.ClusterInvariantChecker;
import reedmux.simulation.cluster.SimulatedClients;
import reedmux.simulation.harness.OneShotHttpCall;
import reedmux.simulation.harness.PersistentHttpClient;

/**
 * A client that stays with one proxy: it goes on over its open connection, also when it is told that this closes, and
 * comes back to the same proxy until that refuses its connections. For the reactor's thread.
 */
final class SoakClient implements PersistentHttpClient.Conversation {
    private static final long RESPONSE_TIMEOUT_MICROS = 7_000_000;
    private static final long RECONNECT_DELAY_MICROS = 20_000;
    /** Of so many requests one is the last one to its proxy. */
    private static final int REQUESTS_PER_PROXY = 40;

    private static final int[] TIMES_LEFT_MILLIS = {600, 2_000, 2_000, 30_000};

    private final Reactor reactor;
    private final Random random;
    private final ClusterInvariantChecker invariants;
    private final Supplier<SimulatedClients.PlannedRequest> plan;
    private final List<SoakMachine> proxies;
    private final String name;
    private SoakMachine proxy;
    private int requests;
    private String id;
    private long sentAt;
    private boolean stopped;

    /** {@code proxies}: a live list. */
    SoakClient(
            Reactor reactor,
            Random random,
            ClusterInvariantChecker invariants,
            Supplier<SimulatedClients.PlannedRequest> plan,
            List<SoakMachine> proxies,
            String name) {
        this.reactor = reactor;
        this.random = random;
        this.invariants = invariants;
        this.plan = plan;
        this.proxies = proxies;
        this.name = name;
        proxy = proxies.get(random.nextInt(proxies.size()));
    }

    void start() {
        if (stopped) {
            return;
        }
        new PersistentHttpClient(
                        reactor,
                        proxy.address(SoakMachine.FRONT_PORT_OFFSET),
                        RESPONSE_TIMEOUT_MICROS,
                        random.nextBoolean(),
                        this)
                .start();
    }

    void stop() {
        stopped = true;
    }

    @Override
    public byte[] nextRequest() {
        if (stopped || ++requests % REQUESTS_PER_PROXY == 0) {
            changeProxy();
            return null;
        }
        SimulatedClients.PlannedRequest planned = plan.get();
        id = name + '.' + requests;
        sentAt = reactor.now();
        invariants.onRequestSent(
                id,
                proxy.name(),
                planned.idempotent(),
                planned.tenant(),
                planned.service(),
                planned.routeItem(),
                sentAt);
        int timeLeft = TIMES_LEFT_MILLIS[random.nextInt(TIMES_LEFT_MILLIS.length)];
        return OneShotHttpCall.request(
                planned.idempotent() ? "GET" : "POST",
                planned.path(),
                "h.example",
                planned.idempotent() ? "" : "some body",
                "Reedmux-Attempt-Id: " + id + "\r\n",
                "Reedmux-Time-Left-Ms: " + timeLeft + "\r\n",
                "Authorization: Bearer " + planned.key() + "\r\n");
    }

    private void changeProxy() {
        proxy = proxies.get(random.nextInt(proxies.size()));
        reactor.scheduleAfter(RECONNECT_DELAY_MICROS, this::start);
    }

    @Override
    public void onResponse(Http1Head head, byte[] body) {
        String text = new String(body, java.nio.charset.StandardCharsets.UTF_8);
        String seal = head.get("Reedmux-Server-Seal");
        boolean own = seal != null && text.startsWith(seal + ' ') && text.endsWith(' ' + id);
        invariants.onResponse(id, head.status(), own ? seal : null, reactor.now());
    }

    @Override
    public void onLost(String reason) {
        invariants.onServerClosed(id, proxy.isFaulty(sentAt));
        if (!proxy.isRunning()) {
            changeProxy();
        } else {
            reactor.scheduleAfter(RECONNECT_DELAY_MICROS, this::start);
        }
    }
}
