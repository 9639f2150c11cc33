package reedmux.simulation.soak;

import java.io.IOException;
import java.io.Writer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Random;
import java.util.function.Supplier;
import reedmux.common.eventloop.Reactor;

/**
 * Gives proxies less of the processor than they want, as machines with a quota of processor time do: each stands still
 * for a part of every period, all at different times. It is slow, and not faulty. The signals go by one shell, as a
 * process for each would take more of the processor than the proxies. For the reactor's thread.
 */
final class ProcessThrottle {
    private static final long MICROS_PER_MILLI = 1000;
    private static final long PERIOD_MICROS = 100 * MICROS_PER_MILLI;

    private final Reactor reactor;
    private final Random random;
    private final Supplier<List<SoakMachine>> proxies;
    private final long maxPauseMicros;
    private final Process shell;
    private final Writer commands;
    private boolean stopped;

    /** {@code maxPauseMillis}: how long a proxy stands still in each tenth of a second, at most. */
    ProcessThrottle(Reactor reactor, Random random, Supplier<List<SoakMachine>> proxies, int maxPauseMillis)
            throws IOException {
        this.reactor = reactor;
        this.random = random;
        this.proxies = proxies;
        maxPauseMicros = maxPauseMillis * MICROS_PER_MILLI;
        shell = new ProcessBuilder("sh")
                .redirectOutput(ProcessBuilder.Redirect.DISCARD)
                .redirectError(ProcessBuilder.Redirect.DISCARD)
                .start();
        commands = shell.outputWriter(StandardCharsets.US_ASCII);
    }

    void start() {
        for (SoakMachine proxy : proxies.get()) {
            reactor.scheduleAfter(random.nextInt((int) PERIOD_MICROS), () -> pause(proxy));
        }
    }

    /** All go on from now on. */
    void stop() {
        stopped = true;
    }

    private void pause(SoakMachine proxy) {
        if (stopped) {
            return;
        }
        List<Long> processes = proxy.processIds();
        signal("STOP", processes);
        long length = 1 + random.nextInt((int) maxPauseMicros);
        reactor.scheduleAfter(length, () -> signal("CONT", processes));
        reactor.scheduleAfter(PERIOD_MICROS, () -> pause(proxy));
    }

    private void signal(String name, List<Long> processes) {
        try {
            for (long process : processes) {
                commands.write("kill -" + name + ' ' + process + '\n');
            }
            commands.flush();
        } catch (IOException e) {
            stopped = true; // the shell has ended, and with it the soak
        }
    }

    /** Ends the shell, once all that was sent is carried out. */
    void close() throws InterruptedException {
        try {
            commands.close();
        } catch (IOException e) {
            shell.destroy();
        }
        shell.waitFor();
    }
}
