package reedmux.control.store;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import reedmux.common.net.SocketAddresses;
import reedmux.common.settings.ProcessSettings;
import reedmux.control.consensus.CoreMembers;

/**
 * The IPs of the machines of the core, as one process dials them. At first these are the seeds of its settings and
 * whatever others tell, as seeds may be old or too few; from when a store announces the core that was decided on, its
 * members: a machine that was taken out, or a seed that is no member, is then dropped and not learned again. For one
 * thread.
 */
public final class CoreAddresses {
    private final String self;
    /** All machines to dial, and this one. */
    private final Set<String> machines = new TreeSet<>();
    /** Seeds, and members as far as they are known. */
    private final Set<String> members = new TreeSet<>();

    private final Set<String> removed = new TreeSet<>();
    /** Of the core that was adopted last; below 0 for none. */
    private long epoch = -1;

    /** The seeds; {@code member}: this machine is one of the core's, whether it is a seed or not. */
    public CoreAddresses(ProcessSettings settings, boolean member) {
        self = settings.ip();
        for (InetSocketAddress seed : settings.seeds()) {
            machines.add(seed.getAddress().getHostAddress());
        }
        members.addAll(machines);
        if (member) {
            machines.add(self);
        }
    }

    /** The first core of a system that starts for the first time: its seeds. */
    CoreMembers initialMembers() {
        return CoreMembers.initial(members);
    }

    /** Adds the core that was on disk; null for none. The seeds stay, as they may be newer than that. */
    void restore(CoreMembers core) {
        if (core != null) {
            epoch = core.epoch();
            members.addAll(core.ips());
            machines.addAll(core.ips());
        }
    }

    /** Takes over a core that was decided on; returns false where that is known already, or null. */
    public boolean adopt(CoreMembers core) {
        if (core == null || core.epoch() <= epoch) {
            return false;
        }
        epoch = core.epoch();
        removed.addAll(members);
        removed.removeAll(core.ips());
        members.clear();
        members.addAll(core.ips());
        machines.removeAll(removed);
        machines.addAll(core.ips());
        return true;
    }

    /** Whether a machine was taken out of the core. */
    public boolean isRemoved(InetSocketAddress machine) {
        return removed.contains(machine.getAddress().getHostAddress());
    }

    /** The IPs of all machines, to be told to others. */
    public List<String> machines() {
        return new ArrayList<>(machines);
    }

    /** The addresses of all machines but this one, at a port. */
    public List<InetSocketAddress> peerAddresses(int port) {
        return toAddresses(machines, port);
    }

    /** Adds machines that a peer tells of; returns the addresses of those that were not known, at a port. */
    public List<InetSocketAddress> addDiscovered(List<String> ips, int port) {
        List<String> addedIps = new ArrayList<>();
        for (String ip : ips) {
            boolean isAddress = SocketAddresses.parse(ip + ":1") != null;
            if (isAddress && !removed.contains(ip) && machines.add(ip)) {
                addedIps.add(ip);
            }
        }
        return toAddresses(addedIps, port);
    }

    /** Takes a machine that would join the core for one to dial again; returns its address at a port. */
    List<InetSocketAddress> readmit(String ip, int port) {
        removed.remove(ip);
        machines.add(ip);
        return toAddresses(List.of(ip), port);
    }

    private List<InetSocketAddress> toAddresses(Iterable<String> ips, int port) {
        List<InetSocketAddress> addresses = new ArrayList<>();
        for (String ip : ips) {
            if (!ip.equals(self)) {
                addresses.add(SocketAddresses.parse(ip + ':' + port));
            }
        }
        return addresses;
    }
}
