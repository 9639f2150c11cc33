package reedmux.gatekeeper.config;

/** Thrown for an invalid configuration. The message is a single line that names the invalid key. */
public final class ConfigException extends Exception {
    private static final long serialVersionUID = 1;

    /** Creates an exception about an invalid value. */
    public ConfigException(String message) {
        super(message);
    }

    /** Creates an exception with a cause. */
    public ConfigException(String message, Throwable cause) {
        super(message, cause);
    }
}
