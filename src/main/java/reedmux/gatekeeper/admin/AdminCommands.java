package reedmux.gatekeeper.admin;

import java.util.Locale;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

/**
 * Executes the operators' commands {@code check}, {@code vars}, {@code drain-on} and {@code drain-off}. Thread-safe.
 */
public final class AdminCommands {
    private final LifeCycle lifeCycle;
    private final Metrics metrics;
    private final BooleanSupplier acceptsClients;
    private final LongSupplier clock;
    private final Consumer<String> log;

    /**
     * Creates the commands of one gatekeeper.
     *
     * @param acceptsClients returns whether clients may currently be routed to this gatekeeper
     * @param clock          returns the time of the process's clock in microseconds
     */
    public AdminCommands(
            LifeCycle lifeCycle,
            Metrics metrics,
            BooleanSupplier acceptsClients,
            LongSupplier clock,
            Consumer<String> log) {
        this.lifeCycle = lifeCycle;
        this.metrics = metrics;
        this.acceptsClients = acceptsClients;
        this.clock = clock;
        this.log = log;
    }

    /**
     * Executes a command and returns the reply, whose last line ends with a line feed.
     *
     * @param line the received line without its terminator
     */
    public String execute(String line) {
        return switch (line) {
            case "check" -> check();
            case "vars" -> "+OK\n" + metrics.render() + ".\n";
            case "drain-on" -> {
                lifeCycle.startDraining(clock.getAsLong());
                yield phaseReply("drain-on");
            }
            case "drain-off" -> {
                lifeCycle.stopDraining(clock.getAsLong());
                yield phaseReply("drain-off");
            }
            case "" -> errorReply("no call");
            default -> errorReply("unknown call; known are check, vars, drain-on, drain-off");
        };
    }

    private String check() {
        String phase = lifeCycle.phase().name().toLowerCase(Locale.ROOT);
        if (acceptsClients.getAsBoolean()) {
            return "+OK " + phase + '\n';
        }
        return errorReply(lifeCycle.acceptsClients() ? "no provider is known" : phase);
    }

    private String phaseReply(String command) {
        LifeCycle.LifeCyclePhase phase = lifeCycle.phase();
        log.accept("operator: " + command + "; now " + phase.name().toLowerCase(Locale.ROOT));
        if (phase == LifeCycle.LifeCyclePhase.LEAVING) {
            return errorReply("leaving");
        }
        return "+OK " + phase.name().toLowerCase(Locale.ROOT) + '\n';
    }

    /** Formats the reply to a command that cannot be executed. */
    public static String errorReply(String reason) {
        return "-ERR " + reason + '\n';
    }
}
