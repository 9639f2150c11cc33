package reedmux.control.rpc;

import com.esotericsoftware.kryo.io.Input;
import com.esotericsoftware.kryo.io.Output;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import reedmux.common.net.SocketAddresses;
import reedmux.control.configuration.ConfigurationItem;
import reedmux.control.consensus.Ballot;
import reedmux.control.consensus.ConsensusNode.Vote;
import reedmux.control.consensus.CoreMembers;
import reedmux.control.consensus.CoreMembership;
import reedmux.control.consensus.Proposal;
import reedmux.control.instances.CheckerIncarnation;
import reedmux.control.instances.InstanceDirectory;
import reedmux.control.replication.Watermark;
import reedmux.control.rpc.Messages.CaughtUpNotice;
import reedmux.control.rpc.Messages.ChangesRequest;
import reedmux.control.rpc.Messages.ConfigurationChangeRequest;
import reedmux.control.rpc.Messages.ConfigurationReadRequest;
import reedmux.control.rpc.Messages.ConfigurationUpdate;
import reedmux.control.rpc.Messages.CoreMembershipNotice;
import reedmux.control.rpc.Messages.CoreRemovalRequest;
import reedmux.control.rpc.Messages.CoreStateRecord;
import reedmux.control.rpc.Messages.DecisionNotice;
import reedmux.control.rpc.Messages.DigestMismatch;
import reedmux.control.rpc.Messages.DigestRequest;
import reedmux.control.rpc.Messages.Hello;
import reedmux.control.rpc.Messages.IncarnationAck;
import reedmux.control.rpc.Messages.IncarnationNotice;
import reedmux.control.rpc.Messages.KeepAlive;
import reedmux.control.rpc.Messages.MembershipUpdate;
import reedmux.control.rpc.Messages.OperatorResponse;
import reedmux.control.rpc.Messages.ProposalRecord;
import reedmux.control.rpc.Messages.ProposeRequest;
import reedmux.control.rpc.Messages.QuorumContactRequest;
import reedmux.control.rpc.Messages.QuorumContactResponse;
import reedmux.control.rpc.Messages.RegistryHeartbeats;
import reedmux.control.rpc.Messages.SnapshotChunk;
import reedmux.control.rpc.Messages.SnapshotChunkRequest;
import reedmux.control.rpc.Messages.StateTransferRequest;
import reedmux.control.rpc.Messages.StateTransferResponse;
import reedmux.control.rpc.Messages.VoteResponse;
import reedmux.control.rpc.Messages.WatermarkUpdate;
import reedmux.control.session.ProxySession;
import reedmux.control.session.SessionChanges;
import reedmux.proxy.quota.QuotaTracker;

/**
 * Messages as bytes, in Kryo's encoding: a byte for the kind, and its parts by Kryo's output and input.
 * Each form is written out, and Kryo's table of classes is left alone: to make it, and to look up every
 * part of every message by reflection, took 0.1 s of CPU at each start; a lambda for each form took 0.01 s.
 * A change of a form changes {@link Messages#FORMAT_VERSION}. For one thread.
 */
public final class MessageCodec {
    private static final int INITIAL_BUFFER_BYTES = 1024;
    private static final byte HELLO = 0;
    private static final byte PING = 1;
    private static final byte PULL = 2;
    /** These three as they were written on disk before there were ballots. */
    private static final byte ITEMS_WITHOUT = 3;

    private static final byte ADJUST = 5;
    private static final byte READ = 6;
    private static final byte OUTCOME = 7;
    private static final byte PROPOSE_WITHOUT = 8;
    private static final byte VOTED = 9;
    private static final byte DECIDED_WITHOUT = 10;
    private static final byte TELL = 11;
    private static final byte KNOWN = 12;
    private static final byte CONTACTS = 19;
    private static final byte PACKET = 14;
    /** As it was written on disk when there was one phase. */
    private static final byte PROPOSE_ONE_PHASE = 15;

