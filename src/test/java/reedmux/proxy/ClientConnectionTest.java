package reedmux.proxy;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import org.testng.annotations.Test;
import reedmux.common.eventloop.BufferBudget;
import reedmux.common.http1.BodyBuffer;
import reedmux.common.http1.Http1Head;
import reedmux.control.configuration.RequestLimits;
import reedmux.proxy.request.ProxyResponse;

/** Tests limits, timeouts, late responses and malformed bodies on the connection of a client. */
public class ClientConnectionTest {
    private static final long MICROS_PER_SECOND = 1_000_000;

    @Test
    public void sendsAResponseOnlyToItsOwnRequest() throws IOException {
        ClientHarness harness = new ClientHarness();
        harness.socket.receive(ClientHarness.getRequest("one"));
        harness.client.respond(harness.dispatched.get(0), ClientHarness.localResponse(503));
        harness.socket.receive(ClientHarness.getRequest("two"));
        harness.client.respond(
                harness.dispatched.get(0),
                ClientHarness.localResponse(502)); // late; must not answer the second request
        assertFalse(harness.socket.writtenText().contains("502"));
        harness.client.respond(harness.dispatched.get(1), ClientHarness.localResponse(504));
        assertTrue(harness.socket.writtenText().endsWith("told 504\n"), harness.socket.writtenText());
        assertTrue(harness.socket.writtenText().contains("Reedmux-Attempt-Id: two"));
    }

    /**
     * Guards against a second refund of the quota: a request whose body turns out to be malformed after its response
     * was sent must not be reported as abandoned.
     */
    @Test
    public void malformedBodyAfterTheResponseDoesNotAbandonTheRequest() throws IOException {
        for (boolean responseSent : new boolean[] {true, false}) {
            ClientHarness harness = new ClientHarness();
            harness.socket.receive("POST /x HTTP/1.1\r\nHost: h\r\nReedmux-Attempt-Id: a\r\n"
                    + "Transfer-Encoding: chunked\r\n\r\n90000\r\n" + "y".repeat(0x90000) + "\r\n");
            assertEquals(harness.dispatched.size(), 1);
            ClientRequestBody body = harness.dispatched.get(0).body();
            long offset = 0;
            for (byte[] block = body.blockAt(0); block != null; block = body.blockAt(offset)) {
                offset += block.length;
                assertFalse(harness.socket.isClosed()); // the block is forwarded
            }
            if (responseSent) {
                harness.client.respond(harness.dispatched.get(0), ClientHarness.localResponse(503));
            }
            harness.socket.receive("no chunk\r\n");
            assertEquals(harness.abandoned.size(), responseSent ? 0 : 1);
        }
    }

    /** The idle timeout is the one that was announced to the client or the one configured now, whichever is longer. */
    @Test
    public void keepsConnectionsOpenForTheAnnouncedIdleTime() throws IOException {
        for (long newIdleTimeout : new long[] {5 * MICROS_PER_SECOND, 15 * MICROS_PER_SECOND, 40 * MICROS_PER_SECOND}) {
            ClientHarness harness = new ClientHarness();
            harness.socket.receive(ClientHarness.getRequest("one"));
            harness.client.respond(harness.dispatched.get(0), ClientHarness.localResponse(404));
            harness.limits = new RequestLimits(300, 8 << 20, MICROS_PER_SECOND, newIdleTimeout);
            harness.advanceMicros(Math.max(12 * MICROS_PER_SECOND, newIdleTimeout / 5 * 4));
            assertFalse(
                    harness.socket.isClosed(), "closed too early; new idle timeout in microseconds: " + newIdleTimeout);
            harness.socket.receive(ClientHarness.getRequest("two"));
            assertEquals(harness.dispatched.size(), 2);
            harness.client.respond(harness.dispatched.get(1), ClientHarness.localResponse(404));
            harness.advanceMicros(newIdleTimeout / 5 * 4);
            assertFalse(harness.socket.isClosed());
            harness.advanceMicros(newIdleTimeout / 5 * 2);
            assertTrue(harness.socket.isClosed());
        }
    }

