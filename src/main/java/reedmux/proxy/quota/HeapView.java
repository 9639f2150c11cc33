package reedmux.proxy.quota;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import reedmux.common.quota.QuotaUpdate.TenantTotal;
import reedmux.control.session.SessionView;

/**
 * The heap over one view of the members, and this proxy's place in it. A unit is reported along the heap of the view
 * in which it was admitted, also by members that have gone on to another view: members hear of a change at different
 * times, and a unit that is passed on in one heap by some and in another by others would reach only a part of them.
 */
final class HeapView {
    private final SessionView view;
    private final int selfIndex;
    private final long generation;
    /** The links of tenants that had any in this view; only of a view that has been replaced. */
    private final Map<String, LinkTotals> links = new LinkedHashMap<>();

    private long replacedAt;

    HeapView(SessionView view, int selfIndex, long generation) {
        this.view = view;
        this.selfIndex = selfIndex;
        this.generation = generation;
    }

    SessionView members() {
        return view;
    }

    int selfIndex() {
        return selfIndex;
    }

    /** Rises with each view of this process. */
    long generation() {
        return generation;
    }

    long digest() {
        return view.digest();
    }

    long replacedAt() {
        return replacedAt;
    }

    /** Another view is in force from now on. */
    void markReplaced(long now) {
        replacedAt = now;
    }

    void keepLinks(String tenant, LinkTotals former) {
        links.put(tenant, former);
    }

    /** Passes a neighbour's units on to the other neighbours of this view; those of anybody else go no further. */
    void forward(String tenant, double units, int senderIndex) {
        LinkTotals totals = links.computeIfAbsent(tenant, name -> newLinks());
        if (totals.slotOf(senderIndex) >= 0) {
            totals.add(units, senderIndex);
        }
    }

    private LinkTotals newLinks() {
        LinkTotals unused = new LinkTotals();
        unused.neighbours = view.heapNeighbours(selfIndex);
        return unused;
    }

    /** The totals that are due on a link of this view, after it was replaced. */
    List<TenantTotal> collectTotals(int link) {
        List<TenantTotal> totals = new ArrayList<>();
        for (Map.Entry<String, LinkTotals> entry : links.entrySet()) {
            LinkTotals tenantLinks = entry.getValue();
            tenantLinks.advanceTotal(link);
            if (tenantLinks.neighbour(link) >= 0 && tenantLinks.hasTotalToSend(link)) {
                totals.add(new TenantTotal(entry.getKey(), tenantLinks.sendTotal(link), -1));
            }
        }
        return totals;
    }

    /** The index of the neighbour on a link, or -1. */
    int neighbour(int link) {
        return view.heapNeighbours(selfIndex)[link];
    }
}
