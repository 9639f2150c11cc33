package reedmux.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

/** Connections that wait unread while enough of their service's requests are on their way. */
final class IntakeTest {
    private final Intake intake = new Intake(2);
    private final List<String> wentOn = new ArrayList<>();

    private boolean goOn(String who, boolean open) {
        wentOn.add(who);
        return open;
    }

    @Example
    void eachDecisionLetsOneInInTheirOrder() {
        intake.entered();
        assertFalse(intake.full());
        intake.entered();
        assertTrue(intake.full());
        intake.await(() -> goOn("a", true));
        intake.await(() -> goOn("b", true));
        assertEquals(List.of(), wentOn);
        intake.decided();
        assertEquals(List.of("a"), wentOn);
        intake.entered();
        intake.decided();
        assertEquals(List.of("a", "b"), wentOn);
    }

    @Example
    void oneThatHasClosedLetsTheNextInInItsPlace() {
        intake.entered();
        intake.entered();
        intake.await(() -> goOn("closed", false));
        intake.await(() -> goOn("b", true));
        intake.await(() -> goOn("c", true));
        intake.decided();
        assertEquals(List.of("closed", "b"), wentOn);
    }

    @Example
    void nobodyWaitsForWhatIsDecidedAlready() {
        intake.await(() -> goOn("late", true));
        assertEquals(List.of("late"), wentOn);
        intake.entered();
        intake.entered();
        intake.await(() -> goOn("a", true));
        intake.end();
        assertEquals(List.of("late", "a"), wentOn);
    }

    /** Whoever is let in may say nothing: all the others come to be read all the same. */
    @Property(tries = 2_000, seed = "95")
    void nobodyWaitsForEver(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        Intake some = new Intake(1 + random.nextInt(4));
        List<Integer> ready = new ArrayList<>();
        int undecided = 0;
        int asked = 0;
        int served = 0;
        for (int step = 0; step < 200; step++) {
            if (random.nextBoolean()) {
                int who = asked++;
                if (some.full()) {
                    some.await(() -> {
                        ready.add(who);
                        return true;
                    });
                } else {
                    some.entered();
                    undecided++;
                }
            } else if (undecided > 0) {
                some.decided();
                undecided--;
                served++;
            }
            while (!ready.isEmpty()) {
                ready.remove(0);
                if (random.nextInt(4) == 0) {
                    served++; // it had closed, or says nothing
                } else {
                    some.entered();
                    undecided++;
                }
            }
        }
        for (int i = 0; i < 1_000 && served < asked; i++) {
            if (undecided > 0) {
                some.decided();
                undecided--;
                served++;
            }
            some.sweep();
            undecided += ready.size();
            ready.forEach(who -> some.entered());
            ready.clear();
        }
        assertEquals(asked, served);
    }
}
