package reedmux.common.settings;

/** Thrown for an invalid settings file. The message names the file, the line if it is known, and the key. */
public final class ProcessSettingsException extends Exception {
    private static final long serialVersionUID = 1;

    private final String file;
    private final String key;
    private final int line;

    /**
     * Creates an exception about the content of a file.
     *
     * @param file    the file name that the caller passed
     * @param line    the line number, starting at 1, or 0 if a required key is missing
     * @param key     the key with its table, or null if the error concerns no key
     * @param problem a description of the error that names the key
     */
    public ProcessSettingsException(String file, int line, String key, String problem) {
        super(file + (line > 0 ? ":" + line : "") + ": " + problem);
        this.file = file;
        this.key = key;
        this.line = line;
    }

    /** Creates an exception about a file that cannot be read. */
    public ProcessSettingsException(String file, Throwable cause) {
        super(file + ": cannot be read: " + cause.getMessage(), cause);
        this.file = file;
        this.key = null;
        this.line = 0;
    }

    /** Creates an exception for the case that no file was given. */
    public ProcessSettingsException(String problem) {
        super(problem);
        this.file = null;
        this.key = null;
        this.line = 0;
    }

    /** The invalid file, or null if no file was given. */
    public String file() {
        return file;
    }

    /** The invalid key with its table, such as {@code sockets.front}, or null if the error concerns no key. */
    public String key() {
        return key;
    }

    /** The line number of the error, starting at 1, or 0 if it is not known. */
    public int line() {
        return line;
    }
}
