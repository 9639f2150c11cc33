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

/** Datagrams of two pools are never taken for each other's, nor for those of a version before pools. */
final class ServiceTagTest {

    /** The low half of the CRC-32 of all but the first two bytes, as a module's own datagrams begin. */
    private static short policyChecksum(byte[] datagram) {
        CRC32 sum = new CRC32();
        sum.update(datagram, 2, datagram.length - 2);
        return (short) sum.getValue();
    }

    @Property(tries = 2_000, seed = "81")
    void taggedDatagramRoundTripsAndHasNoValidPolicyChecksum(
            @ForAll @Size(min = 2, max = 250) byte[] own, @ForAll int any) {
        int tag = any == ServiceTag.NONE ? 1 : any;
        byte[] tagged = ServiceTag.addTag(tag, own);
        assertEquals(own.length + ServiceTag.LENGTH_BYTES, tagged.length);
        assertEquals(tag, ServiceTag.read(tagged));
        assertArrayEquals(own, ServiceTag.removeTag(tagged));
        assertNotEquals(policyChecksum(tagged), ByteBuffer.wrap(tagged).getShort(), "older versions drop it");
    }

    @Property(tries = 2_000, seed = "82")
    void policyDatagramHasNoTag(@ForAll @Size(min = 2, max = 256) byte[] own) {
        ByteBuffer.wrap(own).putShort(policyChecksum(own));
        assertEquals(ServiceTag.NONE, ServiceTag.read(own));
    }

    @Property(tries = 2_000, seed = "83")
    void corruptedTagIsNotRead(@ForAll @Size(min = 8, max = 60) byte[] own, @ForAll int at, @ForAll byte by) {
        byte[] tagged = ServiceTag.addTag(77, own);
        int place = Math.floorMod(at, tagged.length);
        int change = by == 0 ? 1 : by;
        tagged[place] = (byte) (tagged[place] ^ change);
        assertEquals(ServiceTag.NONE, ServiceTag.read(tagged));
    }

    @Example
    void tagDependsOnlyOnTheServiceName() {
        assertEquals(ServiceTag.of("print"), ServiceTag.of("print"));
        assertNotEquals(ServiceTag.of("print"), ServiceTag.of("archive"));
        assertEquals(ServiceTag.NONE, ServiceTag.read(new byte[3]));
    }
}
