package reedmux.proxy.quota;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import reedmux.common.quota.QuotaUpdate.TenantTotal;
import reedmux.control.session.SessionView;

/**
 * The heap over one view of the members, and this proxy's position in it. A unit is forwarded along the heap of the
 * view in which it was admitted, even by members that have switched to another view. Members learn of a view change at
 * different times, and a unit that some forward in one heap and others in another would reach only some of them.
 */
final class HeapView {
    private final SessionView view;
    private final int selfIndex;
    private final long generation;
    /** Links by tenant; used only after this view has been replaced. */
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

    /** Returns the generation, which increases with each view of this process. */
    long generation() {
        return generation;
    }

    long digest() {
        return view.digest();
    }

    long replacedAt() {
        return replacedAt;
    }

    /** Records that another view has become current. */
    void markReplaced(long now) {
        replacedAt = now;
    }

    void keepLinks(String tenant, LinkTotals former) {
        links.put(tenant, former);
    }

    /** Forwards a neighbour's units to the other neighbours in this view; units of other members are not forwarded. */
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

    /** Returns the totals that are due on a link of this view, once it has been replaced. */
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

    /** Returns the member index of the neighbour on a link, or -1 if there is none. */
    int neighbour(int link) {
        return view.heapNeighbours(selfIndex)[link];
    }
}