    /** A head of exactly the maximum size is accepted when it is received byte by byte; one more byte is rejected. */
    @Test
    public void acceptsAHeadOfExactlyTheLimitByteByByte() throws IOException {
        for (int excessBytes = 0; excessBytes < 2; excessBytes++) {
            ClientHarness harness = new ClientHarness();
            String head = ClientHarness.getRequest("one").replace("\r\n\r\n", "\r\nPad: \r\n\r\n");
            head = head.replace("Pad: ", "Pad: " + "p".repeat(300 + 4 + excessBytes - head.length()));
            for (int i = 0; i < head.length() && !harness.socket.isClosed(); i++) {
                harness.socket.receive(head.substring(i, i + 1));
            }
            assertEquals(harness.dispatched.size(), 1 - excessBytes);
            assertEquals(harness.socket.writtenText().startsWith("HTTP/1.1 431"), excessBytes == 1);
        }
    }

    @Test
    public void rejectsAHeadThatTakesTooLong() throws IOException {
        ClientHarness harness = new ClientHarness();
        harness.socket.receive("GET /x HT");
        harness.advanceMicros(5 * MICROS_PER_SECOND / 2);
        assertEquals(harness.socket.writtenText(), "");
        harness.advanceMicros(MICROS_PER_SECOND);
        assertTrue(harness.socket.writtenText().startsWith("HTTP/1.1 408"));
    }

    /** The client of a body whose reading the proxy has paused, because no checker takes it, must not time out. */
    @Test
    public void doesNotTimeOutABodyUnderBackPressure() throws IOException {
        ClientHarness harness = new ClientHarness();
        harness.socket.receive("POST /x HTTP/1.1\r\nHost: h\r\nReedmux-Attempt-Id: a\r\n"
                + "Content-Length: 1000000\r\n\r\n" + "y".repeat(600_000));
        harness.advanceMicros(20 * MICROS_PER_SECOND);
        ClientRequestBody body = harness.dispatched.get(0).body();
        long offset = 0;
        for (byte[] block = body.blockAt(0); block != null; block = body.blockAt(offset)) {
            offset += block.length;
            assertFalse(harness.socket.isClosed());
        }
        harness.client.checkTimeouts(harness.now(), false);
        assertFalse(harness.socket.isClosed());
        harness.socket.receive("y".repeat(400_000));
        assertTrue(body.isComplete());
    }

    /** Guards against treating the body of a deferred request as pipelined input, of which only a part is kept. */
    @Test
    public void keepsTheBodyOfADeferredRequest() throws IOException {
        ClientHarness harness = new ClientHarness();
        harness.deferRequests = true;
        harness.socket.receive("POST /x HTTP/1.1\r\nHost: h\r\nReedmux-Attempt-Id: a\r\n"
                + "Content-Length: 300000\r\n\r\n" + "y".repeat(300_000));
        assertEquals(harness.dispatched.size(), 0);
        harness.deferRequests = false;
        harness.client.resumeDeferred();
        harness.socket.receive("");
        assertEquals(harness.dispatched.size(), 1);
        ClientRequestBody body = harness.dispatched.get(0).body();
        int bufferedBytes = 0;
        for (byte[] block = body.blockAt(0); block != null; block = body.blockAt(bufferedBytes)) {
            bufferedBytes += block.length;
        }
        assertEquals(bufferedBytes, 300_000);
        assertEquals(body.length(), 300_000);
    }

    /**
     * Guards against proxies that run out of memory because of a client that sends requests but does not read: its next
     * request is read only once most of its responses were sent.
     */
    @Test
    public void readsNoFurtherRequestWhileResponsesAreUnsent() throws IOException {
        ClientHarness harness = new ClientHarness();
        harness.socket.setCapacityBytes(0);
        for (int i = 0; i < 20; i++) {
            harness.socket.receive(ClientHarness.getRequest("r" + i));
            if (harness.dispatched.size() > i) {
                BodyBuffer body = new BodyBuffer();
                body.append(new byte[100_000]);
                ProxyResponse response = new ProxyResponse.CheckerResponse(Http1Head.response(200), body, false);
                harness.client.respond(harness.dispatched.get(i), response);
            }
        }
        assertEquals(harness.dispatched.size(), 3);
        harness.client.checkTimeouts(harness.now(), true);
        assertFalse(harness.socket.isClosed(), "closed as idle with unsent responses");
        harness.socket.setCapacityBytes(1_000_000);
        harness.sockets.runReactorOnce();
        assertEquals(harness.dispatched.size(), 4);
    }

