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

/** Handover frames of an earlier version are understood, and this version writes the same bytes. */
public class HandoverCompatibilityTest {

    @Test
    public void decodesAndEncodesEveryFrameOfTheFixture() throws IOException {
        Map<String, byte[]> frames = FixtureFiles.frames("handover-frames.txt");
        Map<String, HandoverFrame> expected = HandoverFixtures.frames();
        assertEquals(List.copyOf(frames.keySet()), List.copyOf(expected.keySet()));
        for (Map.Entry<String, byte[]> frame : frames.entrySet()) {
            byte[] bytes = frame.getValue();
            assertEquals(ByteBuffer.wrap(bytes).getInt(), bytes.length - Integer.BYTES);
            HandoverFrame read = HandoverFrameCodec.decode(Arrays.copyOfRange(bytes, Integer.BYTES, bytes.length));
            check(read, expected.get(frame.getKey()));
            assertEquals(HandoverFrameCodec.encode(expected.get(frame.getKey())), bytes, frame.getKey());
        }
    }

    private static void check(HandoverFrame read, HandoverFrame expected) {
        if (!(expected instanceof HandoverFrame.ServiceSnapshot counted)) {
            assertEquals(read, expected);
            return;
        }
        HandoverFrame.ServiceSnapshot other = (HandoverFrame.ServiceSnapshot) read;
        assertEquals(other.service(), counted.service());
        assertEquals(other.last(), counted.last());
        assertEquals(other.accounts().size(), counted.accounts().size());
        for (int i = 0; i < counted.accounts().size(); i++) {
            check(other.accounts().get(i), counted.accounts().get(i));
        }
    }

    private static void check(AccountSnapshot read, AccountSnapshot expected) {
        assertEquals(read.customer(), expected.customer());
        assertEquals(read.plan(), expected.plan());
        assertEquals(read.firstMember(), expected.firstMember());
        assertEquals(read.memberCount(), expected.memberCount());
        assertEquals(read.maxMemberCount(), expected.maxMemberCount());
        assertEquals(read.count(), expected.count());
        assertEquals(read.raceMargin(), expected.raceMargin());
        assertEquals(read.unitsSinceFirstSeen(), expected.unitsSinceFirstSeen());
        assertEquals(read.rateLimitTokens(), expected.rateLimitTokens());
        assertEquals(read.knownFor(), expected.knownFor());
        assertEquals(read.neighbours(), expected.neighbours());
        assertEquals(read.unreportedUnits(), expected.unreportedUnits());
    }
}
