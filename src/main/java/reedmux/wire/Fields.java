package reedmux.wire;

import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;

/** The tab-separated parts of one line, read from left to right. */
final class Fields {
    private static final String ABSENT = "-";
    private static final long MOST_CUSTOMERS = 1L << 33;

    private final long number;
    private final String line;
    private final List<String> parts = new ArrayList<>(16);
    private int next;

    Fields(long number, String line) {
        this.number = number;
        this.line = line;
        int start = 0;
        for (int tab = line.indexOf('\t'); tab >= 0; tab = line.indexOf('\t', start)) {
            parts.add(line.substring(start, tab));
            start = tab + 1;
        }
        parts.add(line.substring(start));
    }

    Malformed malformed(String what) {
        String shown = line.length() > 120 ? line.substring(0, 120) + "..." : line;
        return new Malformed("line " + number + ": " + what + ": " + shown.replace('\t', ' '));
    }

    String text() throws Malformed {
        if (next >= parts.size() || parts.get(next).isEmpty()) {
            throw malformed("too few values");
        }
        return parts.get(next++);
    }

    /** All that is left of the line, as separate parts. */
    List<String> rest() {
        return parts.subList(next, parts.size());
    }

    /** A whole number of nought or more; nought when absent. */
    long whole() throws Malformed {
        String part = text();
        if (part.equals(ABSENT)) {
            return 0;
        }
        try {
            long value = Long.parseLong(part);
            if (value >= 0) {
                return value;
            }
        } catch (NumberFormatException e) {
            // told below, like a number below nought
        }
        throw malformed("not a whole number of nought or more: '" + part + "'");
    }

    /** A whole number below {@code bound}. */
    int index(int bound) throws Malformed {
        long value = whole();
        if (value >= bound) {
            throw malformed("out of range: " + value);
        }
        return (int) value;
    }

    int integer() throws Malformed {
        return index(Integer.MAX_VALUE);
    }

    long customer() throws Malformed {
        long value = whole();
        if (value >= MOST_CUSTOMERS) {
            throw malformed("out of range: " + value);
        }
        return value;
    }

    /** A finite number; nought when absent. */
    double number() throws Malformed {
        String part = text();
        if (part.equals(ABSENT)) {
            return 0;
        }
        try {
            double value = Double.parseDouble(part);
            if (Double.isFinite(value)) {
                return value;
            }
        } catch (NumberFormatException e) {
            // told below, like a number that is not finite
        }
        throw malformed("not a number: '" + part + "'");
    }

    double positive() throws Malformed {
        double value = number();
        if (value <= 0) {
            throw malformed("not above nought: " + value);
        }
        return value;
    }

    boolean bool() throws Malformed {
        String part = text();
        return switch (part) {
            case "1" -> true;
            case "0", ABSENT -> false;
            default -> throw malformed("neither 1 nor 0: '" + part + "'");
        };
    }

    String requestId() throws Malformed {
        String part = text();
        boolean good = part.length() == 16;
        for (int i = 0; good && i < 16; i++) {
            good = Character.digit(part.charAt(i), 16) >= 0;
        }
        if (!good) {
            throw malformed("not a request id: '" + part + "'");
        }
        return part;
    }

    byte[] bytes() throws Malformed {
        String part = text();
        try {
            return part.equals(ABSENT) ? new byte[0] : HexFormat.of().parseHex(part);
        } catch (IllegalArgumentException e) {
            throw malformed("not hex bytes");
        }
    }
}
