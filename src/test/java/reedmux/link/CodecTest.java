package reedmux.link;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNull;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import org.testng.annotations.Test;
import reedmux.fleet.Fleet;
import reedmux.fleet.Incarnation;
import reedmux.item.Agreement.Vote;
import reedmux.item.Ballot;
import reedmux.item.Item;
import reedmux.item.Mark;
import reedmux.item.Members;
import reedmux.item.Membership;
import reedmux.item.Proposal;
import reedmux.member.Differences;
import reedmux.member.Session;
import reedmux.quota.Quotas;

/** Each message there and back, and bytes that are none. */
public class CodecTest {
    private static final Item ITEM = new Item("routes", "r", 7, "{\"host\":\"h\"}");
    private static final Incarnation LIFE =
            new Incarnation("i-1", "desk", "10.0.0.1:80", "a", 3, Incarnation.DRAINING, 9, 100, true);
    private static final Proposal MOTION = new Proposal("c", new Ballot(3, "core-1"), List.of(ITEM));
    private static final Members CORE = new Members(4, Map.of("10.0.0.1", "core-1", "10.0.0.2", ""));
    private static final Session SESSION = new Session("edge-1", "10.1.0.1", "a", -5);

    private static List<Object> all() {
        return List.of(
                new Messages.Hello(1, "store", "n", "10.0.0.1", "a", 77, List.of("10.0.0.1")),
                new Messages.Ping(),
                new Messages.Pull(-3, 4),
                new Messages.Items(1, 2, true, List.of(ITEM), List.of(MOTION)),
                new Messages.News(
                        1,
                        2,
                        List.of(LIFE),
                        List.of(new Fleet.Owned("i-1", 9, -7)),
                        new Differences(true, List.of(SESSION), List.of("edge-2"))),
                new Messages.Adjust(5, "x"),
                new Messages.Read(6),
                new Messages.Outcome(7, 200, "{}"),
                new Messages.Propose(MOTION),
                new Messages.Voted("c", MOTION.ballot(), Vote.BUSY),
                new Messages.Decided("c", MOTION.ballot(), true, List.of(ITEM)),
                new Messages.Marks(List.of(new Mark("routes/r", 7, -9))),
                new Messages.Confirm(2, 4, true),
                new Messages.Confirmed(4),
                new Messages.Current(),
                new Messages.Ask(3, MOTION),
                new Messages.CoreTold(null, true, false),
                new Messages.CoreTold(CORE, false, true),
                new Messages.CoreKept(new Membership.State(CORE, MOTION.ballot(), null, null, true)),
                new Membership.Step(Membership.Kind.ACCEPT, 4, MOTION.ballot(), null, CORE),
                new Messages.Fetch(4, -5, 6),
                new Messages.Fetched(
                        4,
                        new Messages.Items(1, 2, true, List.of(ITEM), List.of(MOTION)),
                        List.of(List.of("10.0.0.1"))),
                new Messages.Piece(1, -1, List.of(ITEM)),
                new Messages.Resume(-2, 3),
                new Messages.Compare(List.of(1, 63), List.of(-5L, 0L)),
                new Messages.Differ(List.of(2)),
                new Messages.Leave(5, "core-1"),
                new Messages.Show(5, "items", "", 7),
                new Messages.Tell(8, List.of(LIFE)),
                new Messages.Known(9),
                new Messages.Contacts(List.of(new Fleet.Contact(-3, 4))),
                new Quotas.Packet("n", 1, 2, 3, 4, new ArrayList<>(List.of(new Quotas.Entry("t", 1.5, -1)))));
    }

    @Test
    public void eachMessageComesBack() {
        Codec codec = new Codec();
        all().forEach(message -> assertEquals(codec.read(codec.write(message)), message));
    }

    @Test
    public void whatIsCutOrStrangeIsNoMessage() {
        Codec codec = new Codec();
        for (Object message : all()) {
            byte[] bytes = codec.write(message);
            for (int end = 0; end < bytes.length; end++) {
                assertNull(codec.read(Arrays.copyOf(bytes, end)), message + " cut at " + end);
            }
            assertNull(codec.read(Arrays.copyOf(bytes, bytes.length + 1)));
        }
        assertNull(codec.read(new byte[] {99, 1, 2}));
        assertNull(codec.read(codec.write(new Messages.CoreTold(new Members(1, Map.of("nowhere", "")), false, false))));
        assertNull(
                codec.read(codec.write(new Membership.Step(Membership.Kind.ACCEPT, 4, MOTION.ballot(), null, null))));
    }

    /** Bytes in place of any text of a message that promise a text of any length, or none. */
    @Test
    public void whatALengthPromisesIsNotTakenForGranted() {
        Codec codec = new Codec();
        for (int length : new int[] {Integer.MAX_VALUE, 1 << 29, 1 << 20, 1000, 3, 0, -1}) {
            com.esotericsoftware.kryo.io.Output out = new com.esotericsoftware.kryo.io.Output(64);
            out.writeByte(codec.write(new Messages.Adjust(5, "x"))[0]);
            out.writeLong(5);
            out.writeVarIntFlag(true, length, true);
            assertNull(codec.read(out.toBytes()), "a text of " + length);
        }
    }

    /** All flips of one bit in all messages: a message or none, and never more than that. */
    @Test
    public void aBitThatFlipsEndsNothing() {
        Codec codec = new Codec();
        int plays = 0;
        for (Object message : all()) {
            byte[] bytes = codec.write(message);
            for (int bit = 0; bit < 8 * bytes.length; bit++) {
                byte[] flipped = bytes.clone();
                flipped[bit / 8] ^= (byte) (1 << bit % 8);
                Object read = codec.read(flipped);
                if (read instanceof Quotas.Packet packet) {
                    packet.entries().forEach(entry -> assertEquals(entry.total() - entry.total(), 0.0));
                    assertEquals(packet.reach() < 0, false);
                } else if (read instanceof Messages.Tell tell) {
                    tell.lives()
                            .forEach(life -> assertEquals(
                                    life.phase() >= Incarnation.READY
                                            && life.phase() <= Incarnation.GONE
                                            && life.capacity() > 0,
                                    true));
                }
                plays++;
            }
        }
        assertEquals(plays > 3000, true, plays + " flips");
    }
}
