package reedmux.gatekeeper.admin;

import java.util.Locale;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

/** The commands of operators: {@code check}, {@code vars}, {@code drain-on} and {@code drain-off}. For all threads. */
public final class AdminCommands {
    private final LifeCycle lifeCycle;
    private final Metrics metrics;
    private final BooleanSupplier acceptsClients;
    private final LongSupplier clock;
    private final Consumer<String> log;

    /**
     * The commands of one gatekeeper.
     *
     * @param acceptsClients whether clients may be sent here now
     * @param clock        microseconds of the program's clock
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

    /** The reply to a line, which is given without its end; the reply's last line is terminated. */
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

    private String phaseReply(String call) {
        LifeCycle.LifeCyclePhase phase = lifeCycle.phase();
        log.accept("operator: " + call + "; now " + phase.name().toLowerCase(Locale.ROOT));
        if (phase == LifeCycle.LifeCyclePhase.LEAVING) {
            return errorReply("leaving");
        }
        return "+OK " + phase.name().toLowerCase(Locale.ROOT) + '\n';
    }

    /** The reply to what is no command. */
    public static String errorReply(String why) {
        return "-ERR " + why + '\n';
    }
}
