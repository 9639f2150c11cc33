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

/** A store's data folder: two generations, and every kind of record behind the state of each. */
public final class StoreFixtures {
    private static final Ballot BALLOT = new Ballot(300, "core-1");
    private static final Ballot LATER_BALLOT = new Ballot(301, "core-2");
    private static final CoreMembers CORE =
            new CoreMembers(4, Map.of("10.0.0.1", "core-1", "10.0.0.2", "", "10.0.0.3", "core-3"));
    private static final CoreMembers NEXT_CORE = new CoreMembers(5, Map.of("10.0.0.1", "core-1", "10.0.0.4", "core-4"));
    private static final ConfigurationItem ROUTE =
            new ConfigurationItem("routes", "shop", 7, "{\"host\":\"hügel.example\"}");
    private static final ConfigurationItem NEW_ROUTE =
            new ConfigurationItem("routes", "shop", 8, "{\"host\":\"€.example\"}");
    private static final ConfigurationItem POOL =
            new ConfigurationItem("plants", "desk", 1L << 40, "{\"probe\":\"/" + "0123456789".repeat(20) + "\"}");
    private static final ConfigurationItem DROPPED = new ConfigurationItem("tenants", "gone", 300, "");
    private static final ConfigurationItem WAITING = new ConfigurationItem("tenants", "waits", 2, "{\"weight\":2}");
    private static final ConfigurationItem REFUSED = new ConfigurationItem("tenants", "refused", 5, "{\"weight\":5}");
    private static final Watermark TAKEN = new Watermark("routes/elsewhere", 3, -9);
    private static final Watermark FLOOR = new Watermark("plants/old", 1L << 33, Watermark.LOW_WATERMARK);
    /** Of the route that was overtaken; its digest is a figure that stores of all versions must agree on. */
    private static final Watermark OVERTAKEN = new Watermark("routes/shop", 7, -9_006_016_995_370_228_491L);

    private static final Watermark LATE_MARK = new Watermark("tenants/late", 11, 12);
    static final Proposal HELD = new Proposal("call-held", BALLOT, List.of(WAITING, DROPPED), false);
    static final Proposal PRECOMMITTED = new Proposal("call-precommitted", LATER_BALLOT, List.of(WAITING), true);
    private static final Proposal IN_FORCE = new Proposal("call-in-force", BALLOT, List.of(ROUTE, POOL), false);
    private static final Proposal DROPPED_CALL = new Proposal("call-dropped", BALLOT, List.of(REFUSED), false);
    private static final Proposal LAST = new Proposal("call-last", LATER_BALLOT, List.of(REFUSED), true);

    /** What the folder holds before its first compaction. */
    static final Contents FIRST_GENERATION = new Contents(
            new PersistentCoreState(CORE, LATER_BALLOT, BALLOT, NEXT_CORE, false),
            List.of(POOL, ROUTE, DROPPED),
            List.of(TAKEN, FLOOR),
            List.of(HELD, PRECOMMITTED));
    /** What it holds in the end, without the record that is cut in the torn variant. */
    static final Contents TORN = new Contents(
            new PersistentCoreState(NEXT_CORE, null, null, null, true),
            List.of(POOL, NEW_ROUTE, DROPPED, WAITING),
            List.of(TAKEN, FLOOR, OVERTAKEN, LATE_MARK),
            List.of(HELD));
    /** What it holds in the end. */
    static final Contents SECOND_GENERATION = new Contents(TORN.core, TORN.items, TORN.marks, List.of(HELD, LAST));

    private StoreFixtures() {}

    /** All that a start finds: items by key, watermarks, held proposals in their order. */
    public record Contents(
            PersistentCoreState core, List<ConfigurationItem> items, List<Watermark> marks, List<Proposal> held) {}

    /** A store's replica and its storage over one folder. */
    static final class Life {
        final DiskEnvironment environment;
        final boolean complete;
        private final Replica replica = new Replica();
        private final ReplicaStorage storage;

        Life(Path folder, boolean firstStart) {
            environment = new DiskEnvironment(new FileSystemVolume(folder));
            storage = new ReplicaStorage(folder, environment.reactor(), new MessageCodec(), replica);
            complete = storage.load(firstStart, CORE);
            environment.runUntilIdle();
        }

        private static void written(boolean safe) {
            if (!safe) {
                throw new IllegalStateException("the disk refuses");
            }
        }

        private void hold(Proposal proposal) {
            replica.addPending(proposal);
            storage.persistPending(new ProposalRecord(proposal), Life::written);
        }

        private void decide(Proposal proposal, boolean inForce) {
            replica.resolvePending(proposal.id(), inForce, proposal.items());
            storage.persistDecision(new DecisionNotice(proposal.id(), proposal.ballot(), inForce, proposal.items()));
        }

        private void merge(ConfigurationItem item) {
            replica.merge(List.of(item));
            storage.persistItems(List.of(item));
        }

        private void mark(List<Watermark> marks) {
            replica.mergeWatermarks(marks);
            storage.persistWatermarks(marks);
        }

        /** The digests that it would send, of the coarse ranges and of the fine ones that are in use. */
        Map<String, byte[]> digests() {
            List<Long> coarse = replica.digests().digestsOf(List.of());
            List<Integer> used = new ArrayList<>();
            for (int i = 0; i < coarse.size(); i++) {
                if (coarse.get(i) != 0) {
                    used.add(i);
                }
            }
            MessageCodec codec = new MessageCodec();
            Map<String, byte[]> all = new LinkedHashMap<>();
            all.put("coarse", codec.encode(new DigestRequest(List.of(), coarse)));
            all.put(
                    "fine",
                    codec.encode(new DigestRequest(used, replica.digests().digestsOf(used))));
            return all;
        }

        Contents contents() {
            return new Contents(
                    storage.core(),
                    List.copyOf(replica.committed()),
                    List.copyOf(replica.watermarks()),
                    List.copyOf(replica.pending().values()));
        }
    }

    /** Lets a store write the files of two generations to an empty folder; returns the digests of its contents. */
    public static Map<String, byte[]> writeDataFolder(Path folder) {
        Life life = new Life(folder, true);
        life.storage.persistCore(FIRST_GENERATION.core, Life::written);
        life.hold(IN_FORCE);
        life.hold(HELD);
        life.hold(DROPPED_CALL);
        life.hold(PRECOMMITTED);
        life.decide(IN_FORCE, true);
        life.decide(DROPPED_CALL, false);
        life.merge(DROPPED);
        life.mark(List.of(TAKEN, FLOOR));
        life.environment.runUntilIdle();
        life.storage.compact();
        life.environment.runUntilIdle();
        life.merge(NEW_ROUTE);
        life.decide(PRECOMMITTED, true);
        life.mark(List.of(LATE_MARK));
        life.storage.persistCore(SECOND_GENERATION.core, Life::written);
        life.hold(LAST);
        life.environment.runUntilIdle();
        return life.digests();
    }
}
