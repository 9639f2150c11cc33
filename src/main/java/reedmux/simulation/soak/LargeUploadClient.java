package reedmux.simulation.soak;

import java.nio.charset.StandardCharsets;
import java.util.Random;
import reedmux.common.eventloop.Reactor;
import reedmux.common.http1.Http1Head;
import reedmux.simulation.cluster.SimulatedClients;
import reedmux.simulation.harness.DigestedBody;
import reedmux.simulation.harness.PersistentHttpClient;

/**
 * A client that sends one body after the other over a kept connection, large and small ones, with a length or in
 * chunks. It goes on over the connection of a proxy that shuts down until that closes it. The checkers compare the
 * digest of what they receive. Must be used on the reactor's thread only.
 */
final class LargeUploadClient implements PersistentHttpClient.Conversation {
    /** Longer than what the kernel and the proxy hold of an unread connection; the checkers take 8 MiB at most. */
    private static final int MAX_BYTES = 8_000_000;

    private static final int MAX_SMALL_BYTES = 64_000;
    /** One in this many bodies is small. */
    private static final int SMALL_SHARE = 3;
    /** The client draws a new proxy once in this many requests. */
    private static final int REQUESTS_PER_PROXY = 6;

    private static final int TIME_LEFT_MILLIS = 10_000;
    private static final long RESPONSE_TIMEOUT_MICROS = 15_000_000;
    private static final long PAUSE_MICROS = 100_000;

    private final ClientContext context;
    private final Reactor reactor;
    private final Random random;
    private final String name;
    private SoakMachine proxy;
    private String id;
    private long sentAt;
    private int requests;
    private boolean stopped;

    LargeUploadClient(ClientContext context, Random random, String name) {
        this.context = context;
        this.random = random;
        this.name = name;
        reactor = context.reactor();
    }

    void start() {
        if (!stopped) {
            proxy = context.anyProxy();
            new PersistentHttpClient(
                            reactor,
                            proxy.address(SoakMachine.FRONT_PORT_OFFSET),
                            RESPONSE_TIMEOUT_MICROS,
                            random.nextBoolean(),
                            this)
                    .start();
        }
    }

    /** Sends no further uploads. */
    void stop() {
        stopped = true;
    }

    @Override
    public byte[] nextRequest() {
        if (stopped || ++requests % REQUESTS_PER_PROXY == 0) {
            reactor.scheduleAfter(PAUSE_MICROS, this::start);
            return null;
        }
        SimulatedClients.PlannedRequest planned = context.plan().get();
        id = name + '-' + requests;
        sentAt = reactor.now();
        context.reportSent(id, proxy, planned);
        int maxBytes = random.nextInt(SMALL_SHARE) == 0 ? MAX_SMALL_BYTES : MAX_BYTES;
        return DigestedBody.encodeRequest(
                planned.path(),
                DigestedBody.draw(random, maxBytes),
                random.nextBoolean(),
                "Reedmux-Attempt-Id: " + id + "\r\n",
                "Reedmux-Time-Left-Ms: " + TIME_LEFT_MILLIS + "\r\n",
                "Authorization: Bearer " + planned.key() + "\r\n");
    }

    @Override
    public void onResponse(Http1Head head, byte[] body) {
        String text = new String(body, StandardCharsets.UTF_8);
        String seal = head.get("Reedmux-Server-Seal");
        boolean own = seal != null && text.startsWith(seal + ' ') && text.endsWith(' ' + id);
        context.invariants().onResponse(id, head.status(), own ? seal : null, reactor.now());
    }

    @Override
    public void onLost(String reason) {
        context.invariants().onServerClosed(id, stopped || proxy.isFaulty(sentAt), reason);
        reactor.scheduleAfter(PAUSE_MICROS, this::start);
    }
}
