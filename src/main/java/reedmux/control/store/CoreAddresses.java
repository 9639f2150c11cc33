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
 * The machines that serve control, by their addresses, as one process dials them: those that its seeds name
 * and that others tell of, as seeds may be old or name fewer than there are, until a store tells of the core
 * as it is agreed on. From then on who is taken out of that, and a seed that is not in it, is dropped.
 */
public final class CoreAddresses {
    private final String self;
    private final Set<String> machines = new TreeSet<>();
    /** Seeds and members, as far as we know. */
    private final Set<String> members = new TreeSet<>();

    private final Set<String> removed = new TreeSet<>();
    private long epoch = -1;

    /** {@code member}: this machine is one of them. */
    public CoreAddresses(ProcessSettings boot, boolean member) {
        self = boot.ip();
        boot.seeds().forEach(seed -> machines.add(seed.getAddress().getHostAddress()));
        members.addAll(machines);
        if (member) {
            machines.add(self);
        }
    }

    /** The first core, where the system starts for the first time: its seeds. */
    CoreMembers initialMembers() {
        return CoreMembers.initial(members);
    }

    /** Takes in the core that was known when the last process ended; seeds may be newer than that. */
    void restore(CoreMembers core) {
        if (core != null) {
            epoch = core.epoch();
            members.addAll(core.ips());
            machines.addAll(core.ips());
        }
    }

    /** Takes in the core as it was agreed on; returns whether it is news. */
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

    /** Whether a machine was taken out. */
    public boolean isRemoved(InetSocketAddress machine) {
        return removed.contains(machine.getAddress().getHostAddress());
    }

    /** All of them, to be told to others. */
    public List<String> machines() {
        return new ArrayList<>(machines);
    }

    /** Where the others are reached at a port. */
    public List<InetSocketAddress> others(int port) {
        return toAddresses(machines, port);
    }

    /** Takes in those that somebody tells of; returns where those that are news are reached at a port. */
    public List<InetSocketAddress> learn(List<String> told, int port) {
        List<String> news = new ArrayList<>();
        for (String machine : told) {
            if (SocketAddresses.parse(machine + ":1") != null && !removed.contains(machine) && machines.add(machine)) {
                news.add(machine);
            }
        }
        return toAddresses(news, port);
    }

    private List<InetSocketAddress> toAddresses(Iterable<String> some, int port) {
        List<InetSocketAddress> all = new ArrayList<>();
        for (String machine : some) {
            if (!machine.equals(self)) {
                all.add(SocketAddresses.parse(machine + ':' + port));
            }
        }
        return all;
    }
}
