package reedmux.gatekeeper.http;

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
final class IntakeLimiterTest {
    private final IntakeLimiter intake = new IntakeLimiter(2);
    private final List<String> resumed = new ArrayList<>();

    private boolean resume(String who, boolean open) {
        resumed.add(who);
        return open;
    }

    @Example
    void eachDecisionResumesOneInArrivalOrder() {
        intake.onRequestRead();
        assertFalse(intake.isFull());
        intake.onRequestRead();
        assertTrue(intake.isFull());
        intake.enqueue(() -> resume("a", true));
        intake.enqueue(() -> resume("b", true));
        assertEquals(List.of(), resumed);
        intake.onRequestDecided();
        assertEquals(List.of("a"), resumed);
        intake.onRequestRead();
        intake.onRequestDecided();
        assertEquals(List.of("a", "b"), resumed);
    }

    @Example
    void aClosedConnectionIsSkipped() {
        intake.onRequestRead();
        intake.onRequestRead();
        intake.enqueue(() -> resume("closed", false));
        intake.enqueue(() -> resume("b", true));
        intake.enqueue(() -> resume("c", true));
        intake.onRequestDecided();
        assertEquals(List.of("closed", "b"), resumed);
    }

    @Example
    void resumesAtOnceWhenNothingIsUndecided() {
        intake.enqueue(() -> resume("late", true));
        assertEquals(List.of("late"), resumed);
        intake.onRequestRead();
        intake.onRequestRead();
        intake.enqueue(() -> resume("a", true));
        intake.resumeAll();
        assertEquals(List.of("late", "a"), resumed);
    }

    /** Whoever is let in may say nothing: all the others come to be read all the same. */
    @Property(tries = 2_000, seed = "95")
    void everyConnectionIsEventuallyResumed(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        IntakeLimiter some = new IntakeLimiter(1 + random.nextInt(4));
        List<Integer> ready = new ArrayList<>();
        int undecided = 0;
        int asked = 0;
        int served = 0;
        for (int step = 0; step < 200; step++) {
            if (random.nextBoolean()) {
                int who = asked++;
                if (some.isFull()) {
                    some.enqueue(() -> {
                        ready.add(who);
                        return true;
                    });
                } else {
                    some.onRequestRead();
                    undecided++;
                }
            } else if (undecided > 0) {
                some.onRequestDecided();
                undecided--;
                served++;
            }
            while (!ready.isEmpty()) {
                ready.remove(0);
                if (random.nextInt(4) == 0) {
                    served++; // it had closed, or says nothing
                } else {
                    some.onRequestRead();
                    undecided++;
                }
            }
        }
        for (int i = 0; i < 1_000 && served < asked; i++) {
            if (undecided > 0) {
                some.onRequestDecided();
                undecided--;
                served++;
            }
            some.sweep();
            undecided += ready.size();
            ready.forEach(who -> some.onRequestRead());
            ready.clear();
        }
        assertEquals(asked, served);
    }
}
