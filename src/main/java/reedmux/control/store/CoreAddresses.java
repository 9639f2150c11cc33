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
 * The IP addresses of the core machines that a process dials. Initially these are the seeds in its settings and the
 * addresses that its peers report, because seeds may be outdated or incomplete. When a store announces a committed
 * core, its members are added. Machines that have been removed from the core, and seeds that are not members, are
 * dropped and are not added again when peers report them. Not thread-safe.
 */
public final class CoreAddresses {
    private final String self;
    /** All machines to dial; includes this one if it belongs to the core. */
    private final Set<String> machines = new TreeSet<>();
    /** The seeds and the known members; only the members once a core has been adopted. */
    private final Set<String> members = new TreeSet<>();

    private final Set<String> removed = new TreeSet<>();
    /** Epoch of the latest known core; negative if none is known. */
    private long epoch = -1;

    /**
     * Starts with the seeds of the settings.
     *
     * @param member whether this machine belongs to the core even if it is not a seed
     */
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

    /** Returns the initial core of a system that starts for the first time, which consists of the seeds. */
    CoreMembers initialMembers() {
        return CoreMembers.initial(members);
    }

    /**
     * Adds the core that was recovered from disk. The seeds are kept, because they may be newer.
     *
     * @param core the recovered core; null if there was none
     */
    void restore(CoreMembers core) {
        if (core != null) {
            epoch = core.epoch();
            members.addAll(core.ips());
            machines.addAll(core.ips());
        }
    }

    /** Replaces the members with those of a committed core; returns false if the core is null or not newer. */
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

    /** Returns whether a machine has been removed from the core. */
    public boolean isRemoved(InetSocketAddress machine) {
        return removed.contains(machine.getAddress().getHostAddress());
    }

    /** Returns the IP addresses of all machines, to be sent to peers. */
    public List<String> machines() {
        return new ArrayList<>(machines);
    }

    /** Returns the socket addresses, on the given port, of all machines except this one. */
    public List<InetSocketAddress> peerAddresses(int port) {
        return toAddresses(machines, port);
    }

    /** Adds machines reported by a peer; returns the socket addresses, on the given port, of those that are new. */
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

    /** Allows a machine that is a candidate for the core to be dialed again; returns its address on the given port. */
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
