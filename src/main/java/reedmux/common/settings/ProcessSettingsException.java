package reedmux.common.settings;

/** A settings file that cannot be used. The message names the file, the line where it is known, and the key. */
public final class ProcessSettingsException extends Exception {
    private static final long serialVersionUID = 1;

    private final String file;
    private final String key;
    private final int line;

    /**
     * A fault in a file's content.
     *
     * @param file    the file as the caller named it
     * @param line    the line, from 1, or 0 if the fault is that something is missing
     * @param key     the key with its table, or null if the fault concerns none
     * @param problem what is wrong; names the key
     */
    public ProcessSettingsException(String file, int line, String key, String problem) {
        super(file + (line > 0 ? ":" + line : "") + ": " + problem);
        this.file = file;
        this.key = key;
        this.line = line;
    }

    /** A file that cannot be read at all. */
    public ProcessSettingsException(String file, Throwable cause) {
        super(file + ": cannot be read: " + cause.getMessage(), cause);
        this.file = file;
        this.key = null;
        this.line = 0;
    }

    /** No file was named. */
    public ProcessSettingsException(String problem) {
        super(problem);
        this.file = null;
        this.key = null;
        this.line = 0;
    }

    /** The file at fault, or null if none was named. */
    public String file() {
        return file;
    }

    /** The key at fault with its table, as {@code sockets.front}, or null if the fault concerns none. */
    public String key() {
        return key;
    }

    /** The line of the fault, from 1, or 0 if it is not known. */
    public int line() {
        return line;
    }
}
