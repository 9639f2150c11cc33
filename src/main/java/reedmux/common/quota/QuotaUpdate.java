package reedmux.common.quota;

import java.util.ArrayList;

/**
 * A datagram from one member of the proxies' heap to a neighbour: running totals of what tenants have used.
 *
 * @param sender           the name of its node
 * @param incarnation      drawn at the start of the sender's process
 * @param generation       rises whenever its totals begin anew, as with each of its views, also one that comes back
 * @param viewTag          the view that the sender counts in; totals of another view go no further
 * @param reachableMembers how many members it can reach without the receiver, itself among them
 * @param entries          one for each tenant that has news
 */
public record QuotaUpdate(
        String sender,
        long incarnation,
        long generation,
        long viewTag,
        int reachableMembers,
        ArrayList<TenantTotal> entries) {

    /**
     * What was used of one tenant's quota.
     *
     * @param total       units that have passed the link from its sender since the generation began
     * @param senderCount what the sender counts, for a receiver that is new; below nought otherwise
     */
    public record TenantTotal(String tenant, double total, double senderCount) {}
}
