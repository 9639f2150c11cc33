package reedmux.common.disk;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.NoSuchFileException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;

/**
 * An in-memory directory that enumerates the contents that a crash may leave behind. After each operation a listener
 * may request the image after the process is killed, which contains everything, and all images after a power loss: each
 * unsynced write is independently kept, lost or torn, and each unsynced name is independently kept or lost.
 */
public final class CrashSimulatingVolume implements Volume {
    /** Only this many of the last unsynced writes of a file are varied; all earlier ones are kept. */
    private static final int MAX_VARIED_WRITES = 4;

    /** The outcomes of a power loss for an unsynced write. */
    private static final int KEPT = 0;

    private static final int LOST = 1;
    private static final int TORN = 2;
    private static final int OUTCOMES = 3;

    /** A file, independent of its names. {@code unsynced} holds the writes that no sync has covered. */
    private static final class SimulatedFile {
        private byte[] bytes = {};
        private byte[] synced = {};
        private final List<UnsyncedWrite> unsynced = new ArrayList<>();

        private SimulatedFile() {}

        private SimulatedFile(byte[] bytes) {
            this.bytes = bytes;
            synced = bytes;
        }
    }

    /** A write at an offset, or a truncation at that offset if {@code bytes} is null. */
    private record UnsyncedWrite(int offset, byte[] bytes) {}

    private final Map<String, SimulatedFile> names = new TreeMap<>();
    private final Map<String, SimulatedFile> syncedNames = new TreeMap<>();
    /** The files that each name was bound to since the last sync of the directory; null stands for a deletion. */
    private final Map<String, Set<SimulatedFile>> unsyncedBindings = new LinkedHashMap<>();

    private boolean full;
    private boolean unreadable;
    private Runnable stepListener = () -> {};

    /** Creates an empty directory. */
    public CrashSimulatingVolume() {}

    private CrashSimulatingVolume(Map<String, SimulatedFile> names) {
        this.names.putAll(names);
        syncedNames.putAll(names);
    }

    /** Sets the listener that runs after each modification and may request crash images. */
    public void onStep(Runnable listener) {
        stepListener = listener;
    }

    /** Sets whether operations that need disk space fail. */
    public void setFull(boolean isFull) {
        full = isFull;
    }

    /** Sets whether reads fail. */
    public void setUnreadable(boolean isUnreadable) {
        unreadable = isUnreadable;
    }

    private void checkSpace() throws IOException {
        if (full) {
            throw new IOException("No space left on device");
        }
    }

    // ---- Crash images ------------------------------------------------------------------------------

    /** Returns the contents after the process was killed: every write and name, synced or not. */
    public CrashSimulatingVolume imageAfterKill() {
        Map<SimulatedFile, SimulatedFile> copies = new HashMap<>();
        Map<String, SimulatedFile> image = new TreeMap<>();
        names.forEach((name, file) ->
                image.put(name, copies.computeIfAbsent(file, f -> new SimulatedFile(f.bytes.clone()))));
        return new CrashSimulatingVolume(image);
    }

    /** Passes every possible image after a power loss to {@code consumer}; returns the number of images. */
    public int forEachImageAfterPowerLoss(Consumer<CrashSimulatingVolume> consumer) {
        List<String> unsyncedNames = new ArrayList<>(unsyncedBindings.keySet());
        return enumerateNames(new TreeMap<>(syncedNames), unsyncedNames, 0, consumer);
    }

    /**
     * Enumerates all bindings of the names of {@code unsyncedNames} from {@code index} on, in addition to the bindings
     * in {@code boundNames}.
     */
    private int enumerateNames(
            Map<String, SimulatedFile> boundNames,
            List<String> unsyncedNames,
            int index,
            Consumer<CrashSimulatingVolume> consumer) {
        if (index == unsyncedNames.size()) {
            List<SimulatedFile> files = new ArrayList<>(new HashSet<>(boundNames.values()));
            return enumerateContents(boundNames, files, 0, new HashMap<>(), consumer);
        }
        int images = 0;
        String name = unsyncedNames.get(index);
        Set<SimulatedFile> candidates = new HashSet<>(unsyncedBindings.get(name));
        candidates.add(syncedNames.get(name));
        for (SimulatedFile candidate : candidates) {
            Map<String, SimulatedFile> next = new TreeMap<>(boundNames);
            next.remove(name);
            if (candidate != null) {
                next.put(name, candidate);
            }
            images += enumerateNames(next, unsyncedNames, index + 1, consumer);
        }
        return images;
    }

