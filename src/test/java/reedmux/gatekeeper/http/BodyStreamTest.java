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

/** Tests of the relaying of a body while it is received: back-pressure, size limits, and normal and failed ends. */
public final class BodyStreamTest {
    private static final long MAX_BODY_BYTES = HttpTransport.MAX_STREAMED_BODY_BYTES;
    /** Number of bytes by which one read of the library may exceed the granted capacity. */
    private static final int READ_BYTES = 4_096;

    /** A sink that accepts a limited number of bytes per write and records them. */
    private static final class RecordingSink implements DataStreamChannel {
        final ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        int acceptedBytes;
        int outputRequests;
        boolean ended;

        @Override
        public void requestOutput() {
            outputRequests++;
        }

        @Override
        public int write(ByteBuffer source) {
            int count = Math.min(acceptedBytes, source.remaining());
            for (int i = 0; i < count; i++) {
                bytes.write(source.get());
            }
            acceptedBytes -= count;
            return count;
        }

        @Override
        public void endStream() {
            assertFalse("the end of the stream was signalled twice", ended);
            ended = true;
        }

        @Override
        public void endStream(List<? extends Header> trailers) {
            endStream();
        }
    }

    /**
     * Pieces of random sizes are received and written: the sink gets the same bytes, the buffer stays within its limit,
     * and nothing remains buffered.
     */
    @Test
    public void deliversAllBytesWithinTheBufferBound() throws IOException {
        SplittableRandom random = new SplittableRandom(3);
        for (int run = 0; run < 40; run++) {
            long bufferedBefore = BodyStream.totalBufferedBytes();
            byte[] body = new byte[random.nextInt(1, 600_000)];
            random.nextBytes(body);
            int[] granted = {HttpTransport.INITIAL_WINDOW_BYTES};
            BodyStream stream = new BodyStream(body.length, MAX_BODY_BYTES, granted[0]);
            RecordingSink sink = new RecordingSink();
            int maxPieceBytes = random.nextBoolean() ? 3 : 40_000;
            int receivedBytes = 0;
            int steps = 0;
            boolean bodyWritten = false;
            while (!bodyWritten) {
                int count = Math.min(
                        Math.min(READ_BYTES, random.nextInt(1, maxPieceBytes + 1)), body.length - receivedBytes);
                if (granted[0] > 0 && count > 0) { // a source sends nothing beyond its grant
                    assertTrue(stream.receive(ByteBuffer.wrap(body, receivedBytes, count)));
                    receivedBytes += count;
                    granted[0] -= count;
                    if (granted[0] <= 0 && receivedBytes < body.length) {
                        stream.attachSource(more -> granted[0] += more);
                    }
                }
                if (receivedBytes == body.length) {
                    stream.complete();
                }
                if (random.nextInt(3) == 0 || maxPieceBytes > 3) {
                    sink.acceptedBytes = random.nextInt(maxPieceBytes * 2);
                    bodyWritten = stream.writeTo(sink);
                }
                assertTrue(
                        "buffered bytes: " + stream.available(),
                        stream.available() <= BodyStream.MAX_BUFFERED_BYTES + READ_BYTES);
                assertTrue("no progress", ++steps < 2_000_000);
            }
            assertTrue(sink.ended);
            assertArrayEquals(body, sink.bytes.toByteArray());
            assertEquals(bufferedBefore, BodyStream.totalBufferedBytes());
        }
    }

    @Test
    public void blockedSinkStopsTheSource() throws IOException {
        int[] granted = {HttpTransport.INITIAL_WINDOW_BYTES};
        BodyStream stream = new BodyStream(-1, MAX_BODY_BYTES, granted[0]);
        int receivedBytes = 0;
        for (int i = 0; i < 1_000 && granted[0] > 0; i++) {
            stream.receive(ByteBuffer.allocate(READ_BYTES));
            receivedBytes += READ_BYTES;
            granted[0] -= READ_BYTES;
            if (granted[0] <= 0) {
                stream.attachSource(more -> granted[0] += more);
            }
        }
        assertEquals(BodyStream.MAX_BUFFERED_BYTES, receivedBytes);
        assertFalse("the stream is waiting for the sink", stream.awaitsSource());
        assertTrue(stream.awaitsSink());
        RecordingSink sink = new RecordingSink();
        sink.acceptedBytes = 10_000;
        stream.writeTo(sink);
        assertEquals("the grant equals the bytes written", 10_000, granted[0]);
        assertTrue(stream.awaitsSource());
        stream.discardRest();
    }

    @Test
    public void failsBeyondTheMaximumLength() {
        BodyStream stream = new BodyStream(-1, 10, 100);
        int[] failures = {0};
        stream.onFailure(() -> failures[0]++);
        assertTrue(stream.receive(ByteBuffer.allocate(10)));
        assertFalse(stream.receive(ByteBuffer.allocate(1)));
        stream.fail();
        assertEquals("failures reported", 1, failures[0]);
        assertEquals(0, stream.available());
    }

    @Test
    public void reportsAnEarlierFailureButNotANormalEnd() throws IOException {
        int[] failures = {0};
        BodyStream failed = new BodyStream(100, MAX_BODY_BYTES, 100);
        failed.receive(ByteBuffer.allocate(50));
        failed.fail();
        failed.onFailure(() -> failures[0]++);
        assertEquals(1, failures[0]);
        BodyStream completed = new BodyStream(0, MAX_BODY_BYTES, 100);
        completed.onFailure(() -> failures[0]++);
        completed.complete();
        assertTrue(completed.writeTo(new RecordingSink()));
        completed.fail();
        assertEquals(1, failures[0]);
    }

    @Test
    public void discardsTheRestWithoutASink() throws IOException {
        long bufferedBefore = BodyStream.totalBufferedBytes();
        long[] granted = {0};
        BodyStream stream = new BodyStream(-1, MAX_BODY_BYTES, HttpTransport.INITIAL_WINDOW_BYTES);
        for (int i = 0; i < HttpTransport.INITIAL_WINDOW_BYTES / READ_BYTES; i++) {
            stream.receive(ByteBuffer.allocate(READ_BYTES));
        }
        stream.discardRest();
        stream.attachSource(lateBytes -> granted[0] += lateBytes);
        assertEquals(Integer.MAX_VALUE, granted[0]);
        ByteBuffer lateBytes = ByteBuffer.allocate(READ_BYTES);
        assertTrue(stream.receive(lateBytes));
        assertFalse(lateBytes.hasRemaining());
        assertEquals(bufferedBefore, BodyStream.totalBufferedBytes());
    }

    @Test
    public void staysUnreadUntilTheFirstByteIsWritten() throws IOException {
        BodyStream stream = new BodyStream(100, MAX_BODY_BYTES, 100);
        stream.receive(ByteBuffer.allocate(50));
        RecordingSink blockedSink = new RecordingSink(); // its connection accepts no bytes
        stream.writeTo(blockedSink);
        assertTrue(stream.isUnread());
        RecordingSink writableSink = new RecordingSink();
        writableSink.acceptedBytes = 1;
        stream.writeTo(writableSink);
        assertFalse(stream.isUnread());
        stream.receive(ByteBuffer.allocate(1));
        assertEquals("output requests of the current sink", 1, writableSink.outputRequests);
        stream.discardRest();
    }

    /** Each row: milliseconds since the first byte, number of body bytes, 1 if too slow; the head may take 2 s. */
    @Test
    public void minimumRateRejectsOnlyBodiesBelowIt() {
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
        assertTrue(MinimumRateGuard.maxDurationMicros(-1) >= MinimumRateGuard.maxDurationMicros(MAX_BODY_BYTES));
    }
}
