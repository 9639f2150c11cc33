package reedmux.cli;

/** The exit codes that all sub-commands share. */
final class ExitCode {
    /** It did what it was asked for. */
    static final int OK = 0;

    /** It failed, or what it checks does not hold. */
    static final int FAILED = 1;

    /** Arguments or options are wrong. */
    static final int BAD_USAGE = 2;

    /** A settings or configuration file is wrong. */
    static final int BAD_SETTINGS = 3;

    private ExitCode() {}
}
