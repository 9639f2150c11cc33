package reedmux.net;

import java.io.PrintWriter;
import java.io.StringWriter;

/** Failures that should not be, in words for the log. */
public final class Failures {
    private Failures() {}

    public static String told(Throwable failure) {
        StringWriter text = new StringWriter();
        failure.printStackTrace(new PrintWriter(text));
        return text.toString().strip();
    }
}