    private static final byte DECIDED = 16;
    private static final byte ITEMS = 17;
    private static final byte MARKS = 40;
    private static final byte CONFIRM = 41;
    private static final byte CONFIRMED = 42;
    private static final byte CURRENT = 43;
    private static final byte NEWS = 18;
    private static final byte ASK = 50;
    private static final byte CORE_TOLD = 51;
    private static final byte CORE_KEPT = 52;
    private static final byte CORE_STEP = 53;
    private static final byte FETCH = 54;
    private static final byte FETCHED = 55;
    private static final byte LEAVE = 56;
    private static final byte PROPOSE = 57;
    private static final byte PIECE = 60;
    private static final byte RESUME = 61;
    private static final byte COMPARE = 62;
    private static final byte DIFFER = 63;
    private static final byte SHOW = 70;
    private static final Ballot WITHOUT = new Ballot(1, "");
    private final Output out = new Output(INITIAL_BUFFER_BYTES, RpcConnection.MAX_FRAME_BYTES);

    public byte[] encode(Object message) {
        out.reset();
        if (message instanceof QuotaTracker.QuotaUpdate packet) {
            out.writeByte(PACKET);
            packet(packet);
        } else if (message instanceof KeepAlive) {
            out.writeByte(PING);
        } else if (message instanceof ChangesRequest pull) {
            out.writeByte(PULL);
            out.writeLong(pull.incarnation());
            out.writeLong(pull.sinceChange());
        } else if (message instanceof ConfigurationUpdate told) {
            out.writeByte(ITEMS);
            told(told);
        } else if (message instanceof MembershipUpdate news) {
            out.writeByte(NEWS);
            news(news);
        } else if (message instanceof RegistryHeartbeats contacts) {
            out.writeByte(CONTACTS);
            contacts(contacts);
        } else if (message instanceof Hello hello) {
            out.writeByte(HELLO);
            hello(hello);
        } else if (message instanceof IncarnationNotice tell) {
            out.writeByte(TELL);
            out.writeLong(tell.id());
            lives(tell.instances());
        } else if (message instanceof IncarnationAck known) {
            out.writeByte(KNOWN);
            out.writeLong(known.id());
        } else {
            ofCalls(message);
        }
        return out.toBytes();
    }

    private void told(ConfigurationUpdate told) {
        out.writeLong(told.incarnation());
        out.writeLong(told.upToChange());
        out.writeBoolean(told.complete());
        items(told.items());
        out.writeVarInt(told.pendingProposals().size(), true);
        for (Proposal proposal : told.pendingProposals()) {
            proposal(proposal);
        }
    }

    private static ConfigurationUpdate told(Input in) {
        return new ConfigurationUpdate(in.readLong(), in.readLong(), in.readBoolean(), items(in), proposals(in));
    }

    /** What changes of the core lead to. */
    private void ofCore(Object message) {
        if (message instanceof CoreMembershipNotice told) {
            out.writeByte(CORE_TOLD);
            members(told.core());
            out.writeBoolean(told.ready());
            out.writeBoolean(told.fenced());
        } else if (message instanceof CoreStateRecord kept) {
            out.writeByte(CORE_KEPT);
            members(kept.state().core());
            orNone(kept.state().promised());
            orNone(kept.state().accepted());
            members(kept.state().value());
            out.writeBoolean(kept.state().removed());
        } else if (message instanceof CoreMembership.EpochMessage step) {
            out.writeByte(CORE_STEP);
            out.writeByte(step.type().ordinal());
            out.writeLong(step.epoch());
            ballot(step.ballot());
            orNone(step.acceptedBallot());
            members(step.value());
        } else if (message instanceof StateTransferRequest fetch) {
            out.writeByte(FETCH);
            out.writeLong(fetch.epoch());
            out.writeLong(fetch.incarnation());
            out.writeLong(fetch.sinceChange());
        } else if (message instanceof StateTransferResponse fetched) {
            out.writeByte(FETCHED);
            out.writeLong(fetched.epoch());
            told(fetched.update());
            for (List<String> each : fetched.votersByProposal()) {
                texts(each);
            }
        } else if (message instanceof CoreRemovalRequest leave) {
            out.writeByte(LEAVE);
            out.writeLong(leave.id());
            out.writeString(leave.node());
        } else {
            ofCatchingUp(message);
        }
    }

    private static StateTransferResponse fetched(Input in) {
        long epoch = in.readLong();
        ConfigurationUpdate items = told(in);
        List<List<String>> deciders = new ArrayList<>();
        for (int i = 0; i < items.pendingProposals().size(); i++) {
            deciders.add(texts(in));
        }
        return new StateTransferResponse(epoch, items, deciders);
    }

