package reedmux.control.session;

import java.util.ArrayList;
import java.util.List;

/**
 * The changes of a set of sessions.
 *
 * @param complete whether {@code started} is the whole set, so that every other session has ended
 * @param started the sessions that have started, at most one for each node; each replaces the node's previous session
 * @param ended the nodes whose sessions have ended
 */
public record SessionChanges(boolean complete, List<ProxySession> started, List<String> ended) {
    /** No change. */
    public static final SessionChanges NONE = new SessionChanges(false, List.of(), List.of());

    /** Creates the changes with copies of both lists. */
    public SessionChanges {
        started = new ArrayList<>(started);
        ended = new ArrayList<>(ended);
    }

    /** Whether there are no changes. Returns false for a complete set, even if it holds no sessions. */
    public boolean isEmpty() {
        return !complete && started.isEmpty() && ended.isEmpty();
    }
}
