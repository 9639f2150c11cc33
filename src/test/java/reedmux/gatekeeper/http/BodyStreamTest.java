package reedmux.gatekeeper.http;

import static org.junit.Assert.assertArrayEquals;
import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.SplittableRandom;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.nio.DataStreamChannel;
import org.junit.Test;

/** A body that is passed on while it arrives: back-pressure, bounds and ends. */
public final class BodyStreamTest {
    private static final long MOST = HttpTransport.MAX_STREAMED_BODY_BYTES;
    /** What one read of the library may bring beyond what was asked for. */
    private static final int ONE_READ = 4_096;

    /** A connection that takes as much as it is allowed to at a time. */
    private static final class RecordingSink implements DataStreamChannel {
        final ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        int takes;
        int wakes;
        boolean ended;

        @Override
        public void requestOutput() {
            wakes++;
        }

        @Override
        public int write(ByteBuffer source) {
            int some = Math.min(takes, source.remaining());
            for (int i = 0; i < some; i++) {
                bytes.write(source.get());
            }
            takes -= some;
            return some;
        }

        @Override
        public void endStream() {
            assertFalse("ended twice", ended);
            ended = true;
        }

        @Override
        public void endStream(List<? extends Header> trailers) {
            endStream();
        }
    }

    /** Pieces of any size in, pieces of any size out: the same bytes, in bounds, and nothing is kept. */
    @Test
    public void deliversAllBytesWithinTheBufferBound() throws IOException {
        SplittableRandom random = new SplittableRandom(3);
        for (int run = 0; run < 40; run++) {
            long heldBefore = BodyStream.totalBufferedBytes();
            byte[] body = new byte[random.nextInt(1, 600_000)];
            random.nextBytes(body);
            int[] asked = {HttpTransport.INITIAL_WINDOW_BYTES};
            BodyStream flow = new BodyStream(body.length, MOST, asked[0]);
            RecordingSink sink = new RecordingSink();
            int largest = random.nextBoolean() ? 3 : 40_000;
            int at = 0;
            int steps = 0;
            boolean last = false;
            while (!last) {
                int some = Math.min(Math.min(ONE_READ, random.nextInt(1, largest + 1)), body.length - at);
                if (asked[0] > 0 && some > 0) { // a source brings nothing that it was not asked for
                    assertTrue(flow.receive(ByteBuffer.wrap(body, at, some)));
                    at += some;
                    asked[0] -= some;
                    if (asked[0] <= 0 && at < body.length) {
                        flow.attachSource(more -> asked[0] += more);
                    }
                }
                if (at == body.length) {
                    flow.complete();
                }
                if (random.nextInt(3) == 0 || largest > 3) {
                    sink.takes = random.nextInt(largest * 2);
                    last = flow.writeTo(sink);
                }
                assertTrue("holds " + flow.available(), flow.available() <= BodyStream.MAX_BUFFERED_BYTES + ONE_READ);
                assertTrue("stands still", ++steps < 2_000_000);
            }
            assertTrue(sink.ended);
            assertArrayEquals(body, sink.bytes.toByteArray());
            assertEquals(heldBefore, BodyStream.totalBufferedBytes());
        }
    }

    @Test
    public void blockedSinkStopsTheSource() throws IOException {
        int[] asked = {HttpTransport.INITIAL_WINDOW_BYTES};
        BodyStream flow = new BodyStream(-1, MOST, asked[0]);
        int brought = 0;
        for (int i = 0; i < 1_000 && asked[0] > 0; i++) {
            flow.receive(ByteBuffer.allocate(ONE_READ));
            brought += ONE_READ;
            asked[0] -= ONE_READ;
            if (asked[0] <= 0) {
                flow.attachSource(more -> asked[0] += more);
            }
        }
        assertEquals(BodyStream.MAX_BUFFERED_BYTES, brought);
        assertFalse("it waits for the sink", flow.awaitsSource());
        assertTrue(flow.awaitsSink());
        RecordingSink sink = new RecordingSink();
        sink.takes = 10_000;
        flow.writeTo(sink);
        assertEquals("as much again", 10_000, asked[0]);
        assertTrue(flow.awaitsSource());
        flow.discardRest();
    }

