package reedmux.common.settings;

/**
 * A date, a time of day, or both, with or without an offset, as it stands in a TOML document. No setting has this type,
 * so its text is validated and kept as it is.
 *
 * @param text the text of the value
 */
record TomlDateTime(String text) {
    private static final int DATE_CHARS = "2026-01-31".length();
    private static final int MINUTES_CHARS = "23:59".length();
    private static final int SECONDS_CHARS = ":59".length();
    private static final int FEBRUARY = 2;
    private static final int MAX_MONTH = 12;
    private static final int MAX_HOUR = 23;
    private static final int MAX_MINUTE = 59;
    /** A minute may end with a leap second. */
    private static final int MAX_SECOND = 60;

    private static final int[] DAYS_OF_MONTH = {31, 28, 31, 30, 31, 30, 31, 31, 30, 31, 30, 31};

    /** Returns whether a token begins like a date or a time. */
    static boolean isCandidate(String token) {
        return isNumber(token, 0, 4) && token.startsWith("-", 4) || isNumber(token, 0, 2) && token.startsWith(":", 2);
    }

    /** Returns whether a token is a date without a time, which may follow after a space. */
    static boolean isDate(String token) {
        return token.length() == DATE_CHARS && hasDate(token);
    }

    /** Parses a token; returns null if it is not valid. */
    static TomlDateTime parse(String token) {
        return isDate(token) || isDateAndTime(token) || endOfTime(token, 0) == token.length()
                ? new TomlDateTime(token)
                : null;
    }

    private static boolean isDateAndTime(String token) {
        if (token.length() <= DATE_CHARS || !hasDate(token) || "Tt ".indexOf(token.charAt(DATE_CHARS)) < 0) {
            return false;
        }
        int end = endOfTime(token, DATE_CHARS + 1);
        return end == token.length() || end > 0 && isOffset(token.substring(end));
    }

    private static boolean hasDate(String token) {
        if (!isNumber(token, 0, 4)
                || !isNumberUpTo(token, 5, MAX_MONTH)
                || !isNumber(token, 8, 2)
                || token.charAt(4) != '-'
                || token.charAt(7) != '-') {
            return false;
        }
        int year = Integer.parseInt(token.substring(0, 4));
        int month = Integer.parseInt(token.substring(5, 7));
        int day = Integer.parseInt(token.substring(8, DATE_CHARS));
        return month >= 1 && day >= 1 && day <= daysOfMonth(year, month);
    }

    private static int daysOfMonth(int year, int month) {
        boolean leapYear = year % 4 == 0 && (year % 100 != 0 || year % 400 == 0);
        return DAYS_OF_MONTH[month - 1] + (month == FEBRUARY && leapYear ? 1 : 0);
    }

    /** Returns the position behind a time of day; -1 if there is none. Seconds may be missing. */
    private static int endOfTime(String token, int start) {
        if (!isHoursAndMinutes(token, start)) {
            return -1;
        }
        int position = start + MINUTES_CHARS;
        if (!token.startsWith(":", position)) {
            return position;
        } else if (!isNumberUpTo(token, position + 1, MAX_SECOND)) {
            return -1;
        }
        position += SECONDS_CHARS;
        if (!token.startsWith(".", position)) {
            return position;
        }
        int fraction = position + 1;
        position = fraction;
        while (isNumber(token, position, 1)) {
            position++;
        }
        return position > fraction ? position : -1;
    }

    private static boolean isOffset(String offset) {
        return offset.equals("Z")
                || offset.equals("z")
                || (offset.startsWith("+") || offset.startsWith("-"))
                        && offset.length() == 1 + MINUTES_CHARS
                        && isHoursAndMinutes(offset, 1);
    }

    private static boolean isHoursAndMinutes(String token, int start) {
        return isNumberUpTo(token, start, MAX_HOUR)
                && token.startsWith(":", start + 2)
                && isNumberUpTo(token, start + 3, MAX_MINUTE);
    }

    private static boolean isNumberUpTo(String token, int start, int max) {
        return isNumber(token, start, 2) && Integer.parseInt(token.substring(start, start + 2)) <= max;
    }

    private static boolean isNumber(String token, int start, int digits) {
        if (token.length() < start + digits) {
            return false;
        }
        for (int i = start; i < start + digits; i++) {
            if (token.charAt(i) < '0' || token.charAt(i) > '9') {
                return false;
            }
        }
        return true;
    }
}
