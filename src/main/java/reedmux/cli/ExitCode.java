package reedmux.cli;

/** The exit codes of all sub-commands. */
final class ExitCode {
    /** The command succeeded. */
    static final int OK = 0;

    /** The command failed, or a condition that it checks does not hold. */
    static final int FAILED = 1;

    /** The arguments or options are invalid. */
    static final int BAD_USAGE = 2;

    /** A settings or configuration file is invalid. */
    static final int BAD_SETTINGS = 3;

    private ExitCode() {}
}
