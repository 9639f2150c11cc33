package reedmux.control.consensus;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;

/**
 * Selects the next change of the core for the leader to propose. Removals requested by the operator come first, then
 * candidates that request to join, then dead members. One machine is removed, added or replaced at a time.
 *
 * <p>A candidate replaces the member that previously had its name, or otherwise a dead member. A dead member is removed
 * without a replacement only if enough members remain: such a removal never makes the core smaller than is needed to
 * survive the losses that the settings promise to tolerate.
 */
final class CoreChangePlanner {
    /**
     * How long a candidate must be ready before it may replace a member, in microseconds, so that a flapping candidate
     * is not added.
     */
    private static final long CANDIDATE_STABLE_MICROS = 1_000_000;
    /**
     * How long a candidate must be ready before the core grows by it, in microseconds. This is longer than it takes to
     * detect an unresponsive member that the candidate may be intended to replace. A new member can't vote for 4 s, so
     * a core that has grown removes its dead members late.
     */
    private static final long GROWTH_STABLE_MICROS = 2_500_000;

    /**
     * How long a removal is retried, in microseconds. The operator's request has timed out by then and may be repeated.
     */
    private static final long REMOVAL_TIMEOUT_MICROS = 30_000_000;

    /** Minimum size of a core whose majority survives the loss of one member. */
    private static final int MIN_CORE_SIZE = 3;

    private final CoreContext context;
    /**
     * The time of each removal request by the operator, in microseconds, by IP address. The member must receive the
     * removal order before it may join again.
     */
    private final Map<String, Long> removedByOrderAt = new HashMap<>();
    /** Pending removals by the name or IP address that the operator gave. */
    private final Map<String, PendingRemoval> pendingRemovals = new LinkedHashMap<>();

    private record PendingRemoval(long requestedAt, List<BiConsumer<Integer, String>> replies) {}

    CoreChangePlanner(CoreContext context) {
        this.context = context;
    }

    /**
     * Handles an operator's request to remove a member, given by name or IP address. The core must be known.
     *
     * @return whether the removal is now pending; otherwise the reply has already been sent
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

    /** Replies to the removal requests that the new core has fulfilled. */
    void onInstalled() {
        for (String node : List.copyOf(pendingRemovals.keySet())) {
            if (context.core.findIp(node) == null) {
                for (BiConsumer<Integer, String> reply : pendingRemovals.remove(node).replies) {
                    reply.accept(OperationStatus.OK, "{}");
                }
            }
        }
    }

    /** Returns the core to propose next; null if no change is wanted or too few nodes are connected to decide on it. */
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

    /** Returns a dead member without which the core is still large enough and can decide; null if there is none. */
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
     * Returns the core with the candidate added. The candidate replaces the member that previously had the same name,
     * or otherwise a dead member, or otherwise is an additional member. Returns null if the candidate is not ready, or
     * if the member of the same name is still connected at another address.
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

    /**
     * Returns whether the core may grow by a candidate. While a member is unreachable, the candidate waits for that
     * member to be replaced or to return.
     */
    private boolean mayGrow(CoreContext.CorePeer candidate) {
        return candidate.readySince <= context.now - GROWTH_STABLE_MICROS
                && context.core.ips().stream().allMatch(context::isUp);
    }

    private boolean canDecideOn(CoreMembers next) {
        return context.jointQuorum(next).isReachedBy(context.connectedIps());
    }
}
