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
 * A simulated disk. Data is durable once a sync covers it. When the machine loses power, each write since the last sync
 * survives, is lost or is torn. File names are durable once their directory is synced. The disk records all operations
 * since the last crash with their completion times, so that a process crash or a power loss can happen between any two
 * of them.
 */
final class SimulatedDisk {
    private static final long WRITE_MICROS = 60;
    private final ClusterSimulation simulation;
    /** Current files by name, as processes see them, including data that is not synced. */
    private Map<String, DiskFileContent> files = new TreeMap<>();

    private Map<String, byte[]> durable = new TreeMap<>();
    private final List<DiskOperation> operations = new ArrayList<>();
    private long idleAt;
    private long syncMicros = 500;
    private boolean full;
    private long hungUntil;

    /** The content of a file; renaming or deleting a file changes names only. */
    private static final class DiskFileContent {
        private byte[] bytes = {};

        private void write(int position, byte[] data) {
            int end = position + data.length;
            bytes = bytes.length >= end ? bytes : Arrays.copyOf(bytes, end);
            System.arraycopy(data, 0, bytes, position, data.length);
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

    /** Returns the time in microseconds at which all operations submitted so far are completed, at least now. */
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
            DiskOperationKind kind, DiskFileContent file, String name, String newName, long position, byte[] bytes) {
        boolean syncs = kind == DiskOperationKind.SYNC || kind == DiskOperationKind.SYNC_DIRECTORY;
        idleAt = Math.max(Math.max(idleAt, simulation.now()), hungUntil) + (syncs ? syncMicros : WRITE_MICROS);
        DiskOperation operation = new DiskOperation(kind, file, name, newName, position, bytes, idleAt);
        operations.add(operation);
        return operation;
    }

    private void checkSpace() throws IOException {
        if (full) {
            throw new IOException("No space left on device");
        }
    }

    /** Erases all files, including durable ones, as when the disk is lost. */
    void wipe() {
        files = new TreeMap<>();
        durable = new TreeMap<>();
        operations.clear();
    }

    /**
     * Applies a process crash, or a power loss if {@code powerLost}. Operations that were not completed by now have no
     * effect, except that a power loss may persist the first of these if it is a write. At a power loss the outcome of
     * each unsynced operation, and of each changed name, is drawn independently; one power loss in three discards all
     * of them.
     */
    void crash(boolean powerLost) {
        Map<String, DiskFileContent> current = copyOfDurable();
        Map<String, DiskFileContent> lastSynced = new TreeMap<>(current);
        Map<DiskFileContent, DiskFileContent> synced = new LinkedHashMap<>();
        Map<DiskFileContent, List<DiskOperation>> unsynced = new LinkedHashMap<>();
        Map<DiskFileContent, DiskFileContent> live = new LinkedHashMap<>();
        boolean losesAllUnsynced = simulation.random().nextInt(3) == 0;
        for (DiskOperation operation : operations) {
            if (operation.completedAt > simulation.now()) {
                if (operation.kind == DiskOperationKind.WRITE) {
                    unsynced.computeIfAbsent(operation.file, file -> new ArrayList<>())
                            .add(operation);
                }
                break;
            }
            DiskFileContent file =
                    operation.file == null ? null : live.computeIfAbsent(operation.file, f -> new DiskFileContent());
            switch (operation.kind) {
                case CREATE -> current.put(operation.name, file);
                case WRITE -> {
                    file.write((int) operation.position, operation.bytes);
                    unsynced.computeIfAbsent(operation.file, f -> new ArrayList<>())
                            .add(operation);
                }
                case TRUNCATE -> {
                    file.bytes = Arrays.copyOf(file.bytes, (int) operation.position);
                    unsynced.computeIfAbsent(operation.file, f -> new ArrayList<>())
                            .add(operation);
                }
                case SYNC -> {
                    synced.computeIfAbsent(operation.file, f -> new DiskFileContent()).bytes = file.bytes.clone();
                    unsynced.remove(operation.file);
                }
                case RENAME -> current.put(operation.newName, current.remove(operation.name));
                case DELETE -> current.remove(operation.name);
                default -> lastSynced = new TreeMap<>(current);
            }
        }
        operations.clear();
        idleAt = 0;
        if (powerLost && !losesAllUnsynced) {
            unsynced.forEach((file, writes) -> {
                DiskFileContent base = synced.computeIfAbsent(file, f -> new DiskFileContent());
                for (DiskOperation write : writes) {
                    drawWriteOutcome(base, write);
                }
            });
        }
        files = powerLost ? drawSurvivingNames(lastSynced, current, losesAllUnsynced, live, synced) : current;
        durable = new TreeMap<>();
        files.forEach((name, file) -> durable.put(name, file.bytes.clone()));
    }

    /** Draws for each name that changed since the last sync of the directory whether the change survives. */
    private Map<String, DiskFileContent> drawSurvivingNames(
            Map<String, DiskFileContent> lastSynced,
            Map<String, DiskFileContent> current,
            boolean losesAllUnsynced,
            Map<DiskFileContent, DiskFileContent> live,
            Map<DiskFileContent, DiskFileContent> synced) {
        Map<DiskFileContent, DiskFileContent> durable = new HashMap<>();
        live.forEach((file, now) -> durable.put(now, synced.getOrDefault(file, new DiskFileContent())));
        Map<String, DiskFileContent> surviving = new TreeMap<>();
        Set<String> names = new TreeSet<>(lastSynced.keySet());
        names.addAll(current.keySet());
        for (String name : names) {
            boolean changed = lastSynced.get(name) != current.get(name);
            DiskFileContent file = (changed
                                    && (losesAllUnsynced || simulation.random().nextBoolean())
                            ? lastSynced
                            : current)
                    .get(name);
            if (file != null) {
                surviving.put(name, durable.getOrDefault(file, file));
            }
        }
        return surviving;
    }

    private void drawWriteOutcome(DiskFileContent base, DiskOperation write) {
        int outcome = simulation.random().nextInt(3);
        if (write.kind == DiskOperationKind.TRUNCATE) {
            base.bytes = outcome == 0 ? base.bytes : Arrays.copyOf(base.bytes, (int) write.position);
        } else if (outcome == 1) {
            base.write((int) write.position, write.bytes);
        } else if (outcome == 2 && write.bytes.length > 0) {
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
            ByteArrayOutputStream data = new ByteArrayOutputStream();
            while (bytes.hasRemaining()) {
                data.write(bytes.get());
            }
            file.write(position, data.toByteArray());
            addOperation(DiskOperationKind.WRITE, file, null, null, position, data.toByteArray());
            position += data.size();
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
            // the simulated file holds no resource
        }
    }
}