    /** Guards against answers that are cut off because the client reads them for longer than the idle timeout. */
    @Test
    public void slowReaderGetsItsWholeResponse() throws IOException {
        for (boolean last : new boolean[] {false, true}) {
            ClientHarness harness = new ClientHarness();
            harness.socket.setCapacityBytes(0);
            String request = ClientHarness.getRequest("one");
            harness.socket.receive(last ? request.replace("\r\n\r\n", "\r\nConnection: close\r\n\r\n") : request);
            BodyBuffer body = new BodyBuffer();
            body.append(new byte[100_000]);
            harness.client.respond(
                    harness.dispatched.get(0), new ProxyResponse.CheckerResponse(Http1Head.response(200), body, false));
            for (int seconds = 0; seconds < 60 && harness.socket.writtenText().length() <= 100_000; seconds++) {
                assertFalse(harness.socket.isClosed(), "closed after " + seconds + " s");
                harness.socket.setCapacityBytes(2_000);
                harness.advanceMicros(MICROS_PER_SECOND);
            }
            assertTrue(harness.socket.writtenText().length() > 100_000);
            assertFalse(harness.socket.isClosed() && !last);
        }
    }

    /** A client that does not read at all is disconnected after the timeout. */
    @Test
    public void clientThatReadsNothingIsDisconnected() throws IOException {
        ClientHarness harness = new ClientHarness();
        harness.socket.setCapacityBytes(0);
        harness.socket.receive(ClientHarness.getRequest("one"));
        harness.client.respond(harness.dispatched.get(0), ClientHarness.localResponse(200));
        harness.advanceMicros(17 * MICROS_PER_SECOND);
        assertTrue(harness.socket.isClosed());
    }

    /** Guards against an overflow: with the largest limit that can be configured, a head may come in two parts. */
    @Test
    public void acceptsAHeadInPartsUnderTheLargestLimit() throws IOException {
        ClientHarness harness = new ClientHarness();
        harness.limits = new RequestLimits(Integer.MAX_VALUE, Long.MAX_VALUE, Long.MAX_VALUE, Long.MAX_VALUE);
        harness.socket.receive(ClientHarness.getRequest("one").substring(0, 20));
        harness.advanceMicros(MICROS_PER_SECOND);
        harness.socket.receive(ClientHarness.getRequest("one").substring(20));
        assertEquals(harness.dispatched.size(), 1, harness.socket.writtenText());
    }

    /** Guards against proxies that run out of memory because of many bodies: the largest one is rejected. */
    @Test
    public void rejectsTheLargestBodyWhenTheBuffersAreFull() throws IOException {
        ClientHarness harness = new ClientHarness();
        harness.socket.receive("POST /x HTTP/1.1\r\nHost: h\r\nReedmux-Attempt-Id: a\r\n"
                + "Content-Length: 400000\r\n\r\n" + "y".repeat(300_000));
        BufferBudget budget = harness.sockets.reactor().bufferBudget();
        while (budget.totalBytes() < budget.limitBytes()) {
            budget.openAccount(() -> {}).report(200_000);
        }
        harness.sockets.execute(() -> {});
        harness.sockets.runReactorOnce();
        assertTrue(harness.socket.writtenText().startsWith("HTTP/1.1 503"), harness.socket.writtenText());
        assertTrue(harness.socket.writtenText().contains("Retry-After: "));
        assertEquals(harness.dispatched.size(), 0);
        assertEquals(harness.abandoned.size(), 1);
    }

    /**
     * A client that sends more pipelined input than is buffered receives one response, and discarded input is never
     * parsed as a request.
     */
    @Test
    public void closesAfterTheResponseIfPipelinedInputWasDiscarded() throws IOException {
        ClientHarness harness = new ClientHarness();
        harness.socket.receive(ClientHarness.getRequest("one"));
        harness.socket.receive(ClientHarness.getRequest("two") + "y".repeat(100_000));
        harness.socket.receive(ClientHarness.getRequest("three"));
        harness.client.respond(harness.dispatched.get(0), ClientHarness.localResponse(200));
        harness.advanceMicros(MICROS_PER_SECOND);
        assertTrue(harness.socket.writtenText().contains("Connection: close"), harness.socket.writtenText());
        assertTrue(harness.socket.isClosed());
        assertEquals(harness.dispatched.size(), 1);
    }

