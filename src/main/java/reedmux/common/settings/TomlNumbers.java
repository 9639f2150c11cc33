package reedmux.common.settings;

/** Parses the numbers of TOML: integers of 64 bits in four bases, and floats. */
final class TomlNumbers {
    private static final int DECIMAL = 10;
    private static final int PREFIX_CHARS = 2;

    private TomlNumbers() {}

    /** Thrown for an integer that 64 bits do not hold. */
    static final class OverflowException extends Exception {
        private static final long serialVersionUID = 1;
    }

    /** Returns a Long or a Double, or null if the token is not a number. */
    static Number parse(String token) throws OverflowException {
        int radix = radixOf(token);
        if (radix != DECIMAL) {
            String digits = token.substring(PREFIX_CHARS);
            return areDigits(digits, radix) ? (Number) toLong(digits, radix) : null;
        }
        String unsigned = token.startsWith("+") || token.startsWith("-") ? token.substring(1) : token;
        if (unsigned.equals("inf") || unsigned.equals("nan")) {
            return special(token, unsigned);
        } else if (isDecimalInteger(unsigned)) {
            return toLong(token, DECIMAL);
        }
        return isFloat(unsigned) ? Double.valueOf(withoutSeparators(token)) : null;
    }

    private static int radixOf(String token) {
        if (token.startsWith("0x")) {
            return 16;
        } else if (token.startsWith("0o")) {
            return 8;
        }
        return token.startsWith("0b") ? 2 : DECIMAL;
    }

    private static Double special(String token, String unsigned) {
        if (unsigned.equals("nan")) {
            return Double.NaN;
        }
        return token.startsWith("-") ? Double.NEGATIVE_INFINITY : Double.POSITIVE_INFINITY;
    }

    private static Long toLong(String digits, int radix) throws OverflowException {
        try {
            return Long.valueOf(withoutSeparators(digits), radix);
        } catch (NumberFormatException e) {
            throw new OverflowException();
        }
    }

    private static String withoutSeparators(String token) {
        return token.indexOf('_') < 0 ? token : token.replace("_", "");
    }

    /** Returns whether a text is of digits, with single separators between some of them. */
    private static boolean areDigits(String text, int radix) {
        boolean digitBefore = false;
        for (int i = 0; i < text.length(); i++) {
            char c = text.charAt(i);
            boolean digit = c < 128 && Character.digit(c, radix) >= 0;
            if (!digit && (c != '_' || !digitBefore)) {
                return false;
            }
            digitBefore = digit;
        }
        return digitBefore;
    }

    private static boolean isDecimalInteger(String unsigned) {
        return areDigits(unsigned, DECIMAL) && (unsigned.length() == 1 || unsigned.charAt(0) != '0');
    }

    /** An integer, then a fraction, an exponent or both. */
    private static boolean isFloat(String unsigned) {
        int exponent = Math.max(unsigned.indexOf('e'), unsigned.indexOf('E'));
        String mantissa = exponent < 0 ? unsigned : unsigned.substring(0, exponent);
        if (exponent >= 0 && !isExponent(unsigned.substring(exponent + 1))) {
            return false;
        }
        int point = mantissa.indexOf('.');
        if (point < 0) {
            return exponent >= 0 && isDecimalInteger(mantissa);
        }
        return isDecimalInteger(mantissa.substring(0, point)) && areDigits(mantissa.substring(point + 1), DECIMAL);
    }

    private static boolean isExponent(String text) {
        boolean signed = text.startsWith("+") || text.startsWith("-");
        return areDigits(signed ? text.substring(1) : text, DECIMAL);
    }
}
