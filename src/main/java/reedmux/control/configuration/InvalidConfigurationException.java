package reedmux.control.configuration;

/**
 * A configuration that can't be used: a document that can't be read, an item with a wrong field, or items that aren't
 * valid together. The message is for the operator and says what is wrong and where. There is no stack trace, as this is
 * an answer to an input and no fault of the program.
 */
public final class InvalidConfigurationException extends Exception {
    private static final long serialVersionUID = 1;

    /** Where the fault is, as in {@code route shop: split: gain}; empty where it is in no field. */
    private final String key;

    /** A fault that is in no field. */
    public InvalidConfigurationException(String message) {
        this("", message);
    }

    /** A document that can't be read. */
    InvalidConfigurationException(String message, Throwable cause) {
        super(message, cause, false, false);
        key = "";
    }

    /** A fault in a field; {@code message} names it, too. */
    InvalidConfigurationException(String key, String message) {
        super(message, null, false, false);
        this.key = key;
    }

    /** The item and field with the fault, as in {@code route shop: split: gain}; empty where it is in no field. */
    public String key() {
        return key;
    }
}
