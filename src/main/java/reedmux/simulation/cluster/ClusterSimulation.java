package reedmux.simulation.cluster;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;

/** Virtual time, machines and the links between them. All chance comes from one seed. */
public final class ClusterSimulation {
    private static final long START_MICROS = 3_600_000_000L;
    private static final long FNV_PRIME = 0x100000001B3L;
    private static final double DATAGRAM_LOSS_RATE = 0.003;
    private final PriorityQueue<SimulationEvent> scheduled = new PriorityQueue<>();
    private final Map<String, SimulatedMachine> machines = new HashMap<>();
    private final Set<String> partitionedPaths = new HashSet<>();
    private final Random random;
    private long now = START_MICROS;
    private long nextSequence;
    private long digest = 0xCBF29CE484222325L;
    private long events;
    private boolean measuresCpu;

    private record SimulationEvent(long at, long sequence, Runnable task) implements Comparable<SimulationEvent> {
        @Override
        public int compareTo(SimulationEvent other) {
            return at != other.at ? Long.compare(at, other.at) : Long.compare(sequence, other.sequence);
        }
    }

    ClusterSimulation(long seed) {
        random = new Random(seed);
    }

    long now() {
        return now;
    }

    Random random() {
        return random;
    }

    void scheduleAt(long when, Runnable task) {
        scheduled.add(new SimulationEvent(Math.max(now, when), nextSequence++, task));
    }

    void scheduleAfter(long delay, Runnable task) {
        scheduleAt(now + delay, task);
    }

    /** Lets so much time pass. */
    void runFor(long length) {
        long until = now + length;
        while (!scheduled.isEmpty() && scheduled.peek().at <= until) {
            SimulationEvent next = scheduled.poll();
            now = next.at;
            events++;
            next.task.run();
        }
        now = until;
    }

    /** Takes something that can be seen into the digest of the run. */
    void addToDigest(String what) {
        for (int i = 0; i < what.length(); i++) {
            digest = (digest ^ what.charAt(i)) * FNV_PRIME;
        }
        digest = (digest ^ now) * FNV_PRIME;
    }

    long digest() {
        return digest;
    }

    /** Whether the time that programs take on the processor is measured; the digest is the same. */
    boolean measuresCpu() {
        return measuresCpu;
    }

    void enableCpuMeasurement() {
        measuresCpu = true;
    }

    long events() {
        return events;
    }

    // ---- Machines and links ------------------------------------------------------------------------
    void addMachine(SimulatedMachine machine) {
        machines.put(machine.ip(), machine);
    }

    SimulatedMachine machine(String ip) {
        return machines.get(ip);
    }

    private static String path(SimulatedMachine from, SimulatedMachine to) {
        return from.ip() + '>' + to.ip();
    }

    /** Nothing goes from one to the other any more. */
    void partition(SimulatedMachine from, SimulatedMachine to) {
        partitionedPaths.add(path(from, to));
    }

    void heal(SimulatedMachine from, SimulatedMachine to) {
        partitionedPaths.remove(path(from, to));
    }

    boolean isReachable(SimulatedMachine from, SimulatedMachine to) {
        return from == to || !partitionedPaths.contains(path(from, to));
    }

    /** What a packet takes now. */
    long drawDelayMicros(SimulatedMachine from, SimulatedMachine to) {
        long base = from == to ? 20 : from.zone().equals(to.zone()) ? 100 : 500;
        return base + (long) (random.nextDouble() * base * 0.5) + (random.nextInt(400) == 0 ? 3_000 : 0);
    }

    boolean drawDatagramLoss() {
        return random.nextDouble() < DATAGRAM_LOSS_RATE;
    }
}
