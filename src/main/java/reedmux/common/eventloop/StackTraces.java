package reedmux.common.eventloop;

import java.io.PrintWriter;
import java.io.StringWriter;

/** Formats unexpected exceptions for the log. */
public final class StackTraces {
    private StackTraces() {}

    /** The stack trace as lines, without a line end behind the last. */
    public static String format(Throwable failure) {
        StringWriter text = new StringWriter();
        failure.printStackTrace(new PrintWriter(text));
        return text.toString().strip();
    }
}
