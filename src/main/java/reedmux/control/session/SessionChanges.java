package reedmux.control.session;

import java.util.ArrayList;
import java.util.List;

/**
 * What has changed in a set of sessions.
 *
 * @param complete whether {@code started} is the whole set, so that every other session has ended
 * @param started the sessions that have started, one a node; each replaces the earlier one of its node
 * @param ended the nodes whose session has ended
 */
public record SessionChanges(boolean complete, List<ProxySession> started, List<String> ended) {
    /** No change. */
    public static final SessionChanges NONE = new SessionChanges(false, List.of(), List.of());

    /** Copies the lists. */
    public SessionChanges {
        started = new ArrayList<>(started);
        ended = new ArrayList<>(ended);
    }

    /** Whether nothing has changed. A complete set is never empty in this sense. */
    public boolean isEmpty() {
        return !complete && started.isEmpty() && ended.isEmpty();
    }
}
