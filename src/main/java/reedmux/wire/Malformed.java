package reedmux.wire;

/** Input that the wire does not allow; the message names the line. */
final class Malformed extends Exception {
    private static final long serialVersionUID = 1;

    Malformed(String message) {
        super(message);
    }
}
