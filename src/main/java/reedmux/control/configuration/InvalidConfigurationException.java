package reedmux.control.configuration;

/**
 * Thrown for an invalid configuration: a document that cannot be parsed, an item with an invalid field, or items that
 * are invalid together. The message is sent to the operator and describes the problem and its location. The exception
 * has no stack trace, because it reports invalid input and not a fault of the program.
 */
public final class InvalidConfigurationException extends Exception {
    private static final long serialVersionUID = 1;

    /** Path of the invalid field, such as {@code route shop: split: gain}; empty if the problem concerns no field. */
    private final String key;

    /** Creates an exception for a problem that concerns no single field. */
    public InvalidConfigurationException(String message) {
        this("", message);
    }

    /** Creates an exception for a document that cannot be parsed. */
    InvalidConfigurationException(String message, Throwable cause) {
        super(message, cause, false, false);
        key = "";
    }

    /** Creates an exception for an invalid field; {@code message} includes its path, too. */
    InvalidConfigurationException(String key, String message) {
        super(message, null, false, false);
        this.key = key;
    }

    /** Returns the path of the invalid field, such as {@code route shop: split: gain}; empty if there is none. */
    public String key() {
        return key;
    }
}
