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

/** Checks that decoded frames equal the encoded ones, and that invalid bytes are rejected. */
public final class HandoverFrameCodecTest {
    private static final AccountSnapshot ACCOUNT = new AccountSnapshot(
            77, 1, 2, 3, 4, 5.5, 0.25, 1, -2, 9_000_000, new int[] {-1, 0, 7}, new double[] {0, 1.5, 2});
    private static final List<HandoverFrame> FRAMES = List.of(
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
        for (HandoverFrame frame : FRAMES) {
            HandoverFrame decoded = HandoverFrameCodec.decode(body(frame));
            if (frame instanceof HandoverFrame.ServiceSnapshot snapshot
                    && !snapshot.accounts().isEmpty()) {
                AccountSnapshot account =
                        ((HandoverFrame.ServiceSnapshot) decoded).accounts().get(1);
                assertArrayEquals(ACCOUNT.neighbours(), account.neighbours());
                assertArrayEquals(ACCOUNT.unreportedUnits(), account.unreportedUnits(), 0);
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
                                account.customer(),
                                account.plan(),
                                account.firstMember(),
                                account.memberCount(),
                                account.maxMemberCount(),
                                account.count(),
                                account.raceMargin(),
                                account.unitsSinceFirstSeen(),
                                account.rateLimitTokens(),
                                account.knownFor()));
                assertTrue(((HandoverFrame.ServiceSnapshot) decoded).last());
            } else {
                assertEquals(frame, decoded);
            }
        }
    }

    @Test
    public void frameTruncatedAtAnyByteIsRejected() {
        for (HandoverFrame frame : FRAMES) {
            byte[] encoded = body(frame);
            for (int length = 0; length < encoded.length; length++) {
                byte[] truncated = Arrays.copyOf(encoded, length);
                assertThrows(frame + " at " + length, IOException.class, () -> HandoverFrameCodec.decode(truncated));
            }
            assertThrows(
                    IOException.class, () -> HandoverFrameCodec.decode(Arrays.copyOf(encoded, encoded.length + 1)));
        }
    }

    /** A corrupted frame is either rejected or decoded to a valid frame; non-finite counts are always rejected. */
    @Test
    public void corruptedFrameIsRejectedOrDecoded() {
        SplittableRandom random = new SplittableRandom(5);
        int errors = 0;
        for (int run = 0; run < 3_000; run++) {
            byte[] corrupted = body(FRAMES.get(random.nextInt(FRAMES.size())));
            for (int i = random.nextInt(4); i >= 0; i--) {
                corrupted[random.nextInt(corrupted.length)] = (byte) random.nextInt(256);
            }
            try {
                if (HandoverFrameCodec.decode(corrupted) instanceof HandoverFrame.ServiceSnapshot snapshot) {
                    snapshot.accounts()
                            .forEach(account -> assertTrue(
                                    Double.isFinite(account.count() + account.raceMargin() - account.raceMargin())));
                }
            } catch (IOException e) {
                errors++;
            }
        }
        assertTrue("rejected frames: " + errors, errors > 500);
    }
}
