package reedmux.proxy.quota;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;

/**
 * The views other than the one in force: those that were replaced lately, in whose heaps units of members that are
 * behind are still passed on, and those that others have already and this proxy has yet to hear of, whose units are
 * kept until then. Times are microseconds.
 */
final class InactiveHeapViews {
    /** How long members may disagree: longer keeps more totals, shorter loses units where members hear late. */
    private static final long RETENTION_MICROS = 4_000_000;
    /** The members of all former views together, as a bound on memory; the last two views stay in any case. */
    private static final int MAX_FORMER_MEMBERS = 20_000;

    private static final int MIN_FORMER_VIEWS = 2;

    /** Units of a view that is not known here yet. */
    record EarlyUnits(long receivedAt, String sender, String tenant, double units) {}

    private final Deque<HeapView> formerViews = new ArrayDeque<>();
    private int formerMembers;
    private final Map<Long, List<EarlyUnits>> earlyUnitsByDigest = new HashMap<>();

    /** A view was replaced by another one. */
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

    /** Drops what is too old to matter. */
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

    /** The views that were replaced lately, the oldest first. */
    Iterable<HeapView> formerViews() {
        return formerViews;
    }

    /**
     * A member has reported units in a view that is not in force here: passes them on in that view's heap, or keeps
     * them until the view is heard of.
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

    /** Removes and returns the units that were kept for a view. */
    List<EarlyUnits> takeEarlyUnits(long viewDigest) {
        List<EarlyUnits> early = earlyUnitsByDigest.remove(viewDigest);
        return early == null ? List.of() : early;
    }
}
