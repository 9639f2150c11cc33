package reedmux.gatekeeper.simulator;

import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;

/** Parses the tab-separated fields of one line from left to right. Each {@code next} method reads one field. */
final class SimulatorLine {
    /** Represents an absent value. */
    private static final String ABSENT = "-";
    /** The exclusive upper bound of customer numbers. */
    private static final long CUSTOMER_NUMBER_BOUND = 1L << 33;
    /** The maximum number of characters of the line that an error message contains. */
    private static final int SHOWN_CHARACTERS = 120;

    private static final int REQUEST_ID_DIGITS = 16;

    private final long lineNumber;
    private final String line;
    private final List<String> fields = new ArrayList<>(16);
    private int nextIndex;

    SimulatorLine(long lineNumber, String line) {
        this.lineNumber = lineNumber;
        this.line = line;
        int start = 0;
        for (int tab = line.indexOf('\t'); tab >= 0; tab = line.indexOf('\t', start)) {
            fields.add(line.substring(start, tab));
            start = tab + 1;
        }
        fields.add(line.substring(start));
    }

    /** Creates an exception whose message contains the reason and this line with its number. */
    SimulatorProtocolException malformed(String reason) {
        String shown = line.length() > SHOWN_CHARACTERS ? line.substring(0, SHOWN_CHARACTERS) + "..." : line;
        return new SimulatorProtocolException("line " + lineNumber + ": " + reason + ": " + shown.replace('\t', ' '));
    }

    /** Reads a field that must not be empty. */
    String nextText() throws SimulatorProtocolException {
        if (nextIndex >= fields.size() || fields.get(nextIndex).isEmpty()) {
            throw malformed("too few values");
        }
        return fields.get(nextIndex++);
    }

    /** Returns the fields that have not been read yet. */
    List<String> remainingFields() {
        return fields.subList(nextIndex, fields.size());
    }

    /** Reads a non-negative integer; an absent value is read as 0. */
    long nextNonNegativeLong() throws SimulatorProtocolException {
        String field = nextText();
        if (field.equals(ABSENT)) {
            return 0;
        }
        try {
            long value = Long.parseLong(field);
            if (value >= 0) {
                return value;
            }
        } catch (NumberFormatException e) {
            // reported below, as for a negative number
        }
        throw malformed("not a non-negative integer: '" + field + "'");
    }

    /** Reads a non-negative integer less than {@code bound}. */
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

    /** Reads a finite number; an absent value is read as 0. */
    double nextFiniteDouble() throws SimulatorProtocolException {
        String field = nextText();
        if (field.equals(ABSENT)) {
            return 0;
        }
        try {
            double value = Double.parseDouble(field);
            if (Double.isFinite(value)) {
                return value;
            }
        } catch (NumberFormatException e) {
            // reported below, as for a number that is not finite
        }
        throw malformed("not a number: '" + field + "'");
    }

    double nextPositiveDouble() throws SimulatorProtocolException {
        double value = nextFiniteDouble();
        if (value <= 0) {
            throw malformed("not a positive number: " + value);
        }
        return value;
    }

    boolean nextFlag() throws SimulatorProtocolException {
        String field = nextText();
        return switch (field) {
            case "1" -> true;
            case "0", ABSENT -> false;
            default -> throw malformed("neither 1 nor 0: '" + field + "'");
        };
    }

    String nextRequestId() throws SimulatorProtocolException {
        String field = nextText();
        boolean valid = field.length() == REQUEST_ID_DIGITS;
        for (int i = 0; valid && i < REQUEST_ID_DIGITS; i++) {
            valid = Character.digit(field.charAt(i), 16) >= 0;
        }
        if (!valid) {
            throw malformed("not a request id: '" + field + "'");
        }
        return field;
    }

    byte[] nextHexBytes() throws SimulatorProtocolException {
        String field = nextText();
        try {
            return field.equals(ABSENT) ? new byte[0] : HexFormat.of().parseHex(field);
        } catch (IllegalArgumentException e) {
            throw malformed("not hex bytes");
        }
    }
}
