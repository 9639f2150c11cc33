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
final class PoolTagTest {

    /** The low half of the CRC-32 of all but the first two bytes, as a module's own datagrams begin. */
    private static short ownCheck(byte[] datagram) {
        CRC32 sum = new CRC32();
        sum.update(datagram, 2, datagram.length - 2);
        return (short) sum.getValue();
    }

    @Property(tries = 2_000, seed = "81")
    void whatIsMarkedIsNoModulesOwnAndBack(@ForAll @Size(min = 2, max = 250) byte[] own, @ForAll int any) {
        int tag = any == PoolTag.NONE ? 1 : any;
        byte[] tagged = PoolTag.tagged(tag, own);
        assertEquals(own.length + PoolTag.LENGTH_BYTES, tagged.length);
        assertEquals(tag, PoolTag.read(tagged));
        assertArrayEquals(own, PoolTag.untagged(tagged));
        assertNotEquals(ownCheck(tagged), ByteBuffer.wrap(tagged).getShort(), "older versions drop it");
    }

    @Property(tries = 2_000, seed = "82")
    void aModulesOwnBearsNoMark(@ForAll @Size(min = 2, max = 256) byte[] own) {
        ByteBuffer.wrap(own).putShort(ownCheck(own));
        assertEquals(PoolTag.NONE, PoolTag.read(own));
    }

    @Property(tries = 2_000, seed = "83")
    void aDamagedMarkIsNone(@ForAll @Size(min = 8, max = 60) byte[] own, @ForAll int at, @ForAll byte by) {
        byte[] tagged = PoolTag.tagged(77, own);
        int place = Math.floorMod(at, tagged.length);
        int change = by == 0 ? 1 : by;
        tagged[place] = (byte) (tagged[place] ^ change);
        assertEquals(PoolTag.NONE, PoolTag.read(tagged));
    }

    @Example
    void tagsDependOnTheNameAlone() {
        assertEquals(PoolTag.of("print"), PoolTag.of("print"));
        assertNotEquals(PoolTag.of("print"), PoolTag.of("archive"));
        assertEquals(PoolTag.NONE, PoolTag.read(new byte[3]));
    }
}
