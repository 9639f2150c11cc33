package reedmux.testing;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.function.Consumer;

/**
 * Runs a test once for each schedule, that is, for each sequence of choices such as which message is delivered next.
 * The test obtains every choice from {@link #choose} and must otherwise be deterministic.
 */
public final class ScheduleExplorer {
    /**
     * The choices of the current run. The next run repeats them up to the last one that has an untried alternative, and
     * takes that alternative there.
     */
    private final List<Choice> choices = new ArrayList<>();

    private int nextChoice;
    /** Draws the choices when schedules are sampled; null when they are enumerated. */
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

    /** Returns the index, counted from 0, of the alternative to take out of {@code alternatives}. */
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

    /** Advances to the next schedule in depth-first order; returns false if there is none. */
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

    /** Runs the test for every schedule, up to {@code maxRuns} of them, and returns the number of runs. */
    public static int exploreAll(int maxRuns, Consumer<ScheduleExplorer> test) {
        ScheduleExplorer explorer = new ScheduleExplorer(null);
        int runs = 0;
        do {
            test.accept(explorer);
            runs++;
        } while (runs < maxRuns && explorer.advance());
        return runs;
    }

    /**
     * Runs the test as {@link #exploreAll} does. If that reaches {@code maxRuns}, runs it for another {@code maxRuns}
     * schedules drawn at random with fixed seeds, so that every execution draws the same ones. Returns the number of
     * runs.
     */
    public static int exploreAllOrSample(int maxRuns, Consumer<ScheduleExplorer> test) {
        int runs = exploreAll(maxRuns, test);
        if (runs < maxRuns) {
            return runs;
        }
        for (int seed = 0; seed < maxRuns; seed++) {
            test.accept(new ScheduleExplorer(new Random(seed)));
        }
        return 2 * maxRuns;
    }
}
