package reedmux.cli;

import com.github.rvesse.airline.Cli;
import com.github.rvesse.airline.HelpOption;
import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.builder.CliBuilder;
import com.github.rvesse.airline.parser.errors.ParseException;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.FileTime;
import java.util.Set;
import java.util.concurrent.Callable;
import reedmux.common.eventloop.Reactor;
import reedmux.common.logging.RingBufferLogger;
import reedmux.common.settings.ProcessSettings;
import reedmux.common.settings.ProcessSettingsException;
import reedmux.common.settings.Program;
import reedmux.common.settings.Signals;
import reedmux.control.registry.Registry;
import reedmux.control.store.StoreServer;
import reedmux.proxy.Proxy;
import reedmux.simulation.harness.LoopbackGateway;

/** The programs of the whole system, one sub-command each. */
final class SystemCommands {
    private static final int FAILED = 1;
    private static final int BAD_USAGE = 2;
    private static final int BAD_SETTINGS = 3;
    private static final Set<String> COMMAND_NAMES =
            Set.of("proxy", "registry", "store", "check", "rehearse", "world", "show", "core");

    private SystemCommands() {}

    static boolean isCommand(String name) {
        return COMMAND_NAMES.contains(name);
    }

    /** Runs one and returns its exit code. */
    static int run(String[] args) {
        try {
            if (args.length == 1 && !Set.of("check", "world", "show", "core").contains(args[0])) {
                return withoutOptions(args[0])
                        .call(); // as the platform starts it: reading no options saves 0.1 s of CPU
            }
            return parsed(args).call();
        } catch (ParseException e) {
            System.err.println("reedmux: " + e.getMessage());
            System.err.println("try: reedmux " + args[0] + " --help");
            return BAD_USAGE;
        } catch (ProcessSettingsException e) {
            System.err.println("reedmux: settings: " + e.getMessage());
            return BAD_SETTINGS;
        } catch (Exception e) {
            System.err.println("reedmux: " + e);
            return FAILED;
        }
    }

    private static Callable<Integer> withoutOptions(String name) {
        return switch (name) {
            case "proxy" -> new ProxyCommand();
            case "registry" -> new RegistryCommand();
            case "store" -> new StoreCommand();
            default -> new RehearseCommand();
        };
    }

    private static Callable<Integer> parsed(String[] args) {
        CliBuilder<Callable<Integer>> builder = Cli.builder("reedmux");
        builder.withDescription("the programs of the gateway");
        builder.withCommand(ProxyCommand.class);
        builder.withCommand(RegistryCommand.class);
        builder.withCommand(StoreCommand.class);
        builder.withCommand(CheckCommand.class);
        builder.withCommand(RehearseCommand.class);
        builder.withCommand(WorldCommand.class);
        builder.withCommand(ShowCommand.class);
        builder.withCommand(CoreCommand.class);
        return builder.build().parse(args);
    }

    /** What the three programs have in common. */
    abstract static class ProgramCommand implements Callable<Integer> {
        private static final long SIGNAL_HANDLERS_DELAY_MICROS = 700_000;
        private static final int LOG_CAPACITY_LINES = 500;
        private static final long SETTINGS_CHECK_INTERVAL_MICROS = 2_000_000;

        @AirlineModule
        private HelpOption<ProgramCommand> help;

        abstract Program start(ProcessSettings boot, Reactor reactor) throws ProcessSettingsException, IOException;

        @Override
        public Integer call() throws ProcessSettingsException, IOException {
            if (help != null && help.showHelpIfRequested()) {
                return 0;
            }
            ProcessSettings boot = ProcessSettings.fromEnvironment();
            serve(boot, newReactor(boot));
            return 0;
        }

        private static Reactor newReactor(ProcessSettings boot) throws IOException {
            return new Reactor(
                    new RingBufferLogger(boot.node(), LOG_CAPACITY_LINES, System.err::println, System::nanoTime));
        }

        /**
         * Goes through a whole start and some time of service, so that the class archive has all of it.
         */
        void rehearse(ProcessSettings boot, long length) throws ProcessSettingsException, IOException {
            System.getenv(ProcessSettings.ENVIRONMENT_VARIABLE);
            Reactor reactor = newReactor(boot);
            reactor.scheduleAfter(length, reactor::stop);
            serve(boot, reactor);
        }

        private void serve(ProcessSettings boot, Reactor reactor) throws ProcessSettingsException, IOException {
            reactor.info("begins");
            Program program = start(boot, reactor);
            reactor.info("listens");
            // The JDK's way to signals takes time that a start does not have.
            reactor.scheduleAfter(SIGNAL_HANDLERS_DELAY_MICROS, () -> {
                Signals.on("TERM", () -> reactor.execute(program::beginShutdown), reactor::info);
                Signals.on("HUP", () -> reactor.execute(() -> reload(boot, program, reactor)), reactor::info);
            });
            // The file may also change without a signal.
            FileTime[] seen = {lastModified(boot)};
            reactor.scheduleEvery(SETTINGS_CHECK_INTERVAL_MICROS, () -> {
                FileTime now = lastModified(boot);
                if (now != null && !now.equals(seen[0])) {
                    seen[0] = now;
                    reload(boot, program, reactor);
                }
            });
            reactor.run();
        }

