package reedmux.control.store;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.io.File;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.zip.CRC32C;
import org.testng.annotations.Test;
import reedmux.common.disk.CrashSimulatingVolume;
import reedmux.common.disk.FileSystemVolume;
import reedmux.control.configuration.ConfigurationItem;
import reedmux.control.consensus.Ballot;
import reedmux.control.consensus.CoreMembers;
import reedmux.control.consensus.Proposal;
import reedmux.control.replication.Replica;
import reedmux.control.rpc.MessageCodec;
import reedmux.control.rpc.Messages.ProposalRecord;
import reedmux.testing.ScheduleExplorer;

/** Checks that writes reported as durable are recovered after a crash at any step, for any queue of disk tasks. */
public class ReplicaStorageTest {

    /** One run of a store process: its replica and its disk. */
    private static final class StoreProcess {
        private final CrashSimulatingVolume volume;
        private final DiskEnvironment environment;
        private final Replica replica = new Replica();
        private final ReplicaStorage storage;
        private final Set<String> durable = new HashSet<>();
        private final Set<String> rejected = new HashSet<>();
        private final boolean complete;

        private StoreProcess(CrashSimulatingVolume volume, boolean firstStart) {
            this.volume = volume;
            environment = new DiskEnvironment(volume);
            storage = new ReplicaStorage(Path.of("store"), environment.reactor(), new MessageCodec(), replica);
            complete = storage.load(firstStart, CoreMembers.initial(List.of("10.0.0.1")));
            environment.runUntilIdle();
        }

        private void propose(String id) {
            Proposal proposal = new Proposal(id, new Ballot(1, "a"), List.of(serviceItem(id)));
            replica.addPending(proposal);
            storage.persistPending(new ProposalRecord(proposal), written -> (written ? durable : rejected).add(id));
        }
    }

    private static ConfigurationItem serviceItem(String name) {
        return new ConfigurationItem("plants", name, 1, "{}");
    }

    private static void assertRecovers(CrashSimulatingVolume image, Set<String> durable) {
        StoreProcess recovered = new StoreProcess(image, false);
        assertTrue(recovered.complete, "no record may be lost without damage to the disk");
        assertTrue(
                recovered.replica.pending().keySet().containsAll(durable),
                durable + " must be recovered, but only found "
                        + recovered.replica.pending().keySet());
    }

    /** Runs proposals, compactions and a full disk in all orders with the disk tasks; crashes after every step. */
    @Test
    public void durableWritesSurviveACrashAtAnyStepOfACompaction() {
        int[] imageCount = {0};
        int schedules = 0;
        for (List<String> steps : List.of(
                List.of("one", "compact", "two", "three", "compact", "four"),
                List.of("one", "full", "two", "compact", "three", "room", "compact", "four"))) {
            schedules += ScheduleExplorer.exploreAll(10_000, schedule -> runSchedule(steps, schedule, imageCount));
        }
        assertEquals(schedules, 86);
        assertTrue(imageCount[0] > 10_000, imageCount[0] + " disk images");
    }

    private static void runSchedule(List<String> steps, ScheduleExplorer schedule, int[] imageCount) {
        CrashSimulatingVolume volume = new CrashSimulatingVolume();
        StoreProcess store = new StoreProcess(volume, true);
        volume.onStep(() -> {
            Set<String> durable = Set.copyOf(store.durable);
            assertRecovers(volume.imageAfterKill(), durable);
            imageCount[0] += 1 + volume.forEachImageAfterPowerLoss(image -> assertRecovers(image, durable));
        });
        List<String> remainingSteps = new ArrayList<>(steps);
        while (!remainingSteps.isEmpty() || !store.environment.diskTasks.isEmpty()) {
            if (!remainingSteps.isEmpty() && (store.environment.diskTasks.isEmpty() || schedule.choose(2) == 0)) {
                String step = remainingSteps.remove(0);
                if (step.equals("compact")) {
                    store.storage.compact();
                } else if (step.equals("full") || step.equals("room")) {
                    volume.setFull(step.equals("full"));
                } else {
                    store.propose(step);
                }
            } else {
                store.environment.runDiskTask();
            }
        }
        store.environment.runUntilIdle();
        assertEquals(store.durable.size() + store.rejected.size(), 4);
        assertTrue(steps.contains("full") || store.rejected.isEmpty());
        assertRecovers(volume.imageAfterKill(), store.durable);
    }

    /**
     * If the disk is full when the store becomes complete, the disk must record completeness later, and not before the
     * store's items are persisted.
     */
    @Test
    public void completenessIsPersistedOnceTheDiskHasSpace() {
        CrashSimulatingVolume volume = new CrashSimulatingVolume();
        StoreProcess store = new StoreProcess(volume, false);
        assertFalse(store.complete);
        store.replica.merge(List.of(serviceItem("first")));
        volume.setFull(true);
        store.storage.markComplete();
        store.environment.runUntilIdle();
        volume.setFull(false);
        store.replica.merge(List.of(serviceItem("second")));
        store.storage.persistItems(List.of(serviceItem("second")));
        store.environment.runUntilIdle();
        StoreProcess recoveredEarly = new StoreProcess(volume.imageAfterKill(), false);
        assertTrue(
                !recoveredEarly.complete || recoveredEarly.replica.committed().contains(serviceItem("first")),
                "recovered as complete without its items");
        for (int i = 0; i < 40; i++) {
            store.environment.advanceClockMicros(125_000);
            store.environment.runUntilIdle();
        }
        StoreProcess recovered = new StoreProcess(volume.imageAfterKill(), false);
        assertTrue(recovered.complete);
        assertEquals(recovered.replica.committed().size(), 2);
    }

