package reedmux.cli;

import com.github.rvesse.airline.HelpOption;
import com.github.rvesse.airline.annotations.AirlineModule;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.FileTime;
import java.util.concurrent.Callable;
import java.util.function.Consumer;
import reedmux.common.eventloop.Reactor;
import reedmux.common.logging.RingBufferLogger;
import reedmux.common.settings.ProcessSettings;
import reedmux.common.settings.ProcessSettingsException;
import reedmux.common.settings.Program;
import reedmux.common.settings.Signals;

/**
 * Runs one of the gateway's programs on the calling thread until it has shut down: loads its settings, starts it, and
 * notifies it of signals and of changes to the settings file.
 */
abstract class ProgramCommand implements Callable<Integer> {
    private static final int LOG_CAPACITY_LINES = 500;
    /** The interval at which the settings file's modification time is polled, as the file may change without SIGHUP. */
    private static final long SETTINGS_CHECK_INTERVAL_MICROS = 2_000_000;

    @AirlineModule
    private HelpOption<ProgramCommand> help;

    /** Creates the program on a reactor; the program is listening when this method returns. */
    abstract Program start(ProcessSettings settings, Reactor reactor) throws ProcessSettingsException, IOException;

    @Override
    public Integer call() throws ProcessSettingsException, IOException {
        if (help != null && help.showHelpIfRequested()) {
            return ExitCode.OK;
        }
        ProcessSettings settings = ProcessSettings.fromEnvironment();
        serve(settings, newReactor(settings));
        return ExitCode.OK;
    }

    /** Starts the program and runs it for a while, so that the class archive contains the classes that this loads. */
    void rehearse(ProcessSettings settings, long durationMicros) throws ProcessSettingsException, IOException {
        System.getenv(ProcessSettings.ENVIRONMENT_VARIABLE);
        Reactor reactor = newReactor(settings);
        reactor.scheduleAfter(durationMicros, reactor::stop);
        serve(settings, reactor);
    }

    private static Reactor newReactor(ProcessSettings settings) throws IOException {
        return new Reactor(
                new RingBufferLogger(settings.node(), LOG_CAPACITY_LINES, System.err::println, System::nanoTime));
    }

    private void serve(ProcessSettings settings, Reactor reactor) throws ProcessSettingsException, IOException {
        RunningProgram runningProgram = new RunningProgram(reactor, Path.of(settings.file()));
        runningProgram.handleSignals();
        reactor.info("begins");
        runningProgram.program = start(settings, reactor);
        reactor.info("listens");
        Path file = runningProgram.file;
        FileTime[] lastKnownModified = {lastModified(file)};
        reactor.scheduleEvery(SETTINGS_CHECK_INTERVAL_MICROS, () -> {
            FileTime now = lastModified(file);
            if (now != null && !now.equals(lastKnownModified[0])) {
                lastKnownModified[0] = now;
                runningProgram.reload();
            }
        });
        reactor.run();
    }

    /** Returns null if the file cannot currently be read. */
    private static FileTime lastModified(Path file) {
        try {
            return Files.getLastModifiedTime(file);
        } catch (IOException e) {
            return null;
        }
    }

    /**
     * A starting or running program and its signal handlers. The handlers are installed before the program listens:
     * the JVM's default is to exit immediately, which would drop the requests received until then. Signals that arrive
     * before the reactor runs are queued.
     */
    private static final class RunningProgram {
        private final Reactor reactor;
        private final Path file;
        /** Assigned before the reactor runs. */
        private Program program;

        private RunningProgram(Reactor reactor, Path file) {
            this.reactor = reactor;
            this.file = file;
        }

        /**
         * Installs the handlers as anonymous classes: linking lambdas would delay the time at which the program
         * listens.
         */
        private void handleSignals() {
            Runnable shutdown = new Runnable() {
                @Override
                public void run() {
                    program.beginShutdown();
                }
            };
            Runnable reload = new Runnable() {
                @Override
                public void run() {
                    reload();
                }
            };
            Consumer<String> log = new Consumer<>() {
                @Override
                public void accept(String line) {
                    reactor.info(line);
                }
            };
            Signals.handle("TERM", new ReactorTask(reactor, shutdown), log);
            Signals.handle("HUP", new ReactorTask(reactor, reload), log);
        }

        /** Reloads the settings file; an invalid file is logged and changes nothing. */
        private void reload() {
            try {
                ProcessSettings changed = ProcessSettings.load(file);
                changed.checkAllValues();
                program.reload(changed);
                reactor.info("settings read again");
            } catch (ProcessSettingsException e) {
                reactor.info("settings: " + e.getMessage() + "; the old settings stay");
            }
        }
    }

    /** A task that runs another task on the reactor's thread. */
    private static final class ReactorTask implements Runnable {
        private final Reactor reactor;
        private final Runnable task;

        private ReactorTask(Reactor reactor, Runnable task) {
            this.reactor = reactor;
            this.task = task;
        }

        @Override
        public void run() {
            reactor.execute(task);
        }
    }
}
