package reedmux.control.rpc;

import com.esotericsoftware.kryo.io.Input;
import com.esotericsoftware.kryo.io.Output;
import java.util.ArrayList;
import reedmux.common.quota.QuotaUpdate;
import reedmux.common.quota.QuotaUpdate.TenantTotal;

/** Encodes and decodes the datagrams in which proxies exchange the usage of tenant quotas. */
final class QuotaUpdateSerializer {
    /** Upper bound on the number of proxies in any system; an update with a larger number is rejected as corrupt. */
    private static final int MAX_REACHABLE_MEMBERS = 1 << 20;

    private QuotaUpdateSerializer() {}

    /** Writes a quota update with its id. Returns false, and writes nothing, for any other message. */
    static boolean write(Object message, Output out) {
        if (!(message instanceof QuotaUpdate update)) {
            return false;
        }
        out.writeByte(MessageIds.QUOTA_UPDATE);
        out.writeString(update.sender());
        out.writeLong(update.incarnation());
        out.writeVarLong(update.generation(), true);
        out.writeLong(update.viewDigest());
        out.writeVarInt(update.reachableMembers(), true);
        out.writeVarInt(update.entries().size(), true);
        for (TenantTotal total : update.entries()) {
            out.writeString(total.tenant());
            out.writeDouble(total.total());
            out.writeFloat((float) total.senderCount());
        }
        return true;
    }

    static QuotaUpdate read(Input in) {
        String sender = in.readString();
        long incarnation = in.readLong();
        long generation = in.readVarLong(true);
        long viewDigest = in.readLong();
        int reachableMembers = (int) RpcFrame.requireInRange(0, in.readVarInt(true), MAX_REACHABLE_MEMBERS);
        int size = in.readVarInt(true);
        ArrayList<TenantTotal> totals = ListSerializer.newList(size);
        for (int i = 0; i < size; i++) {
            totals.add(new TenantTotal(
                    in.readString(), RpcFrame.requireFinite(in.readDouble()), RpcFrame.requireFinite(in.readFloat())));
        }
        return new QuotaUpdate(sender, incarnation, generation, viewDigest, reachableMembers, totals);
    }
}
