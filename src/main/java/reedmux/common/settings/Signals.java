package reedmux.common.settings;

import java.util.function.Consumer;
import sun.misc.Signal;
import sun.misc.SignalHandler;

/** Installs handlers for the signals that the platform sends to the process. */
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
     * Runs a task on a JVM thread whenever a signal arrives. Without a handler the JVM exits on SIGTERM and SIGHUP. The
     * signal class of the JDK is not part of its documented API. It may reject a signal, and it leaves a signal ignored
     * that the parent process ignores. In both cases the program keeps running and the log reports it.
     *
     * @param name the name of the signal without {@code SIG}
     */
    public static void handle(String name, Runnable task, Consumer<String> log) {
        try {
            SignalHandler previous = Signal.handle(new Signal(name), new TaskHandler(task));
            if (previous == SignalHandler.SIG_IGN) {
                // the JVM keeps ignoring a signal that its parent process ignores, and calls no handler
                log.accept("SIG" + name + " is ignored, as by the process that started this one");
            }
        } catch (IllegalArgumentException e) {
            log.accept("SIG" + name + " cannot be handled: " + e.getMessage());
        }
    }
}
