package reedmux.gatekeeper.config;

/** A configuration that cannot be used; the message is one line and names the key at fault. */
public final class ConfigException extends Exception {
    private static final long serialVersionUID = 1;

    /** An error in a value that was read. */
    public ConfigException(String message) {
        super(message);
    }

    /** An error that follows from {@code cause}. */
    public ConfigException(String message, Throwable cause) {
        super(message, cause);
    }
}
