package reedmux.common.quota;

import java.util.ArrayList;

/**
 * A datagram that one member of the proxies' heap sends to a neighbour, with cumulative totals of the units that
 * tenants have used.
 *
 * @param sender           the name of the sending node
 * @param incarnation      identifies the sender's process; assigned when the process starts
 * @param generation       increases with each view of the sender, which resets its totals to zero
 * @param viewDigest       the digest of the sender's view
 * @param reachableMembers number of members that the sender can reach without the receiver, including itself
 * @param entries          one entry for each tenant with changes to report
 */
public record QuotaUpdate(
        String sender,
        long incarnation,
        long generation,
        long viewDigest,
        int reachableMembers,
        ArrayList<TenantTotal> entries) {

    /**
     * The total of one tenant on the link between sender and receiver.
     *
     * @param tenant      the name of the tenant
     * @param total       all units sent over the link in this generation
     * @param senderCount the sender's count, which a new receiver may adopt; negative if absent
     */
    public record TenantTotal(String tenant, double total, double senderCount) {}
}
