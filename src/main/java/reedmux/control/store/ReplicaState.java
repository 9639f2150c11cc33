package reedmux.control.store;

import java.util.Iterator;
import java.util.List;
import java.util.NoSuchElementException;
import reedmux.control.configuration.ConfigurationItem;
import reedmux.control.consensus.PersistentCoreState;
import reedmux.control.consensus.Proposal;
import reedmux.control.replication.Replica;
import reedmux.control.replication.Watermark;
import reedmux.control.rpc.MessageCodec;
import reedmux.control.rpc.Messages.ConfigurationUpdate;
import reedmux.control.rpc.Messages.CoreStateRecord;
import reedmux.control.rpc.Messages.ProposalRecord;
import reedmux.control.rpc.Messages.WatermarkUpdate;

/**
 * A snapshot of everything that a store persists: the state at the beginning of a journal generation. Immutable, so
 * that the disk thread can encode it while the replica changes.
 *
 * @param core the state of the core membership; null if it is unknown
 * @param complete whether the replica holds every change that was ever acknowledged with this store's vote
 */
record ReplicaState(
        PersistentCoreState core,
        boolean complete,
        List<ConfigurationItem> items,
        List<Watermark> watermarks,
        List<Proposal> pending) {
    /** Maximum number of items, or of watermarks, in one record. */
    private static final int MAX_ITEMS_PER_RECORD = 512;
    /** A record of items ends with the item whose body brings the total length, in characters, to this value. */
    private static final int MAX_BODY_CHARS_PER_RECORD = 256 * 1024;

    static ReplicaState of(Replica replica, PersistentCoreState core, boolean complete) {
        return new ReplicaState(
                core,
                complete,
                List.copyOf(replica.committed()),
                List.copyOf(replica.watermarks()),
                List.copyOf(replica.pending().values()));
    }

    /** Returns the state as journal records, each of which is encoded when the iterator returns it. */
    Iterable<byte[]> encodeWith(MessageCodec codec) {
        return new Records(codec);
    }

    /** A class instead of a lambda, because a lambda is linked at run time, which would happen during startup. */
    private final class Records implements Iterable<byte[]> {
        private final MessageCodec codec;

        private Records(MessageCodec codec) {
            this.codec = codec;
        }

        @Override
        public Iterator<byte[]> iterator() {
            return new RecordIterator(codec);
        }
    }

    /**
     * Iterates over the records of the core, the watermarks, the items and the pending proposals, in this order. There
     * is at least one record of items, because it carries {@link #complete}.
     */
    private final class RecordIterator implements Iterator<byte[]> {
        private final MessageCodec codec;
        private boolean coreWritten = core == null;
        private int nextWatermark;
        private int nextItem;
        private boolean itemsWritten;
        private int nextProposal;

        private RecordIterator(MessageCodec codec) {
            this.codec = codec;
        }

        @Override
        public boolean hasNext() {
            return !itemsWritten || nextProposal < pending.size();
        }

        @Override
        public byte[] next() {
            if (!hasNext()) {
                throw new NoSuchElementException();
            }
            if (!coreWritten) {
                coreWritten = true;
                return codec.encode(new CoreStateRecord(core));
            }
            if (nextWatermark < watermarks.size()) {
                return codec.encode(nextWatermarks());
            }
            if (!itemsWritten) {
                return codec.encode(nextItems());
            }
            return codec.encode(new ProposalRecord(pending.get(nextProposal++)));
        }

        private WatermarkUpdate nextWatermarks() {
            int from = nextWatermark;
            nextWatermark = Math.min(from + MAX_ITEMS_PER_RECORD, watermarks.size());
            return new WatermarkUpdate(watermarks.subList(from, nextWatermark));
        }

        private ConfigurationUpdate nextItems() {
            int from = nextItem;
            int bodyChars = 0;
            while (nextItem < items.size()
                    && nextItem - from < MAX_ITEMS_PER_RECORD
                    && bodyChars < MAX_BODY_CHARS_PER_RECORD) {
                bodyChars += items.get(nextItem++).body().length();
            }
            itemsWritten = nextItem == items.size();
            return new ConfigurationUpdate(0, 0, complete, items.subList(from, nextItem), List.of());
        }
    }
}
