package reedmux.gatekeeper.simulator;

/** Thrown for input that violates the simulator's protocol. The message contains the line number. */
final class SimulatorProtocolException extends Exception {
    private static final long serialVersionUID = 1;

    SimulatorProtocolException(String message) {
        super(message);
    }
}
