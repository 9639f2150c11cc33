package reedmux.control.consensus;

import java.util.HashMap;
import java.util.Map;

/**
 * Tracks how long each member of the core has been unreachable from this node. A member that has been unreachable for
 * {@link #DEAD_AFTER_MICROS} is considered dead, because it has most likely failed permanently. If it has not, nothing
 * is lost: it joins again after it becomes reachable. Times are in microseconds. Confined to one thread.
 */
final class UnreachableMembers {
    /**
     * How long a member must be unreachable to be considered dead, in microseconds. This is longer than a restart
     * takes, so that few restarting members are considered dead. It is short enough that a permanently failed machine
     * is removed from the core, including the 2.2 s after which a silent connection is closed, within the 4 s after
     * which its successor may vote and the next machine may fail.
     */
    static final long DEAD_AFTER_MICROS = 1_500_000;

    private final Map<String, Long> unreachableSince = new HashMap<>();

    /** Updates reachability from the current connections. Must be called several times a second. */
    void update(CoreContext context) {
        unreachableSince.keySet().retainAll(context.core.ips());
        for (String ip : context.core.ips()) {
            if (context.isUp(ip)) {
                unreachableSince.remove(ip);
            } else {
                unreachableSince.putIfAbsent(ip, context.now);
            }
        }
    }

    /** Returns how long a member has been unreachable; 0 for a reachable member. */
    long unreachableMicros(String ip, long now) {
        return now - unreachableSince.getOrDefault(ip, now);
    }

    /** Returns the member that has been dead the longest, or null if no member is dead. */
    String longestDeadMember(long now) {
        String longest = null;
        for (String ip : unreachableSince.keySet()) {
            if (unreachableMicros(ip, now) >= DEAD_AFTER_MICROS
                    && (longest == null || isUnreachableLonger(ip, longest))) {
                longest = ip;
            }
        }
        return longest;
    }

    private boolean isUnreachableLonger(String first, String second) {
        int bySince = Long.compare(unreachableSince.get(first), unreachableSince.get(second));
        return bySince != 0 ? bySince < 0 : first.compareTo(second) < 0;
    }
}
