package reedmux.cli;

import java.io.IOException;
import java.io.StringWriter;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.Map;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.Option;
import org.kohsuke.args4j.OptionHandlerFilter;
import org.kohsuke.args4j.spi.SubCommand;
import org.kohsuke.args4j.spi.SubCommandHandler;
import org.kohsuke.args4j.spi.SubCommands;
import reedmux.common.settings.Signals;
import reedmux.common.time.MonotonicClock;
import reedmux.gatekeeper.config.ConfigException;
import reedmux.gatekeeper.config.GatekeeperConfig;
import reedmux.gatekeeper.handover.HandoverConnection;
import reedmux.gatekeeper.handover.HandoverCoordinator;
import reedmux.gatekeeper.script.ScriptException;
import reedmux.gatekeeper.settings.OperatorSettings;

/** The entry point of the command line. */
public final class Main {
    private static final int BAD_USAGE = 2;
    private static final int BAD_CONFIG = 3;

    /** A sub-command; args4j parses its options. */
    abstract static class GatekeeperCommand {
        @Option(name = "--help", aliases = "-h", help = true, usage = "print this")
        private boolean help;

        /** Runs the command; returns its exit code, or a negative value if {@code main} must not exit the JVM. */
        abstract int run() throws IOException, InterruptedException;
    }

    /** The commands and their descriptions in the output of {@code --help}. */
    private static final Map<String, String> COMMANDS = new LinkedHashMap<>();

    static {
        COMMANDS.put("serve", "run a gatekeeper until SIGTERM; RELAY_CONFIG names its configuration file");
        COMMANDS.put("wirehost", "serve the simulator's protocol on standard input and output");
        COMMANDS.put("check-config", "validate the configuration and report the first invalid key");
        COMMANDS.put("self-check", "start a gatekeeper from a sample configuration, send it one request, stop it");
        COMMANDS.put("lab", "run a scenario against real gatekeepers on loopback, or in virtual time");
        COMMANDS.put("version", "print the version");
    }

    @Argument(index = 0, metaVar = "COMMAND", handler = SubCommandHandler.class, usage = "the command to run")
    @SubCommands({
        @SubCommand(name = "serve", impl = ServeCommand.class),
        @SubCommand(name = "wirehost", impl = WireHostCommand.class),
        @SubCommand(name = "check-config", impl = CheckConfigCommand.class),
        @SubCommand(name = "self-check", impl = SelfCheckCommand.class),
        @SubCommand(name = "lab", impl = LabCommand.class),
        @SubCommand(name = "version", impl = VersionCommand.class)
    })
    private GatekeeperCommand command;

    @Option(name = "--help", aliases = "-h", help = true, usage = "print this")
    private boolean help;

    private Main() {}

    /** Runs the sub-command that the arguments name, and ends with its exit code. */
    public static void main(String[] args) throws IOException, InterruptedException {
        if (args.length > 0 && SystemCommands.isCommand(args[0])) {
            System.exit(SystemCommands.run(args));
        }
        Main main = new Main();
        CmdLineParser parser = new CmdLineParser(main);
        try {
            parser.parseArgument(args);
        } catch (CmdLineException e) {
            System.err.println("reedmux: " + e.getMessage());
            // For an error in a sub-command's arguments, the help of that sub-command lists the valid options.
            if (args.length > 0 && COMMANDS.containsKey(args[0])) {
                System.err.println("try: reedmux " + args[0] + " --help");
            } else {
                System.err.println(
                        args.length > 0 ? "known commands: " + String.join(", ", COMMANDS.keySet()) : usage());
            }
            System.exit(BAD_USAGE);
        }
        if (main.help) {
            System.out.println(usage());
            System.exit(0);
        } else if (main.command == null) {
            System.err.println(usage());
            System.exit(BAD_USAGE);
        } else if (main.command.help) {
            System.out.println(usage(args[0], main.command));
            System.exit(0);
        }
        int code = main.command.run();
        if (code >= 0) {
            System.exit(code);
        }
    }

    private static String usage() {
        StringBuilder text = new StringBuilder("usage: reedmux COMMAND [OPTION ...]\n");
        COMMANDS.forEach((name, description) -> text.append(String.format("  %-13s %s%n", name, description)));
        text.append("  proxy, registry, store, check\n                the programs of the gateway\n");
        return text.append("reedmux COMMAND --help prints the options of a command")
                .toString();
    }

    private static String usage(String name, GatekeeperCommand command) {
        StringWriter options = new StringWriter();
        CmdLineParser parser = new CmdLineParser(command);
        parser.printUsage(options, null);
        return "usage: reedmux " + name + parser.printExample(OptionHandlerFilter.REQUIRED) + " [OPTION ...]: "
                + COMMANDS.get(name) + '\n' + options.toString().stripTrailing();
    }

    /** Loads the configuration, or prints one line that names the invalid key and exits the process. */
    static LoadedConfiguration loadOrExit(Map<String, String> environment, Path settings, MonotonicClock clock) {
        try {
            return LoadedConfiguration.load(environment, settings, clock);
        } catch (ConfigException e) {
            System.err.println("reedmux: configuration: " + e.getMessage());
            System.exit(BAD_CONFIG);
            return null;
        }
    }

