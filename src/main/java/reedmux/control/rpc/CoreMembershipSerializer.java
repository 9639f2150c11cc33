package reedmux.control.rpc;

import com.esotericsoftware.kryo.KryoException;
import com.esotericsoftware.kryo.io.Input;
import com.esotericsoftware.kryo.io.Output;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import reedmux.common.net.SocketAddresses;
import reedmux.control.consensus.CoreMembers;
import reedmux.control.consensus.EpochMessage;
import reedmux.control.consensus.EpochMessageType;
import reedmux.control.consensus.PersistentCoreState;
import reedmux.control.rpc.Messages.ConfigurationUpdate;
import reedmux.control.rpc.Messages.CoreMembershipNotice;
import reedmux.control.rpc.Messages.CoreStateRecord;
import reedmux.control.rpc.Messages.StateTransferRequest;
import reedmux.control.rpc.Messages.StateTransferResponse;

/** Encodes and decodes the messages that change the members of the core, and the core state that a store persists. */
final class CoreMembershipSerializer {
    private CoreMembershipSerializer() {}

    /** Writes a message of this family with its id. Returns false, and writes nothing, for any other message. */
    static boolean write(Object message, Output out) {
        if (message instanceof CoreMembershipNotice notice) {
            out.writeByte(MessageIds.CORE_MEMBERSHIP_NOTICE);
            writeOptionalMembers(notice.core(), out);
            out.writeBoolean(notice.ready());
            out.writeBoolean(notice.fenced());
        } else if (message instanceof CoreStateRecord record) {
            out.writeByte(MessageIds.CORE_STATE_RECORD);
            writeState(record.state(), out);
        } else if (message instanceof EpochMessage epochMessage) {
            out.writeByte(MessageIds.EPOCH_MESSAGE);
            out.writeByte(epochMessage.type().ordinal());
            out.writeLong(epochMessage.epoch());
            ConfigurationSerializer.writeBallot(epochMessage.ballot(), out);
            ConfigurationSerializer.writeOptionalBallot(epochMessage.acceptedBallot(), out);
            writeOptionalMembers(epochMessage.value(), out);
        } else if (message instanceof StateTransferRequest request) {
            out.writeByte(MessageIds.STATE_TRANSFER_REQUEST);
            out.writeLong(request.epoch());
            out.writeLong(request.incarnation());
            out.writeLong(request.sinceChange());
        } else if (message instanceof StateTransferResponse response) {
            out.writeByte(MessageIds.STATE_TRANSFER_RESPONSE);
            writeStateTransfer(response, out);
        } else {
            return false;
        }
        return true;
    }

    static Object read(byte id, Input in) {
        return switch (id) {
            case MessageIds.CORE_MEMBERSHIP_NOTICE ->
                new CoreMembershipNotice(readOptionalMembers(in), in.readBoolean(), in.readBoolean());
            case MessageIds.CORE_STATE_RECORD -> new CoreStateRecord(readState(in));
            case MessageIds.EPOCH_MESSAGE -> readEpochMessage(in);
            case MessageIds.STATE_TRANSFER_REQUEST ->
                new StateTransferRequest(in.readLong(), in.readLong(), in.readLong());
            case MessageIds.STATE_TRANSFER_RESPONSE -> readStateTransfer(in);
            default -> throw RpcFrame.unknownId(id);
        };
    }

    private static EpochMessage readEpochMessage(Input in) {
        EpochMessage message = new EpochMessage(
                EpochMessageType.values()[in.readByte()],
                in.readLong(),
                ConfigurationSerializer.readBallot(in),
                ConfigurationSerializer.readOptionalBallot(in),
                readOptionalMembers(in));
        boolean needsValue = message.type() == EpochMessageType.ACCEPT || message.acceptedBallot() != null;
        if (needsValue && message.value() == null) {
            throw new KryoException("epoch message has no value to accept");
        }
        return message;
    }

    private static void writeState(PersistentCoreState state, Output out) {
        writeOptionalMembers(state.core(), out);
        ConfigurationSerializer.writeOptionalBallot(state.promised(), out);
        ConfigurationSerializer.writeOptionalBallot(state.accepted(), out);
        writeOptionalMembers(state.value(), out);
        out.writeBoolean(state.removed());
    }

    private static PersistentCoreState readState(Input in) {
        return new PersistentCoreState(
                readOptionalMembers(in),
                ConfigurationSerializer.readOptionalBallot(in),
                ConfigurationSerializer.readOptionalBallot(in),
                readOptionalMembers(in),
                in.readBoolean());
    }

    /** The number of voter lists is not written: there is one list for each pending proposal of the update. */
    private static void writeStateTransfer(StateTransferResponse response, Output out) {
        out.writeLong(response.epoch());
        ReplicationSerializer.writeUpdate(response.update(), out);
        for (List<String> voters : response.votersByProposal()) {
            ListSerializer.writeStrings(voters, out);
        }
    }

    private static StateTransferResponse readStateTransfer(Input in) {
        long epoch = in.readLong();
        ConfigurationUpdate update = ReplicationSerializer.readUpdate(in);
        List<List<String>> votersByProposal = new ArrayList<>();
        for (int i = 0; i < update.pendingProposals().size(); i++) {
            votersByProposal.add(ListSerializer.readStrings(in));
        }
        return new StateTransferResponse(epoch, update, votersByProposal);
    }

    /** Writes the number of members plus one, followed by the epoch and the IP and name of each member; 0 for null. */
    private static void writeOptionalMembers(CoreMembers members, Output out) {
        if (members == null) {
            out.writeVarInt(0, true);
            return;
        }
        out.writeVarInt(members.nodeNames().size() + 1, true);
        out.writeLong(members.epoch());
        for (Map.Entry<String, String> member : members.nodeNames().entrySet()) {
            out.writeString(member.getKey());
            out.writeString(member.getValue());
        }
    }

    private static CoreMembers readOptionalMembers(Input in) {
        int sizePlusOne = in.readVarInt(true);
        if (sizePlusOne == 0) {
            return null;
        }
        long epoch = in.readLong();
        Map<String, String> nodeNames = new TreeMap<>();
        for (int i = 1; i < sizePlusOne; i++) {
            String ip = in.readString();
            if (SocketAddresses.parse(ip + ":1") == null) {
                throw new KryoException("invalid IP address of a core member: " + ip);
            }
            nodeNames.put(ip, in.readString());
        }
        return new CoreMembers(epoch, nodeNames);
    }
}
