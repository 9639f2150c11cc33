package reedmux.lab.world;

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
import reedmux.disk.Volume;

/**
 * A disk. What a sync has covered stays; after a loss of power each later write has survived, is missing or
 * is torn, and names last once their file or folder was synced. It keeps what was done since the last loss,
 * with the time at which each step was over, so that a process or the power may end between any two.
 */
final class SimDisk {
    private static final long WRITE = 60;
    private final World world;
    /** As a process sees it, and as it was after the last loss. */
    private Map<String, Content> names = new TreeMap<>();

    private Map<String, byte[]> kept = new TreeMap<>();
    private final List<Step> steps = new ArrayList<>();
    private long clock;
    private long sync = 500;
    private boolean full;
    private long hangsUntil;

    /** A file's bytes, whatever its name. */
    private static final class Content {
        private byte[] bytes = {};

        private void put(int at, byte[] some) {
            int end = at + some.length;
            bytes = bytes.length >= end ? bytes : Arrays.copyOf(bytes, end);
            System.arraycopy(some, 0, bytes, at, some.length);
        }
    }

    private enum Kind {
        CREATE,
        WRITE,
        TRUNCATE,
        SYNC,
        RENAME,
        DELETE,
        SYNC_NAMES
    }

    private record Step(Kind kind, Content file, String name, String other, long at, byte[] bytes, long over) {}

    SimDisk(World world) {
        this.world = world;
    }

    /** When what it was given is done with. */
    long clock() {
        return Math.max(clock, world.now());
    }

    void syncTakes(long micros) {
        sync = micros;
    }

    void full(boolean isFull) {
        full = isFull;
    }

    void hangsUntil(long time) {
        hangsUntil = time;
    }

    private Step step(Kind kind, Content file, String name, String other, long at, byte[] bytes) {
        boolean syncs = kind == Kind.SYNC || kind == Kind.SYNC_NAMES;
        clock = Math.max(Math.max(clock, world.now()), hangsUntil) + (syncs ? sync : WRITE);
        Step step = new Step(kind, file, name, other, at, bytes, clock);
        steps.add(step);
        return step;
    }

    private void check() throws IOException {
        if (full) {
            throw new IOException("No space left on device");
        }
    }

    /** All is lost. */
    void wipe() {
        names = new TreeMap<>();
        kept = new TreeMap<>();
        steps.clear();
    }

    /**
     * Steps that were not over have not been; where the power is lost, what was not synced is drawn, each
     * name by itself, too: some losses take all of it.
     */
    void crash(boolean power) {
        Map<String, Content> seen = restored();
        Map<String, Content> last = new TreeMap<>(seen);
        Map<Content, Content> synced = new LinkedHashMap<>();
        Map<Content, List<Step>> unsynced = new LinkedHashMap<>();
        Map<Content, Content> live = new LinkedHashMap<>();
        boolean all = world.random().nextInt(3) == 0;
        for (Step step : steps) {
            if (step.over > world.now()) {
                if (step.kind == Kind.WRITE) {
                    unsynced.computeIfAbsent(step.file, file -> new ArrayList<>())
                            .add(step);
                }
                break;
            }
            Content file = step.file == null ? null : live.computeIfAbsent(step.file, f -> new Content());
            switch (step.kind) {
                case CREATE -> seen.put(step.name, file);
                case WRITE -> {
                    file.put((int) step.at, step.bytes);
                    unsynced.computeIfAbsent(step.file, f -> new ArrayList<>()).add(step);
                }
                case TRUNCATE -> {
                    file.bytes = Arrays.copyOf(file.bytes, (int) step.at);
                    unsynced.computeIfAbsent(step.file, f -> new ArrayList<>()).add(step);
                }
                case SYNC -> {
                    synced.computeIfAbsent(step.file, f -> new Content()).bytes = file.bytes.clone();
                    unsynced.remove(step.file);
                }
                case RENAME -> seen.put(step.other, seen.remove(step.name));
                case DELETE -> seen.remove(step.name);
                default -> last = new TreeMap<>(seen);
            }
        }
        steps.clear();
        clock = 0;
        if (power && !all) {
            unsynced.forEach((file, writes) -> {
                Content base = synced.computeIfAbsent(file, f -> new Content());
                for (Step write : writes) {
                    draw(base, write);
                }
            });
        }
        names = power ? drawn(last, seen, all, live, synced) : seen;
        kept = new TreeMap<>();
        names.forEach((name, file) -> kept.put(name, file.bytes.clone()));
    }

