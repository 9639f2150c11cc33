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
 * Caches the encoded messages that carry changes to proxies and registries. All followers that continue from the same
 * change share one encoding; after a change that applies to nearly all of them.
 */
final class EncodedBatchCache {
    /**
     * Once the cache holds more batches, it is cleared and they are encoded again. Enough for followers at different
     * changes while one snapshot is being sent.
     */
    private static final int MAX_BATCHES = 32;

    private final MessageCodec codec;
    private final long incarnation;
    private final Replica replica;
    /** Keyed by the change after which the batch begins. */
    private final Map<Long, EncodedBatch> batches = new HashMap<>();
    /** The replica's last change when the cached batches were encoded. */
    private long encodedAtChange;
    /** Whether the replica was complete when the cached batches were encoded. */
    private boolean encodedAsComplete;

    EncodedBatchCache(MessageCodec codec, long incarnation, Replica replica) {
        this.codec = codec;
        this.incarnation = incarnation;
        this.replica = replica;
    }

    /**
     * An encoded message.
     *
     * @param last whether this is the last message, so that no further changes follow
     */
    record EncodedBatch(byte[] bytes, boolean last) {}

    /**
     * Returns the changes after {@code sinceChange}, encoded as one message.
     *
     * @param complete whether the replica holds every change that was ever acknowledged
     * @param maxBytes approximate maximum size of the batch
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
