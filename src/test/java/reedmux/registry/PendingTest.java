package reedmux.registry;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNull;

import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.Test;
import reedmux.item.Orders;

/** Questions, answers, and ends of links and of patience in all orders. */
public class PendingTest {

    /** Two questions, to links a and b and to a's next; each has one end, and never another's answer. */
    @Test
    public void eachQuestionHasOneEndAndOnlyItsOwnAnswer() {
        int plays = Orders.all(100_000, orders -> {
            Pending<String, String> pending = new Pending<>();
            List<String> ends = new ArrayList<>();
            long one = pending.ask(List.of("a", "b"), "one");
            long two = pending.ask(List.of("a2"), "two");
            List<Runnable> left = new ArrayList<>(List.of(
                    () -> end(ends, pending.answered(one, "a"), "one"),
                    () -> end(ends, pending.answered(one, "b"), "one"),
                    () -> pending.lost("a").forEach(who -> end(ends, who, "one")),
                    () -> pending.lost("b").forEach(who -> end(ends, who, "one")),
                    () -> assertNull(pending.answered(one, "a2")), // the next link of who was asked
                    () -> assertNull(pending.answered(two, "a")), // a process that is gone
                    () -> end(ends, pending.answered(two, "a2"), "two"),
                    () -> end(ends, pending.ended(two), "two")));
            while (!left.isEmpty()) {
                left.remove(orders.pick(left.size())).run();
            }
            assertEquals(ends.stream().filter("one"::equals).count(), 1);
            assertEquals(ends.stream().filter("two"::equals).count(), 1);
        });
        assertEquals(plays, 40_320);
    }

    private static void end(List<String> ends, String who, String expected) {
        if (who != null) {
            assertEquals(who, expected);
            ends.add(who);
        }
    }
}
