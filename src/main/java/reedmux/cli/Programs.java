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
import reedmux.boot.Boot;
import reedmux.boot.BootException;
import reedmux.boot.Program;
import reedmux.boot.Signals;
import reedmux.lab.stage.Stage;
import reedmux.log.Ring;
import reedmux.net.Reactor;
import reedmux.proxy.Proxy;
import reedmux.registry.Registry;
import reedmux.store.Store;

/** The programs of the whole system, one sub-command each. */
final class Programs {
    private static final int FAILED = 1;
    private static final int BAD_USAGE = 2;
    private static final int BAD_SETTINGS = 3;
    private static final Set<String> NAMES =
            Set.of("proxy", "registry", "store", "check", "rehearse", "world", "show", "core");

    private Programs() {}

    static boolean has(String name) {
        return NAMES.contains(name);
    }

    /** Runs one and returns its exit code. */
    static int run(String[] args) {
        try {
            if (args.length == 1 && !Set.of("check", "world", "show", "core").contains(args[0])) {
                return plain(args[0]).call(); // as the platform starts it: reading no options saves 0.1 s of CPU
            }
            return parsed(args).call();
        } catch (ParseException e) {
            System.err.println("reedmux: " + e.getMessage());
            System.err.println("try: reedmux " + args[0] + " --help");
            return BAD_USAGE;
        } catch (BootException e) {
            System.err.println("reedmux: settings: " + e.getMessage());
            return BAD_SETTINGS;
        } catch (Exception e) {
            System.err.println("reedmux: " + e);
            return FAILED;
        }
    }

    private static Callable<Integer> plain(String name) {
        return switch (name) {
            case "proxy" -> new RunProxy();
            case "registry" -> new RunRegistry();
            case "store" -> new RunStore();
            default -> new Rehearse();
        };
    }

    private static Callable<Integer> parsed(String[] args) {
        CliBuilder<Callable<Integer>> builder = Cli.builder("reedmux");
        builder.withDescription("the programs of the gateway");
        builder.withCommand(RunProxy.class);
        builder.withCommand(RunRegistry.class);
        builder.withCommand(RunStore.class);
        builder.withCommand(Check.class);
        builder.withCommand(Rehearse.class);
        builder.withCommand(PlayWorld.class);
        builder.withCommand(Show.class);
        builder.withCommand(CoreCommand.class);
        return builder.build().parse(args);
    }

    /** What the three programs have in common. */
    abstract static class Run implements Callable<Integer> {
        private static final long SIGNALS = 700_000;
        private static final int LINES = 500;
        private static final long LOOK = 2_000_000;

        @AirlineModule
        private HelpOption<Run> help;

        abstract Program begin(Boot boot, Reactor reactor) throws BootException, IOException;

        @Override
        public Integer call() throws BootException, IOException {
            if (help != null && help.showHelpIfRequested()) {
                return 0;
            }
            Boot boot = Boot.ofEnvironment();
            serve(boot, reactor(boot));
            return 0;
        }

        private static Reactor reactor(Boot boot) throws IOException {
            return new Reactor(new Ring(boot.node(), LINES, System.err::println, System::nanoTime));
        }

        /**
         * Goes through a whole start and some time of service, so that the class archive has all of it.
         */
        void rehearse(Boot boot, long length) throws BootException, IOException {
            System.getenv(Boot.VARIABLE);
            Reactor reactor = reactor(boot);
            reactor.after(length, reactor::end);
            serve(boot, reactor);
        }

        private void serve(Boot boot, Reactor reactor) throws BootException, IOException {
            reactor.log("begins");
            Program program = begin(boot, reactor);
            reactor.log("listens");
            // The JDK's way to signals takes time that a start does not have.
            reactor.after(SIGNALS, () -> {
                Signals.on("TERM", () -> reactor.execute(program::leave), reactor::log);
                Signals.on("HUP", () -> reactor.execute(() -> reload(boot, program, reactor)), reactor::log);
            });
            // The file may also change without a signal.
            FileTime[] seen = {changed(boot)};
            reactor.every(LOOK, () -> {
                FileTime now = changed(boot);
                if (now != null && !now.equals(seen[0])) {
                    seen[0] = now;
                    reload(boot, program, reactor);
                }
            });
            reactor.run();
        }

