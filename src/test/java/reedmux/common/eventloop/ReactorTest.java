package reedmux.common.eventloop;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.Test;

/** Tests the timers of the reactor. */
public class ReactorTest {
    private static final long HOUR_MICROS = 3_600_000_000L;

    private final ScriptedEnvironment environment = new ScriptedEnvironment();
    private final Reactor reactor = environment.reactor();

    /** Guards against timers that use memory until they are due, although they were cancelled long before. */
    @Test
    public void cancelledTasksDoNotAccumulateUntilTheyAreDue() {
        List<String> ran = new ArrayList<>();
        reactor.scheduleAfter(HOUR_MICROS, () -> ran.add("kept"));
        for (int i = 0; i < 100_000; i++) {
            reactor.scheduleAfter(2 * HOUR_MICROS, () -> ran.add("cancelled")).cancel();
            assertTrue(reactor.scheduledTaskCount() < 200, "scheduled: " + reactor.scheduledTaskCount());
        }
        environment.advanceMicros(3 * HOUR_MICROS);
        assertEquals(ran, List.of("kept"));
        assertEquals(reactor.scheduledTaskCount(), 0);
    }

    /** Tasks run in the order of their times while others are cancelled, also by a task that runs at that moment. */
    @Test
    public void remainingTasksRunInOrderAfterCancellations() {
        List<Integer> ran = new ArrayList<>();
        List<Reactor.ScheduledTask> tasks = new ArrayList<>();
        for (int i = 0; i < 1000; i++) {
            int number = i;
            tasks.add(reactor.scheduleAfter((i * 7919L) % 1000, () -> ran.add((int) ((number * 7919L) % 1000))));
        }
        reactor.scheduleAfter(500, () -> tasks.subList(0, 800).forEach(Reactor.ScheduledTask::cancel));
        tasks.subList(800, 1000).forEach(Reactor.ScheduledTask::cancel);
        environment.advanceMicros(HOUR_MICROS);
        List<Integer> sorted = new ArrayList<>(ran);
        sorted.sort(null);
        assertEquals(ran, sorted);
        assertTrue(ran.stream().noneMatch(time -> time > 500));
        tasks.get(0).cancel();
        assertEquals(reactor.scheduledTaskCount(), 0);
    }
}
