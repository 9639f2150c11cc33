package reedmux.gatekeeper.peer;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;

import java.nio.ByteBuffer;
import java.util.zip.CRC32;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.Size;

/**
 * Checks that datagrams of different services are never confused with each other, nor with the untagged datagrams of
 * versions that support only one service.
 */
final class ServiceTagTest {

    /** Returns the low half of the CRC-32 of all but the first two bytes, which begins a policy's datagram. */
    private static short policyChecksum(byte[] datagram) {
        CRC32 crc = new CRC32();
        crc.update(datagram, 2, datagram.length - 2);
        return (short) crc.getValue();
    }

    @Property(tries = 2_000, seed = "81")
    void taggedDatagramRoundTripsAndHasNoValidPolicyChecksum(
            @ForAll @Size(min = 2, max = 250) byte[] untagged, @ForAll int randomTag) {
        int tag = randomTag == ServiceTag.NONE ? 1 : randomTag;
        byte[] tagged = ServiceTag.addTag(tag, untagged);
        assertEquals(untagged.length + ServiceTag.LENGTH_BYTES, tagged.length);
        assertEquals(tag, ServiceTag.read(tagged));
        assertArrayEquals(untagged, ServiceTag.removeTag(tagged));
        assertNotEquals(
                policyChecksum(tagged),
                ByteBuffer.wrap(tagged).getShort(),
                "versions with a single service must drop the datagram");
    }

    @Property(tries = 2_000, seed = "82")
    void policyDatagramHasNoTag(@ForAll @Size(min = 2, max = 256) byte[] untagged) {
        ByteBuffer.wrap(untagged).putShort(policyChecksum(untagged));
        assertEquals(ServiceTag.NONE, ServiceTag.read(untagged));
    }

    @Property(tries = 2_000, seed = "83")
    void corruptedTagIsNotRead(
            @ForAll @Size(min = 8, max = 60) byte[] untagged, @ForAll int randomIndex, @ForAll byte randomMask) {
        byte[] tagged = ServiceTag.addTag(77, untagged);
        int index = Math.floorMod(randomIndex, tagged.length);
        int mask = randomMask == 0 ? 1 : randomMask;
        tagged[index] = (byte) (tagged[index] ^ mask);
        assertEquals(ServiceTag.NONE, ServiceTag.read(tagged));
    }

    @Example
    void tagDependsOnlyOnTheServiceName() {
        assertEquals(ServiceTag.of("print"), ServiceTag.of("print"));
        assertNotEquals(ServiceTag.of("print"), ServiceTag.of("archive"));
        assertEquals(ServiceTag.NONE, ServiceTag.read(new byte[3]));
    }
}
