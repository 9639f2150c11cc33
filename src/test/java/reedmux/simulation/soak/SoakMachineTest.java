package reedmux.simulation.soak;

import static org.testng.Assert.assertEquals;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.testng.annotations.Test;
import reedmux.common.eventloop.Reactor;
import reedmux.common.logging.RingBufferLogger;

/** Tests that a machine of the soak reports unexpected exits of its programs only. */
public class SoakMachineTest {
    private static final String IP = "127.133.0.1";
    private static final long HALF_SECOND = 500_000;

    private static final class SingleMachineFleet implements SoakMachine.Fleet {
        private final Path directory;
        private final int firstPort;
        private final Reactor reactor;
        private final List<String> violations = new CopyOnWriteArrayList<>();
        private final CompletableFuture<Void> restarted = new CompletableFuture<>();
        private int started;

        private SingleMachineFleet() throws IOException {
            directory = Files.createTempDirectory("reedmux-soak-machine");
            reactor = new Reactor(new RingBufferLogger("soak", 10, line -> {}, System::nanoTime));
            try (ServerSocket probe = new ServerSocket()) {
                probe.bind(new InetSocketAddress(IP, 0));
                firstPort = Math.min(60_000, probe.getLocalPort());
            }
        }

        @Override
        public Reactor reactor() {
            return reactor;
        }

        @Override
        public int firstPort() {
            return firstPort;
        }

        @Override
        public Path directory() {
            return directory;
        }

        @Override
        public Random settingsRandom() {
            return new Random(1);
        }

        @Override
        public List<String> seeds() {
            return List.of(IP);
        }

        @Override
        public void onViolation(String violation) {
            violations.add(violation);
        }

        @Override
        public void onStarted() {
            if (++started == 4) {
                restarted.complete(null);
            }
        }

        @Override
        public void onMachineFault(SoakMachine machine, long from, long until) {}
    }

    /**
     * Both programs receive SIGTERM, but one of them is paused and exits only after the other one was restarted. This
     * exit must not be reported as unexpected.
     */
    @Test
    public void delayedExitAfterSharedSignalIsNotReported()
            throws IOException, InterruptedException, ExecutionException, TimeoutException {
        SingleMachineFleet fleet = new SingleMachineFleet();
        SoakMachine machine = new SoakMachine(fleet, "core-0", IP, "zone-a", List.of("store", "registry"), true);
        Thread thread = new Thread(() -> {
            try {
                fleet.reactor.run();
            } catch (IOException e) {
                throw new IllegalStateException(e);
            }
        });
        thread.setDaemon(true);
        thread.start();
        fleet.reactor.execute(() -> {
            machine.start();
            fleet.reactor.scheduleAfter(2 * HALF_SECOND, () -> {
                machine.pause("registry", 3 * HALF_SECOND);
                fleet.reactor.scheduleAfter(HALF_SECOND / 5, machine::terminate);
            });
        });
        try {
            fleet.restarted.get(20, TimeUnit.SECONDS);
            assertEquals(fleet.violations, List.of());
        } finally {
            fleet.reactor.stop();
            thread.join();
            machine.destroy();
        }
    }
}
