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

/** One message of every type that the system's programs exchange, with no field at its default value. */
public final class RpcFixtures {
    /** Longer than the texts that Kryo writes in its short form, with characters of two and three bytes. */
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

    /** Returns every message under a name that stays the same whatever the types are called. */
    static Map<String, Object> messages() {
        Map<String, Object> all = new LinkedHashMap<>();
        all.put(
                "hello",
                new Messages.Hello(4, "store", "core-1", "10.0.0.1", "zone-a", -77, List.of("10.0.0.1", "10.0.0.2")));
        all.put("ping", new Messages.KeepAlive());
        all.put("pull", new Messages.ChangesRequest(-3, 4));
        all.put(
                "configuration-update",
                new Messages.ConfigurationUpdate(-11, 12, true, ITEMS, List.of(PREPARED, PRECOMMITTED)));
        all.put(
                "membership-update",
                new Messages.MembershipUpdate(
                        -13,
                        14,
                        List.of(DRAINING, READY, GONE),
                        List.of(new InstanceOwner("i-1", 900, -7)),
                        new SessionChanges(true, List.of(SESSION), List.of("edge-2", "edge-3"))));
        all.put("change-request", new Messages.ConfigurationChangeRequest(5, LONG_TEXT));
        all.put("read-request", new Messages.ConfigurationReadRequest(6));
        all.put("show-request", new Messages.StoreStatusRequest(-15, "items", "routes/shop", 70_000));
        all.put("outcome", new Messages.OperatorResponse(7, 409, LONG_TEXT));
        all.put("propose", new Messages.ProposalRecord(PREPARED));
        all.put("propose-precommitted", new Messages.ProposalRecord(PRECOMMITTED));
        all.put("vote-held", new Messages.VoteResponse("call-1", BALLOT, Vote.PREPARED));
        all.put("vote-invalid", new Messages.VoteResponse("call-1", BALLOT, Vote.INVALID));
        all.put("vote-busy", new Messages.VoteResponse("call-1", BALLOT, Vote.BUSY));
        all.put("vote-unable", new Messages.VoteResponse("call-1", BALLOT, Vote.UNAVAILABLE));
        all.put("vote-passed", new Messages.VoteResponse("call-1", BALLOT, Vote.SUPERSEDED));
        all.put("vote-conflict", new Messages.VoteResponse("call-1", BALLOT, Vote.CONFLICT));
        all.put("vote-precommitted", new Messages.VoteResponse("call-1", BALLOT, Vote.PRECOMMITTED));
        all.put("decided-in-force", new Messages.DecisionNotice("call-1", BALLOT, true, ITEMS));
        all.put("decided-dropped", new Messages.DecisionNotice("call-2", LATER_BALLOT, false, List.of(ROUTE)));
        all.put("ask", new Messages.ProposeRequest(3, PRECOMMITTED));
        all.put("core", new Messages.CoreMembershipNotice(CORE, true, false));
        all.put("core-fenced", new Messages.CoreMembershipNotice(CORE, false, true));
        all.put("core-unknown", new Messages.CoreMembershipNotice(null, true, true));
        all.put(
                "core-state",
                new Messages.CoreStateRecord(new PersistentCoreState(CORE, LATER_BALLOT, BALLOT, NEXT_CORE, true)));
        all.put(
                "core-state-first",
                new Messages.CoreStateRecord(new PersistentCoreState(CORE, null, null, null, false)));
        all.put("step-prepare", new EpochMessage(EpochMessageType.PREPARE, 4, BALLOT, null, null));
        all.put("step-promise", new EpochMessage(EpochMessageType.PROMISE, 4, LATER_BALLOT, BALLOT, NEXT_CORE));
        all.put("step-accept", new EpochMessage(EpochMessageType.ACCEPT, 4, BALLOT, null, NEXT_CORE));
        all.put("step-accepted", new EpochMessage(EpochMessageType.ACCEPTED, 4, BALLOT, null, null));
        all.put("step-passed", new EpochMessage(EpochMessageType.REJECTED, 4, BALLOT, null, null));
        all.put("fetch", new Messages.StateTransferRequest(4, -5, 6));
        all.put(
                "fetched",
                new Messages.StateTransferResponse(
                        4,
                        new Messages.ConfigurationUpdate(-1, 2, true, ITEMS, List.of(PREPARED, PRECOMMITTED)),
                        List.of(List.of("10.0.0.1", "10.0.0.2"), List.of("10.0.0.3"))));
        all.put("leave", new Messages.CoreRemovalRequest(8, "core-1"));
        all.put("incarnations", new Messages.IncarnationNotice(9, List.of(DRAINING, GONE)));
        all.put("incarnations-known", new Messages.IncarnationAck(10));
        all.put(
                "contacts",
                new Messages.RegistryHeartbeats(
                        List.of(new RegistryHeartbeat(-3, 4_000_000), new RegistryHeartbeat(5, 6))));
        all.put(
                "watermarks",
                new Messages.WatermarkUpdate(List.of(
                        new Watermark("routes/shop", 7, -9),
                        new Watermark("plants/p", 1L << 33, Watermark.LOW_WATERMARK))));
        all.put("confirm", new Messages.QuorumContactRequest(2, -4, true));
        all.put("confirmed", new Messages.QuorumContactResponse(-4));
        all.put("current", new Messages.CaughtUpNotice());
        all.put("piece", new Messages.SnapshotChunk(-17, -1, ITEMS));
        all.put("resume", new Messages.SnapshotChunkRequest(-18, 19));
        all.put("compare", new Messages.DigestRequest(List.of(1, 300), List.of(-5L, 1L << 50)));
        all.put("differ", new Messages.DigestMismatch(List.of(2, 63)));
        all.put(
                "quota-packet",
                new QuotaUpdate(
                        "edge-1",
                        -21,
                        22,
                        -23,
                        24,
                        new ArrayList<>(List.of(
                                new TenantTotal("tenant-1", 1234.5, -1), new TenantTotal("tenant-2", 0.1, 0.25)))));
        return all;
    }

