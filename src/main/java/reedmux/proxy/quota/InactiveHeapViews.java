package reedmux.proxy.quota;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;

/**
 * Holds the state of all views other than the current one. In the heaps of recently replaced views, units of members
 * that have not switched yet are still forwarded. Units of views that other members have received before this proxy are
 * buffered until it receives the view. Times are in microseconds.
 */
final class InactiveHeapViews {
    /**
     * How long the members' views may differ. A longer time retains more totals; a shorter one loses units of members
     * that receive a view late.
     */
    private static final long RETENTION_MICROS = 4_000_000;
    /** Limits memory by the total number of members in former views; {@link #MIN_FORMER_VIEWS} are always retained. */
    private static final int MAX_FORMER_MEMBERS = 20_000;

    private static final int MIN_FORMER_VIEWS = 2;

    /** Units that were reported in a view that this proxy has not received yet. */
    record EarlyUnits(long receivedAt, String sender, String tenant, double units) {}

    private final Deque<HeapView> formerViews = new ArrayDeque<>();
    private int formerMembers;
    private final Map<Long, List<EarlyUnits>> earlyUnitsByDigest = new HashMap<>();

    /** Adds a view that has just been replaced. */
    void addFormer(HeapView replaced, long now) {
        replaced.markReplaced(now);
        formerViews.addLast(replaced);
        formerMembers += replaced.members().size();
        while (formerViews.size() > MIN_FORMER_VIEWS && formerMembers > MAX_FORMER_MEMBERS) {
            removeOldest();
        }
    }

    private void removeOldest() {
        formerMembers -= formerViews.removeFirst().members().size();
    }

    /** Discards former views and buffered units that are older than the retention time. */
    void expire(long now) {
        while (!formerViews.isEmpty() && now - formerViews.peekFirst().replacedAt() > RETENTION_MICROS) {
            removeOldest();
        }
        Iterator<List<EarlyUnits>> unitLists = earlyUnitsByDigest.values().iterator();
        while (unitLists.hasNext()) {
            List<EarlyUnits> early = unitLists.next();
            early.removeIf(units -> now - units.receivedAt() > RETENTION_MICROS);
            if (early.isEmpty()) {
                unitLists.remove();
            }
        }
    }

    /** Returns the recently replaced views, oldest first. */
    Iterable<HeapView> formerViews() {
        return formerViews;
    }

    /**
     * Handles units that a member reported in a view that is not current: forwards them in the heap of that view, or
     * buffers them until this proxy receives the view.
     */
    void onUnits(long viewDigest, String sender, String tenant, double units, long now) {
        Iterator<HeapView> latestFirst = formerViews.descendingIterator();
        while (latestFirst.hasNext()) {
            HeapView view = latestFirst.next();
            if (view.digest() == viewDigest) {
                view.forward(tenant, units, view.members().indexOf(sender));
                return;
            }
        }
        earlyUnitsByDigest
                .computeIfAbsent(viewDigest, any -> new ArrayList<>())
                .add(new EarlyUnits(now, sender, tenant, units));
    }

    /** Removes and returns the units that were buffered for a view. */
    List<EarlyUnits> takeEarlyUnits(long viewDigest) {
        List<EarlyUnits> early = earlyUnitsByDigest.remove(viewDigest);
        return early == null ? List.of() : early;
    }
}
