package reedmux.testing;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.function.Consumer;

/**
 * Plays a test once for each schedule of its choices, such as which message is delivered next. The test takes every
 * choice from {@link #choose}, and has to be deterministic otherwise.
 */
public final class ScheduleExplorer {
    /** The choices of the play under way, which the next play repeats but for the last one that has an alternative. */
    private final List<Choice> choices = new ArrayList<>();

    private int nextChoice;
    /** Draws the choices where schedules are sampled; null where all are explored. */
    private final Random random;

    private static final class Choice {
        private final int alternatives;
        private int taken;

        private Choice(int alternatives) {
            this.alternatives = alternatives;
        }

        private boolean isLast() {
            return taken + 1 == alternatives;
        }
    }

    private ScheduleExplorer(Random random) {
        this.random = random;
    }

    /** Chooses one of so many alternatives, counted from 0. */
    public int choose(int alternatives) {
        if (alternatives == 1) {
            return 0;
        }
        if (random != null) {
            return random.nextInt(alternatives);
        }
        if (nextChoice == choices.size()) {
            choices.add(new Choice(alternatives));
        }
        return choices.get(nextChoice++).taken;
    }

    /** Goes on to the next schedule, depth first; returns whether there is one. */
    private boolean advance() {
        int last = choices.size() - 1;
        while (last >= 0 && choices.get(last).isLast()) {
            choices.remove(last--);
        }
        if (last < 0) {
            return false;
        }
        choices.get(last).taken++;
        nextChoice = 0;
        return true;
    }

    /** Plays all schedules, but {@code most} of them at the most; returns how many it has played. */
    public static int exploreAll(int most, Consumer<ScheduleExplorer> play) {
        ScheduleExplorer explorer = new ScheduleExplorer(null);
        int plays = 0;
        do {
            play.accept(explorer);
            plays++;
        } while (plays < most && explorer.advance());
        return plays;
    }

    /**
     * Plays as {@link #exploreAll}, and where that does not reach the end, as many schedules that are drawn at random,
     * always the same ones.
     */
    public static int exploreAllOrSample(int most, Consumer<ScheduleExplorer> play) {
        int plays = exploreAll(most, play);
        if (plays < most) {
            return plays;
        }
        for (int seed = 0; seed < most; seed++) {
            play.accept(new ScheduleExplorer(new Random(seed)));
        }
        return 2 * most;
    }
}
