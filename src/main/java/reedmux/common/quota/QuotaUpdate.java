package reedmux.common.quota;

import java.util.ArrayList;

/**
 * A datagram from one member of the proxies' heap to a neighbour: running totals of the units that tenants have used.
 *
 * @param sender           the sender's node
 * @param incarnation      drawn at the start of the sender's process
 * @param generation       rises with each view of the sender, whose totals then begin at zero
 * @param viewDigest       the digest of the sender's view
 * @param reachableMembers how many members the sender reaches without the receiver, itself included
 * @param entries          one for each tenant that has news
 */
public record QuotaUpdate(
        String sender,
        long incarnation,
        long generation,
        long viewDigest,
        int reachableMembers,
        ArrayList<TenantTotal> entries) {

    /**
     * One tenant's entry.
     *
     * @param total       the units that the link has carried in this generation
     * @param senderCount what the sender counts, for a receiver that is new; else below zero
     */
    public record TenantTotal(String tenant, double total, double senderCount) {}
}
