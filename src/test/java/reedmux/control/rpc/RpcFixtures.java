package reedmux.control.rpc;

import com.esotericsoftware.kryo.io.Output;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
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

/** Sample messages of every type that the system's programs exchange, with no field at its default value. */
public final class RpcFixtures {
    /** Longer than the strings that Kryo writes in its short encoding; contains characters of two and three bytes. */
    private static final String LONG_TEXT =
            "{\"host\":\"hügel.example\",\"note\":\"" + "€" + "0123456789".repeat(20) + "\"}";

    private static final ConfigurationItem ROUTE =
            new ConfigurationItem("routes", "shop", 7, "{\"host\":\"shop.example\"}");
    private static final ConfigurationItem POOL = new ConfigurationItem("plants", "p", 1L << 40, LONG_TEXT);
    private static final ConfigurationItem DELETED = new ConfigurationItem("tenants", "gone", 300, "");
    private static final List<ConfigurationItem> ITEMS = List.of(ROUTE, POOL, DELETED);
    private static final Ballot BALLOT = new Ballot(300, "core-1");
    private static final Ballot LATER_BALLOT = new Ballot(301, "core-2");
    private static final Proposal PREPARED = new Proposal("call-1", BALLOT, ITEMS, false);
    private static final Proposal PRECOMMITTED = new Proposal("call-2", LATER_BALLOT, List.of(ROUTE), true);
    private static final CoreMembers CORE =
            new CoreMembers(4, Map.of("10.0.0.1", "core-1", "10.0.0.2", "", "10.0.0.3", "core-3"));
    private static final CoreMembers NEXT_CORE = new CoreMembers(5, Map.of("10.0.0.1", "core-1", "10.0.0.4", "core-4"));
    private static final InstanceIncarnation DRAINING = new InstanceIncarnation(
            "i-1", "desk", "10.0.0.1:80", "zone-a", 300, InstanceIncarnation.DRAINING, 1L << 35, 100_000, true);
    private static final InstanceIncarnation READY =
            new InstanceIncarnation("i-2", "desk", "10.0.0.2:80", "zone-b", 2, InstanceIncarnation.READY, 3, 1, false);
    private static final InstanceIncarnation GONE =
            new InstanceIncarnation("i-3", "office", "10.0.0.3:80", "zone-c", 1, InstanceIncarnation.GONE, 9, 7, true);
    private static final ProxySession SESSION = new ProxySession("edge-1", "10.1.0.1", "zone-a", -5);

    private RpcFixtures() {}

    /** Returns every message by its name in the fixture, which does not change when a type is renamed. */
    static Map<String, Object> messages() {
        Map<String, Object> messages = new LinkedHashMap<>();
        messages.put(
                "hello",
                new Messages.Hello(4, "store", "core-1", "10.0.0.1", "zone-a", -77, List.of("10.0.0.1", "10.0.0.2")));
        messages.put("ping", new Messages.KeepAlive());
        messages.put("pull", new Messages.ChangesRequest(-3, 4));
        messages.put(
                "configuration-update",
                new Messages.ConfigurationUpdate(-11, 12, true, ITEMS, List.of(PREPARED, PRECOMMITTED)));
        messages.put(
                "membership-update",
                new Messages.MembershipUpdate(
                        -13,
                        14,
                        List.of(DRAINING, READY, GONE),
                        List.of(new InstanceOwner("i-1", 900, -7)),
                        new SessionChanges(true, List.of(SESSION), List.of("edge-2", "edge-3"))));
        messages.put("change-request", new Messages.ConfigurationChangeRequest(5, LONG_TEXT));
        messages.put("read-request", new Messages.ConfigurationReadRequest(6));
        messages.put("show-request", new Messages.StoreStatusRequest(-15, "items", "routes/shop", 70_000));
        messages.put("outcome", new Messages.OperatorResponse(7, 409, LONG_TEXT));
        messages.put("propose", new Messages.ProposalRecord(PREPARED));
        messages.put("propose-precommitted", new Messages.ProposalRecord(PRECOMMITTED));
        messages.put("vote-held", new Messages.VoteResponse("call-1", BALLOT, Vote.PREPARED));
        messages.put("vote-invalid", new Messages.VoteResponse("call-1", BALLOT, Vote.INVALID));
        messages.put("vote-busy", new Messages.VoteResponse("call-1", BALLOT, Vote.BUSY));
        messages.put("vote-unable", new Messages.VoteResponse("call-1", BALLOT, Vote.UNAVAILABLE));
        messages.put("vote-passed", new Messages.VoteResponse("call-1", BALLOT, Vote.SUPERSEDED));
        messages.put("vote-conflict", new Messages.VoteResponse("call-1", BALLOT, Vote.CONFLICT));
        messages.put("vote-precommitted", new Messages.VoteResponse("call-1", BALLOT, Vote.PRECOMMITTED));
        messages.put("decided-in-force", new Messages.DecisionNotice("call-1", BALLOT, true, ITEMS));
        messages.put("decided-dropped", new Messages.DecisionNotice("call-2", LATER_BALLOT, false, List.of(ROUTE)));
        messages.put("ask", new Messages.ProposeRequest(3, PRECOMMITTED));
        messages.put("core", new Messages.CoreMembershipNotice(CORE, true, false));
        messages.put("core-fenced", new Messages.CoreMembershipNotice(CORE, false, true));
        messages.put("core-unknown", new Messages.CoreMembershipNotice(null, true, true));
        messages.put(
                "core-state",
                new Messages.CoreStateRecord(new PersistentCoreState(CORE, LATER_BALLOT, BALLOT, NEXT_CORE, true)));
        messages.put(
                "core-state-first",
                new Messages.CoreStateRecord(new PersistentCoreState(CORE, null, null, null, false)));
        messages.put("step-prepare", new EpochMessage(EpochMessageType.PREPARE, 4, BALLOT, null, null));
        messages.put("step-promise", new EpochMessage(EpochMessageType.PROMISE, 4, LATER_BALLOT, BALLOT, NEXT_CORE));
        messages.put("step-accept", new EpochMessage(EpochMessageType.ACCEPT, 4, BALLOT, null, NEXT_CORE));
        messages.put("step-accepted", new EpochMessage(EpochMessageType.ACCEPTED, 4, BALLOT, null, null));
        messages.put("step-passed", new EpochMessage(EpochMessageType.REJECTED, 4, BALLOT, null, null));
        messages.put("fetch", new Messages.StateTransferRequest(4, -5, 6));
        messages.put(
                "fetched",
                new Messages.StateTransferResponse(
                        4,
                        new Messages.ConfigurationUpdate(-1, 2, true, ITEMS, List.of(PREPARED, PRECOMMITTED)),
                        List.of(List.of("10.0.0.1", "10.0.0.2"), List.of("10.0.0.3"))));
        messages.put("leave", new Messages.CoreRemovalRequest(8, "core-1"));
        messages.put("incarnations", new Messages.IncarnationNotice(9, List.of(DRAINING, GONE)));
        messages.put("incarnations-known", new Messages.IncarnationAck(10));
        messages.put(
                "contacts",
                new Messages.RegistryHeartbeats(
                        List.of(new RegistryHeartbeat(-3, 4_000_000), new RegistryHeartbeat(5, 6))));
        messages.put(
                "watermarks",
                new Messages.WatermarkUpdate(List.of(
                        new Watermark("routes/shop", 7, -9),
                        new Watermark("plants/p", 1L << 33, Watermark.LOW_WATERMARK))));
        messages.put("confirm", new Messages.QuorumContactRequest(2, -4, true));
        messages.put("confirmed", new Messages.QuorumContactResponse(-4));
        messages.put("current", new Messages.CaughtUpNotice());
        messages.put("piece", new Messages.SnapshotChunk(-17, -1, ITEMS));
        messages.put("resume", new Messages.SnapshotChunkRequest(-18, 19));
        messages.put("compare", new Messages.DigestRequest(List.of(1, 300), List.of(-5L, 1L << 50)));
        messages.put("differ", new Messages.DigestMismatch(List.of(2, 63)));
        messages.put(
                "quota-packet",
                new QuotaUpdate(
                        "edge-1",
                        -21,
                        22,
                        -23,
                        24,
                        new ArrayList<>(List.of(
                                new TenantTotal("tenant-1", 1234.5, -1), new TenantTotal("tenant-2", 0.1, 0.25)))));
        return messages;
    }

