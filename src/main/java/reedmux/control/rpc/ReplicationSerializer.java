package reedmux.control.rpc;

import com.esotericsoftware.kryo.io.Input;
import com.esotericsoftware.kryo.io.Output;
import java.util.List;
import reedmux.control.rpc.Messages.CaughtUpNotice;
import reedmux.control.rpc.Messages.ChangesRequest;
import reedmux.control.rpc.Messages.ConfigurationUpdate;
import reedmux.control.rpc.Messages.DigestMismatch;
import reedmux.control.rpc.Messages.DigestRequest;
import reedmux.control.rpc.Messages.SnapshotChunk;
import reedmux.control.rpc.Messages.SnapshotChunkRequest;
import reedmux.control.rpc.Messages.WatermarkUpdate;

/** Encodes and decodes the messages that replicate the configuration: updates, snapshots, digests and watermarks. */
final class ReplicationSerializer {
    private ReplicationSerializer() {}

    /** Writes a message of this family with its id. Returns false, and writes nothing, for any other message. */
    static boolean write(Object message, Output out) {
        if (message instanceof ChangesRequest request) {
            out.writeByte(MessageIds.CHANGES_REQUEST);
            out.writeLong(request.incarnation());
            out.writeLong(request.sinceChange());
        } else if (message instanceof ConfigurationUpdate update) {
            out.writeByte(MessageIds.CONFIGURATION_UPDATE);
            writeUpdate(update, out);
        } else if (message instanceof WatermarkUpdate update) {
            out.writeByte(MessageIds.WATERMARK_UPDATE);
            ConfigurationSerializer.writeWatermarks(update.watermarks(), out);
        } else if (message instanceof CaughtUpNotice) {
            out.writeByte(MessageIds.CAUGHT_UP_NOTICE);
        } else if (message instanceof SnapshotChunk chunk) {
            out.writeByte(MessageIds.SNAPSHOT_CHUNK);
            out.writeLong(chunk.incarnation());
            out.writeLong(chunk.upToChange());
            ConfigurationSerializer.writeItems(chunk.items(), out);
        } else if (message instanceof SnapshotChunkRequest request) {
            out.writeByte(MessageIds.SNAPSHOT_CHUNK_REQUEST);
            out.writeLong(request.incarnation());
            out.writeLong(request.sinceChange());
        } else if (message instanceof DigestRequest request) {
            out.writeByte(MessageIds.DIGEST_REQUEST);
            ListSerializer.writeInts(request.ranges(), out);
            ListSerializer.writeLongs(request.digests(), out);
        } else if (message instanceof DigestMismatch mismatch) {
            out.writeByte(MessageIds.DIGEST_MISMATCH);
            ListSerializer.writeInts(mismatch.ranges(), out);
        } else {
            return false;
        }
        return true;
    }

    static Object read(byte id, Input in) {
        return switch (id) {
            case MessageIds.CHANGES_REQUEST -> new ChangesRequest(in.readLong(), in.readLong());
            case MessageIds.CONFIGURATION_UPDATE -> readUpdate(in);
            case MessageIds.CONFIGURATION_UPDATE_WITHOUT_PROPOSALS ->
                new ConfigurationUpdate(
                        in.readLong(),
                        in.readLong(),
                        in.readBoolean(),
                        ConfigurationSerializer.readItems(in),
                        List.of());
            case MessageIds.WATERMARK_UPDATE -> new WatermarkUpdate(ConfigurationSerializer.readWatermarks(in));
            case MessageIds.CAUGHT_UP_NOTICE -> new CaughtUpNotice();
            case MessageIds.SNAPSHOT_CHUNK ->
                new SnapshotChunk(in.readLong(), in.readLong(), ConfigurationSerializer.readItems(in));
            case MessageIds.SNAPSHOT_CHUNK_REQUEST -> new SnapshotChunkRequest(in.readLong(), in.readLong());
            case MessageIds.DIGEST_REQUEST ->
                new DigestRequest(ListSerializer.readInts(in), ListSerializer.readLongs(in));
            case MessageIds.DIGEST_MISMATCH -> new DigestMismatch(ListSerializer.readInts(in));
            default -> throw RpcFrame.unknownId(id);
        };
    }

    /** Writes an update without its message id, because state transfer responses also contain an update. */
    static void writeUpdate(ConfigurationUpdate update, Output out) {
        out.writeLong(update.incarnation());
        out.writeLong(update.upToChange());
        out.writeBoolean(update.complete());
        ConfigurationSerializer.writeItems(update.items(), out);
        ConfigurationSerializer.writeProposals(update.pendingProposals(), out);
    }

    static ConfigurationUpdate readUpdate(Input in) {
        return new ConfigurationUpdate(
                in.readLong(),
                in.readLong(),
                in.readBoolean(),
                ConfigurationSerializer.readItems(in),
                ConfigurationSerializer.readProposals(in));
    }
}
