package reedmux.control.session;

import java.util.ArrayList;
import java.util.List;

/**
 * What has changed of a set of sessions.
 *
 * @param whole whether {@code started} is all there is, and what is known besides has ended
 * @param begun sessions that stand now, one a node; it takes the place of an earlier one of its node
 * @param ended nodes without a session
 */
public record SessionChanges(boolean complete, List<ProxySession> started, List<String> ended) {
    public static final SessionChanges NONE = new SessionChanges(false, List.of(), List.of());

    public SessionChanges {
        started = new ArrayList<>(started);
        ended = new ArrayList<>(ended);
    }

    public boolean isEmpty() {
        return !complete && started.isEmpty() && ended.isEmpty();
    }
}