        private static FileTime changed(Boot boot) {
            try {
                return Files.getLastModifiedTime(Path.of(boot.file()));
            } catch (IOException e) {
                return null;
            }
        }

        /** A file that cannot be used changes nothing. */
        private static void reload(Boot boot, Program program, Reactor reactor) {
            try {
                program.reload(Boot.of(Path.of(boot.file())));
                reactor.log("settings read again");
            } catch (BootException e) {
                reactor.log("settings: " + e.getMessage() + "; the old ones stay");
            }
        }
    }

    /** Carries the traffic. */
    @Command(name = "proxy", description = "carries clients' requests to checkers; REEDMUX_BOOT names its settings")
    public static final class RunProxy extends Run {
        @Override
        Program begin(Boot boot, Reactor reactor) throws BootException, IOException {
            return new Proxy(boot, reactor);
        }
    }

    /** Takes the calls of checkers and of the operator. */
    @Command(name = "registry", description = "knows checkers and proxies, and takes the calls from outside")
    public static final class RunRegistry extends Run {
        @Override
        Program begin(Boot boot, Reactor reactor) throws BootException, IOException {
            return new Registry(boot, reactor);
        }
    }

    /** Keeps the configuration. */
    @Command(name = "store", description = "keeps the configuration on disk and tells it to the proxies")
    public static final class RunStore extends Run {
        @Override
        Program begin(Boot boot, Reactor reactor) throws BootException, IOException {
            return new Store(boot, reactor);
        }
    }

    /** Reads a settings file and says whether it can be used. */
    @Command(name = "check", description = "says whether a settings file can be used, or what is wrong")
    public static final class Check implements Callable<Integer> {
        @AirlineModule
        private HelpOption<Check> help;

        @Arguments(title = "FILE", description = "the settings file; without it REEDMUX_BOOT names it")
        private String file;

        @Override
        public Integer call() throws BootException {
            if (help != null && help.showHelpIfRequested()) {
                return 0;
            }
            Boot boot = file == null ? Boot.ofEnvironment() : Boot.of(Path.of(file));
            for (String socket : new String[] {"front", "ready", "control"}) {
                if (boot.all().containsKey("sockets." + socket)) {
                    boot.socket(socket);
                }
            }
            System.out.println("ok: " + boot.node() + " in " + boot.zone());
            return 0;
        }
    }

    /** Plays a whole gateway on loopback for a few seconds. */
    @Command(name = "rehearse", description = "plays a whole gateway on loopback for some seconds, and ends")
    public static final class Rehearse implements Callable<Integer> {
        private static final int REQUESTS = 60;
        private static final long START = 900_000;
        private static final int NET = 77;

        @AirlineModule
        private HelpOption<Rehearse> help;

        @Override
        public Integer call() throws BootException, IOException {
            if (help != null && help.showHelpIfRequested()) {
                return 0;
            }
            try (Stage stage = new Stage(NET, 2, 3)) {
                Stage.Told first = stage.adjust(Stage.FIRST);
                boolean ready = stage.ready(10_000);
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
                int read = stage.read().status();
                new RunStore().rehearse(stage.further("store"), START);
                new RunRegistry().rehearse(stage.further("registry"), START);
                new RunProxy().rehearse(stage.further("proxy"), START);
                System.out.println("first items " + first.status() + ", proxies " + (ready ? "" : "not ") + "ready, "
                        + served + " of " + REQUESTS + " requests served, items read " + read);
                return first.status() == 200 && ready && served == REQUESTS && read == 200 ? 0 : FAILED;
            }
        }
    }
}
