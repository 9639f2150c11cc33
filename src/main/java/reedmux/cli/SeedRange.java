package reedmux.cli;

import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** The seeds of an option {@code --seeds A..B} or {@code --seeds A}, both ends included. */
record SeedRange(long first, long last) {
    private static final Pattern FORMAT = Pattern.compile("([0-9]{1,9})(?:\\.\\.([0-9]{1,9}))?");

    /** The range in a text, or null if the text has none; the last may be below the first. */
    static SeedRange parse(String text) {
        Matcher matcher = FORMAT.matcher(text);
        if (!matcher.matches()) {
            return null;
        }
        long first = Long.parseLong(matcher.group(1));
        return new SeedRange(first, matcher.group(2) == null ? first : Long.parseLong(matcher.group(2)));
    }
}
