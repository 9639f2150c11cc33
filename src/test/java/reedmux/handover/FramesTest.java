package reedmux.handover;

import static org.junit.Assert.assertArrayEquals;
import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertThrows;
import static org.junit.Assert.assertTrue;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.Test;
import reedmux.policy.Twin.Kept;
import reedmux.policy.Twin.Spent;

/** Frames come back as they were, and bytes that are none are an error. */
public final class FramesTest {
    private static final Kept KEPT =
            new Kept(77, 1, 2, 3, 4, 5.5, 0.25, 1, -2, 9_000_000, new int[] {-1, 0, 7}, new double[] {0, 1.5, 2});
    private static final List<Frame> ALL = List.of(
            new Frame.Hello(1, "0 of 4 plans"),
            new Frame.Take(),
            new Frame.Counted("default", List.of(KEPT, KEPT), true),
            new Frame.Counted("invoices", List.of(), false),
            new Frame.Serving(),
            new Frame.SpentSince("default", List.of(new Spent(1L << 32, 0, 0, 1, 2.5))));

    private static byte[] body(Frame frame) {
        byte[] bytes = Frames.bytes(frame);
        assertEquals(bytes.length - 4, ByteBuffer.wrap(bytes).getInt());
        return Arrays.copyOfRange(bytes, 4, bytes.length);
    }

    @Test
    public void comesBackAsItWas() throws IOException {
        for (Frame frame : ALL) {
            Frame back = Frames.read(body(frame));
            if (frame instanceof Frame.Counted counted && !counted.kept().isEmpty()) {
                Kept kept = ((Frame.Counted) back).kept().get(1);
                assertArrayEquals(KEPT.near(), kept.near());
                assertArrayEquals(KEPT.owed(), kept.owed(), 0);
                assertEquals(
                        List.of(
                                KEPT.customer(),
                                KEPT.plan(),
                                KEPT.first(),
                                KEPT.spread(),
                                KEPT.sharers(),
                                KEPT.count(),
                                KEPT.margin(),
                                KEPT.sight(),
                                KEPT.ceiling(),
                                KEPT.seenFor()),
                        List.of(
                                kept.customer(),
                                kept.plan(),
                                kept.first(),
                                kept.spread(),
                                kept.sharers(),
                                kept.count(),
                                kept.margin(),
                                kept.sight(),
                                kept.ceiling(),
                                kept.seenFor()));
                assertTrue(((Frame.Counted) back).last());
            } else {
                assertEquals(frame, back);
            }
        }
    }

    @Test
    public void oneThatIsCutAtAnyByteIsNone() {
        for (Frame frame : ALL) {
            byte[] whole = body(frame);
            for (int length = 0; length < whole.length; length++) {
                byte[] cut = Arrays.copyOf(whole, length);
                assertThrows(frame + " at " + length, IOException.class, () -> Frames.read(cut));
            }
            assertThrows(IOException.class, () -> Frames.read(Arrays.copyOf(whole, whole.length + 1)));
        }
    }

    /** Whatever stands there is a frame or an error, and no count that is no number gets through. */
    @Test
    public void noiseIsAnErrorAndNothingElse() {
        SplittableRandom random = new SplittableRandom(5);
        int errors = 0;
        for (int run = 0; run < 3_000; run++) {
            byte[] noise = body(ALL.get(random.nextInt(ALL.size())));
            for (int i = random.nextInt(4); i >= 0; i--) {
                noise[random.nextInt(noise.length)] = (byte) random.nextInt(256);
            }
            try {
                if (Frames.read(noise) instanceof Frame.Counted counted) {
                    counted.kept()
                            .forEach(kept -> assertTrue(Double.isFinite(kept.count() + kept.margin() - kept.margin())));
                }
            } catch (IOException e) {
                errors++;
            }
        }
        assertTrue("errors " + errors, errors > 500);
    }
}