    private void orNone(Ballot ballot) {
        out.writeBoolean(ballot != null);
        if (ballot != null) {
            ballot(ballot);
        }
    }

    private static Ballot orNone(Input in) {
        return in.readBoolean() ? ballot(in) : null;
    }

    private void members(CoreMembers members) {
        out.writeVarInt(members == null ? 0 : members.nodeNames().size() + 1, true);
        if (members != null) {
            out.writeLong(members.epoch());
            for (Map.Entry<String, String> member : members.nodeNames().entrySet()) {
                out.writeString(member.getKey());
                out.writeString(member.getValue());
            }
        }
    }

    private static CoreMembers members(Input in) {
        int size = in.readVarInt(true);
        if (size == 0) {
            return null;
        }
        long epoch = in.readLong();
        Map<String, String> nodes = new TreeMap<>();
        for (int i = 1; i < size; i++) {
            String ip = in.readString();
            if (SocketAddresses.parse(ip + ":1") == null) {
                throw new IllegalArgumentException("no ip of a member: " + ip);
            }
            nodes.put(ip, in.readString());
        }
        return new CoreMembers(epoch, nodes);
    }

    private static CoreMembership.PersistentCoreState state(Input in) {
        return new CoreMembership.PersistentCoreState(
                members(in), orNone(in), orNone(in), members(in), in.readBoolean());
    }

    private static CoreMembership.EpochMessage step(Input in) {
        CoreMembership.EpochMessage step = new CoreMembership.EpochMessage(
                CoreMembership.EpochMessageType.values()[in.readByte()],
                in.readLong(),
                ballot(in),
                orNone(in),
                members(in));
        if (step.value() == null
                && (step.type() == CoreMembership.EpochMessageType.ACCEPT || step.acceptedBallot() != null)) {
            throw new IllegalArgumentException("nothing to accept");
        }
        return step;
    }

    /** What the operator's calls lead to. */
    private void ofCalls(Object message) {
        if (message instanceof ProposalRecord propose) {
            out.writeByte(PROPOSE);
            proposal(propose.proposal());
        } else if (message instanceof ProposeRequest ask) {
            out.writeByte(ASK);
            out.writeLong(ask.epoch());
            proposal(ask.proposal());
        } else if (message instanceof VoteResponse voted) {
            out.writeByte(VOTED);
            out.writeString(voted.callId());
            ballot(voted.ballot());
            out.writeByte(voted.vote().ordinal());
        } else if (message instanceof DecisionNotice decided) {
            out.writeByte(DECIDED);
            out.writeString(decided.callId());
            ballot(decided.ballot());
            out.writeBoolean(decided.committed());
            items(decided.items());
        } else if (message instanceof ConfigurationChangeRequest adjust) {
            out.writeByte(ADJUST);
            out.writeLong(adjust.id());
            out.writeString(adjust.body());
        } else if (message instanceof ConfigurationReadRequest read) {
            out.writeByte(READ);
            out.writeLong(read.id());
        } else if (message instanceof OperatorResponse outcome) {
            out.writeByte(OUTCOME);
            out.writeLong(outcome.id());
            out.writeInt(outcome.status());
            out.writeString(outcome.body());
        } else if (message instanceof WatermarkUpdate told) {
            out.writeByte(MARKS);
            marks(told.watermarks());
        } else if (message instanceof QuorumContactRequest confirm) {
            out.writeByte(CONFIRM);
            out.writeLong(confirm.epoch());
            out.writeLong(confirm.id());
            out.writeBoolean(confirm.afterPendingDecisions());
        } else if (message instanceof QuorumContactResponse confirmed) {
            out.writeByte(CONFIRMED);
            out.writeLong(confirmed.id());
        } else if (message instanceof CaughtUpNotice) {
            out.writeByte(CURRENT);
        } else if (message instanceof Messages.StoreStatusRequest show) {
            out.writeByte(SHOW);
            out.writeLong(show.id());
            out.writeString(show.subject());
            out.writeString(show.afterName());
            out.writeInt(show.limit());
        } else {
            ofCore(message);
        }
    }

