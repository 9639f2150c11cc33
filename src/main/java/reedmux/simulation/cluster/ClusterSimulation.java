package reedmux.simulation.cluster;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;

/**
 * A discrete-event simulation of machines and the network between them. Time is virtual, in microseconds, and advances
 * from event to event. All random values come from one generator, so a seed always reproduces the same run.
 * Not thread-safe.
 */
public final class ClusterSimulation {
    /** The virtual time at which each simulation starts. */
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

    void scheduleAt(long time, Runnable task) {
        scheduled.add(new SimulationEvent(Math.max(now, time), nextSequence++, task));
    }

    void scheduleAfter(long delay, Runnable task) {
        scheduleAt(now + delay, task);
    }

    /** Advances the virtual time by {@code durationMicros} and runs all events that are due by then. */
    void runFor(long durationMicros) {
        long until = now + durationMicros;
        while (!scheduled.isEmpty() && scheduled.peek().at <= until) {
            SimulationEvent next = scheduled.poll();
            now = next.at;
            events++;
            next.task.run();
        }
        now = until;
    }

    /** Adds an observation and the current time to the FNV-1a digest of the run; equal runs have equal digests. */
    void addToDigest(String observation) {
        for (int i = 0; i < observation.length(); i++) {
            digest = (digest ^ observation.charAt(i)) * FNV_PRIME;
        }
        digest = (digest ^ now) * FNV_PRIME;
    }

    long digest() {
        return digest;
    }

    /** Returns whether the real CPU time of the programs is measured; measuring does not affect the simulated run. */
    boolean measuresCpu() {
        return measuresCpu;
    }

    void enableCpuMeasurement() {
        measuresCpu = true;
    }

    long events() {
        return events;
    }

    // ---- Machines and network ----------------------------------------------------------------------
    void addMachine(SimulatedMachine machine) {
        machines.put(machine.ip(), machine);
    }

    SimulatedMachine machine(String ip) {
        return machines.get(ip);
    }

    private static String path(SimulatedMachine from, SimulatedMachine to) {
        return from.ip() + '>' + to.ip();
    }

    /** Blocks all packets from one machine to another, in this direction only, until {@link #heal}. */
    void partition(SimulatedMachine from, SimulatedMachine to) {
        partitionedPaths.add(path(from, to));
    }

    void heal(SimulatedMachine from, SimulatedMachine to) {
        partitionedPaths.remove(path(from, to));
    }

    boolean isReachable(SimulatedMachine from, SimulatedMachine to) {
        return from == to || !partitionedPaths.contains(path(from, to));
    }

    /**
     * Draws the delay of one packet in microseconds. The base delay is 20 within a machine, 100 within a zone and 500
     * between zones, plus up to half of it as jitter; one packet in 400 takes 3 ms longer.
     */
    long drawDelayMicros(SimulatedMachine from, SimulatedMachine to) {
        long base = from == to ? 20 : from.zone().equals(to.zone()) ? 100 : 500;
        return base + (long) (random.nextDouble() * base * 0.5) + (random.nextInt(400) == 0 ? 3_000 : 0);
    }

    boolean drawDatagramLoss() {
        return random.nextDouble() < DATAGRAM_LOSS_RATE;
    }
}