    /** Names that were made, renamed or removed since their folder's last sync are kept or lost. */
    private Map<String, Content> drawn(
            Map<String, Content> last,
            Map<String, Content> seen,
            boolean noneLasts,
            Map<Content, Content> live,
            Map<Content, Content> synced) {
        Map<Content, Content> durable = new HashMap<>();
        live.forEach((file, now) -> durable.put(now, synced.getOrDefault(file, new Content())));
        Map<String, Content> lasting = new TreeMap<>();
        Set<String> either = new TreeSet<>(last.keySet());
        either.addAll(seen.keySet());
        for (String name : either) {
            boolean changed = last.get(name) != seen.get(name);
            Content has = (changed && (noneLasts || world.random().nextBoolean()) ? last : seen).get(name);
            if (has != null) {
                lasting.put(name, durable.getOrDefault(has, has));
            }
        }
        return lasting;
    }

    private void draw(Content base, Step write) {
        int fate = world.random().nextInt(3);
        if (write.kind == Kind.TRUNCATE) {
            base.bytes = fate == 0 ? base.bytes : Arrays.copyOf(base.bytes, (int) write.at);
        } else if (fate == 1) {
            base.put((int) write.at, write.bytes);
        } else if (fate == 2 && write.bytes.length > 0) {
            byte[] torn = Arrays.copyOf(write.bytes, write.bytes.length);
            Arrays.fill(torn, world.random().nextInt(torn.length), torn.length, (byte) 0);
            base.put((int) write.at, torn);
        }
    }

    private Map<String, Content> restored() {
        Map<String, Content> files = new TreeMap<>();
        kept.forEach((name, bytes) -> {
            Content file = new Content();
            file.bytes = bytes.clone();
            files.put(name, file);
        });
        return files;
    }

    Volume volume(Path folder) {
        return new View(folder.toString() + '/');
    }

    private final class View implements Volume {
        private final String prefix;

        private View(String prefix) {
            this.prefix = prefix;
        }

        @Override
        public List<String> names() {
            List<String> all = new ArrayList<>();
            for (String name : names.keySet()) {
                if (name.startsWith(prefix) && name.indexOf('/', prefix.length()) < 0) {
                    all.add(name.substring(prefix.length()));
                }
            }
            return all;
        }

        @Override
        public byte[] read(String name) throws IOException {
            Content file = names.get(prefix + name);
            if (file == null) {
                throw new NoSuchFileException(name);
            }
            return file.bytes.clone();
        }

        @Override
        public File create(String name) throws IOException {
            check();
            Content file = new Content();
            names.put(prefix + name, file);
            step(Kind.CREATE, file, prefix + name, null, 0, null);
            return new Open(file);
        }

        @Override
        public void rename(String from, String to) throws IOException {
            check();
            names.put(prefix + to, names.remove(prefix + from));
            step(Kind.RENAME, null, prefix + from, prefix + to, 0, null);
        }

        @Override
        public void forceNames() throws IOException {
            check();
            step(Kind.SYNC_NAMES, null, null, null, 0, null);
        }

        @Override
        public void delete(String name) {
            if (names.remove(prefix + name) != null) {
                step(Kind.DELETE, null, prefix + name, null, 0, null);
            }
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
            check();
            ByteArrayOutputStream taken = new ByteArrayOutputStream();
            while (bytes.hasRemaining()) {
                taken.write(bytes.get());
            }
            file.put(position, taken.toByteArray());
            step(Kind.WRITE, file, null, null, position, taken.toByteArray());
            position += taken.size();
        }

        @Override
        public void force() throws IOException {
            check();
            step(Kind.SYNC, file, null, null, 0, null);
        }

        @Override
        public void truncate(long length) {
            file.bytes = Arrays.copyOf(file.bytes, (int) length);
            step(Kind.TRUNCATE, file, null, null, length, null);
            position = (int) length;
        }

        @Override
        public void close() {
            // nothing is held
        }
    }
}
