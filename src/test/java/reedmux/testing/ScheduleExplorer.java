package reedmux.testing;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.function.Consumer;

/** Plays something once for each order of its choices, one by one, until there is none left. */
public final class ScheduleExplorer {
    private final List<int[]> taken = new ArrayList<>();
    private int at;
    private Random random;

    private ScheduleExplorer() {}

    /** Picks one of {@code many}, another one in each play. */
    public int choose(int many) {
        if (many == 1) {
            return 0;
        }
        if (random != null) {
            return random.nextInt(many);
        }
        if (at == taken.size()) {
            taken.add(new int[] {0, many});
        }
        return taken.get(at++)[0];
    }

    /** Plays all orders, {@code most} at the most, and returns how many there were. */
    public static int exploreAll(int most, Consumer<ScheduleExplorer> play) {
        ScheduleExplorer orders = new ScheduleExplorer();
        for (int plays = 1; ; plays++) {
            orders.at = 0;
            play.accept(orders);
            int last = orders.taken.size() - 1;
            while (last >= 0 && orders.taken.get(last)[0] + 1 == orders.taken.get(last)[1]) {
                orders.taken.remove(last--);
            }
            if (last < 0 || plays == most) {
                return plays;
            }
            orders.taken.get(last)[0]++;
        }
    }

    /** Plays as {@link #exploreAll}, and where there are more orders than that, so many drawn ones, too. */
    public static int exploreAllOrSample(int most, Consumer<ScheduleExplorer> play) {
        int plays = exploreAll(most, play);
        for (int i = 0; plays >= most && i < most; i++) {
            ScheduleExplorer orders = new ScheduleExplorer();
            orders.random = new Random(i);
            play.accept(orders);
        }
        return plays < most ? plays : 2 * most;
    }
}
