package reedmux.gatekeeper.simulator;

import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;

/** The tab-separated values of one line, read from left to right; each method reads the next one. */
final class SimulatorLine {
    /** In place of a value. */
    private static final String ABSENT = "-";
    /** Customers' numbers lie below this. */
    private static final long CUSTOMER_NUMBER_BOUND = 1L << 33;
    /** Characters of a line that an error shows. */
    private static final int SHOWN_CHARACTERS = 120;

    private static final int REQUEST_ID_DIGITS = 16;

    private final long lineNumber;
    private final String line;
    private final List<String> fields = new ArrayList<>(16);
    private int nextIndex;

    SimulatorLine(long number, String line) {
        this.lineNumber = number;
        this.line = line;
        int start = 0;
        for (int tab = line.indexOf('\t'); tab >= 0; tab = line.indexOf('\t', start)) {
            fields.add(line.substring(start, tab));
            start = tab + 1;
        }
        fields.add(line.substring(start));
    }

    /** The error that names this line. */
    SimulatorProtocolException malformed(String what) {
        String shown = line.length() > SHOWN_CHARACTERS ? line.substring(0, SHOWN_CHARACTERS) + "..." : line;
        return new SimulatorProtocolException("line " + lineNumber + ": " + what + ": " + shown.replace('\t', ' '));
    }

    /** A text that is not empty. */
    String nextText() throws SimulatorProtocolException {
        if (nextIndex >= fields.size() || fields.get(nextIndex).isEmpty()) {
            throw malformed("too few values");
        }
        return fields.get(nextIndex++);
    }

    /** All values that are left. */
    List<String> remainingFields() {
        return fields.subList(nextIndex, fields.size());
    }

    /** An integer that is not negative; 0 when absent. */
    long nextNonNegativeLong() throws SimulatorProtocolException {
        String part = nextText();
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
    int nextIntBelow(int bound) throws SimulatorProtocolException {
        long value = nextNonNegativeLong();
        if (value >= bound) {
            throw malformed("out of range: " + value);
        }
        return (int) value;
    }

    int nextNonNegativeInt() throws SimulatorProtocolException {
        return nextIntBelow(Integer.MAX_VALUE);
    }

    long nextCustomerNumber() throws SimulatorProtocolException {
        long value = nextNonNegativeLong();
        if (value >= CUSTOMER_NUMBER_BOUND) {
            throw malformed("out of range: " + value);
        }
        return value;
    }

    /** A finite number; 0 when absent. */
    double nextFiniteDouble() throws SimulatorProtocolException {
        String part = nextText();
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

    double nextPositiveDouble() throws SimulatorProtocolException {
        double value = nextFiniteDouble();
        if (value <= 0) {
            throw malformed("not above nought: " + value);
        }
        return value;
    }

    boolean nextFlag() throws SimulatorProtocolException {
        String part = nextText();
        return switch (part) {
            case "1" -> true;
            case "0", ABSENT -> false;
            default -> throw malformed("neither 1 nor 0: '" + part + "'");
        };
    }

    String nextRequestId() throws SimulatorProtocolException {
        String part = nextText();
        boolean good = part.length() == REQUEST_ID_DIGITS;
        for (int i = 0; good && i < REQUEST_ID_DIGITS; i++) {
            good = Character.digit(part.charAt(i), 16) >= 0;
        }
        if (!good) {
            throw malformed("not a request id: '" + part + "'");
        }
        return part;
    }

    byte[] nextHexBytes() throws SimulatorProtocolException {
        String part = nextText();
        try {
            return part.equals(ABSENT) ? new byte[0] : HexFormat.of().parseHex(part);
        } catch (IllegalArgumentException e) {
            throw malformed("not hex bytes");
        }
    }
}
