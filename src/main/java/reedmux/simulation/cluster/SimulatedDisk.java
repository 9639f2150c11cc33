package reedmux.simulation.cluster;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import reedmux.common.disk.Volume;

/**
 * A simulated disk. What a sync has covered is durable. After a loss of power each later write has survived, is
 * missing or is torn, and names are durable once their directory was synced. The disk records the operations since the
 * last loss with the time at which each completes, so that a process or the power may end between any two.
 */
final class SimulatedDisk {
    private static final long WRITE_MICROS = 60;
    private final ClusterSimulation simulation;
    /** Files by name, as processes see them. */
    private Map<String, DiskFileContent> files = new TreeMap<>();

    private Map<String, byte[]> durable = new TreeMap<>();
    private final List<DiskOperation> operations = new ArrayList<>();
    private long idleAt;
    private long syncMicros = 500;
    private boolean full;
    private long hungUntil;

    /** A file's bytes; renames and deletions change names only. */
    private static final class DiskFileContent {
        private byte[] bytes = {};

        private void write(int at, byte[] some) {
            int end = at + some.length;
            bytes = bytes.length >= end ? bytes : Arrays.copyOf(bytes, end);
            System.arraycopy(some, 0, bytes, at, some.length);
        }
    }

    private enum DiskOperationKind {
        CREATE,
        WRITE,
        TRUNCATE,
        SYNC,
        RENAME,
        DELETE,
        SYNC_DIRECTORY
    }

    private record DiskOperation(
            DiskOperationKind kind,
            DiskFileContent file,
            String name,
            String newName,
            long position,
            byte[] bytes,
            long completedAt) {}

    SimulatedDisk(ClusterSimulation simulation) {
        this.simulation = simulation;
    }

    /** When all operations so far are completed. */
    long idleAt() {
        return Math.max(idleAt, simulation.now());
    }

    void setSyncMicros(long micros) {
        syncMicros = micros;
    }

    void setFull(boolean isFull) {
        full = isFull;
    }

    void hangUntil(long time) {
        hungUntil = time;
    }

    private DiskOperation addOperation(
            DiskOperationKind kind, DiskFileContent file, String name, String other, long at, byte[] bytes) {
        boolean syncs = kind == DiskOperationKind.SYNC || kind == DiskOperationKind.SYNC_DIRECTORY;
        idleAt = Math.max(Math.max(idleAt, simulation.now()), hungUntil) + (syncs ? syncMicros : WRITE_MICROS);
        DiskOperation step = new DiskOperation(kind, file, name, other, at, bytes, idleAt);
        operations.add(step);
        return step;
    }

    private void checkSpace() throws IOException {
        if (full) {
            throw new IOException("No space left on device");
        }
    }

    /** Loses everything. */
    void wipe() {
        files = new TreeMap<>();
        durable = new TreeMap<>();
        operations.clear();
    }

    /**
     * Applies the end of a process, or with {@code power} a loss of power. Operations that were not completed have not
     * happened. After a loss of power the fate of each operation that was not synced is drawn, and of each name by
     * itself; one loss in three loses all of them.
     */
    void crash(boolean power) {
        Map<String, DiskFileContent> seen = copyOfDurable();
        Map<String, DiskFileContent> last = new TreeMap<>(seen);
        Map<DiskFileContent, DiskFileContent> synced = new LinkedHashMap<>();
        Map<DiskFileContent, List<DiskOperation>> unsynced = new LinkedHashMap<>();
        Map<DiskFileContent, DiskFileContent> live = new LinkedHashMap<>();
        boolean all = simulation.random().nextInt(3) == 0;
        for (DiskOperation step : operations) {
            if (step.completedAt > simulation.now()) {
                if (step.kind == DiskOperationKind.WRITE) {
                    unsynced.computeIfAbsent(step.file, file -> new ArrayList<>())
                            .add(step);
                }
                break;
            }
            DiskFileContent file =
                    step.file == null ? null : live.computeIfAbsent(step.file, f -> new DiskFileContent());
            switch (step.kind) {
                case CREATE -> seen.put(step.name, file);
                case WRITE -> {
                    file.write((int) step.position, step.bytes);
                    unsynced.computeIfAbsent(step.file, f -> new ArrayList<>()).add(step);
                }
                case TRUNCATE -> {
                    file.bytes = Arrays.copyOf(file.bytes, (int) step.position);
                    unsynced.computeIfAbsent(step.file, f -> new ArrayList<>()).add(step);
                }
                case SYNC -> {
                    synced.computeIfAbsent(step.file, f -> new DiskFileContent()).bytes = file.bytes.clone();
                    unsynced.remove(step.file);
                }
                case RENAME -> seen.put(step.newName, seen.remove(step.name));
                case DELETE -> seen.remove(step.name);
                default -> last = new TreeMap<>(seen);
            }
        }
        operations.clear();
        idleAt = 0;
        if (power && !all) {
            unsynced.forEach((file, writes) -> {
                DiskFileContent base = synced.computeIfAbsent(file, f -> new DiskFileContent());
                for (DiskOperation write : writes) {
                    drawWriteOutcome(base, write);
                }
            });
        }
        files = power ? drawSurvivingNames(last, seen, all, live, synced) : seen;
        durable = new TreeMap<>();
        files.forEach((name, file) -> durable.put(name, file.bytes.clone()));
    }