    /** Runs a gatekeeper until SIGTERM. */
    public static final class ServeCommand extends GatekeeperCommand {
        private static final long MAX_SHUTDOWN_MILLIS = 8_000;
        /**
         * How long to wait for discovery's first list before listening. On a third of a core the list arrived within
         * 0.28 to 0.43 s (171 starts of one mass restart). If discovery does not respond, the process must not be
         * unavailable for longer than the warm-up takes at a restart.
         */
        private static final long FIRST_ENDPOINT_LIST_TIMEOUT_MILLIS = 2_000;
        /**
         * The same timeout where the gatekeeper polls discovery. Only a response of discovery ends the wait early; the
         * known list does not, as it may be outdated.
         */
        private static final long FIRST_DISCOVERY_RESPONSE_TIMEOUT_MILLIS = 1_000;

        @Option(
                name = "--settings",
                metaVar = "FILE",
                usage = "the operators' settings, a .star script;" + " SIGHUP reloads them")
        private Path settings;

        @Override
        int run() throws IOException, InterruptedException {
            MonotonicClock clock = new MonotonicClock();
            LoadedConfiguration loaded = loadOrExit(System.getenv(), settings, clock);
            GatekeeperProcess gatekeeper = new GatekeeperProcess(
                    loaded,
                    clock,
                    line -> System.err.println("reedmux: " + line),
                    handoverSocket(System.getenv(), loaded.config()),
                    HandoverCoordinator.REPLY_TIMEOUT_MILLIS);
            // Installed before the process is ready, because without a handler SIGHUP terminates it.
            onHangupSignal(() -> gatekeeper.reload(() -> LoadedConfiguration.reload(System.getenv(), settings, clock)));
            Runtime.getRuntime()
                    .addShutdownHook(new Thread(
                            () -> {
                                gatekeeper.beginShutdown();
                                try {
                                    gatekeeper.awaitEnd(MAX_SHUTDOWN_MILLIS);
                                } catch (InterruptedException e) {
                                    Thread.currentThread().interrupt();
                                }
                            },
                            "reedmux-leave"));
            gatekeeper.setFirstEndpointListTimeout(
                    loaded.config().settings().pollsDiscovery()
                            ? FIRST_DISCOVERY_RESPONSE_TIMEOUT_MILLIS
                            : FIRST_ENDPOINT_LIST_TIMEOUT_MILLIS);
            gatekeeper.warmUpAfter(() -> {});
            try {
                gatekeeper.run();
            } catch (IOException | IllegalStateException e) {
                System.err.println("reedmux: " + e.getMessage());
                return 1;
            }
            return -1; // the JVM exits when the shutdown hook, which waits for run() to complete, returns
        }
    }

    /**
     * Returns the path of the socket through which processes of this gatekeeper connect. Null, which disables handover,
     * if there is no folder for temporary files or no admin server; an upgrade is confirmed through the admin server.
     */
    private static Path handoverSocket(Map<String, String> environment, GatekeeperConfig config) {
        String temporaryFolder = environment.get("TMPDIR");
        return temporaryFolder == null || temporaryFolder.isBlank() || config.adminListen() == null
                ? null
                : HandoverConnection.socketPath(
                        Path.of(temporaryFolder),
                        config.name(),
                        config.listen().getAddress().getHostAddress()
                                + '-'
                                + config.listen().getPort());
    }

    /** Runs the task at each SIGHUP, on a thread of its own. */
    static void onHangupSignal(Runnable task) {
        Signals.handle("HUP", task, line -> System.err.println("reedmux: " + line));
    }

    /** Serves the simulator's protocol on standard input and output. */
    public static final class WireHostCommand extends GatekeeperCommand {
        @Override
        int run() {
            return reedmux.gatekeeper.simulator.SimulatorMain.serveStandardStreams();
        }
    }

    /** Validates the configuration and the operators' settings. */
    public static final class CheckConfigCommand extends GatekeeperCommand {
        @Option(
                name = "--settings",
                metaVar = "FILE",
                usage = "also validate the operators' settings; without" + " RELAY_CONFIG, only these")
        private Path settings;

        @Override
        int run() {
            if (settings != null && !System.getenv().containsKey("RELAY_CONFIG")) {
                try {
                    OperatorSettings.read(settings).describe().forEach(System.out::println);
                    System.out.println("ok: " + settings + " by itself; its fit to a platform was not " + "checked");
                    return 0;
                } catch (ScriptException e) {
                    System.err.println("reedmux: configuration: " + e.getMessage());
                    return BAD_CONFIG;
                }
            }
            LoadedConfiguration loaded = loadOrExit(System.getenv(), settings, new MonotonicClock());
            GatekeeperConfig config = loaded.config();
            System.out.println("ok: " + config.name() + " listens on " + config.listen() + ", number "
                    + config.settings().self() + " of " + config.settings().groupSize());
            if (settings != null) {
                loaded.settings().describe().forEach(System.out::println);
            }
            return 0;
        }
    }

    /** Prints the version of this build. */
    public static final class VersionCommand extends GatekeeperCommand {
        @Override
        int run() {
            String version = Main.class.getPackage().getImplementationVersion();
            System.out.println("reedmux " + (version == null ? "(unpackaged)" : version));
            return 0;
        }
    }
}
