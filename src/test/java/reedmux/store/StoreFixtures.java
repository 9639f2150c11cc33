package reedmux.store;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import reedmux.disk.Folder;
import reedmux.item.Ballot;
import reedmux.item.Item;
import reedmux.item.Mark;
import reedmux.item.Members;
import reedmux.item.Membership;
import reedmux.item.Proposal;
import reedmux.item.Replica;
import reedmux.link.Codec;
import reedmux.link.Messages.Compare;
import reedmux.link.Messages.Decided;
import reedmux.link.Messages.Propose;
import reedmux.net.Reactor;

/** A store's data folder: two generations, and every kind of record behind the state of each. */
public final class StoreFixtures {
    private static final Ballot BALLOT = new Ballot(300, "core-1");
    private static final Ballot LATER_BALLOT = new Ballot(301, "core-2");
    private static final Members CORE =
            new Members(4, Map.of("10.0.0.1", "core-1", "10.0.0.2", "", "10.0.0.3", "core-3"));
    private static final Members NEXT_CORE = new Members(5, Map.of("10.0.0.1", "core-1", "10.0.0.4", "core-4"));
    private static final Item ROUTE = new Item("routes", "shop", 7, "{\"host\":\"hügel.example\"}");
    private static final Item NEW_ROUTE = new Item("routes", "shop", 8, "{\"host\":\"€.example\"}");
    private static final Item POOL =
            new Item("plants", "desk", 1L << 40, "{\"probe\":\"/" + "0123456789".repeat(20) + "\"}");
    private static final Item DROPPED = new Item("tenants", "gone", 300, "");
    private static final Item WAITING = new Item("tenants", "waits", 2, "{\"weight\":2}");
    private static final Item REFUSED = new Item("tenants", "refused", 5, "{\"weight\":5}");
    private static final Mark TAKEN = new Mark("routes/elsewhere", 3, -9);
    private static final Mark FLOOR = new Mark("plants/old", 1L << 33, Mark.FLOOR);
    /** Of the route that was overtaken; its digest is a figure that stores of all versions must agree on. */
    private static final Mark OVERTAKEN = new Mark("routes/shop", 7, -9_006_016_995_370_228_491L);

    private static final Mark LATE_MARK = new Mark("tenants/late", 11, 12);
    static final Proposal HELD = new Proposal("call-held", BALLOT, List.of(WAITING, DROPPED), false);
    static final Proposal PRECOMMITTED = new Proposal("call-precommitted", LATER_BALLOT, List.of(WAITING), true);
    private static final Proposal IN_FORCE = new Proposal("call-in-force", BALLOT, List.of(ROUTE, POOL), false);
    private static final Proposal DROPPED_CALL = new Proposal("call-dropped", BALLOT, List.of(REFUSED), false);
    private static final Proposal LAST = new Proposal("call-last", LATER_BALLOT, List.of(REFUSED), true);

    /** What the folder holds before its first compaction. */
    static final Contents FIRST_GENERATION = new Contents(
            new Membership.State(CORE, LATER_BALLOT, BALLOT, NEXT_CORE, false),
            List.of(POOL, ROUTE, DROPPED),
            List.of(TAKEN, FLOOR),
            List.of(HELD, PRECOMMITTED));
    /** What it holds in the end, without the record that is cut in the torn variant. */
    static final Contents TORN = new Contents(
            new Membership.State(NEXT_CORE, null, null, null, true),
            List.of(POOL, NEW_ROUTE, DROPPED, WAITING),
            List.of(TAKEN, FLOOR, OVERTAKEN, LATE_MARK),
            List.of(HELD));
    /** What it holds in the end. */
    static final Contents SECOND_GENERATION = new Contents(TORN.core, TORN.items, TORN.marks, List.of(HELD, LAST));

    private StoreFixtures() {}

    /** All that a start finds: items by key, watermarks, held proposals in their order. */
    record Contents(Membership.State core, List<Item> items, List<Mark> marks, List<Proposal> held) {}

    /** A store's replica and its storage over one folder. */
    static final class Life {
        final DiskEnvironment environment;
        final boolean complete;
        private final Replica replica = new Replica();
        private final ReplicaStorage storage;
        private final Reactor reactor;

        Life(Path folder, boolean firstStart) {
            environment = new DiskEnvironment(new Folder(folder));
            reactor = environment.reactor();
            storage = new ReplicaStorage(folder, reactor, new Codec(), replica);
            complete = storage.load(firstStart, CORE);
            settle();
        }

        private void settle() {
            reactor.turn();
            while (!environment.disk.isEmpty()) {
                environment.disk.poll().run();
                reactor.turn();
            }
        }

        private static void written(boolean safe) {
            if (!safe) {
                throw new IllegalStateException("the disk refuses");
            }
        }

        private void hold(Proposal proposal) {
            replica.hold(proposal);
            storage.held(new Propose(proposal), Life::written);
        }

        private void decide(Proposal proposal, boolean inForce) {
            replica.decide(proposal.call(), inForce, proposal.items());
            storage.decided(new Decided(proposal.call(), proposal.ballot(), inForce, proposal.items()));
        }

        private void merge(Item item) {
            replica.merge(List.of(item));
            storage.merged(List.of(item));
        }

        private void mark(List<Mark> marks) {
            replica.mark(marks);
            storage.marked(marks);
        }

        /** The digests that it would send, of the coarse ranges and of the fine ones that are in use. */
        Map<String, byte[]> digests() {
            List<Long> coarse = replica.digests().of(List.of());
            List<Integer> used = new ArrayList<>();
            for (int i = 0; i < coarse.size(); i++) {
                if (coarse.get(i) != 0) {
                    used.add(i);
                }
            }
            Codec codec = new Codec();
            Map<String, byte[]> all = new LinkedHashMap<>();
            all.put("coarse", codec.write(new Compare(List.of(), coarse)));
            all.put("fine", codec.write(new Compare(used, replica.digests().of(used))));
            return all;
        }

        Contents contents() {
            return new Contents(
                    storage.core(),
                    List.copyOf(replica.inForce()),
                    List.copyOf(replica.marks()),
                    List.copyOf(replica.held().values()));
        }
    }

    /** Lets a store write the files of two generations to an empty folder; returns the digests of its contents. */
    public static Map<String, byte[]> writeDataFolder(Path folder) {
        Life life = new Life(folder, true);
        life.storage.core(FIRST_GENERATION.core, Life::written);
        life.hold(IN_FORCE);
        life.hold(HELD);
        life.hold(DROPPED_CALL);
        life.hold(PRECOMMITTED);
        life.decide(IN_FORCE, true);
        life.decide(DROPPED_CALL, false);
        life.merge(DROPPED);
        life.mark(List.of(TAKEN, FLOOR));
        life.settle();
        life.storage.compact();
        life.settle();
        life.merge(NEW_ROUTE);
        life.decide(PRECOMMITTED, true);
        life.mark(List.of(LATE_MARK));
        life.storage.core(SECOND_GENERATION.core, Life::written);
        life.hold(LAST);
        life.settle();
        return life.digests();
    }
}
