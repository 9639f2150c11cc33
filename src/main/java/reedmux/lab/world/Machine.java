package reedmux.lab.world;

import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** A machine: its address, its processes, and a disk if it has one. */
final class Machine {
    private final World world;
    private final String ip;
    private final String zone;
    private final SimDisk disk;
    private final Set<Host> hosts = new LinkedHashSet<>();
    private final Map<String, Load> loads = new LinkedHashMap<>();
    private boolean power = true;

    Machine(World world, String ip, String zone, boolean withDisk) {
        this(world, ip, zone, withDisk ? new SimDisk(world) : null);
    }

    /** One that may have another's disk. */
    Machine(World world, String ip, String zone, SimDisk disk) {
        this.world = world;
        this.ip = ip;
        this.zone = zone;
        this.disk = disk;
        world.add(this);
    }

    String ip() {
        return ip;
    }

    String zone() {
        return zone;
    }

    SimDisk disk() {
        return disk;
    }

    boolean powered() {
        return power;
    }

    /** What all lives of a process of that name have done. */
    Load load(String ofName) {
        return loads.computeIfAbsent(ofName, name -> new Load());
    }

    void begun(Host host) {
        hosts.add(host);
    }

    void ended(Host host) {
        hosts.remove(host);
    }

    Host listening(int port) {
        for (Host host : hosts) {
            if (host.port(port) != null) {
                return host;
            }
        }
        return null;
    }

    Host hearing(int port) {
        for (Host host : hosts) {
            if (host.box(port) != null) {
                return host;
            }
        }
        return null;
    }

    /** All its processes are gone without a word, and its disk is as a loss of power leaves it. */
    void losePower() {
        power = false;
        List.copyOf(hosts).forEach(Host::vanish);
        if (disk != null) {
            disk.crash(true);
        }
    }

    void powerBack() {
        power = true;
    }

    @Override
    public String toString() {
        return ip + " in " + zone + " at " + world.now();
    }
}
