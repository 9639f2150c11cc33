package reedmux.gatekeeper.simulator;

import java.io.BufferedReader;
import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import reedmux.gatekeeper.policy.GatekeeperPolicy;

/** Runs the simulator's adapter on standard input and output. */
public final class SimulatorMain {

    private SimulatorMain() {}

    /**
     * Processes batches from standard input until it ends, writing replies to standard output. Returns the exit code.
     */
    public static int serveStandardStreams() {
        InputStreamReader in = new InputStreamReader(System.in, StandardCharsets.UTF_8);
        FileOutputStream out = new FileOutputStream(FileDescriptor.out);
        return serve(new BufferedReader(in, 1 << 16), out, System.err);
    }

    /** Processes batches until the input ends. Returns the exit code. */
    static int serve(BufferedReader in, OutputStream out, PrintStream err) {
        SimulatorSession session = new SimulatorSession(GatekeeperPolicy::new);
        try {
            session.run(in, out);
            return 0;
        } catch (SimulatorProtocolException | IOException e) {
            err.println("reedmux: " + e.getMessage());
            return 1;
        }
    }
}
