package reedmux.boot;

/** A settings file that cannot be used; the message names the file and the key. */
public final class BootException extends Exception {
    private static final long serialVersionUID = 1;

    public BootException(String message) {
        super(message);
    }
}
