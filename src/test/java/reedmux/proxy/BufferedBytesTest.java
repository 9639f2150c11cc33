package reedmux.proxy;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotNull;
import static org.testng.Assert.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.Test;
import reedmux.common.eventloop.BufferBudget;
import reedmux.common.eventloop.ScriptedEnvironment;
import reedmux.proxy.request.ProxyResponse;

/**
 * Guards against proxies that run out of memory by what their peers send: answers that do not end, answers and bodies
 * in small pieces, and many bodies at once.
 */
public class BufferedBytesTest {
    private static final int PIECE_BYTES = 64 * 1024;
    private static final String CHUNK = Integer.toHexString(PIECE_BYTES) + "\r\n" + "x".repeat(PIECE_BYTES) + "\r\n";
    private static final String ANSWER_HEAD = "HTTP/1.1 200 OK\r\nReedmux-Server-Seal: s\r\n";

    /** Answers that do not end are given up, one after the other; a sound answer between them arrives. */
    @Test
    public void endlessAnswersEndOnlyTheirOwnRequests() {
        CheckerHarness harness = new CheckerHarness(12);
        BufferBudget budget = harness.sockets.reactor().bufferBudget();
        for (int i = 0; i < 12; i++) {
            harness.accept("r" + i, false, null);
            harness.sockets.sockets.get(i).completeConnect();
        }
        List<ScriptedEnvironment.ScriptedSocket> endless = new ArrayList<>(harness.sockets.sockets.subList(1, 12));
        ScriptedEnvironment.ScriptedSocket sound = harness.sockets.sockets.get(0);
        sound.receive(ANSWER_HEAD + "Reedmux-Attempt-Id: r0\r\nContent-Length: 1000000\r\n\r\n" + "y".repeat(600_000));
        for (int i = 1; i < 12; i++) {
            harness.sockets.sockets.get(i).receive(ANSWER_HEAD + "Transfer-Encoding: chunked\r\n\r\n");
        }
        for (int round = 0; !endless.isEmpty(); round++) {
            assertTrue(round < 300, endless.size() + " endless answers are still being read");
            for (ScriptedEnvironment.ScriptedSocket socket : endless) {
                socket.receive(CHUNK);
                assertTrue(budget.totalBytes() <= budget.limitBytes(), budget.totalBytes() + " bytes");
            }
            endless.removeIf(ScriptedEnvironment.ScriptedSocket::isClosed);
        }
        sound.receive("y".repeat(400_000));
        ProxyResponse response = harness.responses.get("r0");
        assertEquals(((ProxyResponse.CheckerResponse) response).body().length(), 1_000_000);
        assertEquals(budget.totalBytes(), 0);
        assertTrue(budget.releasedOwners() > 0);
    }

    /** An announced length reserves no memory before the bytes have arrived. */
    @Test
    public void announcedLengthReservesNothing() {
        CheckerHarness harness = new CheckerHarness(1);
        harness.accept("one", false, null);
        harness.sockets.sockets.get(0).completeConnect();
        harness.sockets.sockets.get(0).receive(ANSWER_HEAD + "Content-Length: 15000000\r\n\r\n0123456789");
        long held = harness.sockets.reactor().bufferBudget().totalBytes();
        assertTrue(held < 10_000, held + " bytes");
    }

    /** An answer in chunks of one byte occupies little more than its content. */
    @Test
    public void answerInSmallChunksOccupiesLittleMore() {
        CheckerHarness harness = new CheckerHarness(1);
        harness.accept("one", false, null);
        ScriptedEnvironment.ScriptedSocket socket = harness.sockets.sockets.get(0);
        socket.completeConnect();
        socket.receive(ANSWER_HEAD + "Reedmux-Attempt-Id: one\r\nTransfer-Encoding: chunked\r\n\r\n");
        for (int i = 0; i < 100; i++) {
            socket.receive("1\r\nz\r\n".repeat(2000));
        }
        long held = harness.sockets.reactor().bufferBudget().totalBytes();
        assertTrue(held >= 200_000 && held < 300_000, held + " bytes");
        socket.receive("0\r\n\r\n");
        ProxyResponse.CheckerResponse response = (ProxyResponse.CheckerResponse) harness.responses.get("one");
        assertEquals(new String(response.body().toByteArray(), StandardCharsets.US_ASCII), "z".repeat(200_000));
    }

    /** Any number of bodies share the budget evenly, and each continues once it was read. */
    @Test
    public void manyBodiesShareTheBudget() {
        BufferBudget budget = new ScriptedEnvironment().reactor().bufferBudget();
        List<ClientRequestBody> bodies = new ArrayList<>();
        for (int i = 0; i < 300; i++) {
            bodies.add(new ClientRequestBody(10_000_000, budget));
        }
        for (int round = 0; round < 20; round++) {
            for (ClientRequestBody body : bodies) {
                if (!body.isFull()) {
                    body.append(new byte[8 * 1024]);
                }
            }
        }
        assertTrue(budget.totalBytes() <= budget.limitBytes(), budget.totalBytes() + " bytes");
        for (ClientRequestBody body : bodies) {
            assertTrue(body.isFull() && body.isReadyToSend() && !body.isDiscarded());
        }
        for (ClientRequestBody body : bodies) {
            boolean[] resumed = {false};
            body.setCapacityListener(() -> resumed[0] = true);
            long offset = 0;
            for (byte[] block = body.blockAt(0); block != null; block = body.blockAt(offset)) {
                offset += block.length;
                assertFalse(body.isReplayable());
            }
            assertTrue(resumed[0], "reading would never be resumed");
            body.release();
        }
        assertEquals(budget.totalBytes(), 0);
    }

    /** A streamed body in pieces of one byte occupies no memory for the pieces that were read. */
    @Test
    public void streamedBodyInSmallPiecesOccupiesNothingForWhatWasRead() {
        BufferBudget budget = new ScriptedEnvironment().reactor().bufferBudget();
        ClientRequestBody body = new ClientRequestBody(-1, budget);
        int sent = 0;
        for (int i = 0; i < 100_000; i++) {
            body.append(new byte[1]);
            if (i % 1000 == 999) {
                for (byte[] block = body.blockAt(sent); block != null; block = body.blockAt(sent)) {
                    sent += block.length;
                }
                assertEquals(budget.totalBytes(), 0);
            }
        }
        body.finish();
        assertTrue(body.endsAt(100_000));
        assertFalse(body.endsAt(0));
        assertEquals(sent, 100_000);
    }

    /** A body that was discarded while its request was sent ends the attempt, which may have been executed. */
    @Test
    public void discardedBodyEndsItsAttempt() {
        CheckerHarness harness = new CheckerHarness(1);
        harness.sockets.socketCapacityBytes = 1000;
        harness.accept("one", false, "z".repeat(400_000));
        harness.sockets.sockets.get(0).completeConnect();
        BufferBudget budget = harness.sockets.reactor().bufferBudget();
        while (budget.totalBytes() < budget.limitBytes()) {
            budget.openAccount(() -> {}).report(300_000);
        }
        harness.sockets.execute(() -> {});
        harness.sockets.runReactorOnce();
        assertTrue(harness.sockets.sockets.get(0).isClosed());
        ProxyResponse response = harness.responses.get("one");
        assertNotNull(response, "no response");
        assertEquals(((ProxyResponse.LocalResponse) response).status(), 502);
    }
}
