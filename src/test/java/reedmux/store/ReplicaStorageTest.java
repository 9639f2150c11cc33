package reedmux.store;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.testng.annotations.Test;
import reedmux.disk.CrashVolume;
import reedmux.item.Ballot;
import reedmux.item.Item;
import reedmux.item.Members;
import reedmux.item.Orders;
import reedmux.item.Proposal;
import reedmux.item.Replica;
import reedmux.link.Codec;
import reedmux.link.Messages.Propose;
import reedmux.net.Reactor;

/** What was reported safe is found by a start after a crash at any step, whatever waits for the disk. */
public class ReplicaStorageTest {

    /** A store's replica and its disk, over one life of its process. */
    private static final class Life {
        private final CrashVolume volume;
        private final DiskEnvironment environment;
        private final Reactor reactor;
        private final Replica replica = new Replica();
        private final ReplicaStorage storage;
        private final Set<String> safe = new HashSet<>();
        private final Set<String> refused = new HashSet<>();
        private final boolean whole;

        private Life(CrashVolume volume, boolean firstStart) {
            this.volume = volume;
            environment = new DiskEnvironment(volume);
            reactor = environment.reactor();
            storage = new ReplicaStorage(Path.of("store"), reactor, new Codec(), replica);
            whole = storage.load(firstStart, Members.first(List.of("10.0.0.1")));
            settle();
        }

        private void hold(String call) {
            Proposal proposal = new Proposal(call, new Ballot(1, "a"), List.of(plant(call)));
            replica.hold(proposal);
            storage.held(new Propose(proposal), done -> (done ? safe : refused).add(call));
        }

        /** The disk's next task, and what the reactor is told of it. */
        private void disk() {
            if (!environment.disk.isEmpty()) {
                environment.disk.poll().run();
            }
            reactor.turn();
        }

        private void settle() {
            reactor.turn();
            while (!environment.disk.isEmpty()) {
                disk();
            }
        }
    }

    private static Item plant(String name) {
        return new Item("plants", name, 1, "{}");
    }

    private static void check(CrashVolume left, Set<String> safe) {
        Life next = new Life(left, false);
        assertTrue(next.whole, "the disk was here all the time");
        assertTrue(
                next.replica.held().keySet().containsAll(safe),
                safe + " was safe, and there is " + next.replica.held().keySet());
    }

    /** Calls, compactions, a full disk in all orders with the disk's own tasks; a crash after every step. */
    @Test
    public void whatIsReportedSafeOutlivesACrashAtAnyStepOfACompaction() {
        int[] images = {0};
        int orders = 0;
        for (List<String> script : List.of(
                List.of("one", "compact", "two", "three", "compact", "four"),
                List.of("one", "full", "two", "compact", "three", "room", "compact", "four"))) {
            orders += Orders.all(10_000, order -> play(script, order, images));
        }
        assertEquals(orders, 86);
        assertTrue(images[0] > 10_000, images[0] + " disks");
    }

    private static void play(List<String> script, Orders order, int[] images) {
        CrashVolume volume = new CrashVolume();
        Life life = new Life(volume, true);
        volume.onStep(() -> {
            Set<String> safe = Set.copyOf(life.safe);
            check(volume.killed(), safe);
            images[0] += 1 + volume.powerLost(left -> check(left, safe));
        });
        List<String> next = new ArrayList<>(script);
        while (!next.isEmpty() || !life.environment.disk.isEmpty()) {
            if (!next.isEmpty() && (life.environment.disk.isEmpty() || order.pick(2) == 0)) {
                String step = next.remove(0);
                if (step.equals("compact")) {
                    life.storage.compact();
                } else if (step.equals("full") || step.equals("room")) {
                    volume.full(step.equals("full"));
                } else {
                    life.hold(step);
                }
            } else {
                life.disk();
            }
        }
        life.settle();
        assertEquals(life.safe.size() + life.refused.size(), 4);
        assertTrue(script.contains("full") || life.refused.isEmpty());
        check(volume.killed(), life.safe);
    }

    /** Full while it is told that it is whole: that is not on disk early, and comes there by itself. */
    @Test
    public void thatItIsWholeReachesTheDiskOnceThereIsRoom() {
        CrashVolume volume = new CrashVolume();
        Life life = new Life(volume, false);
        assertFalse(life.whole);
        life.replica.merge(List.of(plant("met")));
        volume.full(true);
        life.storage.whole();
        life.settle();
        volume.full(false);
        life.replica.merge(List.of(plant("later")));
        life.storage.merged(List.of(plant("later")));
        life.settle();
        Life early = new Life(volume.killed(), false);
        assertTrue(!early.whole || early.replica.inForce().contains(plant("met")), "whole without its items");
        for (int i = 0; i < 40; i++) {
            life.environment.now += 125_000;
            life.reactor.turn();
            life.settle();
        }
        Life next = new Life(volume.killed(), false);
        assertTrue(next.whole);
        assertEquals(next.replica.inForce().size(), 2);
    }

