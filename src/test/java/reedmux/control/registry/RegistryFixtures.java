package reedmux.control.registry;

import java.nio.file.Path;
import java.util.List;
import reedmux.common.disk.FileSystemVolume;
import reedmux.control.instances.InstanceDirectory;
import reedmux.control.instances.InstanceIncarnation;
import reedmux.control.rpc.MessageCodec;
import reedmux.control.store.DiskEnvironment;

/** The checkers that a registry keeps on its disk, in two generations. */
public final class RegistryFixtures {
    private static final long WRITE_INTERVAL_MICROS = 300_000;
    private static final InstanceIncarnation READY = new InstanceIncarnation(
            "i-1", "desk", "10.0.0.1:80", "zone-a", 300, InstanceIncarnation.READY, 1L << 35, 100_000, false);
    private static final InstanceIncarnation UNRESPONSIVE =
            new InstanceIncarnation("i-2", "desk", "10.0.0.2:80", "zone-b", 2, InstanceIncarnation.DRAINING, 4, 0, true);
    private static final InstanceIncarnation GONE = new InstanceIncarnation(
            "i-3", "office", "10.0.0.3:80", "zone-c", 1, InstanceIncarnation.GONE, 9, 7_000, true);
    /** What the first generation of the files holds. */
    static final List<InstanceIncarnation> FIRST_GENERATION = List.of(READY, UNRESPONSIVE);
    /** What the second one holds: one checker more, and the first one a while later. */
    static final List<InstanceIncarnation> SECOND_GENERATION = List.of(
            new InstanceIncarnation(
                    "i-1", "desk", "10.0.0.1:80", "zone-a", 300, InstanceIncarnation.READY, 1L << 35, 99_700, false),
            UNRESPONSIVE,
            GONE);

    private RegistryFixtures() {}

    /** A registry's memory over one folder, and what it knows. */
    static final class StorageFixture {
        final DiskEnvironment environment;
        final InstanceDirectory directory = new InstanceDirectory();

        StorageFixture(Path folder) {
            environment = new DiskEnvironment(new FileSystemVolume(folder));
            new IncarnationStorage(folder, environment.reactor(), new MessageCodec(), directory);
        }

        void saveChanges() {
            environment.advanceClockMicros(WRITE_INTERVAL_MICROS);
            environment.runUntilIdle();
        }
    }

    /** Lets a registry write the files of two generations to an empty folder. */
    public static void writeDataFolder(Path folder) {
        StorageFixture storage = new StorageFixture(folder);
        FIRST_GENERATION.forEach(checker -> storage.directory.merge(checker, WRITE_INTERVAL_MICROS));
        storage.saveChanges();
        storage.directory.merge(GONE, 2 * WRITE_INTERVAL_MICROS);
        storage.saveChanges();
    }
}
