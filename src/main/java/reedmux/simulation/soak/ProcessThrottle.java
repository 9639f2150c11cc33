package reedmux.simulation.soak;

import java.io.IOException;
import java.io.Writer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Random;
import java.util.function.Supplier;
import reedmux.common.eventloop.Reactor;

/**
 * Limits the processor time of proxies, as machines with a CPU quota do: each proxy is paused for a part of every
 * period, and the proxies are paused at different times. A throttled proxy is slow but does not count as faulty. All
 * signals are sent through one shell, because a process for each signal would use more processor time than the proxies.
 * Must be used on the reactor's thread only.
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

    /** Creates a throttle that pauses a proxy for at most {@code maxPauseMillis} in each 100 ms. */
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

    /** Stops pausing proxies; those that are paused now are resumed at the end of their pause. */
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
            stopped = true; // the shell exits only when the soak ends
        }
    }

    /** Waits until the shell has executed all commands sent to it and has exited. */
    void close() throws InterruptedException {
        try {
            commands.close();
        } catch (IOException e) {
            shell.destroy();
        }
        shell.waitFor();
    }
}
