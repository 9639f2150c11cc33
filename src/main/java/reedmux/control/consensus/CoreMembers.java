package reedmux.control.consensus;

import java.util.Collection;
import java.util.Map;
import java.util.TreeMap;

/**
 * The members of the core, the machines whose stores vote. Only {@link CoreMembership} changes the core.
 *
 * @param epoch the number of changes since the first core
 * @param nodeNames the machine names by IP address; a name is empty if it is not known yet
 */
public record CoreMembers(long epoch, Map<String, String> nodeNames) {
    /** Creates a core with a copy of the names, in the order of their IP addresses. */
    public CoreMembers {
        nodeNames = new TreeMap<>(nodeNames);
    }

    /** Returns the core of a system that starts for the first time. */
    public static CoreMembers initial(Collection<String> ips) {
        Map<String, String> nodeNames = new TreeMap<>();
        for (String ip : ips) {
            nodeNames.put(ip, "");
        }
        return new CoreMembers(0, nodeNames);
    }

    /** Returns whether the machine with that IP address is a member. */
    public boolean contains(String ip) {
        return nodeNames.containsKey(ip);
    }

    /** Returns all IP addresses in ascending order, which is the order in which members become the leader. */
    public Collection<String> ips() {
        return nodeNames.keySet();
    }

    /** Returns the IP address of the member with that name or IP address, or null if there is none. */
    public String findIp(String nodeOrIp) {
        for (Map.Entry<String, String> member : nodeNames.entrySet()) {
            if (member.getValue().equals(nodeOrIp) || member.getKey().equals(nodeOrIp)) {
                return member.getKey();
            }
        }
        return null;
    }

    /**
     * Returns the core of the next epoch.
     *
     * @param removedIp the IP address of the member to remove, or null
     * @param addedIp the IP address of the member to add, or null
     * @param addedNode the machine name of the member to add
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

    /** Returns this core with a name that was not known yet. The known name of a member never changes. */
    CoreMembers withNodeName(String ip, String node) {
        if (node.isEmpty() || !"".equals(nodeNames.get(ip))) {
            return this;
        }
        Map<String, String> named = new TreeMap<>(nodeNames);
        named.put(ip, node);
        return new CoreMembers(epoch, named);
    }
}
