package reedmux.control.configuration;

/** Items that may not come into force; the message says which and why. */
public final class InvalidConfigurationException extends Exception {
    private static final long serialVersionUID = 1;

    public InvalidConfigurationException(String message) {
        super(message, null, false, false);
    }
}