    @Test
    public void failsBeyondTheMaximumLength() {
        BodyStream flow = new BodyStream(-1, 10, 100);
        int[] failures = {0};
        flow.onFailure(() -> failures[0]++);
        assertTrue(flow.receive(ByteBuffer.allocate(10)));
        assertFalse(flow.receive(ByteBuffer.allocate(1)));
        flow.fail();
        assertEquals("told once", 1, failures[0]);
        assertEquals(0, flow.available());
    }

    @Test
    public void reportsAnEarlierFailureButNotANormalEnd() throws IOException {
        int[] failures = {0};
        BodyStream failed = new BodyStream(100, MOST, 100);
        failed.receive(ByteBuffer.allocate(50));
        failed.fail();
        failed.onFailure(() -> failures[0]++);
        assertEquals(1, failures[0]);
        BodyStream whole = new BodyStream(0, MOST, 100);
        whole.onFailure(() -> failures[0]++);
        whole.complete();
        assertTrue(whole.writeTo(new RecordingSink()));
        whole.fail();
        assertEquals(1, failures[0]);
    }

    @Test
    public void discardsTheRestWithoutASink() throws IOException {
        long heldBefore = BodyStream.totalBufferedBytes();
        long[] asked = {0};
        BodyStream flow = new BodyStream(-1, MOST, HttpTransport.INITIAL_WINDOW_BYTES);
        for (int i = 0; i < HttpTransport.INITIAL_WINDOW_BYTES / ONE_READ; i++) {
            flow.receive(ByteBuffer.allocate(ONE_READ));
        }
        flow.discardRest();
        flow.attachSource(more -> asked[0] += more);
        assertEquals(Integer.MAX_VALUE, asked[0]);
        ByteBuffer more = ByteBuffer.allocate(ONE_READ);
        assertTrue(flow.receive(more));
        assertFalse(more.hasRemaining());
        assertEquals(heldBefore, BodyStream.totalBufferedBytes());
    }

    @Test
    public void staysUnreadUntilTheFirstByteIsWritten() throws IOException {
        BodyStream flow = new BodyStream(100, MOST, 100);
        flow.receive(ByteBuffer.allocate(50));
        RecordingSink first = new RecordingSink(); // whose connection took nothing yet
        flow.writeTo(first);
        assertTrue(flow.isUnread());
        RecordingSink second = new RecordingSink();
        second.takes = 1;
        flow.writeTo(second);
        assertFalse(flow.isUnread());
        flow.receive(ByteBuffer.allocate(1));
        assertEquals("who reads it now is woken", 1, second.wakes);
        flow.discardRest();
    }

    /** Each row: milliseconds since its first byte, bytes of its body, late or not; a head may take 2 s. */
    @Test
    public void minimumRateSeparatesSlowFromAbusive() {
        long[][] table = {
            {0, 0, 0},
            {2_400, 0, 0},
            {2_401, 0, 1},
            {2_401, 1_000, 0},
            {2_417, 1_000, 1},
            {3_000, 64_000, 0},
            {4_400, 128_000, 0},
            {4_600, 128_000, 1},
            {600_000, 32L << 20, 1},
            {560_000, 32L << 20, 0}
        };
        for (long[] row : table) {
            assertEquals(
                    row[0] + " ms, " + row[1],
                    row[2] == 1,
                    MinimumRateGuard.isTooSlow(row[0] * 1_000, 2_000_000, row[1]));
        }
        assertTrue(MinimumRateGuard.maxDurationMicros(-1) >= MinimumRateGuard.maxDurationMicros(MOST));
    }
}
