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
 * A folder in memory that enumerates what a crash may leave. After each of its steps a listener may ask for the image
 * after a kill of the process, which has everything, and for all images after a loss of power: each unsynced write is
 * kept, lost or torn, and each unsynced name is kept or lost, each by itself.
 */
public final class CrashSimulatingVolume implements Volume {
    /** Of a file's unsynced writes so many last ones are varied, and all before them are kept. */
    private static final int MAX_VARIED_WRITES = 4;

    /** What a loss of power may do to an unsynced write. */
    private static final int KEPT = 0;

    private static final int LOST = 1;
    private static final int TORN = 2;
    private static final int FATES = 3;

    /** A file, whatever its names; {@code unsynced}: the writes that no sync has covered. */
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

    /** A write at an offset; {@code bytes} is null where the file was cut there. */
    private record UnsyncedWrite(int offset, byte[] bytes) {}

    private final Map<String, SimulatedFile> names = new TreeMap<>();
    private final Map<String, SimulatedFile> syncedNames = new TreeMap<>();
    /** The files that a name was given to since the last sync of the folder; null for none. */
    private final Map<String, Set<SimulatedFile>> unsyncedBindings = new LinkedHashMap<>();

    private boolean full;
    private boolean unreadable;
    private Runnable stepListener = () -> {};

    /** An empty folder. */
    public CrashSimulatingVolume() {}

    private CrashSimulatingVolume(Map<String, SimulatedFile> names) {
        this.names.putAll(names);
        syncedNames.putAll(names);
    }

    /** From now on {@code listener} runs after each step, and may ask what a crash would leave. */
    public void onStep(Runnable listener) {
        stepListener = listener;
    }

    /** Whether everything that takes space fails from now on. */
    public void setFull(boolean isFull) {
        full = isFull;
    }

    /** Whether reading fails from now on. */
    public void setUnreadable(boolean isUnreadable) {
        unreadable = isUnreadable;
    }

    private void checkSpace() throws IOException {
        if (full) {
            throw new IOException("No space left on device");
        }
    }

    // ---- What a crash may leave --------------------------------------------------------------------

    /** What is there after the process was killed. */
    public CrashSimulatingVolume imageAfterKill() {
        Map<SimulatedFile, SimulatedFile> copies = new HashMap<>();
        Map<String, SimulatedFile> image = new TreeMap<>();
        names.forEach((name, file) ->
                image.put(name, copies.computeIfAbsent(file, f -> new SimulatedFile(f.bytes.clone()))));
        return new CrashSimulatingVolume(image);
    }

    /** Hands on every image that may be there after a loss of power; returns how many these were. */
    public int forEachImageAfterPowerLoss(Consumer<CrashSimulatingVolume> consumer) {
        List<String> open = new ArrayList<>(unsyncedBindings.keySet());
        return enumerateNames(new TreeMap<>(syncedNames), open, 0, consumer);
    }

    /** Binds the names of {@code open} from {@code index} on in all ways, beside those that {@code bound} has. */
    private int enumerateNames(
            Map<String, SimulatedFile> bound, List<String> open, int index, Consumer<CrashSimulatingVolume> consumer) {
        if (index == open.size()) {
            List<SimulatedFile> files = new ArrayList<>(new HashSet<>(bound.values()));
            return enumerateContents(bound, files, 0, new HashMap<>(), consumer);
        }
        int images = 0;
        String name = open.get(index);
        Set<SimulatedFile> candidates = new HashSet<>(unsyncedBindings.get(name));
        candidates.add(syncedNames.get(name));
        for (SimulatedFile candidate : candidates) {
            Map<String, SimulatedFile> next = new TreeMap<>(bound);
            next.remove(name);
            if (candidate != null) {
                next.put(name, candidate);
            }
            images += enumerateNames(next, open, index + 1, consumer);
        }
        return images;
    }

    /** Varies the contents of {@code files} from {@code index} on, beside those that {@code contents} has. */
    private int enumerateContents(
            Map<String, SimulatedFile> bound,
            List<SimulatedFile> files,
            int index,
            Map<SimulatedFile, SimulatedFile> contents,
            Consumer<CrashSimulatingVolume> consumer) {
        if (index == files.size()) {
            Map<String, SimulatedFile> image = new TreeMap<>();
            bound.forEach((name, file) -> image.put(name, contents.get(file)));
            consumer.accept(new CrashSimulatingVolume(image));
            return 1;
        }
        SimulatedFile file = files.get(index);
        int varied = Math.min(MAX_VARIED_WRITES, file.unsynced.size());
        int images = 0;
        for (int fates = 0; fates < Math.pow(FATES, varied); fates++) {
            contents.put(file, new SimulatedFile(bytesAfter(file, varied, fates)));
            images += enumerateContents(bound, files, index + 1, contents, consumer);
        }
        return images;
    }

    /** A file's bytes after a loss of power; {@code fates} has a digit to the base of {@link #FATES} a varied write. */
    private static byte[] bytesAfter(SimulatedFile file, int varied, int fates) {
        byte[] bytes = file.synced;
        int rest = fates;
        int firstVaried = file.unsynced.size() - varied;
        for (int i = 0; i < file.unsynced.size(); i++) {
            int fate = KEPT;
            if (i >= firstVaried) {
                fate = rest % FATES;
                rest /= FATES;
            }
            bytes = applyFate(bytes, file.unsynced.get(i), fate);
        }
        return bytes;
    }

    private static byte[] applyFate(byte[] before, UnsyncedWrite write, int fate) {
        if (fate == LOST) {
            return before;
        } else if (write.bytes == null) {
            return Arrays.copyOf(before, write.offset);
        }
        byte[] written = write.bytes.clone();
        if (fate == TORN) {
            Arrays.fill(written, written.length / 2, written.length, (byte) 0);
        }
        return overwrite(before, write.offset, written);
    }

    private static byte[] overwrite(byte[] before, int offset, byte[] written) {
        byte[] after = Arrays.copyOf(before, Math.max(before.length, offset + written.length));
        System.arraycopy(written, 0, after, offset, written.length);
        return after;
    }

    // ---- The folder --------------------------------------------------------------------------------

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

    /** Puts a file there as it is, synced. */
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
        } else { // the same file, which another name may have, too
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
            // nothing is held
        }
    }
}
