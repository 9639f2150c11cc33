package reedmux.handover;

import static org.testng.Assert.assertEquals;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import org.testng.annotations.Test;
import reedmux.compatibility.FixtureFiles;
import reedmux.policy.Twin.Kept;

/** Handover frames of an earlier version are understood, and this version writes the same bytes. */
public class HandoverCompatibilityTest {

    @Test
    public void decodesAndEncodesEveryFrameOfTheFixture() throws IOException {
        Map<String, byte[]> frames = FixtureFiles.frames("handover-frames.txt");
        Map<String, Frame> expected = HandoverFixtures.frames();
        assertEquals(List.copyOf(frames.keySet()), List.copyOf(expected.keySet()));
        for (Map.Entry<String, byte[]> frame : frames.entrySet()) {
            byte[] bytes = frame.getValue();
            assertEquals(ByteBuffer.wrap(bytes).getInt(), bytes.length - Integer.BYTES);
            Frame read = Frames.read(Arrays.copyOfRange(bytes, Integer.BYTES, bytes.length));
            check(read, expected.get(frame.getKey()));
            assertEquals(Frames.bytes(expected.get(frame.getKey())), bytes, frame.getKey());
        }
    }

    private static void check(Frame read, Frame expected) {
        if (!(expected instanceof Frame.Counted counted)) {
            assertEquals(read, expected);
            return;
        }
        Frame.Counted other = (Frame.Counted) read;
        assertEquals(other.service(), counted.service());
        assertEquals(other.last(), counted.last());
        assertEquals(other.kept().size(), counted.kept().size());
        for (int i = 0; i < counted.kept().size(); i++) {
            check(other.kept().get(i), counted.kept().get(i));
        }
    }

    private static void check(Kept read, Kept expected) {
        assertEquals(read.customer(), expected.customer());
        assertEquals(read.plan(), expected.plan());
        assertEquals(read.first(), expected.first());
        assertEquals(read.spread(), expected.spread());
        assertEquals(read.sharers(), expected.sharers());
        assertEquals(read.count(), expected.count());
        assertEquals(read.margin(), expected.margin());
        assertEquals(read.sight(), expected.sight());
        assertEquals(read.ceiling(), expected.ceiling());
        assertEquals(read.seenFor(), expected.seenFor());
        assertEquals(read.near(), expected.near());
        assertEquals(read.owed(), expected.owed());
    }
}