    private void ofCatchingUp(Object message) {
        if (message instanceof SnapshotChunk piece) {
            out.writeByte(PIECE);
            out.writeLong(piece.incarnation());
            out.writeLong(piece.upToChange());
            items(piece.items());
        } else if (message instanceof SnapshotChunkRequest resume) {
            out.writeByte(RESUME);
            out.writeLong(resume.incarnation());
            out.writeLong(resume.sinceChange());
        } else if (message instanceof DigestRequest compare) {
            out.writeByte(COMPARE);
            numbers(compare.ranges());
            out.writeVarInt(compare.digests().size(), true);
            for (long digest : compare.digests()) {
                out.writeLong(digest);
            }
        } else if (message instanceof DigestMismatch differ) {
            out.writeByte(DIFFER);
            numbers(differ.ranges());
        } else {
            throw new IllegalArgumentException("no message: " + message.getClass());
        }
    }

    /** Null where the bytes are no message. */
    public Object decodeOrNull(byte[] bytes) {
        try {
            Input in = new RpcFrame(bytes);
            Object message = message(in);
            return in.position() == bytes.length ? message : null;
        } catch (RuntimeException e) { // Kryo's own, and whatever bytes of no sense lead to
            return null;
        }
    }

    private static Object message(Input in) {
        return switch (in.readByte()) {
            case PACKET -> packet(in);
            case PING -> new KeepAlive();
            case PULL -> new ChangesRequest(in.readLong(), in.readLong());
            case ITEMS -> told(in);
            case NEWS -> new MembershipUpdate(in.readLong(), in.readLong(), lives(in), owned(in), differences(in));
            case CONTACTS -> contacts(in);
            case HELLO ->
                new Hello(
                        in.readInt(),
                        in.readString(),
                        in.readString(),
                        in.readString(),
                        in.readString(),
                        in.readLong(),
                        texts(in));
            case TELL -> new IncarnationNotice(in.readLong(), lives(in));
            case KNOWN -> new IncarnationAck(in.readLong());
            case PROPOSE -> new ProposalRecord(proposal(in));
            case VOTED -> new VoteResponse(in.readString(), ballot(in), Vote.values()[in.readByte()]);
            case DECIDED -> new DecisionNotice(in.readString(), ballot(in), in.readBoolean(), items(in));
            case ITEMS_WITHOUT ->
                new ConfigurationUpdate(in.readLong(), in.readLong(), in.readBoolean(), items(in), List.of());
            case PROPOSE_ONE_PHASE -> new ProposalRecord(new Proposal(in.readString(), ballot(in), items(in)));
            case PROPOSE_WITHOUT -> new ProposalRecord(new Proposal(in.readString(), WITHOUT, items(in)));
            case DECIDED_WITHOUT -> new DecisionNotice(in.readString(), WITHOUT, in.readBoolean(), items(in));
            case ADJUST -> new ConfigurationChangeRequest(in.readLong(), in.readString());
            case READ -> new ConfigurationReadRequest(in.readLong());
            case OUTCOME -> new OperatorResponse(in.readLong(), in.readInt(), in.readString());
            case MARKS -> new WatermarkUpdate(marks(in));
            case CONFIRM -> new QuorumContactRequest(in.readLong(), in.readLong(), in.readBoolean());
            case CONFIRMED -> new QuorumContactResponse(in.readLong());
            case CURRENT -> new CaughtUpNotice();
            case ASK -> new ProposeRequest(in.readLong(), proposal(in));
            case CORE_TOLD -> new CoreMembershipNotice(members(in), in.readBoolean(), in.readBoolean());
            case CORE_KEPT -> new CoreStateRecord(state(in));
            case CORE_STEP -> step(in);
            case FETCH -> new StateTransferRequest(in.readLong(), in.readLong(), in.readLong());
            case FETCHED -> fetched(in);
            case LEAVE -> new CoreRemovalRequest(in.readLong(), in.readString());
            case PIECE -> new SnapshotChunk(in.readLong(), in.readLong(), items(in));
            case RESUME -> new SnapshotChunkRequest(in.readLong(), in.readLong());
            case COMPARE -> new DigestRequest(numbers(in), digests(in));
            case DIFFER -> new DigestMismatch(numbers(in));
            case SHOW -> new Messages.StoreStatusRequest(in.readLong(), in.readString(), in.readString(), in.readInt());
            default -> null;
        };
    }

    private void numbers(List<Integer> numbers) {
        out.writeVarInt(numbers.size(), true);
        for (int number : numbers) {
            out.writeVarInt(number, true);
        }
    }

