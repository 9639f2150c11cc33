package reedmux.registry;

import java.nio.file.Path;
import java.util.List;
import reedmux.disk.Folder;
import reedmux.fleet.Fleet;
import reedmux.fleet.Incarnation;
import reedmux.link.Codec;
import reedmux.net.Reactor;
import reedmux.store.DiskEnvironment;

/** The checkers that a registry keeps on its disk, in two generations. */
public final class RegistryFixtures {
    private static final long LATER_MICROS = 300_000;
    private static final Incarnation READY =
            new Incarnation("i-1", "desk", "10.0.0.1:80", "zone-a", 300, Incarnation.READY, 1L << 35, 100_000, false);
    private static final Incarnation SILENT =
            new Incarnation("i-2", "desk", "10.0.0.2:80", "zone-b", 2, Incarnation.DRAINING, 4, 0, true);
    private static final Incarnation GONE =
            new Incarnation("i-3", "office", "10.0.0.3:80", "zone-c", 1, Incarnation.GONE, 9, 7_000, true);
    /** What the first generation of the files holds. */
    static final List<Incarnation> FIRST_GENERATION = List.of(READY, SILENT);
    /** What the second one holds: one checker more, and the first one a while later. */
    static final List<Incarnation> SECOND_GENERATION = List.of(
            new Incarnation("i-1", "desk", "10.0.0.1:80", "zone-a", 300, Incarnation.READY, 1L << 35, 99_700, false),
            SILENT,
            GONE);

    private RegistryFixtures() {}

    /** A registry's memory over one folder, and what it knows. */
    static final class Life {
        final DiskEnvironment environment;
        final Fleet fleet = new Fleet();
        private final Reactor reactor;

        Life(Path folder) {
            environment = new DiskEnvironment(new Folder(folder));
            reactor = environment.reactor();
            new Memory(folder, reactor, new Codec(), fleet);
        }

        void keep() {
            environment.now += LATER_MICROS;
            reactor.turn();
            while (!environment.disk.isEmpty()) {
                environment.disk.poll().run();
                reactor.turn();
            }
        }
    }

    /** Lets a registry write the files of two generations to an empty folder. */
    public static void writeDataFolder(Path folder) {
        Life life = new Life(folder);
        FIRST_GENERATION.forEach(checker -> life.fleet.merge(checker, LATER_MICROS));
        life.keep();
        life.fleet.merge(GONE, 2 * LATER_MICROS);
        life.keep();
    }
}
