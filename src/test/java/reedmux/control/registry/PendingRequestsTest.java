package reedmux.control.registry;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNull;

import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.Test;
import reedmux.testing.ScheduleExplorer;

/** Delivers responses, cancellations and connection losses in every order. */
public class PendingRequestsTest {

    /** The first request is sent over connections a and b, the second one over a2, which replaces a. */
    @Test
    public void eachRequestCompletesOnceWithItsOwnResponse() {
        int orderings = ScheduleExplorer.exploreAll(100_000, choices -> {
            PendingRequests<String, String> pending = new PendingRequests<>();
            List<String> completed = new ArrayList<>();
            long firstId = pending.register(List.of("a", "b"), "first");
            long secondId = pending.register(List.of("a2"), "second");
            List<Runnable> remaining = new ArrayList<>(List.of(
                    () -> recordCompletion(completed, pending.complete(firstId, "a"), "first"),
                    () -> recordCompletion(completed, pending.complete(firstId, "b"), "first"),
                    () -> pending.onConnectionLost("a").forEach(waiter -> recordCompletion(completed, waiter, "first")),
                    () -> pending.onConnectionLost("b").forEach(waiter -> recordCompletion(completed, waiter, "first")),
                    () -> assertNull(pending.complete(firstId, "a2")), // on the later connection to the same peer
                    () -> assertNull(pending.complete(secondId, "a")), // on the earlier connection to the same peer
                    () -> recordCompletion(completed, pending.complete(secondId, "a2"), "second"),
                    () -> recordCompletion(completed, pending.cancel(secondId), "second")));
            while (!remaining.isEmpty()) {
                remaining.remove(choices.choose(remaining.size())).run();
            }
            assertEquals(completed.stream().filter("first"::equals).count(), 1);
            assertEquals(completed.stream().filter("second"::equals).count(), 1);
        });
        assertEquals(orderings, 40_320);
    }

    private static void recordCompletion(List<String> completed, String waiter, String expected) {
        if (waiter != null) {
            assertEquals(waiter, expected);
            completed.add(waiter);
        }
    }
}
