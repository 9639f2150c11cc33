package reedmux.simulation.cluster;

import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** A simulated machine with an IP address, a zone, running processes and an optional disk. */
public final class SimulatedMachine {
    private final ClusterSimulation simulation;
    private final String ip;
    private final String zone;
    private final SimulatedDisk disk;
    private final Set<SimulatedProcess> processes = new LinkedHashSet<>();
    private final Map<String, ProcessLoad> loads = new LinkedHashMap<>();
    private boolean powered = true;

    SimulatedMachine(ClusterSimulation simulation, String ip, String zone, boolean withDisk) {
        this(simulation, ip, zone, withDisk ? new SimulatedDisk(simulation) : null);
    }

    /** Creates a machine with the given disk, which may come from another machine, or null for no disk. */
    SimulatedMachine(ClusterSimulation simulation, String ip, String zone, SimulatedDisk disk) {
        this.simulation = simulation;
        this.ip = ip;
        this.zone = zone;
        this.disk = disk;
        simulation.addMachine(this);
    }

    String ip() {
        return ip;
    }

    String zone() {
        return zone;
    }

    SimulatedDisk disk() {
        return disk;
    }

    boolean powered() {
        return powered;
    }

    /** Returns the load counters of a process name, summed over all incarnations of the process. */
    ProcessLoad load(String processName) {
        return loads.computeIfAbsent(processName, name -> new ProcessLoad());
    }

    void processStarted(SimulatedProcess process) {
        processes.add(process);
    }

    void processEnded(SimulatedProcess process) {
        processes.remove(process);
    }

    SimulatedProcess tcpListener(int port) {
        for (SimulatedProcess process : processes) {
            if (process.serverSocket(port) != null) {
                return process;
            }
        }
        return null;
    }

    SimulatedProcess udpReceiver(int port) {
        for (SimulatedProcess process : processes) {
            if (process.udpSocket(port) != null) {
                return process;
            }
        }
        return null;
    }

    /** Ends all processes without notifying their peers; the disk may lose or tear writes that were not synced. */
    void losePower() {
        powered = false;
        List.copyOf(processes).forEach(SimulatedProcess::losePower);
        if (disk != null) {
            disk.crash(true);
        }
    }

    void restorePower() {
        powered = true;
    }

    @Override
    public String toString() {
        return ip + " in " + zone + " at " + simulation.now();
    }
}
