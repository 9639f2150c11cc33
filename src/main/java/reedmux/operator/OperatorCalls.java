package reedmux.operator;

import java.util.Locale;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

/** What the calls at the door ask for, and what is answered; any thread may call, and none waits. */
public final class OperatorCalls {
    private final LifeCycle life;
    private final Figures figures;
    private final BooleanSupplier takesClients;
    private final LongSupplier clock;
    private final Consumer<String> log;

    /**
     * The calls of one gatekeeper.
     *
     * @param takesClients whether clients may be sent here now
     * @param clock        microseconds of the program's clock
     */
    public OperatorCalls(
            LifeCycle life, Figures figures, BooleanSupplier takesClients, LongSupplier clock, Consumer<String> log) {
        this.life = life;
        this.figures = figures;
        this.takesClients = takesClients;
        this.clock = clock;
        this.log = log;
    }

    /** The whole answer to one line, which came without its end; its last line is ended. */
    public String answer(String line) {
        return switch (line) {
            case "check" -> check();
            case "vars" -> "+OK\n" + figures.text() + ".\n";
            case "drain-on" -> {
                life.drainOn(clock.getAsLong());
                yield told("drain-on");
            }
            case "drain-off" -> {
                life.drainOff(clock.getAsLong());
                yield told("drain-off");
            }
            case "" -> refusal("no call");
            default -> refusal("unknown call; known are check, vars, drain-on, drain-off");
        };
    }

    private String check() {
        String phase = life.phase().name().toLowerCase(Locale.ROOT);
        if (takesClients.getAsBoolean()) {
            return "+OK " + phase + '\n';
        }
        return refusal(life.takesClients() ? "no provider is known" : phase);
    }

    private String told(String call) {
        LifeCycle.Phase phase = life.phase();
        log.accept("operator: " + call + "; now " + phase.name().toLowerCase(Locale.ROOT));
        if (phase == LifeCycle.Phase.LEAVING) {
            return refusal("leaving");
        }
        return "+OK " + phase.name().toLowerCase(Locale.ROOT) + '\n';
    }

    /** The answer to what is no call. */
    public static String refusal(String why) {
        return "-ERR " + why + '\n';
    }
}