    /** Draws for each name that changed since the directory's last sync whether the change has survived. */
    private Map<String, DiskFileContent> drawSurvivingNames(
            Map<String, DiskFileContent> last,
            Map<String, DiskFileContent> seen,
            boolean noneLasts,
            Map<DiskFileContent, DiskFileContent> live,
            Map<DiskFileContent, DiskFileContent> synced) {
        Map<DiskFileContent, DiskFileContent> durable = new HashMap<>();
        live.forEach((file, now) -> durable.put(now, synced.getOrDefault(file, new DiskFileContent())));
        Map<String, DiskFileContent> lasting = new TreeMap<>();
        Set<String> either = new TreeSet<>(last.keySet());
        either.addAll(seen.keySet());
        for (String name : either) {
            boolean changed = last.get(name) != seen.get(name);
            DiskFileContent has = (changed && (noneLasts || simulation.random().nextBoolean()) ? last : seen).get(name);
            if (has != null) {
                lasting.put(name, durable.getOrDefault(has, has));
            }
        }
        return lasting;
    }

    private void drawWriteOutcome(DiskFileContent base, DiskOperation write) {
        int fate = simulation.random().nextInt(3);
        if (write.kind == DiskOperationKind.TRUNCATE) {
            base.bytes = fate == 0 ? base.bytes : Arrays.copyOf(base.bytes, (int) write.position);
        } else if (fate == 1) {
            base.write((int) write.position, write.bytes);
        } else if (fate == 2 && write.bytes.length > 0) {
            byte[] torn = Arrays.copyOf(write.bytes, write.bytes.length);
            Arrays.fill(torn, simulation.random().nextInt(torn.length), torn.length, (byte) 0);
            base.write((int) write.position, torn);
        }
    }

    private Map<String, DiskFileContent> copyOfDurable() {
        Map<String, DiskFileContent> files = new TreeMap<>();
        durable.forEach((name, bytes) -> {
            DiskFileContent file = new DiskFileContent();
            file.bytes = bytes.clone();
            files.put(name, file);
        });
        return files;
    }

    Volume volume(Path folder) {
        return new SimulatedDiskVolume(folder.toString() + '/');
    }

    private final class SimulatedDiskVolume implements Volume {
        private final String prefix;

        private SimulatedDiskVolume(String prefix) {
            this.prefix = prefix;
        }

        @Override
        public List<String> fileNames() {
            List<String> all = new ArrayList<>();
            for (String name : files.keySet()) {
                if (name.startsWith(prefix) && name.indexOf('/', prefix.length()) < 0) {
                    all.add(name.substring(prefix.length()));
                }
            }
            return all;
        }

        @Override
        public byte[] read(String name) throws IOException {
            DiskFileContent file = files.get(prefix + name);
            if (file == null) {
                throw new NoSuchFileException(name);
            }
            return file.bytes.clone();
        }

        @Override
        public WritableFile create(String name) throws IOException {
            checkSpace();
            DiskFileContent file = new DiskFileContent();
            files.put(prefix + name, file);
            addOperation(DiskOperationKind.CREATE, file, prefix + name, null, 0, null);
            return new SimulatedDiskFile(file);
        }

        @Override
        public void rename(String from, String to) throws IOException {
            checkSpace();
            files.put(prefix + to, files.remove(prefix + from));
            addOperation(DiskOperationKind.RENAME, null, prefix + from, prefix + to, 0, null);
        }

        @Override
        public void syncDirectory() throws IOException {
            checkSpace();
            addOperation(DiskOperationKind.SYNC_DIRECTORY, null, null, null, 0, null);
        }

        @Override
        public void delete(String name) {
            if (files.remove(prefix + name) != null) {
                addOperation(DiskOperationKind.DELETE, null, prefix + name, null, 0, null);
            }
        }
    }

    private final class SimulatedDiskFile implements Volume.WritableFile {
        private final DiskFileContent file;
        private int position;

        private SimulatedDiskFile(DiskFileContent file) {
            this.file = file;
        }

        @Override
        public void write(ByteBuffer bytes) throws IOException {
            checkSpace();
            ByteArrayOutputStream taken = new ByteArrayOutputStream();
            while (bytes.hasRemaining()) {
                taken.write(bytes.get());
            }
            file.write(position, taken.toByteArray());
            addOperation(DiskOperationKind.WRITE, file, null, null, position, taken.toByteArray());
            position += taken.size();
        }

        @Override
        public void sync() throws IOException {
            checkSpace();
            addOperation(DiskOperationKind.SYNC, file, null, null, 0, null);
        }

        @Override
        public void truncate(long length) {
            file.bytes = Arrays.copyOf(file.bytes, (int) length);
            addOperation(DiskOperationKind.TRUNCATE, file, null, null, length, null);
            position = (int) length;
        }

        @Override
        public void close() {
            // no resource
        }
    }
}
