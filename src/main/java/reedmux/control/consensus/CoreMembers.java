package reedmux.control.consensus;

import java.util.Collection;
import java.util.Map;
import java.util.TreeMap;

/**
 * The item of kind {@code core}: the machines whose stores decide. Its revision is the epoch, and it is
 * changed by {@link CoreMembership} alone.
 *
 * @param nodes the names of the members' machines by ip, empty where one is not known yet
 */
public record CoreMembers(long epoch, Map<String, String> nodeNames) {
    public CoreMembers {
        nodeNames = new TreeMap<>(nodeNames);
    }

    /** The first core of a system that starts for the first time. */
    public static CoreMembers initial(Collection<String> ips) {
        Map<String, String> nodes = new TreeMap<>();
        ips.forEach(ip -> nodes.put(ip, ""));
        return new CoreMembers(0, nodes);
    }

    public boolean contains(String ip) {
        return nodeNames.containsKey(ip);
    }

    /** All ips, in the order of turns. */
    public Collection<String> ips() {
        return nodeNames.keySet();
    }

    /** The ip of the member with that name, or with that ip; null where there is none. */
    public String findIp(String node) {
        for (Map.Entry<String, String> member : nodeNames.entrySet()) {
            if (member.getValue().equals(node) || member.getKey().equals(node)) {
                return member.getKey();
            }
        }
        return null;
    }

    /** Under the next epoch, without one ip and with another; null for none. */
    CoreMembers successor(String without, String with, String node) {
        Map<String, String> after = new TreeMap<>(nodeNames);
        if (without != null) {
            after.remove(without);
        }
        if (with != null) {
            after.put(with, node);
        }
        return new CoreMembers(epoch + 1, after);
    }

    /** With a name that was not known; a member has one name as long as it is one. */
    CoreMembers withNodeName(String ip, String node) {
        if (node.isEmpty() || !"".equals(nodeNames.get(ip))) {
            return this;
        }
        Map<String, String> after = new TreeMap<>(nodeNames);
        after.put(ip, node);
        return new CoreMembers(epoch, after);
    }
}
