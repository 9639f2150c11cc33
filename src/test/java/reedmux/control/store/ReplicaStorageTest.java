package reedmux.control.store;

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
import reedmux.common.disk.CrashSimulatingVolume;
import reedmux.common.eventloop.Reactor;
import reedmux.control.configuration.ConfigurationItem;
import reedmux.control.consensus.Ballot;
import reedmux.control.consensus.CoreMembers;
import reedmux.control.consensus.Proposal;
import reedmux.control.replication.Replica;
import reedmux.control.rpc.MessageCodec;
import reedmux.control.rpc.Messages.ProposalRecord;
import reedmux.testing.ScheduleExplorer;

/** What was reported safe is found by a start after a crash at any step, whatever waits for the disk. */
public class ReplicaStorageTest {

    /** A store's replica and its disk, over one life of its process. */
    private static final class StoreProcess {
        private final CrashSimulatingVolume volume;
        private final DiskEnvironment environment;
        private final Reactor reactor;
        private final Replica replica = new Replica();
        private final ReplicaStorage storage;
        private final Set<String> durable = new HashSet<>();
        private final Set<String> rejected = new HashSet<>();
        private final boolean complete;

        private StoreProcess(CrashSimulatingVolume volume, boolean firstStart) {
            this.volume = volume;
            environment = new DiskEnvironment(volume);
            reactor = environment.reactor();
            storage = new ReplicaStorage(Path.of("store"), reactor, new MessageCodec(), replica);
            complete = storage.load(firstStart, CoreMembers.initial(List.of("10.0.0.1")));
            runUntilIdle();
        }

        private void propose(String call) {
            Proposal proposal = new Proposal(call, new Ballot(1, "a"), List.of(serviceItem(call)));
            replica.addPending(proposal);
            storage.persistPending(new ProposalRecord(proposal), done -> (done ? durable : rejected).add(call));
        }

        /** The disk's next task, and what the reactor is told of it. */
        private void runDiskTask() {
            if (!environment.diskTasks.isEmpty()) {
                environment.diskTasks.poll().run();
            }
            reactor.runOnce();
        }

        private void runUntilIdle() {
            reactor.runOnce();
            while (!environment.diskTasks.isEmpty()) {
                runDiskTask();
            }
        }
    }

    private static ConfigurationItem serviceItem(String name) {
        return new ConfigurationItem("plants", name, 1, "{}");
    }

    private static void assertRecovers(CrashSimulatingVolume left, Set<String> safe) {
        StoreProcess next = new StoreProcess(left, false);
        assertTrue(next.complete, "the disk was here all the time");
        assertTrue(
                next.replica.pending().keySet().containsAll(safe),
                safe + " was safe, and there is " + next.replica.pending().keySet());
    }

    /** Calls, compactions, a full disk in all orders with the disk's own tasks; a crash after every step. */
    @Test
    public void durableWritesSurviveACrashAtAnyStepOfACompaction() {
        int[] images = {0};
        int orders = 0;
        for (List<String> script : List.of(
                List.of("one", "compact", "two", "three", "compact", "four"),
                List.of("one", "full", "two", "compact", "three", "room", "compact", "four"))) {
            orders += ScheduleExplorer.exploreAll(10_000, order -> play(script, order, images));
        }
        assertEquals(orders, 86);
        assertTrue(images[0] > 10_000, images[0] + " disks");
    }

    private static void play(List<String> script, ScheduleExplorer order, int[] images) {
        CrashSimulatingVolume volume = new CrashSimulatingVolume();
        StoreProcess life = new StoreProcess(volume, true);
        volume.onStep(() -> {
            Set<String> safe = Set.copyOf(life.durable);
            assertRecovers(volume.imageAfterKill(), safe);
            images[0] += 1 + volume.forEachImageAfterPowerLoss(left -> assertRecovers(left, safe));
        });
        List<String> next = new ArrayList<>(script);
        while (!next.isEmpty() || !life.environment.diskTasks.isEmpty()) {
            if (!next.isEmpty() && (life.environment.diskTasks.isEmpty() || order.choose(2) == 0)) {
                String step = next.remove(0);
                if (step.equals("compact")) {
                    life.storage.compact();
                } else if (step.equals("full") || step.equals("room")) {
                    volume.setFull(step.equals("full"));
                } else {
                    life.propose(step);
                }
            } else {
                life.runDiskTask();
            }
        }
        life.runUntilIdle();
        assertEquals(life.durable.size() + life.rejected.size(), 4);
        assertTrue(script.contains("full") || life.rejected.isEmpty());
        assertRecovers(volume.imageAfterKill(), life.durable);
    }

    /** Full while it is told that it is whole: that is not on disk early, and comes there by itself. */
    @Test
    public void completenessIsPersistedOnceTheDiskHasSpace() {
        CrashSimulatingVolume volume = new CrashSimulatingVolume();
        StoreProcess life = new StoreProcess(volume, false);
        assertFalse(life.complete);
        life.replica.merge(List.of(serviceItem("met")));
        volume.setFull(true);
        life.storage.markComplete();
        life.runUntilIdle();
        volume.setFull(false);
        life.replica.merge(List.of(serviceItem("later")));
        life.storage.persistItems(List.of(serviceItem("later")));
        life.runUntilIdle();
        StoreProcess early = new StoreProcess(volume.imageAfterKill(), false);
        assertTrue(
                !early.complete || early.replica.committed().contains(serviceItem("met")), "whole without its items");
        for (int i = 0; i < 40; i++) {
            life.environment.now += 125_000;
            life.reactor.runOnce();
            life.runUntilIdle();
        }
        StoreProcess next = new StoreProcess(volume.imageAfterKill(), false);
        assertTrue(next.complete);
        assertEquals(next.replica.committed().size(), 2);
    }

