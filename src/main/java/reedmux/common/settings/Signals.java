package reedmux.common.settings;

import java.util.function.Consumer;
import sun.misc.Signal;
import sun.misc.SignalHandler;

/** Handlers for the signals that the platform sends. */
public final class Signals {

    private Signals() {}

    private static final class TaskHandler implements SignalHandler {
        private final Runnable task;

        private TaskHandler(Runnable task) {
            this.task = task;
        }

        @Override
        public void handle(Signal signal) {
            task.run();
        }
    }

    /**
     * Runs a task at each signal of a name, on a thread of the JVM; without it the JVM ends at SIGTERM and SIGHUP. The
     * JDK's class for signals is not part of its documented interface, and may refuse a signal, or leave one ignored
     * that the parent process ignores: the program runs all the same then, and the log says so.
     *
     * @param name the signal without {@code SIG}
     */
    public static void handle(String name, Runnable task, Consumer<String> log) {
        try {
            SignalHandler previous = Signal.handle(new Signal(name), new TaskHandler(task));
            if (previous == SignalHandler.SIG_IGN) {
                // the JVM leaves a signal ignored that its parent ignores, and calls no handler
                log.accept("SIG" + name + " is ignored, as by the process that started this one");
            }
        } catch (IllegalArgumentException e) {
            log.accept("SIG" + name + " is not handled here: " + e.getMessage());
        }
    }
}
