package reedmux.store;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import reedmux.boot.Boot;
import reedmux.config.Addresses;

/**
 * The machines that serve control, by their addresses, as one process knows them: those that its seeds
 * name, and those that others of them tell of, as seeds may be old or name fewer than there are. Nobody is
 * ever taken out.
 */
public final class Core {
    private final String self;
    private final Set<String> machines = new TreeSet<>();

    /** {@code member}: this machine is one of them. */
    public Core(Boot boot, boolean member) {
        self = boot.ip();
        boot.seeds().forEach(seed -> machines.add(seed.getAddress().getHostAddress()));
        if (member) {
            machines.add(self);
        }
    }

    /** All of them, to be told to others. */
    public List<String> machines() {
        return new ArrayList<>(machines);
    }

    /** Where the others are reached at a port. */
    public List<InetSocketAddress> others(int port) {
        return at(machines, port);
    }

    /** Takes in those that somebody tells of; returns where those that are news are reached at a port. */
    public List<InetSocketAddress> learn(List<String> told, int port) {
        List<String> news = new ArrayList<>();
        for (String machine : told) {
            if (Addresses.parse(machine + ":1") != null && machines.add(machine)) {
                news.add(machine);
            }
        }
        return at(news, port);
    }

    private List<InetSocketAddress> at(Iterable<String> some, int port) {
        List<InetSocketAddress> all = new ArrayList<>();
        for (String machine : some) {
            if (!machine.equals(self)) {
                all.add(Addresses.parse(machine + ':' + port));
            }
        }
        return all;
    }
}
