package reedmux.gatekeeper.admin;

import java.util.Locale;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

/** What the calls at the door ask for, and what is answered; any thread may call, and none waits. */
public final class AdminCommands {
    private final LifeCycle lifeCycle;
    private final Metrics metrics;
    private final BooleanSupplier acceptsClients;
    private final LongSupplier clock;
    private final Consumer<String> log;

    /**
     * The calls of one gatekeeper.
     *
     * @param takesClients whether clients may be sent here now
     * @param clock        microseconds of the program's clock
     */
    public AdminCommands(
            LifeCycle life, Metrics figures, BooleanSupplier takesClients, LongSupplier clock, Consumer<String> log) {
        this.lifeCycle = life;
        this.metrics = figures;
        this.acceptsClients = takesClients;
        this.clock = clock;
        this.log = log;
    }

    /** The whole answer to one line, which came without its end; its last line is ended. */
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
            case "" -> error("no call");
            default -> error("unknown call; known are check, vars, drain-on, drain-off");
        };
    }

    private String check() {
        String phase = lifeCycle.phase().name().toLowerCase(Locale.ROOT);
        if (acceptsClients.getAsBoolean()) {
            return "+OK " + phase + '\n';
        }
        return error(lifeCycle.acceptsClients() ? "no provider is known" : phase);
    }

    private String phaseReply(String call) {
        LifeCycle.LifeCyclePhase phase = lifeCycle.phase();
        log.accept("operator: " + call + "; now " + phase.name().toLowerCase(Locale.ROOT));
        if (phase == LifeCycle.LifeCyclePhase.LEAVING) {
            return error("leaving");
        }
        return "+OK " + phase.name().toLowerCase(Locale.ROOT) + '\n';
    }

    /** The answer to what is no call. */
    public static String error(String why) {
        return "-ERR " + why + '\n';
    }
}