    private static List<Integer> numbers(Input in) {
        int size = in.readVarInt(true);
        List<Integer> all = list(size);
        for (int i = 0; i < size; i++) {
            all.add(in.readVarInt(true));
        }
        return all;
    }

    private static List<Long> digests(Input in) {
        int size = in.readVarInt(true);
        List<Long> all = list(size);
        for (int i = 0; i < size; i++) {
            all.add(in.readLong());
        }
        return all;
    }

    private void hello(Hello hello) {
        out.writeInt(hello.formatVersion());
        out.writeString(hello.program());
        out.writeString(hello.node());
        out.writeString(hello.ip());
        out.writeString(hello.zone());
        out.writeLong(hello.incarnation());
        texts(hello.coreIps());
    }

    private void texts(List<String> texts) {
        out.writeVarInt(texts.size(), true);
        for (String text : texts) {
            out.writeString(text);
        }
    }

    private static List<String> texts(Input in) {
        int size = in.readVarInt(true);
        List<String> all = list(size);
        for (int i = 0; i < size; i++) {
            all.add(in.readString());
        }
        return all;
    }

    /** Room for so many, and not for more than bytes of no sense may promise. */
    private static <T> ArrayList<T> list(int size) {
        return new ArrayList<>(Math.min(size, INITIAL_BUFFER_BYTES));
    }

    private void news(MembershipUpdate news) {
        out.writeLong(news.incarnation());
        out.writeLong(news.upToChange());
        lives(news.instances());
        owned(news.owners());
        SessionChanges sessions = news.sessions();
        out.writeBoolean(sessions.complete());
        out.writeVarInt(sessions.started().size(), true);
        for (ProxySession session : sessions.started()) {
            session(out, session);
        }
        texts(sessions.ended());
    }

    private static SessionChanges differences(Input in) {
        boolean whole = in.readBoolean();
        int size = in.readVarInt(true);
        List<ProxySession> begun = list(size);
        for (int i = 0; i < size; i++) {
            begun.add(session(in));
        }
        return new SessionChanges(whole, begun, texts(in));
    }

    private void items(List<ConfigurationItem> items) {
        out.writeVarInt(items.size(), true);
        for (ConfigurationItem item : items) {
            item(out, item);
        }
    }

    private static List<ConfigurationItem> items(Input in) {
        int size = in.readVarInt(true);
        List<ConfigurationItem> all = list(size);
        for (int i = 0; i < size; i++) {
            all.add(item(in));
        }
        return all;
    }

    private void marks(List<Watermark> marks) {
        out.writeVarInt(marks.size(), true);
        for (Watermark mark : marks) {
            out.writeString(mark.key());
            out.writeVarLong(mark.revision(), true);
            out.writeLong(mark.digest());
        }
    }

    private static List<Watermark> marks(Input in) {
        int size = in.readVarInt(true);
        List<Watermark> all = list(size);
        for (int i = 0; i < size; i++) {
            all.add(new Watermark(in.readString(), in.readVarLong(true), in.readLong()));
        }
        return all;
    }

    private void proposal(Proposal proposal) {
        out.writeString(proposal.id());
        ballot(proposal.ballot());
        items(proposal.items());
        out.writeBoolean(proposal.precommitted());
    }

    private static Proposal proposal(Input in) {
        return new Proposal(in.readString(), ballot(in), items(in), in.readBoolean());
    }

    private static List<Proposal> proposals(Input in) {
        int size = in.readVarInt(true);
        List<Proposal> all = list(size);
        for (int i = 0; i < size; i++) {
            all.add(proposal(in));
        }
        return all;
    }

    private void ballot(Ballot ballot) {
        out.writeVarLong(ballot.number(), true);
        out.writeString(ballot.proposer());
    }

    private static Ballot ballot(Input in) {
        return new Ballot(in.readVarLong(true), in.readString());
    }

    private void lives(List<CheckerIncarnation> lives) {
        out.writeVarInt(lives.size(), true);
        for (CheckerIncarnation life : lives) {
            life(out, life);
        }
    }

    private static List<CheckerIncarnation> lives(Input in) {
        int size = in.readVarInt(true);
        List<CheckerIncarnation> all = list(size);
        for (int i = 0; i < size; i++) {
            all.add(life(in));
        }
        return all;
    }

