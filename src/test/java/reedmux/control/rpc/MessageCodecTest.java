package reedmux.control.rpc;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import com.esotericsoftware.kryo.KryoException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import org.testng.annotations.Test;
import reedmux.common.quota.QuotaUpdate;
import reedmux.common.quota.QuotaUpdate.TenantTotal;
import reedmux.control.configuration.ConfigurationItem;
import reedmux.control.consensus.Ballot;
import reedmux.control.consensus.CoreMembers;
import reedmux.control.consensus.EpochMessage;
import reedmux.control.consensus.EpochMessageType;
import reedmux.control.consensus.PersistentCoreState;
import reedmux.control.consensus.Proposal;
import reedmux.control.consensus.Vote;
import reedmux.control.instances.InstanceIncarnation;
import reedmux.control.instances.InstanceOwner;
import reedmux.control.instances.RegistryHeartbeat;
import reedmux.control.replication.Watermark;
import reedmux.control.session.ProxySession;
import reedmux.control.session.SessionChanges;

/** Tests that every message can be encoded and decoded, and that invalid bytes are rejected. */
public class MessageCodecTest {
    private static final ConfigurationItem ITEM = new ConfigurationItem("routes", "r", 7, "{\"host\":\"h\"}");
    private static final InstanceIncarnation INCARNATION =
            new InstanceIncarnation("i-1", "desk", "10.0.0.1:80", "a", 3, InstanceIncarnation.DRAINING, 9, 100, true);
    private static final Proposal PROPOSAL = new Proposal("c", new Ballot(3, "core-1"), List.of(ITEM));
    private static final CoreMembers CORE = new CoreMembers(4, Map.of("10.0.0.1", "core-1", "10.0.0.2", ""));
    private static final ProxySession SESSION = new ProxySession("edge-1", "10.1.0.1", "a", -5);

    private static List<Object> allMessages() {
        return List.of(
                new Messages.Hello(1, "store", "n", "10.0.0.1", "a", 77, List.of("10.0.0.1")),
                new Messages.KeepAlive(),
                new Messages.ChangesRequest(-3, 4),
                new Messages.ConfigurationUpdate(1, 2, true, List.of(ITEM), List.of(PROPOSAL)),
                new Messages.MembershipUpdate(
                        1,
                        2,
                        List.of(INCARNATION),
                        List.of(new InstanceOwner("i-1", 9, -7)),
                        new SessionChanges(true, List.of(SESSION), List.of("edge-2"))),
                new Messages.ConfigurationChangeRequest(5, "x"),
                new Messages.ConfigurationReadRequest(6),
                new Messages.OperatorResponse(7, 200, "{}"),
                new Messages.ProposalRecord(PROPOSAL),
                new Messages.VoteResponse("c", PROPOSAL.ballot(), Vote.BUSY),
                new Messages.DecisionNotice("c", PROPOSAL.ballot(), true, List.of(ITEM)),
                new Messages.WatermarkUpdate(List.of(new Watermark("routes/r", 7, -9))),
                new Messages.QuorumContactRequest(2, 4, true),
                new Messages.QuorumContactResponse(4),
                new Messages.CaughtUpNotice(),
                new Messages.ProposeRequest(3, PROPOSAL),
                new Messages.CoreMembershipNotice(null, true, false),
                new Messages.CoreMembershipNotice(CORE, false, true),
                new Messages.CoreStateRecord(new PersistentCoreState(CORE, PROPOSAL.ballot(), null, null, true)),
                new EpochMessage(EpochMessageType.ACCEPT, 4, PROPOSAL.ballot(), null, CORE),
                new Messages.StateTransferRequest(4, -5, 6),
                new Messages.StateTransferResponse(
                        4,
                        new Messages.ConfigurationUpdate(1, 2, true, List.of(ITEM), List.of(PROPOSAL)),
                        List.of(List.of("10.0.0.1"))),
                new Messages.SnapshotChunk(1, -1, List.of(ITEM)),
                new Messages.SnapshotChunkRequest(-2, 3),
                new Messages.DigestRequest(List.of(1, 63), List.of(-5L, 0L)),
                new Messages.DigestMismatch(List.of(2)),
                new Messages.CoreRemovalRequest(5, "core-1"),
                new Messages.StoreStatusRequest(5, "items", "", 7),
                new Messages.IncarnationNotice(8, List.of(INCARNATION)),
                new Messages.IncarnationAck(9),
                new Messages.RegistryHeartbeats(List.of(new RegistryHeartbeat(-3, 4))),
                new QuotaUpdate("n", 1, 2, 3, 4, new ArrayList<>(List.of(new TenantTotal("t", 1.5, -1)))));
    }

