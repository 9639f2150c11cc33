package reedmux.control.registry;

import java.nio.file.Path;
import java.util.List;
import reedmux.common.disk.FileSystemVolume;
import reedmux.control.instances.InstanceDirectory;
import reedmux.control.instances.InstanceIncarnation;
import reedmux.control.rpc.MessageCodec;
import reedmux.control.store.DiskEnvironment;

/** The instances that a registry stores on disk, in two generations of files. */
public final class RegistryFixtures {
    private static final long WRITE_INTERVAL_MICROS = 300_000;
    private static final InstanceIncarnation READY = new InstanceIncarnation(
            "i-1", "desk", "10.0.0.1:80", "zone-a", 300, InstanceIncarnation.READY, 1L << 35, 100_000, false);
    private static final InstanceIncarnation UNRESPONSIVE = new InstanceIncarnation(
            "i-2", "desk", "10.0.0.2:80", "zone-b", 2, InstanceIncarnation.DRAINING, 4, 0, true);
    private static final InstanceIncarnation GONE = new InstanceIncarnation(
            "i-3", "office", "10.0.0.3:80", "zone-c", 1, InstanceIncarnation.GONE, 9, 7_000, true);
    /** The contents of the first generation of the files. */
    static final List<InstanceIncarnation> FIRST_GENERATION = List.of(READY, UNRESPONSIVE);
    /** The contents of the second generation: one more instance, and less of the slow start of the first one left. */
    static final List<InstanceIncarnation> SECOND_GENERATION = List.of(
            new InstanceIncarnation(
                    "i-1", "desk", "10.0.0.1:80", "zone-a", 300, InstanceIncarnation.READY, 1L << 35, 99_700, false),
            UNRESPONSIVE,
            GONE);

    private RegistryFixtures() {}

    /** A registry's storage in one folder, with the directory that it loads and saves. */
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

    /** Writes the files of both generations to an empty folder, as a registry does. */
    public static void writeDataFolder(Path folder) {
        StorageFixture storage = new StorageFixture(folder);
        FIRST_GENERATION.forEach(instance -> storage.directory.merge(instance, WRITE_INTERVAL_MICROS));
        storage.saveChanges();
        storage.directory.merge(GONE, 2 * WRITE_INTERVAL_MICROS);
        storage.saveChanges();
    }
}
