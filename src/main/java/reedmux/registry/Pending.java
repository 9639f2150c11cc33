package reedmux.registry;

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
final class Pending<L, T> {
    private final Map<Long, Question<L, T>> questions = new HashMap<>();
    private long numbers;

    private static final class Question<L, T> {
        private final Set<L> over;
        private final T waits;

        Question(Set<L> over, T waits) {
            this.over = over;
            this.waits = waits;
        }
    }

    /** Takes note of a question over some links; returns its number. */
    long ask(List<L> over, T waits) {
        questions.put(++numbers, new Question<>(new HashSet<>(over), waits));
        return numbers;
    }

    /** An answer has come: who waits for it, or null where nobody does. */
    T answered(long number, L over) {
        Question<L, T> question = questions.get(number);
        return question == null || !question.over.contains(over) ? null : ended(number);
    }

    /** It is waited for no longer: who did, or null where it has its answer. */
    T ended(long number) {
        Question<L, T> question = questions.remove(number);
        return question == null ? null : question.waits;
    }

    /** A link is gone: who waits for what only it could bring. */
    List<T> lost(L link) {
        List<T> all = new ArrayList<>();
        for (Iterator<Question<L, T>> at = questions.values().iterator(); at.hasNext(); ) {
            Question<L, T> question = at.next();
            if (question.over.remove(link) && question.over.isEmpty()) {
                at.remove();
                all.add(question.waits);
            }
        }
        return all;
    }
}
