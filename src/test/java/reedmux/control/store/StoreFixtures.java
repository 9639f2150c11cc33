package reedmux.control.store;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import reedmux.common.disk.FileSystemVolume;
import reedmux.control.configuration.ConfigurationItem;
import reedmux.control.consensus.Ballot;
import reedmux.control.consensus.CoreMembers;
import reedmux.control.consensus.PersistentCoreState;
import reedmux.control.consensus.Proposal;
import reedmux.control.replication.Replica;
import reedmux.control.replication.Watermark;
import reedmux.control.rpc.MessageCodec;
import reedmux.control.rpc.Messages.DecisionNotice;
import reedmux.control.rpc.Messages.DigestRequest;
import reedmux.control.rpc.Messages.ProposalRecord;

/**
 * The data folder of a store, with the contents expected after recovery. It has two generations, and records of every
 * kind are appended to the initial state of each.
 */
public final class StoreFixtures {
    private static final Ballot BALLOT = new Ballot(300, "core-1");
    private static final Ballot LATER_BALLOT = new Ballot(301, "core-2");
    private static final CoreMembers CORE =
            new CoreMembers(4, Map.of("10.0.0.1", "core-1", "10.0.0.2", "", "10.0.0.3", "core-3"));
    private static final CoreMembers NEXT_CORE = new CoreMembers(5, Map.of("10.0.0.1", "core-1", "10.0.0.4", "core-4"));
    private static final ConfigurationItem ROUTE =
            new ConfigurationItem("routes", "shop", 7, "{\"host\":\"hügel.example\"}");
    private static final ConfigurationItem UPDATED_ROUTE =
            new ConfigurationItem("routes", "shop", 8, "{\"host\":\"€.example\"}");
    private static final ConfigurationItem POOL =
            new ConfigurationItem("plants", "desk", 1L << 40, "{\"probe\":\"/" + "0123456789".repeat(20) + "\"}");
    private static final ConfigurationItem DELETED_TENANT = new ConfigurationItem("tenants", "gone", 300, "");
    private static final ConfigurationItem PENDING_TENANT =
            new ConfigurationItem("tenants", "waits", 2, "{\"weight\":2}");
    private static final ConfigurationItem REJECTED_TENANT =
            new ConfigurationItem("tenants", "refused", 5, "{\"weight\":5}");
    private static final Watermark ROUTE_WATERMARK = new Watermark("routes/elsewhere", 3, -9);
    private static final Watermark POOL_LOW_WATERMARK = new Watermark("plants/old", 1L << 33, Watermark.LOW_WATERMARK);
    /** The watermark of the superseded route; stores of all versions must compute the same digest. */
    private static final Watermark SUPERSEDED_ROUTE_WATERMARK =
            new Watermark("routes/shop", 7, -9_006_016_995_370_228_491L);

    private static final Watermark LATE_WATERMARK = new Watermark("tenants/late", 11, 12);
    static final Proposal PENDING_PROPOSAL =
            new Proposal("call-held", BALLOT, List.of(PENDING_TENANT, DELETED_TENANT), false);
    static final Proposal PRECOMMITTED_PROPOSAL =
            new Proposal("call-precommitted", LATER_BALLOT, List.of(PENDING_TENANT), true);
    private static final Proposal COMMITTED_PROPOSAL =
            new Proposal("call-in-force", BALLOT, List.of(ROUTE, POOL), false);
    private static final Proposal ABORTED_PROPOSAL =
            new Proposal("call-dropped", BALLOT, List.of(REJECTED_TENANT), false);
    private static final Proposal LAST_PROPOSAL =
            new Proposal("call-last", LATER_BALLOT, List.of(REJECTED_TENANT), true);

    /** The contents before the first compaction. */
    static final Contents FIRST_GENERATION = new Contents(
            new PersistentCoreState(CORE, LATER_BALLOT, BALLOT, NEXT_CORE, false),
            List.of(POOL, ROUTE, DELETED_TENANT),
            List.of(ROUTE_WATERMARK, POOL_LOW_WATERMARK),
            List.of(PENDING_PROPOSAL, PRECOMMITTED_PROPOSAL));
    /** The final contents without the last record, which is torn in the {@code store-torn} fixture. */
    static final Contents TORN_SECOND_GENERATION = new Contents(
            new PersistentCoreState(NEXT_CORE, null, null, null, true),
            List.of(POOL, UPDATED_ROUTE, DELETED_TENANT, PENDING_TENANT),
            List.of(ROUTE_WATERMARK, POOL_LOW_WATERMARK, SUPERSEDED_ROUTE_WATERMARK, LATE_WATERMARK),
            List.of(PENDING_PROPOSAL));
    /** The final contents. */
    static final Contents SECOND_GENERATION = new Contents(
            TORN_SECOND_GENERATION.core,
            TORN_SECOND_GENERATION.items,
            TORN_SECOND_GENERATION.watermarks,
            List.of(PENDING_PROPOSAL, LAST_PROPOSAL));

