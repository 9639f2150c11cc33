package reedmux.http;

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
public final class FlowTest {
    private static final long MOST = Transport.MOST_FLOWING;
    /** What one read of the library may bring beyond what was asked for. */
    private static final int ONE_READ = 4_096;

    /** A connection that takes as much as it is allowed to at a time. */
    private static final class Sink implements DataStreamChannel {
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
    public void whatComesInGoesOutWithinItsBound() throws IOException {
        SplittableRandom random = new SplittableRandom(3);
        for (int run = 0; run < 40; run++) {
            long heldBefore = Flow.heldByAll();
            byte[] body = new byte[random.nextInt(1, 600_000)];
            random.nextBytes(body);
            int[] asked = {Transport.WINDOW};
            Flow flow = new Flow(body.length, MOST, asked[0]);
            Sink sink = new Sink();
            int largest = random.nextBoolean() ? 3 : 40_000;
            int at = 0;
            int steps = 0;
            boolean last = false;
            while (!last) {
                int some = Math.min(Math.min(ONE_READ, random.nextInt(1, largest + 1)), body.length - at);
                if (asked[0] > 0 && some > 0) { // a source brings nothing that it was not asked for
                    assertTrue(flow.put(ByteBuffer.wrap(body, at, some)));
                    at += some;
                    asked[0] -= some;
                    if (asked[0] <= 0 && at < body.length) {
                        flow.source(more -> asked[0] += more);
                    }
                }
                if (at == body.length) {
                    flow.finish();
                }
                if (random.nextInt(3) == 0 || largest > 3) {
                    sink.takes = random.nextInt(largest * 2);
                    last = flow.writeTo(sink);
                }
                assertTrue("holds " + flow.available(), flow.available() <= Flow.AHEAD + ONE_READ);
                assertTrue("stands still", ++steps < 2_000_000);
            }
            assertTrue(sink.ended);
            assertArrayEquals(body, sink.bytes.toByteArray());
            assertEquals(heldBefore, Flow.heldByAll());
        }
    }

    @Test
    public void aSinkThatTakesNothingStopsTheSource() throws IOException {
        int[] asked = {Transport.WINDOW};
        Flow flow = new Flow(-1, MOST, asked[0]);
        int brought = 0;
        for (int i = 0; i < 1_000 && asked[0] > 0; i++) {
            flow.put(ByteBuffer.allocate(ONE_READ));
            brought += ONE_READ;
            asked[0] -= ONE_READ;
            if (asked[0] <= 0) {
                flow.source(more -> asked[0] += more);
            }
        }
        assertEquals(Flow.AHEAD, brought);
        assertFalse("it waits for the sink", flow.wants());
        assertTrue(flow.waits());
        Sink sink = new Sink();
        sink.takes = 10_000;
        flow.writeTo(sink);
        assertEquals("as much again", 10_000, asked[0]);
        assertTrue(flow.wants());
        flow.end();
    }

    @Test
    public void whatIsLongerThanItMayBeFails() {
        Flow flow = new Flow(-1, 10, 100);
        int[] failures = {0};
        flow.onFailure(() -> failures[0]++);
        assertTrue(flow.put(ByteBuffer.allocate(10)));
        assertFalse(flow.put(ByteBuffer.allocate(1)));
        flow.fail();
        assertEquals("told once", 1, failures[0]);
        assertEquals(0, flow.available());
    }

    @Test
    public void aFailureIsToldToWhoeverComesLaterAndAnEndIsNone() throws IOException {
        int[] failures = {0};
        Flow failed = new Flow(100, MOST, 100);
        failed.put(ByteBuffer.allocate(50));
        failed.fail();
        failed.onFailure(() -> failures[0]++);
        assertEquals(1, failures[0]);
        Flow whole = new Flow(0, MOST, 100);
        whole.onFailure(() -> failures[0]++);
        whole.finish();
        assertTrue(whole.writeTo(new Sink()));
        whole.fail();
        assertEquals(1, failures[0]);
    }

    @Test
    public void withoutASinkTheRestIsAskedForAndThrownAway() throws IOException {
        long heldBefore = Flow.heldByAll();
        long[] asked = {0};
        Flow flow = new Flow(-1, MOST, Transport.WINDOW);
        for (int i = 0; i < Transport.WINDOW / ONE_READ; i++) {
            flow.put(ByteBuffer.allocate(ONE_READ));
        }
        flow.end();
        flow.source(more -> asked[0] += more);
        assertEquals(Integer.MAX_VALUE, asked[0]);
        ByteBuffer more = ByteBuffer.allocate(ONE_READ);
        assertTrue(flow.put(more));
        assertFalse(more.hasRemaining());
        assertEquals(heldBefore, Flow.heldByAll());
    }

    @Test
    public void itMayGoElsewhereOnlyUntilItsFirstByteIsTaken() throws IOException {
        Flow flow = new Flow(100, MOST, 100);
        flow.put(ByteBuffer.allocate(50));
        Sink first = new Sink(); // whose connection took nothing yet
        flow.writeTo(first);
        assertTrue(flow.untouched());
        Sink second = new Sink();
        second.takes = 1;
        flow.writeTo(second);
        assertFalse(flow.untouched());
        flow.put(ByteBuffer.allocate(1));
        assertEquals("who reads it now is woken", 1, second.wakes);
        flow.end();
    }

    /** Each row: milliseconds since its first byte, bytes of its body, late or not; a head may take 2 s. */
    @Test
    public void theLineBetweenSlowAndBad() {
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
            assertEquals(row[0] + " ms, " + row[1], row[2] == 1, Pace.late(row[0] * 1_000, 2_000_000, row[1]));
        }
        assertTrue(Pace.longest(-1) >= Pace.longest(MOST));
    }
}
