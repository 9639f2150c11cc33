package reedmux.common.eventloop;

import java.io.PrintWriter;
import java.io.StringWriter;

/** Formats unexpected exceptions for the log. */
public final class StackTraces {
    private StackTraces() {}

    /** Returns the stack trace of a failure as text, without a line terminator after the last line. */
    public static String format(Throwable failure) {
        StringWriter text = new StringWriter();
        failure.printStackTrace(new PrintWriter(text));
        return text.toString().strip();
    }
}
