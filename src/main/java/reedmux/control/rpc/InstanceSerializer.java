package reedmux.control.rpc;

import com.esotericsoftware.kryo.io.Input;
import com.esotericsoftware.kryo.io.Output;
import java.util.List;
import reedmux.control.instances.InstanceIncarnation;
import reedmux.control.instances.InstanceOwner;
import reedmux.control.instances.RegistryHeartbeat;
import reedmux.control.rpc.Messages.IncarnationAck;
import reedmux.control.rpc.Messages.IncarnationNotice;
import reedmux.control.rpc.Messages.MembershipUpdate;
import reedmux.control.rpc.Messages.RegistryHeartbeats;
import reedmux.control.session.ProxySession;
import reedmux.control.session.SessionChanges;

/** Encodes and decodes the messages about instances, their owners, and the sessions of proxies. */
final class InstanceSerializer {
    private InstanceSerializer() {}

    /** Writes a message of this family with its id. Returns false, and writes nothing, for any other message. */
    static boolean write(Object message, Output out) {
        if (message instanceof MembershipUpdate update) {
            out.writeByte(MessageIds.MEMBERSHIP_UPDATE);
            out.writeLong(update.incarnation());
            out.writeLong(update.upToChange());
            writeInstances(update.instances(), out);
            writeOwners(update.owners(), out);
            writeSessionChanges(update.sessions(), out);
        } else if (message instanceof RegistryHeartbeats heartbeats) {
            out.writeByte(MessageIds.REGISTRY_HEARTBEATS);
            writeHeartbeats(heartbeats.heartbeats(), out);
        } else if (message instanceof IncarnationNotice notice) {
            out.writeByte(MessageIds.INCARNATION_NOTICE);
            out.writeLong(notice.id());
            writeInstances(notice.instances(), out);
        } else if (message instanceof IncarnationAck ack) {
            out.writeByte(MessageIds.INCARNATION_ACK);
            out.writeLong(ack.id());
        } else {
            return false;
        }
        return true;
    }

    static Object read(byte id, Input in) {
        return switch (id) {
            case MessageIds.MEMBERSHIP_UPDATE ->
                new MembershipUpdate(
                        in.readLong(), in.readLong(), readInstances(in), readOwners(in), readSessionChanges(in));
            case MessageIds.REGISTRY_HEARTBEATS -> new RegistryHeartbeats(readHeartbeats(in));
            case MessageIds.INCARNATION_NOTICE -> new IncarnationNotice(in.readLong(), readInstances(in));
            case MessageIds.INCARNATION_ACK -> new IncarnationAck(in.readLong());
            default -> throw RpcFrame.unknownId(id);
        };
    }

    private static void writeInstances(List<InstanceIncarnation> instances, Output out) {
        out.writeVarInt(instances.size(), true);
        for (InstanceIncarnation instance : instances) {
            out.writeString(instance.id());
            out.writeString(instance.service());
            out.writeString(instance.address());
            out.writeString(instance.zone());
            out.writeVarInt(instance.capacity(), true);
            out.writeByte(instance.phase());
            out.writeVarLong(instance.sequence(), true);
            out.writeVarLong(instance.slowStartMillis(), true);
            out.writeBoolean(instance.unresponsive());
        }
    }

    private static List<InstanceIncarnation> readInstances(Input in) {
        int size = in.readVarInt(true);
        List<InstanceIncarnation> instances = ListSerializer.newList(size);
        for (int i = 0; i < size; i++) {
            instances.add(readInstance(in));
        }
        return instances;
    }

    private static InstanceIncarnation readInstance(Input in) {
        return new InstanceIncarnation(
                in.readString(),
                in.readString(),
                in.readString(),
                in.readString(),
                (int) RpcFrame.requireInRange(1, in.readVarInt(true), Integer.MAX_VALUE),
                (int) RpcFrame.requireInRange(InstanceIncarnation.READY, in.readByte(), InstanceIncarnation.GONE),
                in.readVarLong(true),
                in.readVarLong(true),
                in.readBoolean());
    }

    private static void writeOwners(List<InstanceOwner> owners, Output out) {
        out.writeVarInt(owners.size(), true);
        for (InstanceOwner owner : owners) {
            out.writeString(owner.instanceId());
            out.writeVarLong(owner.sequence(), true);
            out.writeLong(owner.processId());
        }
    }

    private static List<InstanceOwner> readOwners(Input in) {
        int size = in.readVarInt(true);
        List<InstanceOwner> owners = ListSerializer.newList(size);
        for (int i = 0; i < size; i++) {
            owners.add(new InstanceOwner(in.readString(), in.readVarLong(true), in.readLong()));
        }
        return owners;
    }

    private static void writeHeartbeats(List<RegistryHeartbeat> heartbeats, Output out) {
        out.writeVarInt(heartbeats.size(), true);
        for (RegistryHeartbeat heartbeat : heartbeats) {
            out.writeLong(heartbeat.processId());
            out.writeVarLong(heartbeat.count(), true);
        }
    }

    private static List<RegistryHeartbeat> readHeartbeats(Input in) {
        int size = in.readVarInt(true);
        List<RegistryHeartbeat> heartbeats = ListSerializer.newList(size);
        for (int i = 0; i < size; i++) {
            heartbeats.add(new RegistryHeartbeat(in.readLong(), in.readVarLong(true)));
        }
        return heartbeats;
    }

    private static void writeSessionChanges(SessionChanges changes, Output out) {
        out.writeBoolean(changes.complete());
        out.writeVarInt(changes.started().size(), true);
        for (ProxySession session : changes.started()) {
            out.writeString(session.node());
            out.writeString(session.ip());
            out.writeString(session.zone());
            out.writeLong(session.incarnation());
        }
        ListSerializer.writeStrings(changes.ended(), out);
    }

    private static SessionChanges readSessionChanges(Input in) {
        boolean complete = in.readBoolean();
        int size = in.readVarInt(true);
        List<ProxySession> started = ListSerializer.newList(size);
        for (int i = 0; i < size; i++) {
            started.add(new ProxySession(in.readString(), in.readString(), in.readString(), in.readLong()));
        }
        return new SessionChanges(complete, started, ListSerializer.readStrings(in));
    }
}
