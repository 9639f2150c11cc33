package reedmux.proxy;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.util.List;
import org.testng.annotations.Test;

/** Responses that are sent while the body of the request is still being received, and what becomes of the rest. */
public class EarlyResponseTest {
    private static final long MICROS_PER_SECOND = 1_000_000;

    private static String uploadHead(String attemptId, String framing) {
        return "POST /x HTTP/1.1\r\nHost: h\r\nReedmux-Attempt-Id: " + attemptId + "\r\n" + framing + "\r\n\r\n";
    }

    private static void forward(ClientRequestBody body) {
        long offset = 0;
        for (byte[] block = body.blockAt(0); block != null; block = body.blockAt(offset)) {
            offset += block.length;
        }
    }

    /**
     * Guards against a connection that is closed although its response announced that it stays open: what had come of
     * the body before the response counted as discarded.
     */
    @Test
    public void connectionWithLittleOfALongBodyLeftCarriesTheNextRequest() throws IOException {
        ClientHarness harness = new ClientHarness();
        harness.socket.receive(uploadHead("up", "Content-Length: 3000000") + "y".repeat(600_000));
        forward(harness.dispatched.get(0).body());
        for (int part = 0; part < 5; part++) {
            harness.socket.receive("y".repeat(400_000));
            forward(harness.dispatched.get(0).body());
        }
        harness.client.respond(harness.dispatched.get(0), ClientHarness.localResponse(200));
        assertTrue(harness.socket.writtenText().contains("Keep-Alive: "), harness.socket.writtenText());
        harness.socket.receive("y".repeat(400_000) + ClientHarness.getRequest("next"));
        harness.sockets.runReactorOnce();
        assertEquals(harness.dispatched.size(), 2);
    }

    /** If more of a body may follow than is discarded, the response says that the connection will be closed. */
    @Test
    public void earlyResponseToALongBodyAnnouncesTheEndOfTheConnection() throws IOException {
        for (String framing : List.of("Content-Length: 3000000", "Transfer-Encoding: chunked")) {
            ClientHarness harness = new ClientHarness();
            String start = framing.startsWith("T") ? "90000\r\n" + "y".repeat(0x90000) : "y".repeat(0x90000);
            harness.socket.receive(uploadHead("up", framing) + start);
            harness.client.respond(harness.dispatched.get(0), ClientHarness.localResponse(200));
            assertTrue(harness.socket.writtenText().contains("Connection: close"), harness.socket.writtenText());
            for (int part = 0; part < 8; part++) { // a client that sends all before it reads
                harness.advanceMicros(MICROS_PER_SECOND / 4);
                assertFalse(harness.socket.isClosed(), "closed while input goes on");
                harness.socket.receive("y".repeat(10_000));
            }
            harness.advanceMicros(MICROS_PER_SECOND);
            assertTrue(harness.socket.isClosed());
            assertEquals(harness.dispatched.size(), 1);
        }
    }

    /**
     * Guards against a request that is read as the body of a rejected one: a client that awaits 100 Continue need not
     * send its body after a rejection.
     */
    @Test
    public void rejectionWithoutContinueEndsTheConnection() throws IOException {
        ClientHarness harness = new ClientHarness();
        harness.rejection = ClientHarness.localResponse(429);
        harness.socket.receive(uploadHead("up", "Content-Length: 80\r\nExpect: 100-continue"));
        assertTrue(harness.socket.writtenText().contains("Connection: close"), harness.socket.writtenText());
        harness.rejection = null;
        harness.socket.receive(ClientHarness.getRequest("next"));
        assertEquals(harness.dispatched.size(), 0);
        harness.advanceMicros(2 * MICROS_PER_SECOND);
        assertTrue(harness.socket.isClosed());
    }

    /**
     * Guards against an executed request without an answer: a checker may execute a request of which a part has
     * arrived, and a client that pauses within its body for longer than the idle timeout was disconnected.
     */
    @Test
    public void clientThatPausesWithinADispatchedBodyIsAnswered() throws IOException {
        ClientHarness harness = new ClientHarness();
        harness.socket.receive(uploadHead("up", "Content-Length: 3000000") + "y".repeat(600_000));
        forward(harness.dispatched.get(0).body());
        harness.advanceMicros(17 * MICROS_PER_SECOND);
        assertTrue(harness.socket.writtenText().startsWith("HTTP/1.1 504"), harness.socket.writtenText());
        assertTrue(harness.socket.isClosed());
        assertEquals(harness.abandoned.size(), 1);
    }

    /** A client that goes on sending after its last response is disconnected in the end. */
    @Test
    public void inputWithoutEndAfterTheLastResponseIsCutOff() throws IOException {
        ClientHarness harness = new ClientHarness();
        harness.socket.receive(uploadHead("up", "Content-Length: 8000000") + "y".repeat(0x90000));
        harness.client.respond(harness.dispatched.get(0), ClientHarness.localResponse(200));
        for (int part = 0; part < 60 && !harness.socket.isClosed(); part++) {
            harness.advanceMicros(MICROS_PER_SECOND / 4);
            harness.socket.receive("y".repeat(1_000));
        }
        assertTrue(harness.socket.isClosed());
    }

    /** Guards against connections that stay open for ever: the rest of a body whose request is answered never comes. */
    @Test
    public void clientThatDoesNotSendTheRestOfAnAnsweredBodyIsDisconnected() throws IOException {
        ClientHarness harness = new ClientHarness();
        harness.socket.receive("POST /x HTTP/1.1\r\nHost: h\r\nReedmux-Attempt-Id: a\r\nContent-Length: 900000\r\n\r\n"
                + "y".repeat(600_000));
        harness.client.respond(harness.dispatched.get(0), ClientHarness.localResponse(503));
        for (int part = 0; part < 3; part++) {
            harness.advanceMicros(12 * MICROS_PER_SECOND);
            assertFalse(harness.socket.isClosed(), "closed while the body comes slowly");
            harness.socket.receive("y".repeat(1_000));
        }
        harness.advanceMicros(17 * MICROS_PER_SECOND);
        assertTrue(harness.socket.isClosed());
        assertEquals(harness.abandoned.size(), 0);
    }
}
