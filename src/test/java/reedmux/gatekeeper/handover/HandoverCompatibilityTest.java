package reedmux.gatekeeper.handover;

import static org.testng.Assert.assertEquals;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import org.testng.annotations.Test;
import reedmux.compatibility.FixtureFiles;
import reedmux.gatekeeper.policy.HandoverCounts.AccountSnapshot;

/**
 * Checks that frames written by an earlier version are decoded correctly, and that this version encodes the same bytes.
 */
public class HandoverCompatibilityTest {

    @Test
    public void decodesAndEncodesEveryFrameOfTheFixture() throws IOException {
        Map<String, byte[]> frames = FixtureFiles.readFrames("handover-frames.txt");
        Map<String, HandoverFrame> expected = HandoverFixtures.frames();
        assertEquals(List.copyOf(frames.keySet()), List.copyOf(expected.keySet()));
        for (Map.Entry<String, byte[]> frame : frames.entrySet()) {
            byte[] bytes = frame.getValue();
            assertEquals(ByteBuffer.wrap(bytes).getInt(), bytes.length - Integer.BYTES);
            HandoverFrame decoded = HandoverFrameCodec.decode(Arrays.copyOfRange(bytes, Integer.BYTES, bytes.length));
            assertSameContent(decoded, expected.get(frame.getKey()));
            assertEquals(HandoverFrameCodec.encode(expected.get(frame.getKey())), bytes, frame.getKey());
        }
    }

    private static void assertSameContent(HandoverFrame decoded, HandoverFrame expected) {
        if (!(expected instanceof HandoverFrame.ServiceSnapshot expectedSnapshot)) {
            assertEquals(decoded, expected);
            return;
        }
        HandoverFrame.ServiceSnapshot decodedSnapshot = (HandoverFrame.ServiceSnapshot) decoded;
        assertEquals(decodedSnapshot.service(), expectedSnapshot.service());
        assertEquals(decodedSnapshot.last(), expectedSnapshot.last());
        assertEquals(
                decodedSnapshot.accounts().size(), expectedSnapshot.accounts().size());
        for (int i = 0; i < expectedSnapshot.accounts().size(); i++) {
            assertSameContent(
                    decodedSnapshot.accounts().get(i),
                    expectedSnapshot.accounts().get(i));
        }
    }

    private static void assertSameContent(AccountSnapshot decoded, AccountSnapshot expected) {
        assertEquals(decoded.customer(), expected.customer());
        assertEquals(decoded.plan(), expected.plan());
        assertEquals(decoded.firstMember(), expected.firstMember());
        assertEquals(decoded.memberCount(), expected.memberCount());
        assertEquals(decoded.maxMemberCount(), expected.maxMemberCount());
        assertEquals(decoded.count(), expected.count());
        assertEquals(decoded.raceMargin(), expected.raceMargin());
        assertEquals(decoded.unitsSinceFirstSeen(), expected.unitsSinceFirstSeen());
        assertEquals(decoded.rateLimitTokens(), expected.rateLimitTokens());
        assertEquals(decoded.knownFor(), expected.knownFor());
        assertEquals(decoded.neighbours(), expected.neighbours());
        assertEquals(decoded.unreportedUnits(), expected.unreportedUnits());
    }
}