    private StoreFixtures() {}

    /** The recovered contents: items are ordered by key, pending proposals by age. */
    public record Contents(
            PersistentCoreState core,
            List<ConfigurationItem> items,
            List<Watermark> watermarks,
            List<Proposal> pending) {}

    /** A replica and its storage in one data folder. */
    static final class TestStore {
        final DiskEnvironment environment;
        final boolean complete;
        private final Replica replica = new Replica();
        private final ReplicaStorage storage;

        TestStore(Path folder, boolean firstStart) {
            environment = new DiskEnvironment(new FileSystemVolume(folder));
            storage = new ReplicaStorage(folder, environment.reactor(), new MessageCodec(), replica);
            complete = storage.load(firstStart, CORE);
            environment.runUntilIdle();
        }

        private static void requireDurable(boolean durable) {
            if (!durable) {
                throw new IllegalStateException("the write is not durable");
            }
        }

        private void addPending(Proposal proposal) {
            replica.addPending(proposal);
            storage.persistPending(new ProposalRecord(proposal), TestStore::requireDurable);
        }

        private void resolve(Proposal proposal, boolean committed) {
            replica.resolvePending(proposal.id(), committed, proposal.items());
            storage.persistDecision(new DecisionNotice(proposal.id(), proposal.ballot(), committed, proposal.items()));
        }

        private void merge(ConfigurationItem item) {
            replica.merge(List.of(item));
            storage.persistItems(List.of(item));
        }

        private void mergeWatermarks(List<Watermark> watermarks) {
            replica.mergeWatermarks(watermarks);
            storage.persistWatermarks(watermarks);
        }

        /** Returns the encoded digests of the coarse ranges, and of the fine ranges in the non-empty coarse ones. */
        Map<String, byte[]> digests() {
            List<Long> coarse = replica.digests().digestsOf(List.of());
            List<Integer> usedRanges = new ArrayList<>();
            for (int i = 0; i < coarse.size(); i++) {
                if (coarse.get(i) != 0) {
                    usedRanges.add(i);
                }
            }
            MessageCodec codec = new MessageCodec();
            Map<String, byte[]> encodedDigests = new LinkedHashMap<>();
            encodedDigests.put("coarse", codec.encode(new DigestRequest(List.of(), coarse)));
            encodedDigests.put(
                    "fine",
                    codec.encode(new DigestRequest(usedRanges, replica.digests().digestsOf(usedRanges))));
            return encodedDigests;
        }

        Contents contents() {
            return new Contents(
                    storage.core(),
                    List.copyOf(replica.committed()),
                    List.copyOf(replica.watermarks()),
                    List.copyOf(replica.pending().values()));
        }
    }

    /** Writes the files of two generations to an empty folder; returns the encoded digests of the contents. */
    public static Map<String, byte[]> writeDataFolder(Path folder) {
        TestStore store = new TestStore(folder, true);
        store.storage.persistCore(FIRST_GENERATION.core, TestStore::requireDurable);
        store.addPending(COMMITTED_PROPOSAL);
        store.addPending(PENDING_PROPOSAL);
        store.addPending(ABORTED_PROPOSAL);
        store.addPending(PRECOMMITTED_PROPOSAL);
        store.resolve(COMMITTED_PROPOSAL, true);
        store.resolve(ABORTED_PROPOSAL, false);
        store.merge(DELETED_TENANT);
        store.mergeWatermarks(List.of(ROUTE_WATERMARK, POOL_LOW_WATERMARK));
        store.environment.runUntilIdle();
        store.storage.compact();
        store.environment.runUntilIdle();
        store.merge(UPDATED_ROUTE);
        store.resolve(PRECOMMITTED_PROPOSAL, true);
        store.mergeWatermarks(List.of(LATE_WATERMARK));
        store.storage.persistCore(SECOND_GENERATION.core, TestStore::requireDurable);
        store.addPending(LAST_PROPOSAL);
        store.environment.runUntilIdle();
        return store.digests();
    }
}
