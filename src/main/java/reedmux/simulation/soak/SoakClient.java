package reedmux.simulation.soak;

import java.util.Random;
import reedmux.common.eventloop.Reactor;
import reedmux.common.http1.Http1Head;
import reedmux.simulation.cluster.ClusterInvariantChecker;
import reedmux.simulation.cluster.SimulatedClients;
import reedmux.simulation.harness.OneShotHttpCall;
import reedmux.simulation.harness.PersistentHttpClient;

/**
 * A client that keeps using one proxy. It continues to send requests on its open connection, even after the proxy has
 * announced that it will close the connection, and reconnects to the same proxy until that stops running. Must be used
 * on the reactor's thread only.
 */
final class SoakClient implements PersistentHttpClient.Conversation {
    private static final long RESPONSE_TIMEOUT_MICROS = 7_000_000;
    private static final long RECONNECT_DELAY_MICROS = 20_000;
    /** The client draws a new proxy once in this many requests. */
    private static final int REQUESTS_PER_PROXY = 40;

    /** The longest is above the timeouts of the usual routes, which then determine the deadline. */
    private static final int[] TIMES_LEFT_MILLIS = {600, 2_000, 2_000, 30_000};
    /**
     * The times left if routes have timeouts of any length: the response to an answer that does not end then comes at
     * the client's own deadline, which must be before {@link #RESPONSE_TIMEOUT_MICROS}.
     */
    private static final int[] TIMES_LEFT_WITH_ANY_TIMEOUT_MILLIS = {600, 2_000, 2_000, 5_000};

    private final ClientContext context;
    private final Reactor reactor;
    private final Random random;
    private final ClusterInvariantChecker invariants;
    private final String name;
    private final int[] timesLeftMillis;
    private SoakMachine proxy;
    private int requests;
    private String id;
    private int timeLeft;
    private long sentAt;
    private boolean stopped;

    /** Creates a client; {@code anyTimeout} is whether the routes may have timeouts of any length. */
    SoakClient(ClientContext context, String name, boolean anyTimeout) {
        this.context = context;
        reactor = context.reactor();
        random = context.random();
        invariants = context.invariants();
        this.name = name;
        timesLeftMillis = anyTimeout ? TIMES_LEFT_WITH_ANY_TIMEOUT_MILLIS : TIMES_LEFT_MILLIS;
        proxy = context.anyProxy();
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
        SimulatedClients.PlannedRequest planned = context.plan().get();
        id = name + '.' + requests;
        sentAt = reactor.now();
        context.reportSent(id, proxy, planned);
        timeLeft = timesLeftMillis[random.nextInt(timesLeftMillis.length)];
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
        proxy = context.anyProxy();
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
        long waitedMillis = (reactor.now() - sentAt) / 1000;
        invariants.onServerClosed(
                id, proxy.isFaulty(sentAt), reason + " after " + waitedMillis + " of " + timeLeft + " ms");
        if (!proxy.isRunning()) {
            changeProxy();
        } else {
            reactor.scheduleAfter(RECONNECT_DELAY_MICROS, this::start);
        }
    }
}
