package reedmux.lab.world;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.function.Consumer;
import reedmux.disk.Journal;
import reedmux.item.Replica;
import reedmux.lab.Claims;
import reedmux.link.Codec;
import reedmux.link.Messages.Decided;
import reedmux.link.Messages.Items;

/** A core of three of which one machine misses changes, is started again or loses its disk. */
public final class CatchUp {
    static final long SECOND = 1_000_000;
    private static final int CALL = 500;
    private static final int[] SIZES = {10, 100, 1_000, 10_000, 100_000};
    private static final long LONGEST = 300 * SECOND;
    private final World world;
    private final Deployment deployment;
    private final Operator operator;
    private final List<String> log = new ArrayList<>();
    private final Deployment.Node late;
    private long revision;

    /** What a disk has. */
    record OnDisk(int items, boolean whole) {}

    CatchUp(long seed) {
        world = new World(seed);
        deployment = new Deployment(world, 1, 3, log::add);
        deployment.start();
        operator = new Operator(world, "10.8.0.1", deployment.control().subList(0, 2), new InvariantChecker());
        late = deployment.cores().get(2);
        world.run(5 * SECOND);
    }

    World world() {
        return world;
    }

    Deployment.Node late() {
        return late;
    }

    /** Changes items from one on, so many, in calls of some hundred. */
    void change(int first, int many) {
        revision++;
        for (int from = first; from < first + many; from += CALL) {
            String body = tenants(from, Math.min(CALL, first + many - from), revision);
            boolean[] done = {false};
            operator.adjust(body, InvariantChecker.Proper.VALID, Settings::shows, status -> done[0] = status == 200);
            for (long end = world.now() + LONGEST; !done[0]; ) {
                world.run(SECOND / 20);
                if (world.now() > end) {
                    throw new IllegalStateException("no answer to a change: " + log);
                }
            }
        }
    }

    /** A call that changes so many tenants. */
    static String tenants(int first, int many, long revision) {
        StringBuilder body = new StringBuilder("{\"apply\":{\"signals\":[");
        for (int i = first; i < first + many; i++) {
            body.append(i == first ? "" : ",")
                    .append("{\"signalKind\":\"tenants\",\"heading\":{\"name\":\"t")
                    .append(i)
                    .append("\",\"revision\":")
                    .append(revision)
                    .append("},\"reference\":{\"keys\":[\"key-of-tenant-")
                    .append(i)
                    .append("\"],\"priority\":1,\"flowPerS\":20,\"burst\":40}}");
        }
        return body.append("]}}").toString();
    }

    /** Bytes that the late one's store has got. */
    long got() {
        return late.machine().load(late.name() + "/store").got;
    }

    boolean said(String line) {
        return log.stream().anyMatch(each -> each.startsWith(late.name() + "/store") && each.contains(line));
    }

    OnDisk onDisk() {
        Replica replica = new Replica();
        boolean whole = false;
        Codec codec = new Codec();
        for (byte[] record : new Journal(late.machine().disk().volume(Path.of("/data"))).read()) {
            Object told = codec.read(record);
            if (told instanceof Items items) {
                replica.merge(items.items());
                whole |= items.whole();
            } else if (told instanceof Decided decided) {
                replica.decide(decided.call(), decided.inForce(), decided.items());
            }
        }
        return new OnDisk(replica.inForce().size(), whole);
    }

    /** The bytes it takes, and the time in ms until it counts itself, by the number of items. */
    public static Claims run(Consumer<String> progress) {
        Claims claims = new Claims();
        for (int size : SIZES) {
            progress.accept(size + " items");
            CatchUp day = new CatchUp(3);
            day.change(0, size);
            day.world.run(5 * SECOND);
            claims.note(size + " items, started again, nothing missed: kB", day.bytes(false, 0));
            int missed = Math.max(1, size / 100);
            claims.note(size + " items, " + missed + " of them missed: kB", day.bytes(false, missed));
            claims.note(size + " items, an empty disk: kB", day.bytes(true, 0));
            long lost = day.world.now();
            day.late.losePower(SECOND, true);
            day.log.clear();
            while (!day.said("whole again") && day.world.now() < lost + LONGEST) {
                day.world.run(SECOND / 200);
            }
            claims.claim(
                    size + " items, an empty disk: ms until it counts itself",
                    (day.world.now() - lost - SECOND) / 1000,
                    "< " + LONGEST / 1000,
                    day.said("whole again"));
            day.world.run(5 * SECOND);
            OnDisk left = day.onDisk();
            claims.claim(
                    size + " items, an empty disk: items on it then",
                    left.items,
                    size,
                    left.items == size && left.whole);
        }
        return claims;
    }

    private String bytes(boolean wiped, int missed) {
        long idle = got();
        world.run(10 * SECOND);
        idle = got() - idle;
        long before = got();
        late.losePower(2 * SECOND, wiped);
        if (missed > 0) {
            change(0, missed);
        }
        world.run(12 * SECOND);
        return String.format(Locale.ROOT, "%.1f", Math.max(0, got() - before - idle) / 1e3);
    }
}