    /** The store recovers readable records, rejects writes that it cannot persist, and resumes when there is space. */
    @Test
    public void storeStartsOnAFullDisk() {
        CrashSimulatingVolume volume = new CrashSimulatingVolume();
        StoreProcess previousRun = new StoreProcess(volume, true);
        previousRun.propose("one");
        previousRun.environment.runUntilIdle();
        CrashSimulatingVolume image = volume.imageAfterKill();
        image.setFull(true);
        StoreProcess store = new StoreProcess(image, false);
        assertTrue(store.complete);
        assertEquals(store.replica.pending().keySet(), Set.of("one"));
        store.propose("two");
        store.environment.runUntilIdle();
        assertEquals(store.rejected, Set.of("two"));
        image.setFull(false);
        for (int i = 0; i < 20; i++) {
            store.environment.advanceClockMicros(125_000);
            store.environment.runUntilIdle();
        }
        store.propose("three");
        store.environment.runUntilIdle();
        assertEquals(store.durable, Set.of("three"));
        assertRecovers(image.imageAfterKill(), Set.of("one", "three"));
    }

    /** A file written by a later version is not modified, and its unreadable records count as lost. */
    @Test
    public void fileOfANewerFormatIsLeftUnchanged() throws IOException {
        CrashSimulatingVolume volume = new CrashSimulatingVolume();
        StoreProcess previousRun = new StoreProcess(volume, true);
        previousRun.propose("one");
        previousRun.environment.runUntilIdle();
        byte[] file = volume.read("items-1");
        file[8 + 7]++; // the version, after the length, the checksum and the magic number
        CRC32C checksum = new CRC32C();
        checksum.update(8);
        checksum.update(file, 8, 8);
        ByteBuffer.wrap(file).putInt(4, ~(int) checksum.getValue());
        volume.putSyncedFile("items-2", file);
        StoreProcess store = new StoreProcess(volume, false);
        assertFalse(store.complete);
        assertEquals(store.replica.pending().keySet(), Set.of("one"));
        String log = store.environment.logLines.toString();
        assertTrue(log.contains("items-2 is of form 2"), log);
        store.propose("two");
        store.environment.runUntilIdle();
        assertEquals(store.rejected, Set.of("two"));
        assertEquals(volume.read("items-2"), file);
    }

    /** Readable records of a damaged generation and of the previous one are recovered, but not as complete. */
    @Test
    public void intactRecordsOfADamagedDiskAreRecovered() throws IOException {
        CrashSimulatingVolume volume = new CrashSimulatingVolume();
        StoreProcess previousRun = new StoreProcess(volume, true);
        previousRun.propose("one");
        previousRun.environment.runUntilIdle();
        previousRun.storage.compact();
        previousRun.environment.runUntilIdle();
        previousRun.propose("two");
        previousRun.environment.runUntilIdle();
        byte[] file = volume.read("items-2");
        file[8 + 8 + 8 + 3] ^= 1; // in the first record after the version
        volume.putSyncedFile("items-2", file);
        StoreProcess store = new StoreProcess(volume.imageAfterKill(), false);
        assertFalse(store.complete);
        assertEquals(store.replica.pending().keySet(), Set.of("one", "two"));
        assertTrue(
                store.environment.logLines.toString().contains("items-2 at 16: the checksum"),
                "" + store.environment.logLines);
        volume.setUnreadable(true);
        assertFalse(new StoreProcess(volume, true).complete);
    }

    /** After 10,000 changes to ten items, the files stay below 10 MiB and all items are recovered. */
    @Test
    public void compactionBoundsTheSizeOnDisk() throws IOException {
        Path directory = Files.createTempDirectory("reedmux-store");
        Replica replica = new Replica();
        DiskEnvironment environment = new DiskEnvironment(new FileSystemVolume(directory));
        ReplicaStorage storage = new ReplicaStorage(directory, environment.reactor(), new MessageCodec(), replica);
        storage.load(true, CoreMembers.initial(List.of("10.0.0.1")));
        long maxBytes = 0;
        for (int i = 1; i <= 10_000; i++) {
            List<ConfigurationItem> items = List.of(
                    new ConfigurationItem("plants", "p" + i % 10, i, "{\"probe\":\"/" + "x".repeat(1_000) + "\"}"));
            replica.merge(items);
            storage.persistItems(items);
            if (i % 100 == 0) {
                environment.advanceClockMicros(125_000);
                environment.runUntilIdle();
                maxBytes = Math.max(maxBytes, totalFileBytes(directory));
            }
        }
        assertTrue(maxBytes < 10 * 1024 * 1024, maxBytes + " bytes");
        Replica recovered = new Replica();
        new ReplicaStorage(
                        directory,
                        new DiskEnvironment(new FileSystemVolume(directory)).reactor(),
                        new MessageCodec(),
                        recovered)
                .load(false, CoreMembers.initial(List.of("10.0.0.1")));
        assertEquals(List.copyOf(recovered.committed()), List.copyOf(replica.committed()));
        assertEquals(Set.copyOf(recovered.watermarks()), Set.copyOf(replica.watermarks()));
        for (File file : directory.toFile().listFiles()) {
            file.delete();
        }
        directory.toFile().delete();
    }

    private static long totalFileBytes(Path directory) {
        long totalBytes = 0;
        for (File file : directory.toFile().listFiles()) {
            totalBytes += file.length();
        }
        return totalBytes;
    }
}
