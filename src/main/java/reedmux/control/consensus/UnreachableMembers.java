package reedmux.control.consensus;

import java.util.HashMap;
import java.util.Map;

/**
 * Since when each member of the core is out of reach, as seen by this node. A member that is out of reach for
 * {@link #DEAD_AFTER_MICROS} counts as dead: most likely it is gone for good. If it is not, nothing is lost by that; it
 * joins again once it is back. Times are in microseconds. Confined to one thread.
 */
final class UnreachableMembers {
    /**
     * Longer than a restart takes, so that few of those that come back are taken for dead; and short enough that a
     * machine that is gone for good has left the core, together with the 2.2 s after which a silent connection ends,
     * within the 4 s after which its successor counts and the next machine may go.
     */
    static final long DEAD_AFTER_MICROS = 1_500_000;

    private final Map<String, Long> unreachableSince = new HashMap<>();

    /** To be called several times a second. */
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

    /** How long a member has been out of reach; 0 for one that is in reach. */
    long unreachableMicros(String ip, long now) {
        return now - unreachableSince.getOrDefault(ip, now);
    }

    /** The member that has been dead longest; null where none is. */
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
