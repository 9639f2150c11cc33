package reedmux.common.eventloop;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.Test;

/** Tests the timers of the reactor, and how it handles errors of callbacks. */
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

    /** Guards against one connection's error that ends the process, and with it the work of all others. */
    @Test
    public void errorOfOneConnectionDoesNotEndTheOthers() throws IOException {
        Connection failing = environment.acceptConnection();
        List<String> closed = new ArrayList<>();
        failing.setHandler(new Connection.ConnectionHandler() {
            @Override
            public void onInput() {
                throw new OutOfMemoryError("requested by the test");
            }

            @Override
            public void onClosed(String reason) {
                closed.add(reason);
            }
        });
        environment.acceptConnection().setHandler(new Connection.ConnectionHandler() {
            @Override
            public void onInput() {
                closed.add("served");
            }

            @Override
            public void onClosed(String reason) {
                closed.add("not expected");
            }
        });
        environment.sockets.get(0).receive("x");
        environment.sockets.get(1).receive("x");
        assertEquals(closed.size(), 2);
        assertEquals(closed.get(1), "served");
        assertTrue(environment.sockets.get(0).isClosed());
        assertFalse(environment.sockets.get(1).isClosed());
        reactor.execute(() -> {
            throw new StackOverflowError("requested by the test");
        });
        List<String> ran = new ArrayList<>();
        reactor.scheduleAfter(0, () -> ran.add("later task"));
        environment.runReactorOnce();
        assertEquals(ran, List.of("later task"));
        assertEquals(reactor.invariants().violations(), 2);
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
