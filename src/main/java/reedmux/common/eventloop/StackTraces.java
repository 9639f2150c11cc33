package reedmux.common.eventloop;

import java.io.PrintWriter;
import java.io.StringWriter;

/** Failures that should not be, in words for the log. */
public final class StackTraces {
    private StackTraces() {}

    public static String format(Throwable failure) {
        StringWriter text = new StringWriter();
        failure.printStackTrace(new PrintWriter(text));
        return text.toString().strip();
    }
}
