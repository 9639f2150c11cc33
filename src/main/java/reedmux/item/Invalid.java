package reedmux.item;

/** Items that may not come into force; the message says which and why. */
public final class Invalid extends Exception {
    private static final long serialVersionUID = 1;

    public Invalid(String message) {
        super(message, null, false, false);
    }
}
