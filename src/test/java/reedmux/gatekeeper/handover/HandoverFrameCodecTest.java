package reedmux.gatekeeper.handover;

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
import reedmux.gatekeeper.policy.HandoverCounts.AccountSnapshot;
import reedmux.gatekeeper.policy.HandoverCounts.AccountUsage;

/** Frames come back as they were, and bytes that are none are an error. */
public final class HandoverFrameCodecTest {
    private static final AccountSnapshot ACCOUNT = new AccountSnapshot(
            77, 1, 2, 3, 4, 5.5, 0.25, 1, -2, 9_000_000, new int[] {-1, 0, 7}, new double[] {0, 1.5, 2});
    private static final List<HandoverFrame> ALL = List.of(
            new HandoverFrame.HandoverHello(1, "0 of 4 plans"),
            new HandoverFrame.SnapshotRequest(),
            new HandoverFrame.ServiceSnapshot("default", List.of(ACCOUNT, ACCOUNT), true),
            new HandoverFrame.ServiceSnapshot("invoices", List.of(), false),
            new HandoverFrame.SuccessorServing(),
            new HandoverFrame.ServiceUsage("default", List.of(new AccountUsage(1L << 32, 0, 0, 1, 2.5))));

    private static byte[] body(HandoverFrame frame) {
        byte[] bytes = HandoverFrameCodec.encode(frame);
        assertEquals(bytes.length - 4, ByteBuffer.wrap(bytes).getInt());
        return Arrays.copyOfRange(bytes, 4, bytes.length);
    }

    @Test
    public void decodedFrameEqualsTheEncodedOne() throws IOException {
        for (HandoverFrame frame : ALL) {
            HandoverFrame back = HandoverFrameCodec.decode(body(frame));
            if (frame instanceof HandoverFrame.ServiceSnapshot counted
                    && !counted.accounts().isEmpty()) {
                AccountSnapshot kept =
                        ((HandoverFrame.ServiceSnapshot) back).accounts().get(1);
                assertArrayEquals(ACCOUNT.neighbours(), kept.neighbours());
                assertArrayEquals(ACCOUNT.unreportedUnits(), kept.unreportedUnits(), 0);
                assertEquals(
                        List.of(
                                ACCOUNT.customer(),
                                ACCOUNT.plan(),
                                ACCOUNT.firstMember(),
                                ACCOUNT.memberCount(),
                                ACCOUNT.maxMemberCount(),
                                ACCOUNT.count(),
                                ACCOUNT.raceMargin(),
                                ACCOUNT.unitsSinceFirstSeen(),
                                ACCOUNT.rateLimitTokens(),
                                ACCOUNT.knownFor()),
                        List.of(
                                kept.customer(),
                                kept.plan(),
                                kept.firstMember(),
                                kept.memberCount(),
                                kept.maxMemberCount(),
                                kept.count(),
                                kept.raceMargin(),
                                kept.unitsSinceFirstSeen(),
                                kept.rateLimitTokens(),
                                kept.knownFor()));
                assertTrue(((HandoverFrame.ServiceSnapshot) back).last());
            } else {
                assertEquals(frame, back);
            }
        }
    }

    @Test
    public void frameTruncatedAtAnyByteIsRejected() {
        for (HandoverFrame frame : ALL) {
            byte[] whole = body(frame);
            for (int length = 0; length < whole.length; length++) {
                byte[] cut = Arrays.copyOf(whole, length);
                assertThrows(frame + " at " + length, IOException.class, () -> HandoverFrameCodec.decode(cut));
            }
            assertThrows(IOException.class, () -> HandoverFrameCodec.decode(Arrays.copyOf(whole, whole.length + 1)));
        }
    }

    /** Whatever stands there is a frame or an error, and no count that is no number gets through. */
    @Test
    public void noiseIsRejectedOrDecoded() {
        SplittableRandom random = new SplittableRandom(5);
        int errors = 0;
        for (int run = 0; run < 3_000; run++) {
            byte[] noise = body(ALL.get(random.nextInt(ALL.size())));
            for (int i = random.nextInt(4); i >= 0; i--) {
                noise[random.nextInt(noise.length)] = (byte) random.nextInt(256);
            }
            try {
                if (HandoverFrameCodec.decode(noise) instanceof HandoverFrame.ServiceSnapshot counted) {
                    counted.accounts()
                            .forEach(kept ->
                                    assertTrue(Double.isFinite(kept.count() + kept.raceMargin() - kept.raceMargin())));
                }
            } catch (IOException e) {
                errors++;
            }
        }
        assertTrue("errors " + errors, errors > 500);
    }
}
