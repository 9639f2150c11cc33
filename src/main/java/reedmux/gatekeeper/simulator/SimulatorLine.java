package reedmux.gatekeeper.simulator;

import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;

/** The tab-separated parts of one line, read from left to right. */
final class SimulatorLine {
    private static final String ABSENT = "-";
    private static final long CUSTOMER_BOUND = 1L << 33;

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

    MalformedFrameException malformed(String what) {
        String shown = line.length() > 120 ? line.substring(0, 120) + "..." : line;
        return new MalformedFrameException("line " + lineNumber + ": " + what + ": " + shown.replace('\t', ' '));
    }

    String text() throws MalformedFrameException {
        if (next >= parts.size() || parts.get(next).isEmpty()) {
            throw malformed("too few values");
        }
        return parts.get(next++);
    }

    /** All that is left of the line, as separate parts. */
    List<String> remaining() {
        return parts.subList(next, parts.size());
    }

    /** A whole number of nought or more; nought when absent. */
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
            // told below, like a number below nought
        }
        throw malformed("not a whole number of nought or more: '" + part + "'");
    }

    /** A whole number below {@code bound}. */
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

    /** A finite number; nought when absent. */
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
            // told below, like a number that is not finite
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
        boolean good = part.length() == 16;
        for (int i = 0; good && i < 16; i++) {
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
