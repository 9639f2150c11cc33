package reedmux.control.session;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import reedmux.control.changes.ChangeCounter;
import reedmux.control.changes.ChangeList;

/**
 * Sessions by node, each with the number of its last change, so that who knows an earlier state is told what
 * differs. Of those that have ended the latest are kept; who knows only what was before is told the whole.
 */
final class SessionChangeLog {
    private static final int MAX_ENDED_ENTRIES = 2048;
    private final ChangeCounter counter;
    private final Map<String, ChangeList.ChangeListNode<SessionEntry>> entries = new HashMap<>();
    private final ChangeList<SessionEntry> changeOrder = new ChangeList<>();
    private final ChangeList<SessionEntry> endOrder = new ChangeList<>();
    private int endedCount;
    private long oldestKnownChange;

    /** A node, and its session if it has one. */
    private static final class SessionEntry {
        private final String node;
        private final ChangeList.ChangeListNode<SessionEntry> endNode = new ChangeList.ChangeListNode<>(this);
        private ProxySession session;

        private SessionEntry(String node) {
            this.node = node;
        }
    }

    SessionChangeLog(ChangeCounter counter) {
        this.counter = counter;
    }

    /** Returns whether that is news. */
    boolean start(ProxySession session) {
        ChangeList.ChangeListNode<SessionEntry> place = entries.get(session.node());
        if (place == null) {
            place = new ChangeList.ChangeListNode<>(new SessionEntry(session.node()));
            entries.put(session.node(), place);
        } else if (session.equals(place.value().session)) {
            return false;
        } else if (place.value().session == null) {
            endedCount--;
            endOrder.remove(place.value().endNode);
        }
        place.value().session = session;
        changeOrder.moveToNewest(place, counter.next());
        return true;
    }

    boolean end(String node) {
        ChangeList.ChangeListNode<SessionEntry> place = entries.get(node);
        if (place == null || place.value().session == null) {
            return false;
        }
        place.value().session = null;
        changeOrder.moveToNewest(place, counter.next());
        endOrder.moveToNewest(place.value().endNode, counter.last());
        if (++endedCount > MAX_ENDED_ENTRIES) {
            ChangeList.ChangeListNode<SessionEntry> oldest = endOrder.oldest();
            oldestKnownChange = oldest.change();
            endedCount--;
            endOrder.remove(oldest);
            changeOrder.remove(entries.remove(oldest.value().node));
        }
        return true;
    }

    ProxySession get(String node) {
        ChangeList.ChangeListNode<SessionEntry> place = entries.get(node);
        return place == null ? null : place.value().session;
    }

    /** What has changed since; the whole for who knows nothing, {@code change < 0}. */
    SessionChanges changesSince(long change) {
        boolean whole = change < oldestKnownChange;
        List<ProxySession> begun = new ArrayList<>();
        List<String> gone = new ArrayList<>();
        ChangeList.ChangeListNode<SessionEntry> at = changeOrder.firstAfterChange(whole ? -1 : change);
        for (; at != null; at = changeOrder.nextNewer(at)) {
            if (at.value().session != null) {
                begun.add(at.value().session);
            } else if (!whole) {
                gone.add(at.value().node);
            }
        }
        return new SessionChanges(whole, begun, gone);
    }
}