    /** Returns the frame of each message as sent over a connection: the length followed by the message. */
    public static Map<String, byte[]> encodedFrames() {
        MessageCodec codec = new MessageCodec();
        Map<String, byte[]> frames = new LinkedHashMap<>();
        messages().forEach((name, message) -> frames.put(name, framed(codec.encode(message))));
        return frames;
    }

    static byte[] framed(byte[] message) {
        return ByteBuffer.allocate(Integer.BYTES + message.length)
                .putInt(message.length)
                .put(message)
                .array();
    }

    /** Returns messages that earlier versions wrote to disk in encodings that are still read but no longer written. */
    static Map<String, Object> readOnlyMessages() {
        Ballot noBallot = new Ballot(1, "");
        Map<String, Object> messages = new LinkedHashMap<>();
        messages.put("items-without-held", new Messages.ConfigurationUpdate(-31, 32, true, ITEMS, List.of()));
        messages.put(
                "propose-without-ballot", new Messages.ProposalRecord(new Proposal("call-3", noBallot, ITEMS, false)));
        messages.put("decided-without-ballot", new Messages.DecisionNotice("call-3", noBallot, true, ITEMS));
        messages.put("propose-of-one-phase", new Messages.ProposalRecord(PREPARED));
        return messages;
    }

    /** Returns the bytes of {@link #readOnlyMessages}, encoded here because the programs no longer write them. */
    public static Map<String, byte[]> encodedReadOnlyMessages() {
        Map<String, byte[]> encoded = new LinkedHashMap<>();
        Output out = startMessage(3);
        out.writeLong(-31);
        out.writeLong(32);
        out.writeBoolean(true);
        encoded.put("items-without-held", appendItems(out));
        out = startMessage(8);
        out.writeString("call-3");
        encoded.put("propose-without-ballot", appendItems(out));
        out = startMessage(10);
        out.writeString("call-3");
        out.writeBoolean(true);
        encoded.put("decided-without-ballot", appendItems(out));
        out = startMessage(15);
        out.writeString("call-1");
        out.writeVarLong(300, true);
        out.writeString("core-1");
        encoded.put("propose-of-one-phase", appendItems(out));
        return encoded;
    }

    private static Output startMessage(int type) {
        Output out = new Output(64, -1);
        out.writeByte(type);
        return out;
    }

    private static byte[] appendItems(Output out) {
        out.writeVarInt(ITEMS.size(), true);
        for (ConfigurationItem item : ITEMS) {
            out.writeString(item.kind());
            out.writeString(item.name());
            out.writeVarLong(item.revision(), true);
            out.writeString(item.body());
        }
        return out.toBytes();
    }
}
