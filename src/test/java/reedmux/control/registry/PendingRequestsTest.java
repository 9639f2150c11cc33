package reedmux.control.registry;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNull;

import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.Test;
import reedmux.testing.ScheduleExplorer;

/** Responses, cancellations and lost connections in all orders. */
public class PendingRequestsTest {

    /** Two requests: one over connections a and b, and one over a2, which replaces a. */
    @Test
    public void eachRequestCompletesOnceWithItsOwnResponse() {
        int orderings = ScheduleExplorer.exploreAll(100_000, orders -> {
            PendingRequests<String, String> pending = new PendingRequests<>();
            List<String> ends = new ArrayList<>();
            long one = pending.register(List.of("a", "b"), "one");
            long two = pending.register(List.of("a2"), "two");
            List<Runnable> left = new ArrayList<>(List.of(
                    () -> recordCompletion(ends, pending.complete(one, "a"), "one"),
                    () -> recordCompletion(ends, pending.complete(one, "b"), "one"),
                    () -> pending.onConnectionLost("a").forEach(who -> recordCompletion(ends, who, "one")),
                    () -> pending.onConnectionLost("b").forEach(who -> recordCompletion(ends, who, "one")),
                    () -> assertNull(pending.complete(one, "a2")), // the next connection to the same peer
                    () -> assertNull(pending.complete(two, "a")), // the previous connection to the same peer
                    () -> recordCompletion(ends, pending.complete(two, "a2"), "two"),
                    () -> recordCompletion(ends, pending.cancel(two), "two")));
            while (!left.isEmpty()) {
                left.remove(orders.choose(left.size())).run();
            }
            assertEquals(ends.stream().filter("one"::equals).count(), 1);
            assertEquals(ends.stream().filter("two"::equals).count(), 1);
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
