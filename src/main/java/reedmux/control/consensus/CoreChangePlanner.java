package reedmux.control.consensus;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;

/**
 * Which change of the core the leader proposes next: first who is to be removed by order of the operator, then who asks
 * to join, then who is dead. One machine is removed, added or replaced at a time.
 *
 * <p>Who joins takes the place of the member that had its name before, or else of a member that is dead. The dead are
 * removed without a successor only while enough others stay: the core never gets smaller by that than it needs to be to
 * outlive the losses that the settings promise.
 */
final class CoreChangePlanner {
    /** How long a candidate has to be ready before it takes a place, so that one that flaps is not taken in. */
    private static final long CANDIDATE_STABLE_MICROS = 1_000_000;
    /**
     * How long it has to be ready before the core grows by it: longer than it takes to notice that a member does not
     * answer any more, whose place it may have come to take. A new member has no vote for 4 s, so a core that has grown
     * loses its dead ones late.
     */
    private static final long GROWTH_STABLE_MICROS = 2_500_000;

    /** How long a removal is tried. The operator's request has timed out by then and may be repeated. */
    private static final long REMOVAL_TIMEOUT_MICROS = 30_000_000;

    /** Below this a core has no majority that outlives the loss of one. */
    private static final int MIN_CORE_SIZE = 3;

    private final CoreContext context;
    /** When each member that was removed by order was, by its ip: it has to hear of that before it may join again. */
    private final Map<String, Long> removedByOrderAt = new HashMap<>();
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
        int remainingSize = context.core.ips().size() - 1;
        int requiredSize = context.isUp(ip) ? 2 * context.minimumReplicas - 1 : context.minimumReplicas;
        if (remainingSize < requiredSize) {
            reply.accept(
                    OperationStatus.CONFLICT,
                    node + " cannot leave: of " + remainingSize + " members too few could be lost, " + requiredSize
                            + " are needed");
            return false;
        }
        removedByOrderAt.put(ip, context.now);
        pendingRemovals
                .computeIfAbsent(node, name -> new PendingRemoval(context.now, new ArrayList<>()))
                .replies
                .add(reply);
        return true;
    }

    void expireRemovals() {
        pendingRemovals.values().removeIf(removal -> context.now - removal.requestedAt > REMOVAL_TIMEOUT_MICROS);
        removedByOrderAt.values().removeIf(at -> context.now - at > REMOVAL_TIMEOUT_MICROS);
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
                    context.port.sendRemovalOrder(ip);
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
        String deadMember = deadMemberToRemove();
        return deadMember == null ? null : context.core.successor(deadMember, null, null);
    }

    /** A dead member without which the core is large enough and can be decided on; null for none. */
    String deadMemberToRemove() {
        int requiredSize = Math.max(MIN_CORE_SIZE, 2 * context.minimumReplicas - 1);
        String deadMember = context.unreachableMembers.longestDeadMember(context.now);
        return deadMember != null
                        && context.core.ips().size() > requiredSize
                        && canDecideOn(context.core.successor(deadMember, null, null))
                ? deadMember
                : null;
    }

    /**
     * The core with a candidate, in place of the member that had the same name before, or else of a dead one, or else
     * as one member more; null where the candidate is not ready, or that member is still up at another address.
     */
    private CoreMembers withCandidate(String ip, CoreContext.CorePeer candidate) {
        if (context.core.contains(ip)
                || removedByOrderAt.containsKey(ip)
                || candidate.readySince > context.now - CANDIDATE_STABLE_MICROS) {
            return null;
        }
        String previousIp = candidate.node.isEmpty() ? null : context.core.findIp(candidate.node);
        if (previousIp != null && context.isUp(previousIp)) {
            return null;
        }
        String replacedIp = previousIp == null ? context.unreachableMembers.longestDeadMember(context.now) : previousIp;
        if (replacedIp == null && !mayGrow(candidate)) {
            return null;
        }
        return context.core.successor(replacedIp, ip, candidate.node);
    }

    /** While a member is out of reach a candidate waits for its place, or for its return. */
    private boolean mayGrow(CoreContext.CorePeer candidate) {
        return candidate.readySince <= context.now - GROWTH_STABLE_MICROS
                && context.core.ips().stream().allMatch(context::isUp);
    }

    private boolean canDecideOn(CoreMembers next) {
        return context.jointQuorum(next).isReachedBy(context.connectedIps());
    }
}
