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
 * A folder in memory that tells of each of its steps, so that all disks are tried which a kill or a loss of
 * power after any of them may leave: each unsynced write kept, lost or torn, each unsynced name kept or lost
 * by itself.
 */
public final class CrashSimulatingVolume implements Volume {
    private static final int MAX_VARIED_WRITES = 4;

    /** A file, whatever its name; {@code pending}: what no sync has covered. */
    private static final class SimulatedFile {
        private byte[] bytes = {};
        private byte[] synced = {};
        private final List<UnsyncedWrite> pending = new ArrayList<>();

        private SimulatedFile() {}

        private SimulatedFile(byte[] bytes) {
            this.bytes = bytes;
            synced = bytes;
        }
    }

    /** {@code bytes} is null for a cut of the file. */
    private record UnsyncedWrite(int offset, byte[] bytes) {}

    private final Map<String, SimulatedFile> names = new TreeMap<>();
    private final Map<String, SimulatedFile> syncedNames = new TreeMap<>();
    /** What a name has meant since the last sync of the folder. */
    private final Map<String, Set<SimulatedFile>> unsyncedBindings = new LinkedHashMap<>();

    private boolean full;
    private boolean unreadable;
    /** Hears of each step that is over. */
    private Runnable stepListener = () -> {};

    public CrashSimulatingVolume() {}

    private CrashSimulatingVolume(Map<String, SimulatedFile> names) {
        this.names.putAll(names);
        syncedNames.putAll(names);
    }

    /** From now on {@code heard} is told of each step that is over, and may ask what a crash would leave. */
    public void onStep(Runnable heard) {
        stepListener = heard;
    }

    public void setFull(boolean isFull) {
        full = isFull;
    }

    public void setUnreadable(boolean isUnreadable) {
        unreadable = isUnreadable;
    }

    private void checkSpace() throws IOException {
        if (full) {
            throw new IOException("No space left on device");
        }
    }

    // ---- What a crash may leave ----------------------------------------------------------------------
    /** What is there after the process was killed. */
    public CrashSimulatingVolume imageAfterKill() {
        Map<SimulatedFile, SimulatedFile> copies = new HashMap<>();
        Map<String, SimulatedFile> left = new TreeMap<>();
        names.forEach((name, file) ->
                left.put(name, copies.computeIfAbsent(file, f -> new SimulatedFile(f.bytes.clone()))));
        return new CrashSimulatingVolume(left);
    }

    /** All that may be there after the power was lost; returns how many that were. */
    public int forEachImageAfterPowerLoss(Consumer<CrashSimulatingVolume> left) {
        List<String> open = new ArrayList<>(unsyncedBindings.keySet());
        return names(new TreeMap<>(syncedNames), open, 0, left);
    }

    private int names(
            Map<String, SimulatedFile> chosen, List<String> open, int at, Consumer<CrashSimulatingVolume> left) {
        if (at == open.size()) {
            List<SimulatedFile> files = new ArrayList<>(new HashSet<>(chosen.values()));
            return enumerateContents(chosen, files, 0, new HashMap<>(), left);
        }
        int many = 0;
        String name = open.get(at);
        Set<SimulatedFile> may = new HashSet<>(unsyncedBindings.get(name));
        may.add(syncedNames.get(name));
        for (SimulatedFile one : may) {
            Map<String, SimulatedFile> next = new TreeMap<>(chosen);
            next.remove(name);
            if (one != null) {
                next.put(name, one);
            }
            many += names(next, open, at + 1, left);
        }
        return many;
    }

    private int enumerateContents(
            Map<String, SimulatedFile> chosen,
            List<SimulatedFile> files,
            int at,
            Map<SimulatedFile, SimulatedFile> drawn,
            Consumer<CrashSimulatingVolume> left) {
        if (at == files.size()) {
            Map<String, SimulatedFile> image = new TreeMap<>();
            chosen.forEach((name, file) -> image.put(name, drawn.get(file)));
            left.accept(new CrashSimulatingVolume(image));
            return 1;
        }
        SimulatedFile file = files.get(at);
        int writes = file.pending.size();
        int free = Math.min(MAX_VARIED_WRITES, writes);
        int many = 0;
        for (int fates = 0; fates < Math.pow(3, free); fates++) {
            byte[] bytes = file.synced;
            int rest = fates;
            for (int i = 0; i < writes; i++) {
                int fate = 0;
                if (i >= writes - free) {
                    fate = rest % 3;
                    rest /= 3;
                }
                bytes = applyFate(bytes, file.pending.get(i), fate);
            }
            drawn.put(file, new SimulatedFile(bytes));
            many += enumerateContents(chosen, files, at + 1, drawn, left);
        }
        return many;
    }

    private static byte[] applyFate(byte[] before, UnsyncedWrite write, int fate) {
        if (write.bytes == null) {
            return fate == 1 ? before : Arrays.copyOf(before, write.offset);
        }
        byte[] some = write.bytes.clone();
        Arrays.fill(some, fate == 2 ? some.length / 2 : some.length, some.length, (byte) 0);
        return fate == 1 ? before : overwrite(before, write.offset, some);
    }

    private static byte[] overwrite(byte[] before, int at, byte[] some) {
        byte[] after = Arrays.copyOf(before, Math.max(before.length, at + some.length));
        System.arraycopy(some, 0, after, at, some.length);
        return after;
    }

    // ---- The folder ------------------------------------------------------------------------------------
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
            file.pending.add(new UnsyncedWrite(0, null));
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
            byte[] some = new byte[bytes.remaining()];
            bytes.get(some);
            file.bytes = overwrite(file.bytes, position, some);
            file.pending.add(new UnsyncedWrite(position, some));
            position += some.length;
            stepListener.run();
        }

        @Override
        public void sync() throws IOException {
            checkSpace();
            file.synced = file.bytes;
            file.pending.clear();
            stepListener.run();
        }

        @Override
        public void truncate(long length) {
            file.bytes = Arrays.copyOf(file.bytes, (int) length);
            file.pending.add(new UnsyncedWrite((int) length, null));
            position = (int) length;
            stepListener.run();
        }

        @Override
        public void close() {
            // nothing is held
        }
    }
}