    /**
     * The client disconnects together with its request: the request is abandoned without being dispatched, so that its
     * quota is refunded.
     */
    @Test
    public void doesNotDispatchARequestWhoseClientHasDisconnected() throws IOException {
        for (int pipelinedBytes : new int[] {0, 100, 300_000, -1}) {
            ClientHarness harness = new ClientHarness();
            harness.socket.receiveAndEnd(
                    ClientHarness.getRequest("one") + "y".repeat(Math.max(0, pipelinedBytes)), pipelinedBytes < 0);
            harness.sockets.runReactorOnce();
            assertEquals(harness.dispatched.size(), 0);
            assertEquals(harness.abandoned.size(), 1);
            assertEquals(harness.closedCount, 1);
        }
    }

    /**
     * Before a retry the socket is polled: a disconnect that the reactor has not reported yet is detected at once, and
     * handled in the next turn.
     */
    @Test
    public void detectsADisconnectBeforeTheReactorReportsIt() throws IOException {
        ClientHarness harness = new ClientHarness();
        harness.socket.receive(ClientHarness.getRequest("one"));
        ClientRequest request = harness.dispatched.get(0);
        harness.sockets.advanceMicros(MICROS_PER_SECOND);
        assertFalse(harness.client.hasDisconnected(request));
        harness.socket.endInputWithoutEvent();
        assertTrue(harness.client.hasDisconnected(request));
        assertEquals(harness.abandoned.size(), 0);
        harness.sockets.runReactorOnce();
        assertEquals(harness.abandoned.size(), 1);
    }

    /** review/6: the body of a refused HEAD request was read where the next answer was due. */
    @Test
    public void refusedHeadRequestGetsNoBody() throws IOException {
        ClientHarness harness = new ClientHarness();
        harness.rejection = ClientHarness.localResponse(429);
        harness.socket.receive("HEAD /x HTTP/1.1\r\nHost: h\r\nReedmux-Attempt-Id: a\r\n\r\n");
        String first = harness.socket.writtenText();
        assertTrue(first.startsWith("HTTP/1.1 429") && first.endsWith("\r\n\r\n"), first);
        harness.socket.receive("GET /x HTTP/1.1\r\nHost: h\r\nReedmux-Attempt-Id: b\r\n\r\n");
        String second = harness.socket.writtenText().substring(first.length());
        assertTrue(second.startsWith("HTTP/1.1 429") && !second.endsWith("\r\n\r\n"), second);
        assertFalse(harness.socket.isClosed());
    }

    /** A HEAD request that is dispatched and answered by the proxy itself gets no body either. */
    @Test
    public void headRequestThatNoCheckerAnsweredGetsNoBody() throws IOException {
        ClientHarness harness = new ClientHarness();
        harness.socket.receive("HEAD /x HTTP/1.1\r\nHost: h\r\nReedmux-Attempt-Id: a\r\nContent-Length: 0\r\n\r\n");
        harness.client.respond(harness.dispatched.get(0), ClientHarness.localResponse(503));
        String response = harness.socket.writtenText();
        assertTrue(response.startsWith("HTTP/1.1 503") && response.endsWith("\r\n\r\n"), response);
    }

    /** Guards against a connection that is closed without an answer to what cannot be read after an earlier request. */
    @Test
    public void malformedLaterRequestIsAnswered() throws IOException {
        ClientHarness harness = new ClientHarness();
        harness.socket.receive(ClientHarness.getRequest("one"));
        harness.client.respond(harness.dispatched.get(0), ClientHarness.localResponse(404));
        int answered = harness.socket.writtenText().length();
        harness.socket.receive("no request line\r\n\r\n");
        String second = harness.socket.writtenText().substring(answered);
        assertTrue(second.startsWith("HTTP/1.1 400"), second);
        assertTrue(second.contains("Connection: close"), second);
    }

    /** Guards against a connection that is closed without an answer to a later head that takes too long. */
    @Test
    public void laterHeadThatTakesTooLongIsAnswered() throws IOException {
        ClientHarness harness = new ClientHarness();
        harness.socket.receive(ClientHarness.getRequest("one"));
        harness.client.respond(harness.dispatched.get(0), ClientHarness.localResponse(404));
        int answered = harness.socket.writtenText().length();
        harness.socket.receive("GET /x HT");
        harness.advanceMicros(4 * MICROS_PER_SECOND);
        String second = harness.socket.writtenText().substring(answered);
        assertTrue(second.startsWith("HTTP/1.1 408"), second);
    }
}
