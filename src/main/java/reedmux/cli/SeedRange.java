package reedmux.cli;

import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** The inclusive range of seeds of an option {@code --seeds A..B} or {@code --seeds A}. */
record SeedRange(long first, long last) {
    private static final Pattern FORMAT = Pattern.compile("([0-9]{1,9})(?:\\.\\.([0-9]{1,9}))?");

    /**
     * Parses a range; returns null if the text is not one. Does not check that the last seed is not below the first.
     */
    static SeedRange parse(String text) {
        Matcher matcher = FORMAT.matcher(text);
        if (!matcher.matches()) {
            return null;
        }
        long first = Long.parseLong(matcher.group(1));
        return new SeedRange(first, matcher.group(2) == null ? first : Long.parseLong(matcher.group(2)));
    }
}
