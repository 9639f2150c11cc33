package reedmux.gatekeeper.config;

/** Configuration that cannot be used; the message is one line and names the key. */
public final class ConfigException extends Exception {
    private static final long serialVersionUID = 1;

    public ConfigException(String message) {
        super(message);
    }
}
