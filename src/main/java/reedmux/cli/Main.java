package reedmux.cli;

import java.io.IOException;
import java.lang.reflect.Proxy;
import java.util.Map;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.Option;
import org.kohsuke.args4j.spi.SubCommand;
import org.kohsuke.args4j.spi.SubCommandHandler;
import org.kohsuke.args4j.spi.SubCommands;
import reedmux.config.Config;
import reedmux.config.ConfigException;
import reedmux.core.Clock;

/** The command line. */
public final class Main {
    private static final String USAGE = """
            usage: reedmux COMMAND
              serve         run a gatekeeper until SIGTERM; RELAY_CONFIG names its configuration
              wirehost      speak the simulator's wire on standard input and output
              check-config  say whether the configuration can be used, or which key is at fault
              self-check    start a gatekeeper from a sample configuration, ask it once, end it
              version       print the version""";
    private static final int BAD_USAGE = 2;
    private static final int BAD_CONFIG = 3;

    /** What one sub-command does; returns the exit code. */
    interface Command {
        int run() throws IOException, InterruptedException;
    }

    @Argument(index = 0, required = true, metaVar = "COMMAND", handler = SubCommandHandler.class,
            usage = "what to do")
    @SubCommands({
        @SubCommand(name = "serve", impl = Serve.class),
        @SubCommand(name = "wirehost", impl = WireHost.class),
        @SubCommand(name = "check-config", impl = CheckConfig.class),
        @SubCommand(name = "self-check", impl = SelfCheck.class),
        @SubCommand(name = "version", impl = Version.class)
    })
    private Command command;

    @Option(name = "--help", aliases = "-h", help = true, usage = "print this")
    private boolean help;

    private Main() { }

    public static void main(String[] args) throws IOException, InterruptedException {
        Main main = new Main();
        CmdLineParser parser = new CmdLineParser(main);
        try {
            parser.parseArgument(args);
        } catch (CmdLineException e) {
            System.err.println("reedmux: " + e.getMessage());
            System.err.println(USAGE);
            System.exit(BAD_USAGE);
        }
        if (main.help || main.command == null) {
            System.out.println(USAGE);
            System.exit(0);
        }
        int code = main.command.run();
        if (code >= 0) {
            System.exit(code);
        }
    }

    /** Reads the configuration, or ends with one line that names the key at fault. */
    static Config config(Map<String, String> environment, Clock clock) {
        try {
            return Config.load(environment, clock);
        } catch (ConfigException e) {
            System.err.println("reedmux: configuration: " + e.getMessage());
            System.exit(BAD_CONFIG);
            return null;
        }
    }

    /** Runs a real gatekeeper until it is told to leave. */
    public static final class Serve implements Command {
        private static final long LONGEST_LEAVE_MILLIS = 8_000;

        @Override
        public int run() throws IOException, InterruptedException {
            Clock clock = new Clock();
            Config config = config(System.getenv(), clock);
            Node node = new Node(config, clock, line -> System.err.println("reedmux: " + line));
            // Set before anything is ready: without a handler SIGHUP ends the program.
            onHangUp(() -> node.reload(() -> Config.reload(System.getenv(), clock)));
            Runtime.getRuntime().addShutdownHook(new Thread(() -> {
                node.leave();
                try {
                    node.awaitEnd(LONGEST_LEAVE_MILLIS);
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            }, "reedmux-leave"));
            node.warmUpAfter(() -> { });
            try {
                node.run();
            } catch (IOException | IllegalStateException e) {
                System.err.println("reedmux: " + e.getMessage());
                return 1;
            }
            return -1; // the program ends when its hook, which waits for us, returns
        }
    }

    /**
     * Runs this at each SIGHUP, on a thread of its own. The JDK's class for signals is no part of its
     * documented interface, and a use of it in the text is a warning that nothing can silence; so it is
     * looked up, and where there is none the program starts all the same and says so.
     */
    static void onHangUp(Runnable task) {
        try {
            Class<?> signal = Class.forName("sun.misc.Signal");
            Class<?> handler = Class.forName("sun.misc.SignalHandler");
            Object proxy = Proxy.newProxyInstance(Main.class.getClassLoader(), new Class<?>[] {handler},
                    (self, method, arguments) -> {
                        switch (method.getName()) {
                            case "handle" -> task.run();
                            case "equals" -> {
                                return self == arguments[0];
                            }
                            case "hashCode" -> {
                                return System.identityHashCode(self);
                            }
                            default -> {
                                return "reload at SIGHUP";
                            }
                        }
                        return null;
                    });
            signal.getMethod("handle", signal, handler)
                    .invoke(null, signal.getConstructor(String.class).newInstance("HUP"), proxy);
        } catch (ReflectiveOperationException | RuntimeException e) {
            System.err.println("reedmux: SIGHUP is not handled here: " + e);
        }
    }

    /** Speaks the simulator's wire on standard input and output. */
    public static final class WireHost implements Command {
        @Override
        public int run() {
            return reedmux.wire.Main.host();
        }
    }

    /** Reads the configuration and says whether it can be used. */
    public static final class CheckConfig implements Command {
        @Override
        public int run() {
            Config config = config(System.getenv(), new Clock());
            System.out.println("ok: " + config.name() + " listens on " + config.listen() + ", number "
                    + config.settings().self() + " of " + config.settings().groupSize());
            return 0;
        }
    }

    /** Prints the version. */
    public static final class Version implements Command {
        @Override
        public int run() {
            String version = Main.class.getPackage().getImplementationVersion();
            System.out.println("reedmux " + (version == null ? "(unpackaged)" : version));
            return 0;
        }
    }
}
