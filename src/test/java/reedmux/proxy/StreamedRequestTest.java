package reedmux.proxy;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import reedmux.common.eventloop.ScriptedEnvironment;
import reedmux.testing.ScheduleExplorer;

/**
 * Bodies that are longer than what the kernel and the output queue hold, so that the proxy still has a part of them
 * when the client has sent all: what a checker receives, and whether its connection carries another request.
 */
public class StreamedRequestTest {
    private static final int PIECE_BYTES = 64 * 1024;
    private static final int PIECES = 11;
    private static final int KERNEL_BYTES = 150_000;
    /** What the kernel accepts before the client has sent all: about half of the body. */
    private static final int FIRST_BYTES = 6 * PIECE_BYTES;

    private static final int STEPS = 6;
    private static final String LAST_CHUNK = "0\r\n\r\n";

    private final String body = pieces(0, PIECES);

    private static String pieces(int first, int last) {
        StringBuilder text = new StringBuilder();
        for (int i = first; i < last; i++) {
            text.append(Character.toString('a' + i).repeat(PIECE_BYTES));
        }
        return text.toString();
    }

    @DataProvider
    public Object[][] declaredLengths() {
        return new Object[][] {{(long) PIECES * PIECE_BYTES}, {-1L}};
    }

    /**
     * review/5: a checker that read late got a chunked body that was complete by its framing and lacked its end, or
     * waited for the rest of a body with a length.
     */
    @Test(dataProvider = "declaredLengths")
    public void wholeBodyArrivesAtCheckerThatReadsLate(long declaredLength) {
        CheckerHarness harness = new CheckerHarness(1);
        ClientRequestBody requestBody = startUpload(harness, declaredLength);
        ScriptedEnvironment.ScriptedSocket socket = harness.sockets.sockets.get(0);
        socket.setCapacityBytes(FIRST_BYTES);
        finish(requestBody);
        socket.setCapacityBytes(Long.MAX_VALUE);
        assertEquals(received(socket.writtenText(), declaredLength), new Received(body, true, ""));
    }

    /** review/4: another request was sent where the checker still expected the rest of a body. */
    @Test(dataProvider = "declaredLengths")
    public void connectionWithUnsentBodyIsNotReusedAfterEarlyAnswer(long declaredLength) {
        CheckerHarness harness = new CheckerHarness(1);
        ClientRequestBody requestBody = startUpload(harness, declaredLength);
        ScriptedEnvironment.ScriptedSocket socket = harness.sockets.sockets.get(0);
        socket.setCapacityBytes(FIRST_BYTES);
        finish(requestBody);
        socket.setCapacityBytes(3 * PIECE_BYTES); // what was queued, but not the rest of the body
        socket.receive(CheckerHarness.okResponse("up"));
        harness.accept("order", false, "data");
        assertTrue(socket.isClosed());
        assertFalse(socket.writtenText().contains("order"));
        assertTrue(harness.responses.containsKey("up"));
    }

    /** All orders of a client that finishes, a kernel that accepts some bytes, and a checker that answers. */
    @Test(dataProvider = "declaredLengths")
    public void everyRequestOnConnectionIsWholeInAllOrders(long declaredLength) {
        int[] reused = {0};
        int schedules = ScheduleExplorer.exploreAll(10_000, explorer -> {
            CheckerHarness harness = new CheckerHarness(1);
            ClientRequestBody requestBody = startUpload(harness, declaredLength);
            ScriptedEnvironment.ScriptedSocket socket = harness.sockets.sockets.get(0);
            boolean answered = false;
            for (int step = 0; step < STEPS; step++) {
                switch (explorer.choose(3)) {
                    case 0 -> socket.setCapacityBytes(KERNEL_BYTES);
                    case 1 -> finish(requestBody);
                    default -> {
                        if (!answered) {
                            socket.receive(CheckerHarness.okResponse("up"));
                            answered = true;
                        }
                    }
                }
            }
            finish(requestBody);
            socket.setCapacityBytes(Long.MAX_VALUE);
            if (!answered) {
                socket.receive(CheckerHarness.okResponse("up"));
            }
            harness.accept("order", false, "data");
            Received received = received(socket.writtenText(), declaredLength);
            assertTrue(body.startsWith(received.body()), "the body was changed");
            assertEquals(received.complete(), received.body().equals(body), "the end of the body");
            assertTrue(received.complete() || socket.isClosed(), "an open connection without a whole request");
            assertTrue(received.rest().isEmpty() || received.complete(), "a request within a body");
            reused[0] += received.rest().startsWith("POST /x") ? 1 : 0;
        });
        assertTrue(schedules >= 729 && reused[0] > 0, schedules + " schedules, reused in " + reused[0]);
    }

