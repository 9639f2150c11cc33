package reedmux.gatekeeper.policy;

import static org.testng.Assert.assertEquals;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import org.testng.annotations.Test;
import reedmux.compatibility.FixtureFiles;

/** Verifies that datagrams of an earlier version are decoded, and that this version writes the same bytes. */
public class PeerPacketCompatibilityTest {

    @Test
    public void decodesAndEncodesEveryDatagramOfTheFixture() throws IOException {
        Map<String, byte[]> datagrams = FixtureFiles.readFrames("peer-packets.txt");
        Map<String, PeerPacket> expected = PeerPacketFixtures.packets();
        Map<String, byte[]> written = PeerPacketFixtures.encoded();
        assertEquals(List.copyOf(datagrams.keySet()), List.copyOf(expected.keySet()));
        for (Map.Entry<String, byte[]> datagram : datagrams.entrySet()) {
            String name = datagram.getKey();
            assertEquals(PeerPacket.read(datagram.getValue()), expected.get(name), name);
            assertEquals(written.get(name), datagram.getValue(), name);
        }
    }
}