    /** It starts with what it can read, refuses what it can't keep, and keeps again once there is room. */
    @Test
    public void storeStartsOnAFullDisk() {
        CrashSimulatingVolume volume = new CrashSimulatingVolume();
        StoreProcess before = new StoreProcess(volume, true);
        before.propose("one");
        before.runUntilIdle();
        CrashSimulatingVolume left = volume.imageAfterKill();
        left.setFull(true);
        StoreProcess life = new StoreProcess(left, false);
        assertTrue(life.complete);
        assertEquals(life.replica.pending().keySet(), Set.of("one"));
        life.propose("two");
        life.runUntilIdle();
        assertEquals(life.rejected, Set.of("two"));
        left.setFull(false);
        for (int i = 0; i < 20; i++) {
            life.environment.now += 125_000;
            life.runUntilIdle();
        }
        life.propose("three");
        life.runUntilIdle();
        assertEquals(life.durable, Set.of("three"));
        assertRecovers(left.imageAfterKill(), Set.of("one", "three"));
    }

    /** What a later program has written stays as it is, and what cannot be read counts as lost. */
    @Test
    public void fileOfANewerFormatIsLeftUnchanged() throws IOException {
        CrashSimulatingVolume volume = new CrashSimulatingVolume();
        StoreProcess before = new StoreProcess(volume, true);
        before.propose("one");
        before.runUntilIdle();
        byte[] file = volume.read("items-1");
        file[8 + 7]++; // the form, behind the length, the checksum and the mark
        java.util.zip.CRC32C sum = new java.util.zip.CRC32C();
        sum.update(8);
        sum.update(file, 8, 8);
        java.nio.ByteBuffer.wrap(file).putInt(4, ~(int) sum.getValue());
        volume.putSyncedFile("items-2", file);
        StoreProcess life = new StoreProcess(volume, false);
        assertFalse(life.complete);
        assertEquals(life.replica.pending().keySet(), Set.of("one"));
        String log = life.environment.logLines.toString();
        assertTrue(log.contains("items-2 is of form 2"), log);
        life.propose("two");
        life.runUntilIdle();
        assertEquals(life.rejected, Set.of("two"));
        assertEquals(volume.read("items-2"), file);
    }

    /** What can be read of a damaged state and of the one before is there, and not counted as whole. */
    @Test
    public void intactRecordsOfADamagedDiskAreRecovered() throws IOException {
        CrashSimulatingVolume volume = new CrashSimulatingVolume();
        StoreProcess before = new StoreProcess(volume, true);
        before.propose("one");
        before.runUntilIdle();
        before.storage.compact();
        before.runUntilIdle();
        before.propose("two");
        before.runUntilIdle();
        byte[] file = volume.read("items-2");
        file[8 + 8 + 8 + 3] ^= 1; // in the first record behind the form
        volume.putSyncedFile("items-2", file);
        StoreProcess life = new StoreProcess(volume.imageAfterKill(), false);
        assertFalse(life.complete);
        assertEquals(life.replica.pending().keySet(), Set.of("one", "two"));
        assertTrue(
                life.environment.logLines.toString().contains("items-2 at 16: the checksum"),
                "" + life.environment.logLines);
        volume.setUnreadable(true);
        assertFalse(new StoreProcess(volume, true).complete);
    }

    /** 10,000 changes of ten items: what is on disk stays bounded, and is what a start finds. */
    @Test
    public void compactionBoundsTheSizeOnDisk() throws IOException {
        Path dir = java.nio.file.Files.createTempDirectory("reedmux-store");
        Replica replica = new Replica();
        DiskEnvironment environment = new DiskEnvironment(new reedmux.common.disk.FileSystemVolume(dir));
        Reactor reactor = environment.reactor();
        ReplicaStorage storage = new ReplicaStorage(dir, reactor, new MessageCodec(), replica);
        storage.load(true, CoreMembers.initial(List.of("10.0.0.1")));
        long most = 0;
        for (int i = 1; i <= 10_000; i++) {
            List<ConfigurationItem> items = List.of(
                    new ConfigurationItem("plants", "p" + i % 10, i, "{\"probe\":\"/" + "x".repeat(1_000) + "\"}"));
            replica.merge(items);
            storage.persistItems(items);
            if (i % 100 == 0) {
                environment.now += 125_000;
                reactor.runOnce();
                while (!environment.diskTasks.isEmpty()) {
                    environment.diskTasks.poll().run();
                    reactor.runOnce();
                }
                most = Math.max(most, bytes(dir));
            }
        }
        assertTrue(most < 10 * 1024 * 1024, most + " bytes");
        Replica next = new Replica();
        new ReplicaStorage(
                        dir,
                        new DiskEnvironment(new reedmux.common.disk.FileSystemVolume(dir)).reactor(),
                        new MessageCodec(),
                        next)
                .load(false, CoreMembers.initial(List.of("10.0.0.1")));
        assertEquals(List.copyOf(next.committed()), List.copyOf(replica.committed()));
        assertEquals(Set.copyOf(next.watermarks()), Set.copyOf(replica.watermarks()));
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