    /** It starts with what it can read, refuses what it can't keep, and keeps again once there is room. */
    @Test
    public void aStoreStartsOnAFullDisk() {
        CrashVolume volume = new CrashVolume();
        Life before = new Life(volume, true);
        before.hold("one");
        before.settle();
        CrashVolume left = volume.killed();
        left.full(true);
        Life life = new Life(left, false);
        assertTrue(life.whole);
        assertEquals(life.replica.held().keySet(), Set.of("one"));
        life.hold("two");
        life.settle();
        assertEquals(life.refused, Set.of("two"));
        left.full(false);
        for (int i = 0; i < 20; i++) {
            life.environment.now += 125_000;
            life.settle();
        }
        life.hold("three");
        life.settle();
        assertEquals(life.safe, Set.of("three"));
        check(left.killed(), Set.of("one", "three"));
    }

    /** What a later program has written stays as it is, and what cannot be read counts as lost. */
    @Test
    public void aFileOfANewerFormIsLeftAlone() throws IOException {
        CrashVolume volume = new CrashVolume();
        Life before = new Life(volume, true);
        before.hold("one");
        before.settle();
        byte[] file = volume.read("items-1");
        file[8 + 7]++; // the form, behind the length, the checksum and the mark
        java.util.zip.CRC32C sum = new java.util.zip.CRC32C();
        sum.update(8);
        sum.update(file, 8, 8);
        java.nio.ByteBuffer.wrap(file).putInt(4, ~(int) sum.getValue());
        volume.place("items-2", file);
        Life life = new Life(volume, false);
        assertFalse(life.whole);
        assertEquals(life.replica.held().keySet(), Set.of("one"));
        String log = life.environment.log.toString();
        assertTrue(log.contains("items-2 is of form 2"), log);
        life.hold("two");
        life.settle();
        assertEquals(life.refused, Set.of("two"));
        assertEquals(volume.read("items-2"), file);
    }

    /** What can be read of a damaged state and of the one before is there, and not counted as whole. */
    @Test
    public void whatCanBeReadOfADamagedDiskIsRead() throws IOException {
        CrashVolume volume = new CrashVolume();
        Life before = new Life(volume, true);
        before.hold("one");
        before.settle();
        before.storage.compact();
        before.settle();
        before.hold("two");
        before.settle();
        byte[] file = volume.read("items-2");
        file[8 + 8 + 8 + 3] ^= 1; // in the first record behind the form
        volume.place("items-2", file);
        Life life = new Life(volume.killed(), false);
        assertFalse(life.whole);
        assertEquals(life.replica.held().keySet(), Set.of("one", "two"));
        assertTrue(life.environment.log.toString().contains("items-2 at 16: the checksum"), "" + life.environment.log);
        volume.unreadable(true);
        assertFalse(new Life(volume, true).whole);
    }

    /** 10,000 changes of ten items: what is on disk stays bounded, and is what a start finds. */
    @Test
    public void whatIsOnDiskStaysBounded() throws IOException {
        Path dir = java.nio.file.Files.createTempDirectory("reedmux-store");
        Replica replica = new Replica();
        DiskEnvironment environment = new DiskEnvironment(new reedmux.disk.Folder(dir));
        Reactor reactor = environment.reactor();
        ReplicaStorage storage = new ReplicaStorage(dir, reactor, new Codec(), replica);
        storage.load(true, Members.first(List.of("10.0.0.1")));
        long most = 0;
        for (int i = 1; i <= 10_000; i++) {
            List<Item> items =
                    List.of(new Item("plants", "p" + i % 10, i, "{\"probe\":\"/" + "x".repeat(1_000) + "\"}"));
            replica.merge(items);
            storage.merged(items);
            if (i % 100 == 0) {
                environment.now += 125_000;
                reactor.turn();
                while (!environment.disk.isEmpty()) {
                    environment.disk.poll().run();
                    reactor.turn();
                }
                most = Math.max(most, bytes(dir));
            }
        }
        assertTrue(most < 10 * 1024 * 1024, most + " bytes");
        Replica next = new Replica();
        new ReplicaStorage(dir, new DiskEnvironment(new reedmux.disk.Folder(dir)).reactor(), new Codec(), next)
                .load(false, Members.first(List.of("10.0.0.1")));
        assertEquals(List.copyOf(next.inForce()), List.copyOf(replica.inForce()));
        assertEquals(Set.copyOf(next.marks()), Set.copyOf(replica.marks()));
        for (java.io.File file : dir.toFile().listFiles()) {
            file.delete();
        }
        dir.toFile().delete();
    }

    private static long bytes(Path dir) {
        long all = 0;
        for (java.io.File file : dir.toFile().listFiles()) {
            all += file.length();
        }
        return all;
    }
}
