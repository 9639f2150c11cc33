package reedmux.member;

import java.util.ArrayList;
import java.util.List;

/**
 * What has changed of a set of sessions.
 *
 * @param whole whether {@code begun} is all there is, and what is known besides has ended
 * @param begun sessions that stand now, one a node; it takes the place of an earlier one of its node
 * @param ended nodes without a session
 */
public record Differences(boolean whole, List<Session> begun, List<String> ended) {
    public static final Differences NONE = new Differences(false, List.of(), List.of());

    public Differences {
        begun = new ArrayList<>(begun);
        ended = new ArrayList<>(ended);
    }

    public boolean none() {
        return !whole && begun.isEmpty() && ended.isEmpty();
    }
}
