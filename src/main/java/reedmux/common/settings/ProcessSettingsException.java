package reedmux.common.settings;

/** A settings file that cannot be used; the message names the file and the key. */
public final class ProcessSettingsException extends Exception {
    private static final long serialVersionUID = 1;

    public ProcessSettingsException(String message) {
        super(message);
    }
}
