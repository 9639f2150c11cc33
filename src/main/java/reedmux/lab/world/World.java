package reedmux.lab.world;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;

/** Virtual time, machines and the links between them. All chance comes from one seed. */
final class World {
    private static final long BEGIN = 3_600_000_000L;
    private static final long FNV = 0x100000001B3L;
    private static final double LOSS = 0.003;
    private final PriorityQueue<Due> due = new PriorityQueue<>();
    private final Map<String, Machine> machines = new HashMap<>();
    private final Set<String> cuts = new HashSet<>();
    private final Random random;
    private long now = BEGIN;
    private long numbers;
    private long digest = 0xCBF29CE484222325L;
    private long events;
    private boolean measures;

    private record Due(long at, long number, Runnable task) implements Comparable<Due> {
        @Override
        public int compareTo(Due other) {
            return at != other.at ? Long.compare(at, other.at) : Long.compare(number, other.number);
        }
    }

    World(long seed) {
        random = new Random(seed);
    }

    long now() {
        return now;
    }

    Random random() {
        return random;
    }

    void at(long when, Runnable task) {
        due.add(new Due(Math.max(now, when), numbers++, task));
    }

    void after(long delay, Runnable task) {
        at(now + delay, task);
    }

    /** Lets so much time pass. */
    void run(long length) {
        long until = now + length;
        while (!due.isEmpty() && due.peek().at <= until) {
            Due next = due.poll();
            now = next.at;
            events++;
            next.task.run();
        }
        now = until;
    }

    /** Takes something that can be seen into the digest of the run. */
    void saw(String what) {
        for (int i = 0; i < what.length(); i++) {
            digest = (digest ^ what.charAt(i)) * FNV;
        }
        digest = (digest ^ now) * FNV;
    }

    long digest() {
        return digest;
    }

    /** Whether the time that programs take on the processor is measured; the digest is the same. */
    boolean measures() {
        return measures;
    }

    void measure() {
        measures = true;
    }

    long events() {
        return events;
    }

    // ---- Machines and links ------------------------------------------------------------------------
    void add(Machine machine) {
        machines.put(machine.ip(), machine);
    }

    Machine machine(String ip) {
        return machines.get(ip);
    }

    private static String way(Machine from, Machine to) {
        return from.ip() + '>' + to.ip();
    }

    /** Nothing goes from one to the other any more. */
    void cut(Machine from, Machine to) {
        cuts.add(way(from, to));
    }

    void join(Machine from, Machine to) {
        cuts.remove(way(from, to));
    }

    boolean open(Machine from, Machine to) {
        return from == to || !cuts.contains(way(from, to));
    }

    /** What a packet takes now. */
    long delay(Machine from, Machine to) {
        long base = from == to ? 20 : from.zone().equals(to.zone()) ? 100 : 500;
        return base + (long) (random.nextDouble() * base * 0.5) + (random.nextInt(400) == 0 ? 3_000 : 0);
    }

    boolean loses() {
        return random.nextDouble() < LOSS;
    }
}