    /** Enumerates the contents of {@code files} from {@code index} on, in addition to those in {@code contents}. */
    private int enumerateContents(
            Map<String, SimulatedFile> boundNames,
            List<SimulatedFile> files,
            int index,
            Map<SimulatedFile, SimulatedFile> contents,
            Consumer<CrashSimulatingVolume> consumer) {
        if (index == files.size()) {
            Map<String, SimulatedFile> image = new TreeMap<>();
            boundNames.forEach((name, file) -> image.put(name, contents.get(file)));
            consumer.accept(new CrashSimulatingVolume(image));
            return 1;
        }
        SimulatedFile file = files.get(index);
        int variedWrites = Math.min(MAX_VARIED_WRITES, file.unsynced.size());
        int images = 0;
        for (int outcomes = 0; outcomes < Math.pow(OUTCOMES, variedWrites); outcomes++) {
            contents.put(file, new SimulatedFile(bytesAfterPowerLoss(file, variedWrites, outcomes)));
            images += enumerateContents(boundNames, files, index + 1, contents, consumer);
        }
        return images;
    }

    /**
     * Returns the content of a file after a power loss; {@code outcomes} has one digit in base {@link #OUTCOMES} for
     * each varied write.
     */
    private static byte[] bytesAfterPowerLoss(SimulatedFile file, int variedWrites, int outcomes) {
        byte[] bytes = file.synced;
        int rest = outcomes;
        int firstVariedWrite = file.unsynced.size() - variedWrites;
        for (int i = 0; i < file.unsynced.size(); i++) {
            int outcome = KEPT;
            if (i >= firstVariedWrite) {
                outcome = rest % OUTCOMES;
                rest /= OUTCOMES;
            }
            bytes = applyOutcome(bytes, file.unsynced.get(i), outcome);
        }
        return bytes;
    }

    private static byte[] applyOutcome(byte[] before, UnsyncedWrite write, int outcome) {
        if (outcome == LOST) {
            return before;
        } else if (write.bytes == null) {
            return Arrays.copyOf(before, write.offset);
        }
        byte[] written = write.bytes.clone();
        if (outcome == TORN) {
            Arrays.fill(written, written.length / 2, written.length, (byte) 0);
        }
        return overwrite(before, write.offset, written);
    }

    private static byte[] overwrite(byte[] before, int offset, byte[] written) {
        byte[] after = Arrays.copyOf(before, Math.max(before.length, offset + written.length));
        System.arraycopy(written, 0, after, offset, written.length);
        return after;
    }

    // ---- Directory operations ----------------------------------------------------------------------

    private void bindName(String name, SimulatedFile file) {
        unsyncedBindings.computeIfAbsent(name, n -> new HashSet<>()).add(file);
        if (file == null) {
            names.remove(name);
        } else {
            names.put(name, file);
        }
    }

    @Override
    public List<String> fileNames() {
        return List.copyOf(names.keySet());
    }

    @Override
    public byte[] read(String name) throws IOException {
        if (unreadable) {
            throw new IOException("Input/output error");
        } else if (!names.containsKey(name)) {
            throw new NoSuchFileException(name);
        }
        return names.get(name).bytes.clone();
    }

    /** Adds a file whose name and content are synced. */
    public void putSyncedFile(String name, byte[] bytes) {
        SimulatedFile file = new SimulatedFile(bytes);
        names.put(name, file);
        syncedNames.put(name, file);
    }

    @Override
    public WritableFile create(String name) throws IOException {
        checkSpace();
        SimulatedFile file = names.get(name);
        if (file == null) {
            file = new SimulatedFile();
            bindName(name, file);
        } else { // the same file, which may have another name as well
            file.bytes = new byte[0];
            file.unsynced.add(new UnsyncedWrite(0, null));
        }
        stepListener.run();
        return new SimulatedFileHandle(file);
    }

    @Override
    public void rename(String from, String to) throws IOException {
        checkSpace();
        SimulatedFile file = names.get(from);
        bindName(from, null);
        bindName(to, file);
        stepListener.run();
    }

    @Override
    public void syncDirectory() throws IOException {
        checkSpace();
        syncedNames.clear();
        syncedNames.putAll(names);
        unsyncedBindings.clear();
        stepListener.run();
    }

    @Override
    public void delete(String name) {
        if (names.containsKey(name)) {
            bindName(name, null);
            stepListener.run();
        }
    }

    private final class SimulatedFileHandle implements Volume.WritableFile {
        private final SimulatedFile file;
        private int position;

        private SimulatedFileHandle(SimulatedFile file) {
            this.file = file;
        }

        @Override
        public void write(ByteBuffer bytes) throws IOException {
            checkSpace();
            byte[] written = new byte[bytes.remaining()];
            bytes.get(written);
            file.bytes = overwrite(file.bytes, position, written);
            file.unsynced.add(new UnsyncedWrite(position, written));
            position += written.length;
            stepListener.run();
        }

        @Override
        public void sync() throws IOException {
            checkSpace();
            file.synced = file.bytes;
            file.unsynced.clear();
            stepListener.run();
        }

        @Override
        public void truncate(long length) {
            file.bytes = Arrays.copyOf(file.bytes, (int) length);
            file.unsynced.add(new UnsyncedWrite((int) length, null));
            position = (int) length;
            stepListener.run();
        }

        @Override
        public void close() {
            // no resources to release
        }
    }
}