    /** Returns the bytes of each message as a connection carries them: the length and then the message. */
    public static Map<String, byte[]> encodedFrames() {
        MessageCodec codec = new MessageCodec();
        Map<String, byte[]> all = new LinkedHashMap<>();
        messages().forEach((name, message) -> all.put(name, framed(codec.encode(message))));
        return all;
    }

    static byte[] framed(byte[] message) {
        return ByteBuffer.allocate(Integer.BYTES + message.length)
                .putInt(message.length)
                .put(message)
                .array();
    }

    /** Returns what earlier versions left on disks, in forms that are read and no longer written. */
    static Map<String, Object> readOnlyMessages() {
        Ballot none = new Ballot(1, "");
        Map<String, Object> all = new LinkedHashMap<>();
        all.put("items-without-held", new Messages.ConfigurationUpdate(-31, 32, true, ITEMS, List.of()));
        all.put("propose-without-ballot", new Messages.ProposalRecord(new Proposal("call-3", none, ITEMS, false)));
        all.put("decided-without-ballot", new Messages.DecisionNotice("call-3", none, true, ITEMS));
        all.put("propose-of-one-phase", new Messages.ProposalRecord(PREPARED));
        return all;
    }

    /** Returns the bytes of those, written out here as no code of the programs writes them. */
    public static Map<String, byte[]> encodedReadOnlyMessages() {
        Map<String, byte[]> all = new LinkedHashMap<>();
        Output out = startMessage(3);
        out.writeLong(-31);
        out.writeLong(32);
        out.writeBoolean(true);
        all.put("items-without-held", appendItems(out));
        out = startMessage(8);
        out.writeString("call-3");
        all.put("propose-without-ballot", appendItems(out));
        out = startMessage(10);
        out.writeString("call-3");
        out.writeBoolean(true);
        all.put("decided-without-ballot", appendItems(out));
        out = startMessage(15);
        out.writeString("call-1");
        out.writeVarLong(300, true);
        out.writeString("core-1");
        all.put("propose-of-one-phase", appendItems(out));
        return all;
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