    private void contacts(RegistryHeartbeats contacts) {
        out.writeVarInt(contacts.heartbeats().size(), true);
        for (InstanceDirectory.RegistryHeartbeat contact : contacts.heartbeats()) {
            out.writeLong(contact.processId());
            out.writeVarLong(contact.count(), true);
        }
    }

    private static RegistryHeartbeats contacts(Input in) {
        int size = in.readVarInt(true);
        List<InstanceDirectory.RegistryHeartbeat> all = list(size);
        for (int i = 0; i < size; i++) {
            all.add(new InstanceDirectory.RegistryHeartbeat(in.readLong(), in.readVarLong(true)));
        }
        return new RegistryHeartbeats(all);
    }

    private void owned(List<InstanceDirectory.InstanceOwner> owned) {
        out.writeVarInt(owned.size(), true);
        for (InstanceDirectory.InstanceOwner one : owned) {
            out.writeString(one.instanceId());
            out.writeVarLong(one.sequence(), true);
            out.writeLong(one.processId());
        }
    }

    private static List<InstanceDirectory.InstanceOwner> owned(Input in) {
        int size = in.readVarInt(true);
        List<InstanceDirectory.InstanceOwner> all = list(size);
        for (int i = 0; i < size; i++) {
            all.add(new InstanceDirectory.InstanceOwner(in.readString(), in.readVarLong(true), in.readLong()));
        }
        return all;
    }

    private void packet(QuotaTracker.QuotaUpdate packet) {
        out.writeString(packet.sender());
        out.writeLong(packet.incarnation());
        out.writeVarLong(packet.generation(), true);
        out.writeLong(packet.viewTag());
        out.writeVarInt(packet.reachableMembers(), true);
        out.writeVarInt(packet.entries().size(), true);
        for (QuotaTracker.TenantTotal entry : packet.entries()) {
            out.writeString(entry.tenant());
            out.writeDouble(entry.total());
            out.writeFloat((float) entry.senderCount());
        }
    }

    private static QuotaTracker.QuotaUpdate packet(Input in) {
        String from = in.readString();
        long life = in.readLong();
        long generation = in.readVarLong(true);
        long view = in.readLong();
        int reach = (int) RpcFrame.requireInRange(0, in.readVarInt(true), 1 << 20);
        int size = in.readVarInt(true);
        ArrayList<QuotaTracker.TenantTotal> all = list(size);
        for (int i = 0; i < size; i++) {
            all.add(new QuotaTracker.TenantTotal(
                    in.readString(), RpcFrame.requireFinite(in.readDouble()), RpcFrame.requireFinite(in.readFloat())));
        }
        return new QuotaTracker.QuotaUpdate(from, life, generation, view, reach, all);
    }

    private static void item(Output out, ConfigurationItem item) {
        out.writeString(item.kind());
        out.writeString(item.name());
        out.writeVarLong(item.revision(), true);
        out.writeString(item.body());
    }

    private static ConfigurationItem item(Input in) {
        return new ConfigurationItem(in.readString(), in.readString(), in.readVarLong(true), in.readString());
    }

    private static void life(Output out, CheckerIncarnation life) {
        out.writeString(life.id());
        out.writeString(life.service());
        out.writeString(life.address());
        out.writeString(life.zone());
        out.writeVarInt(life.capacity(), true);
        out.writeByte(life.phase());
        out.writeVarLong(life.sequence(), true);
        out.writeVarLong(life.slowStartMillis(), true);
        out.writeBoolean(life.unresponsive());
    }

    private static CheckerIncarnation life(Input in) {
        return new CheckerIncarnation(
                in.readString(),
                in.readString(),
                in.readString(),
                in.readString(),
                (int) RpcFrame.requireInRange(1, in.readVarInt(true), Integer.MAX_VALUE),
                (int) RpcFrame.requireInRange(CheckerIncarnation.READY, in.readByte(), CheckerIncarnation.GONE),
                in.readVarLong(true),
                in.readVarLong(true),
                in.readBoolean());
    }

    private static void session(Output out, ProxySession session) {
        out.writeString(session.node());
        out.writeString(session.ip());
        out.writeString(session.zone());
        out.writeLong(session.incarnation());
    }

    private static ProxySession session(Input in) {
        return new ProxySession(in.readString(), in.readString(), in.readString(), in.readLong());
    }
}
