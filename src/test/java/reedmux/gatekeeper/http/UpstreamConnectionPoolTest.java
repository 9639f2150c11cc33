package reedmux.gatekeeper.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import org.apache.hc.core5.http.impl.BasicEntityDetails;
import org.apache.hc.core5.http.message.BasicHttpResponse;
import org.junit.jupiter.api.Test;
import reedmux.common.time.MonotonicClock;
import reedmux.gatekeeper.policy.TrafficPolicy.AttemptOutcome;
import reedmux.gatekeeper.reducer.CallResult;
import reedmux.gatekeeper.reducer.CallResult.CallStage;

/** Tests of calls without a connection, which fail immediately as never run, and of stalled responses. */
final class UpstreamConnectionPoolTest {
    private static final UpstreamConnection.UpstreamEndpoint PROVIDER =
            new UpstreamConnection.UpstreamEndpoint("s-1", new InetSocketAddress("127.0.0.1", 9));

    private static List<CallResult> executeCall(UpstreamConnectionPool pool) {
        List<CallResult> results = new ArrayList<>();
        pool.execute(PROVIDER, UpstreamRequest.get("/", "127.0.0.1:9"), results::add);
        return results;
    }

    @Test
    void failsWhenNoConnectionPermitIsLeft() {
        List<CallResult> results = executeCall(new UpstreamConnectionPool(
                null, new MonotonicClock(), UpstreamConnectionPool.ConnectionPermits.fixed(0), 1));
        assertEquals(
                List.of(new CallResult.ConnectionBroken(CallStage.CONNECTING, "all connections are in use")), results);
        assertEquals(AttemptOutcome.CONNECT_FAILED, results.get(0).outcome());
    }

    /**
     * The reactor is shut down at the end of a graceful shutdown. The permit must be released, or the next call would
     * find none.
     */
    @Test
    void returnsThePermitWhenTheReactorIsShutDown() {
        UpstreamConnectionPool pool = new UpstreamConnectionPool(
                (host, remote, local, timeout, attachment, callback) -> {
                    throw new IllegalStateException("shut down");
                },
                new MonotonicClock(),
                UpstreamConnectionPool.ConnectionPermits.fixed(1),
                1);
        for (int i = 0; i < 3; i++) {
            assertEquals(
                    List.of(new CallResult.ConnectionBroken(CallStage.CONNECTING, "shut down")), executeCall(pool));
        }
    }

    /** Without DNS, a thread that resolves the name of an address blocks for 20 s. */
    @Test
    void connectsWithoutNameResolution() throws Exception {
        InetAddress address = InetAddress.getByAddress(new byte[] {127, 0, 0, 1});
        UpstreamConnectionPool pool = new UpstreamConnectionPool(
                (host, remote, local, timeout, attachment, callback) -> {
                    assertEquals("127.0.0.1", host.getHostName());
                    throw new IllegalStateException("shut down");
                },
                new MonotonicClock(),
                UpstreamConnectionPool.ConnectionPermits.fixed(1),
                1);
        List<CallResult> results = new ArrayList<>();
        pool.execute(
                new UpstreamConnection.UpstreamEndpoint("s-1", new InetSocketAddress(address, 9)),
                UpstreamRequest.get("/", "127.0.0.1:9"),
                results::add);
        assertEquals(1, results.size());
        assertEquals("/127.0.0.1", address.toString(), "a reverse lookup would have stored a host name in the address");
    }

    /**
     * Guards against a sweep that took a response for stalled at its first check, when only the head had been received.
     */
    @Test
    void abortsAStreamedResponseOnlyAfterAStall() throws Exception {
        MonotonicClock clock = new MonotonicClock();
        UpstreamConnectionPool pool =
                new UpstreamConnectionPool(null, clock, UpstreamConnectionPool.ConnectionPermits.fixed(1), 1);
        List<CallResult.ResponseReceived> streamedResponses = new ArrayList<>();
        UpstreamExchange exchange = new UpstreamExchange(
                pool,
                PROVIDER,
                UpstreamRequest.get("/", "127.0.0.1:9"),
                () -> {},
                streamedResponses::add,
                result -> {});
        exchange.consumeResponse(new BasicHttpResponse(200), new BasicEntityDetails(300_000, null), null);
        long now = clock.now();
        exchange.abortIfStalled(now);
        exchange.abortIfStalled(now + 14_000_000);
        assertFalse(exchange.isAborted());
        exchange.consume(ByteBuffer.allocate(10));
        exchange.abortIfStalled(now + 16_000_000);
        exchange.abortIfStalled(now + 30_000_000);
        assertFalse(exchange.isAborted(), "ten bytes were received");
        exchange.abortIfStalled(now + 32_000_000);
        assertTrue(exchange.isAborted());
        assertEquals(1, streamedResponses.size());
    }
}
