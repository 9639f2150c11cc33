package reedmux.disk;

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
public final class CrashVolume implements Volume {
    private static final int MOST_WRITES = 4;

    /** A file, whatever its name; {@code pending}: what no sync has covered. */
    private static final class Content {
        private byte[] bytes = {};
        private byte[] synced = {};
        private final List<Write> pending = new ArrayList<>();

        private Content() {}

        private Content(byte[] bytes) {
            this.bytes = bytes;
            synced = bytes;
        }
    }

    /** {@code bytes} is null for a cut of the file. */
    private record Write(int at, byte[] bytes) {}

    private final Map<String, Content> names = new TreeMap<>();
    private final Map<String, Content> lasting = new TreeMap<>();
    /** What a name has meant since the last sync of the folder. */
    private final Map<String, Set<Content>> meant = new LinkedHashMap<>();

    private boolean full;
    private boolean unreadable;
    /** Hears of each step that is over. */
    private Runnable stepped = () -> {};

    public CrashVolume() {}

    private CrashVolume(Map<String, Content> names) {
        this.names.putAll(names);
        lasting.putAll(names);
    }

    /** From now on {@code heard} is told of each step that is over, and may ask what a crash would leave. */
    public void onStep(Runnable heard) {
        stepped = heard;
    }

    public void full(boolean isFull) {
        full = isFull;
    }

    public void unreadable(boolean isUnreadable) {
        unreadable = isUnreadable;
    }

    private void room() throws IOException {
        if (full) {
            throw new IOException("No space left on device");
        }
    }

    // ---- What a crash may leave ----------------------------------------------------------------------
    /** What is there after the process was killed. */
    public CrashVolume killed() {
        Map<Content, Content> copies = new HashMap<>();
        Map<String, Content> left = new TreeMap<>();
        names.forEach((name, file) -> left.put(name, copies.computeIfAbsent(file, f -> new Content(f.bytes.clone()))));
        return new CrashVolume(left);
    }

    /** All that may be there after the power was lost; returns how many that were. */
    public int powerLost(Consumer<CrashVolume> left) {
        List<String> open = new ArrayList<>(meant.keySet());
        return names(new TreeMap<>(lasting), open, 0, left);
    }

    private int names(Map<String, Content> chosen, List<String> open, int at, Consumer<CrashVolume> left) {
        if (at == open.size()) {
            List<Content> files = new ArrayList<>(new HashSet<>(chosen.values()));
            return contents(chosen, files, 0, new HashMap<>(), left);
        }
        int many = 0;
        String name = open.get(at);
        Set<Content> may = new HashSet<>(meant.get(name));
        may.add(lasting.get(name));
        for (Content one : may) {
            Map<String, Content> next = new TreeMap<>(chosen);
            next.remove(name);
            if (one != null) {
                next.put(name, one);
            }
            many += names(next, open, at + 1, left);
        }
        return many;
    }

    private int contents(
            Map<String, Content> chosen,
            List<Content> files,
            int at,
            Map<Content, Content> drawn,
            Consumer<CrashVolume> left) {
        if (at == files.size()) {
            Map<String, Content> image = new TreeMap<>();
            chosen.forEach((name, file) -> image.put(name, drawn.get(file)));
            left.accept(new CrashVolume(image));
            return 1;
        }
        Content file = files.get(at);
        int writes = file.pending.size();
        int free = Math.min(MOST_WRITES, writes);
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
                bytes = fated(bytes, file.pending.get(i), fate);
            }
            drawn.put(file, new Content(bytes));
            many += contents(chosen, files, at + 1, drawn, left);
        }
        return many;
    }

    private static byte[] fated(byte[] before, Write write, int fate) {
        if (write.bytes == null) {
            return fate == 1 ? before : Arrays.copyOf(before, write.at);
        }
        byte[] some = write.bytes.clone();
        Arrays.fill(some, fate == 2 ? some.length / 2 : some.length, some.length, (byte) 0);
        return fate == 1 ? before : put(before, write.at, some);
    }

    private static byte[] put(byte[] before, int at, byte[] some) {
        byte[] after = Arrays.copyOf(before, Math.max(before.length, at + some.length));
        System.arraycopy(some, 0, after, at, some.length);
        return after;
    }

    // ---- The folder ------------------------------------------------------------------------------------
    private void means(String name, Content file) {
        meant.computeIfAbsent(name, n -> new HashSet<>()).add(file);
        if (file == null) {
            names.remove(name);
        } else {
            names.put(name, file);
        }
    }

    @Override
    public List<String> names() {
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
    public void place(String name, byte[] bytes) {
        Content file = new Content(bytes);
        names.put(name, file);
        lasting.put(name, file);
    }

    @Override
    public File create(String name) throws IOException {
        room();
        Content file = names.get(name);
        if (file == null) {
            file = new Content();
            means(name, file);
        } else { // the same file, which another name may have, too
            file.bytes = new byte[0];
            file.pending.add(new Write(0, null));
        }
        stepped.run();
        return new Open(file);
    }

    @Override
    public void rename(String from, String to) throws IOException {
        room();
        Content file = names.get(from);
        means(from, null);
        means(to, file);
        stepped.run();
    }

    @Override
    public void forceNames() throws IOException {
        room();
        lasting.clear();
        lasting.putAll(names);
        meant.clear();
        stepped.run();
    }

    @Override
    public void delete(String name) {
        if (names.containsKey(name)) {
            means(name, null);
            stepped.run();
        }
    }

    private final class Open implements Volume.File {
        private final Content file;
        private int position;

        private Open(Content file) {
            this.file = file;
        }

        @Override
        public void write(ByteBuffer bytes) throws IOException {
            room();
            byte[] some = new byte[bytes.remaining()];
            bytes.get(some);
            file.bytes = put(file.bytes, position, some);
            file.pending.add(new Write(position, some));
            position += some.length;
            stepped.run();
        }

        @Override
        public void force() throws IOException {
            room();
            file.synced = file.bytes;
            file.pending.clear();
            stepped.run();
        }

        @Override
        public void truncate(long length) {
            file.bytes = Arrays.copyOf(file.bytes, (int) length);
            file.pending.add(new Write((int) length, null));
            position = (int) length;
            stepped.run();
        }

        @Override
        public void close() {
            // nothing is held
        }
    }
}