    @Test
    public void roundTripsEveryMessage() {
        MessageCodec codec = new MessageCodec();
        allMessages().forEach(message -> assertEquals(codec.decodeOrNull(codec.encode(message)), message));
    }

    @Test
    public void rejectsTruncatedOrUnknownMessages() {
        MessageCodec codec = new MessageCodec();
        for (Object message : allMessages()) {
            byte[] bytes = codec.encode(message);
            for (int end = 0; end < bytes.length; end++) {
                assertNull(codec.decodeOrNull(Arrays.copyOf(bytes, end)), message + " truncated to length " + end);
            }
            assertNull(codec.decodeOrNull(Arrays.copyOf(bytes, bytes.length + 1)));
        }
        assertNull(codec.decodeOrNull(new byte[] {99, 1, 2}));
        assertNull(codec.decodeOrNull(codec.encode(
                new Messages.CoreMembershipNotice(new CoreMembers(1, Map.of("nowhere", "")), false, false))));
        assertNull(codec.decodeOrNull(
                codec.encode(new EpochMessage(EpochMessageType.ACCEPT, 4, PROPOSAL.ballot(), null, null))));
    }

    @Test
    public void decodingErrorsStateOffsetAndCause() {
        MessageCodec codec = new MessageCodec();
        byte[] bytes = codec.encode(new Messages.IncarnationAck(9));
        MessageDecodingException truncated =
                expectThrows(MessageDecodingException.class, () -> codec.decode(Arrays.copyOf(bytes, 5)));
        assertTrue(truncated.getCause() instanceof KryoException, String.valueOf(truncated.getCause()));
        MessageDecodingException tooLong =
                expectThrows(MessageDecodingException.class, () -> codec.decode(Arrays.copyOf(bytes, 11)));
        assertEquals(tooLong.offset(), 9);
        assertEquals(tooLong.getMessage(), "at byte 9: 2 trailing bytes after the message");
        MessageDecodingException unknown =
                expectThrows(MessageDecodingException.class, () -> codec.decode(new byte[] {99, 1}));
        assertEquals(unknown.getMessage(), "at byte 1: unknown message id 99");
    }

    /** Replaces the length of a string by an invalid one that the frame cannot hold. */
    @Test
    public void rejectsStringLengthsBeyondTheFrame() {
        MessageCodec codec = new MessageCodec();
        for (int length : new int[] {Integer.MAX_VALUE, 1 << 29, 1 << 20, 1000, 3, 0, -1}) {
            com.esotericsoftware.kryo.io.Output out = new com.esotericsoftware.kryo.io.Output(64);
            out.writeByte(codec.encode(new Messages.ConfigurationChangeRequest(5, "x"))[0]);
            out.writeLong(5);
            out.writeVarIntFlag(true, length, true);
            assertNull(codec.decodeOrNull(out.toBytes()), "string length " + length);
        }
    }

    /** Flips each bit of every message: the result is rejected, or is decoded to a message with valid values. */
    @Test
    public void survivesEverySingleBitFlip() {
        MessageCodec codec = new MessageCodec();
        int flips = 0;
        for (Object message : allMessages()) {
            byte[] bytes = codec.encode(message);
            for (int bit = 0; bit < 8 * bytes.length; bit++) {
                byte[] flipped = bytes.clone();
                flipped[bit / 8] ^= (byte) (1 << bit % 8);
                Object decoded = codec.decodeOrNull(flipped);
                if (decoded instanceof QuotaUpdate update) {
                    update.entries().forEach(entry -> assertEquals(entry.total() - entry.total(), 0.0));
                    assertEquals(update.reachableMembers() < 0, false);
                } else if (decoded instanceof Messages.IncarnationNotice notice) {
                    notice.instances()
                            .forEach(instance -> assertEquals(
                                    instance.phase() >= InstanceIncarnation.READY
                                            && instance.phase() <= InstanceIncarnation.GONE
                                            && instance.capacity() > 0,
                                    true));
                }
                flips++;
            }
        }
        assertEquals(flips > 3000, true, flips + " bits were flipped");
    }
}
