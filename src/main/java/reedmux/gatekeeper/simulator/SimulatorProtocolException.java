package reedmux.gatekeeper.simulator;

/** Input that the simulator's protocol does not allow; the message names the line. */
final class SimulatorProtocolException extends Exception {
    private static final long serialVersionUID = 1;

    SimulatorProtocolException(String message) {
        super(message);
    }
}
