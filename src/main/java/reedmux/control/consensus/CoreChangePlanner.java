package reedmux.control.consensus;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;

/**
 * Which change of the core the leader proposes next: first who is to be removed by order of the operator, then who asks
 * to join. One machine is removed, added or replaced at a time.
 */
final class CoreChangePlanner {
    /** How long a candidate has to be ready before it is proposed, so that one that flaps is not taken in. */
    private static final long JOINER_STABLE_MICROS = 1_000_000;
    /** How long a removal is tried. The operator's request has timed out by then and may be repeated. */
    private static final long REMOVAL_TIMEOUT_MICROS = 30_000_000;

    private final CoreContext context;
    /** By the name of the machine. */
    private final Map<String, PendingRemoval> pendingRemovals = new LinkedHashMap<>();

    private record PendingRemoval(long requestedAt, List<BiConsumer<Integer, String>> replies) {}

    CoreChangePlanner(CoreContext context) {
        this.context = context;
    }

    /**
     * The operator removes a member, by name or ip; the core is known.
     *
     * @return whether the removal is pending now; else it is answered already
     */
    boolean requestRemoval(String node, BiConsumer<Integer, String> reply) {
        String ip = context.core.findIp(node);
        if (ip == null) {
            reply.accept(OperationStatus.OK, "{}");
            return false;
        }
        int remaining = context.core.ips().size() - 1;
        int needed = context.isUp(ip) ? 2 * context.minimumReplicas - 1 : context.minimumReplicas;
        if (remaining < needed) {
            reply.accept(
                    OperationStatus.CONFLICT,
                    node + " cannot leave: of " + remaining + " members too few could be lost, " + needed
                            + " are needed");
            return false;
        }
        pendingRemovals
                .computeIfAbsent(node, name -> new PendingRemoval(context.now, new ArrayList<>()))
                .replies
                .add(reply);
        return true;
    }

    void expireRemovals() {
        pendingRemovals.values().removeIf(removal -> context.now - removal.requestedAt > REMOVAL_TIMEOUT_MICROS);
    }

    /** Answers the removals that the core of a new epoch has carried out. */
    void onInstalled() {
        for (String node : List.copyOf(pendingRemovals.keySet())) {
            if (context.core.findIp(node) == null) {
                for (BiConsumer<Integer, String> reply : pendingRemovals.remove(node).replies) {
                    reply.accept(OperationStatus.OK, "{}");
                }
            }
        }
    }

    /** The core to propose next; null for no change, or where too few are connected to make it. */
    CoreMembers nextChange() {
        for (String node : pendingRemovals.keySet()) {
            String ip = context.core.findIp(node);
            if (ip != null) {
                CoreMembers next = context.core.successor(ip, null, null);
                if (canDecideOn(next)) {
                    return next;
                }
            }
        }
        for (Map.Entry<String, CoreContext.CorePeer> peer : context.peers.entrySet()) {
            CoreMembers next = withCandidate(peer.getKey(), peer.getValue());
            if (next != null && canDecideOn(next)) {
                return next;
            }
        }
        return null;
    }

    /**
     * The core with a candidate, in place of the member that had the same name before, if there is one; null where the
     * candidate is not ready, or that member is still up at another address.
     */
    private CoreMembers withCandidate(String ip, CoreContext.CorePeer candidate) {
        if (context.core.contains(ip) || candidate.readySince > context.now - JOINER_STABLE_MICROS) {
            return null;
        }
        String former = candidate.node.isEmpty() ? null : context.core.findIp(candidate.node);
        if (former != null && context.isUp(former)) {
            return null;
        }
        return context.core.successor(former, ip, candidate.node);
    }

    private boolean canDecideOn(CoreMembers next) {
        return context.jointQuorum(next).isReachedBy(context.live());
    }
}
