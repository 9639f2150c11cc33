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

/** Tests that connections wait unread while the limit of their service's undecided requests is reached. */
final class IntakeLimiterTest {
    private final IntakeLimiter limiter = new IntakeLimiter(2);
    private final List<String> resumed = new ArrayList<>();

    private boolean resume(String connection, boolean open) {
        resumed.add(connection);
        return open;
    }

    @Example
    void eachDecisionResumesOneConnectionInArrivalOrder() {
        limiter.onRequestRead();
        assertFalse(limiter.isFull());
        limiter.onRequestRead();
        assertTrue(limiter.isFull());
        limiter.enqueue(() -> resume("a", true));
        limiter.enqueue(() -> resume("b", true));
        assertEquals(List.of(), resumed);
        limiter.onRequestDecided();
        assertEquals(List.of("a"), resumed);
        limiter.onRequestRead();
        limiter.onRequestDecided();
        assertEquals(List.of("a", "b"), resumed);
    }

    @Example
    void aClosedConnectionIsSkipped() {
        limiter.onRequestRead();
        limiter.onRequestRead();
        limiter.enqueue(() -> resume("closed", false));
        limiter.enqueue(() -> resume("b", true));
        limiter.enqueue(() -> resume("c", true));
        limiter.onRequestDecided();
        assertEquals(List.of("closed", "b"), resumed);
    }

    @Example
    void resumesAtOnceWhenNothingIsUndecided() {
        limiter.enqueue(() -> resume("late", true));
        assertEquals(List.of("late"), resumed);
        limiter.onRequestRead();
        limiter.onRequestRead();
        limiter.enqueue(() -> resume("a", true));
        limiter.resumeAll();
        assertEquals(List.of("late", "a"), resumed);
    }

    /** A resumed connection may send no request; all other waiting connections must be resumed nevertheless. */
    @Property(tries = 2_000, seed = "95")
    void everyConnectionIsEventuallyResumed(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        IntakeLimiter randomLimiter = new IntakeLimiter(1 + random.nextInt(4));
        List<Integer> resumedConnections = new ArrayList<>();
        int undecided = 0;
        int arrivals = 0;
        int served = 0;
        for (int step = 0; step < 200; step++) {
            if (random.nextBoolean()) {
                int connection = arrivals++;
                if (randomLimiter.isFull()) {
                    randomLimiter.enqueue(() -> {
                        resumedConnections.add(connection);
                        return true;
                    });
                } else {
                    randomLimiter.onRequestRead();
                    undecided++;
                }
            } else if (undecided > 0) {
                randomLimiter.onRequestDecided();
                undecided--;
                served++;
            }
            while (!resumedConnections.isEmpty()) {
                resumedConnections.remove(0);
                if (random.nextInt(4) == 0) {
                    served++; // the connection was closed or sent no request
                } else {
                    randomLimiter.onRequestRead();
                    undecided++;
                }
            }
        }
        for (int i = 0; i < 1_000 && served < arrivals; i++) {
            if (undecided > 0) {
                randomLimiter.onRequestDecided();
                undecided--;
                served++;
            }
            randomLimiter.sweep();
            undecided += resumedConnections.size();
            resumedConnections.forEach(connection -> randomLimiter.onRequestRead());
            resumedConnections.clear();
        }
        assertEquals(arrivals, served);
    }
}
