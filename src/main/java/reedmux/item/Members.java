package reedmux.item;

import java.util.Collection;
import java.util.Map;
import java.util.TreeMap;

/**
 * The item of kind {@code core}: the machines whose stores decide. Its revision is the epoch, and it is
 * changed by {@link Membership} alone.
 *
 * @param nodes the names of the members' machines by ip, empty where one is not known yet
 */
public record Members(long epoch, Map<String, String> nodes) {
    public Members {
        nodes = new TreeMap<>(nodes);
    }

    /** The first core of a system that starts for the first time. */
    public static Members first(Collection<String> ips) {
        Map<String, String> nodes = new TreeMap<>();
        ips.forEach(ip -> nodes.put(ip, ""));
        return new Members(0, nodes);
    }

    public boolean has(String ip) {
        return nodes.containsKey(ip);
    }

    /** All ips, in the order of turns. */
    public Collection<String> ips() {
        return nodes.keySet();
    }

    /** The ip of the member with that name, or with that ip; null where there is none. */
    public String find(String node) {
        for (Map.Entry<String, String> member : nodes.entrySet()) {
            if (member.getValue().equals(node) || member.getKey().equals(node)) {
                return member.getKey();
            }
        }
        return null;
    }

    /** Under the next epoch, without one ip and with another; null for none. */
    Members next(String without, String with, String node) {
        Map<String, String> after = new TreeMap<>(nodes);
        if (without != null) {
            after.remove(without);
        }
        if (with != null) {
            after.put(with, node);
        }
        return new Members(epoch + 1, after);
    }

    /** With a name that was not known; a member has one name as long as it is one. */
    Members named(String ip, String node) {
        if (node.isEmpty() || !"".equals(nodes.get(ip))) {
            return this;
        }
        Map<String, String> after = new TreeMap<>(nodes);
        after.put(ip, node);
        return new Members(epoch, after);
    }
}