        private static FileTime lastModified(ProcessSettings boot) {
            try {
                return Files.getLastModifiedTime(Path.of(boot.file()));
            } catch (IOException e) {
                return null;
            }
        }

        /** A file that cannot be used changes nothing. */
        private static void reload(ProcessSettings boot, Program program, Reactor reactor) {
            try {
                program.reload(ProcessSettings.load(Path.of(boot.file())));
                reactor.info("settings read again");
            } catch (ProcessSettingsException e) {
                reactor.info("settings: " + e.getMessage() + "; the old ones stay");
            }
        }
    }

    /** Carries the traffic. */
    @Command(name = "proxy", description = "carries clients' requests to checkers; REEDMUX_BOOT names its settings")
    public static final class ProxyCommand extends ProgramCommand {
        @Override
        Program start(ProcessSettings boot, Reactor reactor) throws ProcessSettingsException, IOException {
            return new Proxy(boot, reactor);
        }
    }

    /** Takes the calls of checkers and of the operator. */
    @Command(name = "registry", description = "knows checkers and proxies, and takes the calls from outside")
    public static final class RegistryCommand extends ProgramCommand {
        @Override
        Program start(ProcessSettings boot, Reactor reactor) throws ProcessSettingsException, IOException {
            return new Registry(boot, reactor);
        }
    }

    /** Keeps the configuration. */
    @Command(name = "store", description = "keeps the configuration on disk and tells it to the proxies")
    public static final class StoreCommand extends ProgramCommand {
        @Override
        Program start(ProcessSettings boot, Reactor reactor) throws ProcessSettingsException, IOException {
            return new StoreServer(boot, reactor);
        }
    }

    /** Reads a settings file and says whether it can be used. */
    @Command(name = "check", description = "says whether a settings file can be used, or what is wrong")
    public static final class CheckCommand implements Callable<Integer> {
        @AirlineModule
        private HelpOption<CheckCommand> help;

        @Arguments(title = "FILE", description = "the settings file; without it REEDMUX_BOOT names it")
        private String file;

        @Override
        public Integer call() throws ProcessSettingsException {
            if (help != null && help.showHelpIfRequested()) {
                return 0;
            }
            ProcessSettings boot =
                    file == null ? ProcessSettings.fromEnvironment() : ProcessSettings.load(Path.of(file));
            for (String socket : new String[] {"front", "ready", "control"}) {
                if (boot.values().containsKey("sockets." + socket)) {
                    boot.socketAddress(socket);
                }
            }
            System.out.println("ok: " + boot.node() + " in " + boot.zone());
            return 0;
        }
    }

    /** Plays a whole gateway on loopback for a few seconds. */
    @Command(name = "rehearse", description = "plays a whole gateway on loopback for some seconds, and ends")
    public static final class RehearseCommand implements Callable<Integer> {
        private static final int REQUESTS = 60;
        private static final long PROGRAM_RUN_MICROS = 900_000;
        private static final int LOOPBACK_NETWORK = 77;

        @AirlineModule
        private HelpOption<RehearseCommand> help;

        @Override
        public Integer call() throws ProcessSettingsException, IOException {
            if (help != null && help.showHelpIfRequested()) {
                return 0;
            }
            try (LoopbackGateway stage = new LoopbackGateway(LOOPBACK_NETWORK, 2, 3)) {
                LoopbackGateway.LoopbackResponse first =
                        stage.changeConfiguration(LoopbackGateway.INITIAL_CONFIGURATION);
                boolean ready = stage.awaitReady(10_000);
                int served = 0;
                for (int i = 0; i < REQUESTS; i++) {
                    boolean look = i % 2 == 0;
                    served += stage.request(
                                                    i / 2 % 2,
                                                    look ? "GET" : "POST",
                                                    look ? "/look/1" : "/order/1",
                                                    "rehearsed-" + i,
                                                    look ? "" : "one")
                                            .status()
                                    == 200
                            ? 1
                            : 0;
                }
                int read = stage.readConfiguration().status();
                new StoreCommand().rehearse(stage.spareSettings("store"), PROGRAM_RUN_MICROS);
                new RegistryCommand().rehearse(stage.spareSettings("registry"), PROGRAM_RUN_MICROS);
                new ProxyCommand().rehearse(stage.spareSettings("proxy"), PROGRAM_RUN_MICROS);
                System.out.println("first items " + first.status() + ", proxies " + (ready ? "" : "not ") + "ready, "
                        + served + " of " + REQUESTS + " requests served, items read " + read);
                return first.status() == 200 && ready && served == REQUESTS && read == 200 ? 0 : FAILED;
            }
        }
    }
}