    /**
     * Guards against a retry that goes on where the first attempt stopped: a checker rejects a request of which a part
     * is sent, and the next one must get the whole body.
     */
    @Test(dataProvider = "declaredLengths")
    public void retrySendsBufferedBodyFromItsStart(long declaredLength) {
        CheckerHarness harness = new CheckerHarness(2);
        String buffered = pieces(0, 4);
        long length = declaredLength < 0 ? -1 : buffered.length();
        ClientRequestBody requestBody =
                new ClientRequestBody(length, harness.sockets.reactor().bufferBudget());
        CheckerHarness.append(requestBody, buffered);
        requestBody.finish();
        harness.sockets.socketCapacityBytes = KERNEL_BYTES;
        harness.acceptWithBody("up", true, requestBody);
        harness.sockets.socketCapacityBytes = Long.MAX_VALUE;
        ScriptedEnvironment.ScriptedSocket first = harness.sockets.sockets.get(0);
        first.completeConnect();
        assertTrue(first.writtenText().length() <= KERNEL_BYTES, "the first attempt is sent whole");
        first.receive("HTTP/1.1 503 Busy\r\nReedmux-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
        assertTrue(first.isClosed(), "a connection with a part of a request");
        for (int i = 0; i < 20 && harness.sockets.sockets.size() < 2; i++) {
            harness.sockets.advanceMicros(10_000);
        }
        ScriptedEnvironment.ScriptedSocket second = harness.sockets.sockets.get(1);
        second.completeConnect();
        assertEquals(received(second.writtenText(), buffered.length()), new Received(buffered, true, ""));
    }

    /** Guards against two attempts that each send a part of one streamed body. */
    @Test
    public void partOfStreamedBodyThatWasReadCannotBeReadAgain() {
        ClientRequestBody requestBody =
                new ClientRequestBody(-1, new ScriptedEnvironment().reactor().bufferBudget());
        CheckerHarness.append(requestBody, pieces(0, 2));
        assertTrue(requestBody.isReadableFrom(0));
        assertEquals(requestBody.blockAt(0).length, PIECE_BYTES);
        assertFalse(requestBody.isReadableFrom(0));
        assertTrue(requestBody.isReadableFrom(PIECE_BYTES));
        requestBody.finish();
        assertFalse(requestBody.endsAt(PIECE_BYTES));
        assertEquals(requestBody.blockAt(PIECE_BYTES).length, PIECE_BYTES);
        assertTrue(requestBody.endsAt(2 * PIECE_BYTES));
    }

    /** A body of which the kernel accepts nothing yet; all but the last piece is received. */
    private ClientRequestBody startUpload(CheckerHarness harness, long declaredLength) {
        ClientRequestBody requestBody =
                new ClientRequestBody(declaredLength, harness.sockets.reactor().bufferBudget());
        CheckerHarness.append(requestBody, pieces(0, PIECES - 1));
        harness.sockets.socketCapacityBytes = 0;
        harness.acceptWithBody("up", false, requestBody);
        harness.sockets.socketCapacityBytes = Long.MAX_VALUE;
        harness.sockets.sockets.get(0).completeConnect();
        return requestBody;
    }

    private static void finish(ClientRequestBody requestBody) {
        if (!requestBody.isComplete()) {
            CheckerHarness.append(requestBody, pieces(PIECES - 1, PIECES));
            requestBody.finish();
        }
    }

    /** What a checker reads of the first request on a connection. */
    private record Received(String body, boolean complete, String rest) {}

    private static Received received(String text, long declaredLength) {
        int bodyStart = text.indexOf("\r\n\r\n") + 4;
        if (bodyStart < 4) {
            return new Received("", false, "");
        } else if (declaredLength >= 0) {
            int end = (int) Math.min(text.length(), bodyStart + declaredLength);
            return new Received(text.substring(bodyStart, end), end - bodyStart == declaredLength, text.substring(end));
        }
        StringBuilder decoded = new StringBuilder();
        int position = bodyStart;
        while (position < text.length() && !text.startsWith(LAST_CHUNK, position)) {
            int lineEnd = text.indexOf("\r\n", position);
            if (lineEnd < 0) {
                break;
            }
            int length = Integer.parseInt(text.substring(position, lineEnd), 16);
            int start = lineEnd + 2;
            decoded.append(text, start, Math.min(text.length(), start + length));
            position = start + length + 2;
        }
        boolean complete = text.startsWith(LAST_CHUNK, position);
        return new Received(
                decoded.toString(), complete, complete ? text.substring(position + LAST_CHUNK.length()) : "");
    }
}
