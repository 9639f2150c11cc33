package reedmux.control.consensus;

import java.util.Collection;
import java.util.Map;
import java.util.TreeMap;

/**
 * The core: the machines whose stores decide. It is changed by {@link CoreMembership} alone.
 *
 * @param epoch how many changes led to it
 * @param nodeNames the names of the machines by ip; a name is empty where it is not known yet
 */
public record CoreMembers(long epoch, Map<String, String> nodeNames) {
    /** Copies the nodes, in the order of their IP addresses. */
    public CoreMembers {
        nodeNames = new TreeMap<>(nodeNames);
    }

    /** The first core of a system that starts for the first time. */
    public static CoreMembers initial(Collection<String> ips) {
        Map<String, String> nodeNames = new TreeMap<>();
        for (String ip : ips) {
            nodeNames.put(ip, "");
        }
        return new CoreMembers(0, nodeNames);
    }

    /** Whether the machine with that IP address is a member. */
    public boolean contains(String ip) {
        return nodeNames.containsKey(ip);
    }

    /** All ips in ascending order, which is the order in which members become the leader. */
    public Collection<String> ips() {
        return nodeNames.keySet();
    }

    /** The ip of the member with that name or ip; null where there is none. */
    public String findIp(String nodeOrIp) {
        for (Map.Entry<String, String> member : nodeNames.entrySet()) {
            if (member.getValue().equals(nodeOrIp) || member.getKey().equals(nodeOrIp)) {
                return member.getKey();
            }
        }
        return null;
    }

    /**
     * The core of the next epoch.
     *
     * @param removedIp who is no member any more, or null
     * @param addedIp who becomes one, or null
     * @param addedNode the name of its machine
     */
    CoreMembers successor(String removedIp, String addedIp, String addedNode) {
        Map<String, String> next = new TreeMap<>(nodeNames);
        if (removedIp != null) {
            next.remove(removedIp);
        }
        if (addedIp != null) {
            next.put(addedIp, addedNode);
        }
        return new CoreMembers(epoch + 1, next);
    }

    /** The same core with a name that was not known yet; a member never changes its name. */
    CoreMembers withNodeName(String ip, String node) {
        if (node.isEmpty() || !"".equals(nodeNames.get(ip))) {
            return this;
        }
        Map<String, String> named = new TreeMap<>(nodeNames);
        named.put(ip, node);
        return new CoreMembers(epoch, named);
    }
}
