package reedmux.control.session;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import reedmux.control.changes.ChangeCounter;
import reedmux.control.changes.ChangeList;
import reedmux.control.changes.ChangeList.ChangeListNode;

/**
 * The current session of each node, in the order of the last changes, so that a reader receives only what has changed
 * since its last read. The log also retains the nodes whose sessions ended most recently, up to {@link
 * #MAX_ENDED_ENTRIES}. A reader whose position is older than an evicted end receives the complete state instead.
 */
final class SessionChangeLog {
    /** The number of nodes without a session that are retained. */
    private static final int MAX_ENDED_ENTRIES = 2048;

    private final ChangeCounter counter;
    private final Map<String, ChangeListNode<SessionEntry>> entries = new HashMap<>();
    private final ChangeList<SessionEntry> changeOrder = new ChangeList<>();
    /** The entries whose session has ended, in the order in which the sessions ended. */
    private final ChangeList<SessionEntry> endOrder = new ChangeList<>();

    private int endedCount;
    /** Entries whose session ended at or before this change may have been evicted. */
    private long evictedUpToChange;

    /** A node with its session, which is null once it has ended. */
    private static final class SessionEntry {
        private final String node;
        private final ChangeListNode<SessionEntry> endNode = new ChangeListNode<>(this);
        private ProxySession session;

        private SessionEntry(String node) {
            this.node = node;
        }
    }

    SessionChangeLog(ChangeCounter counter) {
        this.counter = counter;
    }

    /** Sets the session of the session's node; returns whether it differs from the previous one. */
    boolean start(ProxySession session) {
        ChangeListNode<SessionEntry> listNode = entries.get(session.node());
        if (listNode == null) {
            listNode = new ChangeListNode<>(new SessionEntry(session.node()));
            entries.put(session.node(), listNode);
        } else if (session.equals(listNode.value().session)) {
            return false;
        } else if (listNode.value().session == null) {
            endOrder.remove(listNode.value().endNode);
            endedCount--;
        }
        listNode.value().session = session;
        changeOrder.moveToNewest(listNode, counter.next());
        return true;
    }

    /** Ends the session of a node; returns whether the node had one. */
    boolean end(String node) {
        ChangeListNode<SessionEntry> listNode = entries.get(node);
        if (listNode == null || listNode.value().session == null) {
            return false;
        }
        SessionEntry entry = listNode.value();
        entry.session = null;
        changeOrder.moveToNewest(listNode, counter.next());
        endOrder.moveToNewest(entry.endNode, counter.last());
        endedCount++;
        if (endedCount > MAX_ENDED_ENTRIES) {
            evictOldestEnded();
        }
        return true;
    }

    private void evictOldestEnded() {
        ChangeListNode<SessionEntry> oldest = endOrder.oldest();
        evictedUpToChange = oldest.change();
        endedCount--;
        endOrder.remove(oldest);
        changeOrder.remove(entries.remove(oldest.value().node));
    }

    /** Returns everything that changed after the given change; a negative value requests the complete state. */
    SessionChanges changesSince(long change) {
        boolean complete = change < evictedUpToChange;
        List<ProxySession> started = new ArrayList<>();
        List<String> ended = new ArrayList<>();
        ChangeListNode<SessionEntry> listNode = changeOrder.firstAfterChange(complete ? -1 : change);
        while (listNode != null) {
            SessionEntry entry = listNode.value();
            if (entry.session != null) {
                started.add(entry.session);
            } else if (!complete) {
                ended.add(entry.node);
            }
            listNode = changeOrder.nextNewer(listNode);
        }
        return new SessionChanges(complete, started, ended);
    }
}
