package reedmux.store;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import reedmux.boot.Boot;

/** The machines that serve control, as the seeds of the first start name them. */
public final class Core {

    private Core() { }

    /** Their addresses, ours among them where we are one. */
    public static Set<String> machines(Boot boot, boolean member) {
        Set<String> all = new TreeSet<>();
        boot.seeds().forEach(seed -> all.add(seed.getAddress().getHostAddress()));
        if (member) {
            all.add(boot.ip());
        }
        return all;
    }

    /** Where the others are reached at a port. */
    public static List<InetSocketAddress> others(Boot boot, int port) {
        List<InetSocketAddress> all = new ArrayList<>();
        for (String ip : machines(boot, false)) {
            if (!ip.equals(boot.ip())) {
                all.add(reedmux.config.Addresses.parse(ip + ':' + port));
            }
        }
        return all;
    }
}
