package reedmux.control.registry;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Questions that were put to others and have no answer yet. An answer counts only with the question's number
 * and over a link on which it was put, so one of a link or a process that is gone answers nothing. Pure.
 *
 * @param <L> a link
 * @param <T> who waits
 */
final class PendingRequests<L, T> {
    private final Map<Long, PendingRequest<L, T>> requests = new HashMap<>();
    private long lastId;

    private static final class PendingRequest<L, T> {
        private final Set<L> connections;
        private final T waiter;

        PendingRequest(Set<L> over, T waits) {
            this.connections = over;
            this.waiter = waits;
        }
    }

    /** Takes note of a question over some links; returns its number. */
    long register(List<L> over, T waits) {
        requests.put(++lastId, new PendingRequest<>(new HashSet<>(over), waits));
        return lastId;
    }

    /** An answer has come: who waits for it, or null where nobody does. */
    T complete(long number, L over) {
        PendingRequest<L, T> question = requests.get(number);
        return question == null || !question.connections.contains(over) ? null : cancel(number);
    }

    /** It is waited for no longer: who did, or null where it has its answer. */
    T cancel(long number) {
        PendingRequest<L, T> question = requests.remove(number);
        return question == null ? null : question.waiter;
    }

    /** A link is gone: who waits for what only it could bring. */
    List<T> onConnectionLost(L link) {
        List<T> all = new ArrayList<>();
        for (Iterator<PendingRequest<L, T>> at = requests.values().iterator(); at.hasNext(); ) {
            PendingRequest<L, T> question = at.next();
            if (question.connections.remove(link) && question.connections.isEmpty()) {
                at.remove();
                all.add(question.waiter);
            }
        }
        return all;
    }
}
