package reedmux.http;

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
import reedmux.core.CallResult;
import reedmux.core.CallResult.Stage;
import reedmux.core.Clock;
import reedmux.policy.Gateway.Outcome;

/** Calls that get no connection at all end at once, and as never run. */
final class CallsTest {
    private static final Connection.Origin PROVIDER =
            new Connection.Origin("s-1", new InetSocketAddress("127.0.0.1", 9));

    private static List<CallResult> started(Calls calls) {
        List<CallResult> ends = new ArrayList<>();
        calls.start(PROVIDER, OutgoingRequest.get("/", "127.0.0.1:9"), ends::add);
        return ends;
    }

    @Test
    void withoutAPlaceForAConnection() {
        List<CallResult> ends = started(new Calls(null, new Clock(), Calls.Room.of(0), 1));
        assertEquals(List.of(new CallResult.Broken(Stage.CONNECTING, "all connections are in use")), ends);
        assertEquals(Outcome.CONNECT_FAILED, ends.get(0).outcome());
    }

    /** As at the very end of leaving; the place goes back, or the next call would find none. */
    @Test
    void whenTheReactorTakesNoMore() {
        Calls calls = new Calls(
                (host, remote, local, timeout, attachment, callback) -> {
                    throw new IllegalStateException("shut down");
                },
                new Clock(),
                Calls.Room.of(1),
                1);
        for (int i = 0; i < 3; i++) {
            assertEquals(List.of(new CallResult.Broken(Stage.CONNECTING, "shut down")), started(calls));
        }
    }

    /** There is no DNS: a thread that asks it for the name of an address stands still for 20 s. */
    @Test
    void noNameIsLookedUpForAnAddress() throws Exception {
        InetAddress address = InetAddress.getByAddress(new byte[] {127, 0, 0, 1});
        Calls calls = new Calls(
                (host, remote, local, timeout, attachment, callback) -> {
                    assertEquals("127.0.0.1", host.getHostName());
                    throw new IllegalStateException("shut down");
                },
                new Clock(),
                Calls.Room.of(1),
                1);
        List<CallResult> ends = new ArrayList<>();
        calls.start(
                new Connection.Origin("s-1", new InetSocketAddress(address, 9)),
                OutgoingRequest.get("/", "127.0.0.1:9"),
                ends::add);
        assertEquals(1, ends.size());
        assertEquals("/127.0.0.1", address.toString(), "an address keeps the name that was found for it");
    }

    /** At its very first look a sweep took an answer of which only the head had come for one at a halt. */
    @Test
    void aLongAnswerIsGivenUpOnlyWhenNothingOfItHasComeForLong() throws Exception {
        Clock clock = new Clock();
        Calls calls = new Calls(null, clock, Calls.Room.of(1), 1);
        List<CallResult.Answered> begun = new ArrayList<>();
        CallExchange exchange = new CallExchange(
                calls, PROVIDER, OutgoingRequest.get("/", "127.0.0.1:9"), () -> {}, begun::add, result -> {});
        exchange.consumeResponse(new BasicHttpResponse(200), new BasicEntityDetails(300_000, null), null);
        long now = clock.now();
        exchange.stopIfHalted(now);
        exchange.stopIfHalted(now + 14_000_000);
        assertFalse(exchange.stopped());
        exchange.consume(ByteBuffer.allocate(10));
        exchange.stopIfHalted(now + 16_000_000);
        exchange.stopIfHalted(now + 30_000_000);
        assertFalse(exchange.stopped(), "ten bytes have come");
        exchange.stopIfHalted(now + 32_000_000);
        assertTrue(exchange.stopped());
        assertEquals(1, begun.size());
    }
}
