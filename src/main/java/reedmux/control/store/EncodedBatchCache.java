package reedmux.control.store;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import reedmux.control.replication.ChangeBatch;
import reedmux.control.replication.Replica;
import reedmux.control.rpc.MessageCodec;
import reedmux.control.rpc.Messages.ConfigurationUpdate;
import reedmux.control.rpc.Messages.SnapshotChunk;

/**
 * Changes as they are sent to proxies and registries, encoded once for all that continue from the same change: after a
 * change that is nearly all of them.
 */
final class EncodedBatchCache {
    /** Enough for followers at different changes while one snapshot is sent; beyond that all are encoded anew. */
    private static final int MAX_BATCHES = 32;

    private final MessageCodec codec;
    private final long incarnation;
    private final Replica replica;
    /** By the change behind which they begin. */
    private final Map<Long, EncodedBatch> batches = new HashMap<>();
    /** The last change of the replica, and whether it was complete, when these batches were encoded. */
    private long encodedAtChange;

    private boolean encodedAsComplete;

    EncodedBatchCache(MessageCodec codec, long incarnation, Replica replica) {
        this.codec = codec;
        this.incarnation = incarnation;
        this.replica = replica;
    }

    /**
     * An encoded message.
     *
     * @param last whether nothing follows behind it
     */
    record EncodedBatch(byte[] bytes, boolean last) {}

    /**
     * The changes behind {@code sinceChange}, as one message.
     *
     * @param complete whether the replica has everything that was ever acknowledged
     * @param maxBytes about how large the batch may get
     */
    EncodedBatch since(long sinceChange, boolean complete, int maxBytes) {
        if (encodedAtChange != replica.lastChange() || encodedAsComplete != complete || batches.size() > MAX_BATCHES) {
            batches.clear();
            encodedAtChange = replica.lastChange();
            encodedAsComplete = complete;
        }
        EncodedBatch encoded = batches.get(sinceChange);
        if (encoded == null) {
            encoded = encode(replica.batchSince(sinceChange, maxBytes));
            batches.put(sinceChange, encoded);
        }
        return encoded;
    }

    private EncodedBatch encode(ChangeBatch batch) {
        Object message = batch.last()
                ? new ConfigurationUpdate(incarnation, batch.upToChange(), encodedAsComplete, batch.items(), List.of())
                : new SnapshotChunk(incarnation, batch.upToChange(), batch.items());
        return new EncodedBatch(codec.encode(message), batch.last());
    }
}
