package reedmux.gatekeeper.simulator;

import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;

/** The tab-separated values of one line, read from left to right; each method reads the next one. */
final class SimulatorLine {
    /** In place of a value. */
    private static final String ABSENT = "-";
    /** Customers' numbers lie below this. */
    private static final long CUSTOMER_BOUND = 1L << 33;
    /** Characters of a line that an error shows. */
    private static final int SHOWN_CHARACTERS = 120;

    private static final int REQUEST_ID_DIGITS = 16;

    private final long lineNumber;
    private final String line;
    private final List<String> parts = new ArrayList<>(16);
    private int next;

    SimulatorLine(long number, String line) {
        this.lineNumber = number;
        this.line = line;
        int start = 0;
        for (int tab = line.indexOf('\t'); tab >= 0; tab = line.indexOf('\t', start)) {
            parts.add(line.substring(start, tab));
            start = tab + 1;
        }
        parts.add(line.substring(start));
    }

    /** The error that names this line. */
    MalformedFrameException malformed(String what) {
        String shown = line.length() > SHOWN_CHARACTERS ? line.substring(0, SHOWN_CHARACTERS) + "..." : line;
        return new MalformedFrameException("line " + lineNumber + ": " + what + ": " + shown.replace('\t', ' '));
    }

    /** A text that is not empty. */
    String text() throws MalformedFrameException {
        if (next >= parts.size() || parts.get(next).isEmpty()) {
            throw malformed("too few values");
        }
        return parts.get(next++);
    }

    /** All values that are left. */
    List<String> remaining() {
        return parts.subList(next, parts.size());
    }

    /** An integer that is not negative; 0 when absent. */
    long nonNegativeLong() throws MalformedFrameException {
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
            // reported below, like a negative number
        }
        throw malformed("not a whole number of nought or more: '" + part + "'");
    }

    /** An integer that is not negative and below {@code bound}. */
    int intBelow(int bound) throws MalformedFrameException {
        long value = nonNegativeLong();
        if (value >= bound) {
            throw malformed("out of range: " + value);
        }
        return (int) value;
    }

    int nonNegativeInt() throws MalformedFrameException {
        return intBelow(Integer.MAX_VALUE);
    }

    long customerNumber() throws MalformedFrameException {
        long value = nonNegativeLong();
        if (value >= CUSTOMER_BOUND) {
            throw malformed("out of range: " + value);
        }
        return value;
    }

    /** A finite number; 0 when absent. */
    double finiteDouble() throws MalformedFrameException {
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
            // reported below, like a number that is not finite
        }
        throw malformed("not a number: '" + part + "'");
    }

    double positiveDouble() throws MalformedFrameException {
        double value = finiteDouble();
        if (value <= 0) {
            throw malformed("not above nought: " + value);
        }
        return value;
    }

    boolean flag() throws MalformedFrameException {
        String part = text();
        return switch (part) {
            case "1" -> true;
            case "0", ABSENT -> false;
            default -> throw malformed("neither 1 nor 0: '" + part + "'");
        };
    }

    String requestId() throws MalformedFrameException {
        String part = text();
        boolean good = part.length() == REQUEST_ID_DIGITS;
        for (int i = 0; good && i < REQUEST_ID_DIGITS; i++) {
            good = Character.digit(part.charAt(i), 16) >= 0;
        }
        if (!good) {
            throw malformed("not a request id: '" + part + "'");
        }
        return part;
    }

    byte[] hexBytes() throws MalformedFrameException {
        String part = text();
        try {
            return part.equals(ABSENT) ? new byte[0] : HexFormat.of().parseHex(part);
        } catch (IllegalArgumentException e) {
            throw malformed("not hex bytes");
        }
    }
}
