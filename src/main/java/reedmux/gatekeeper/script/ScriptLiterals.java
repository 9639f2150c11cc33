package reedmux.gatekeeper.script;

import org.antlr.v4.runtime.Token;
import reedmux.gatekeeper.script.ScriptException.ScriptPosition;

/** Converts number and string literals of scripts to values. */
final class ScriptLiterals {
    private static final String HEX_PREFIX = "0x";
    private static final String TRIPLE_QUOTE = "\"\"\"";

    private ScriptLiterals() {}

    /** Parses a decimal integer, in which {@code _} may separate digits, or a hexadecimal one after {@code 0x}. */
    static Long parseInteger(ScriptPosition position, String text) {
        try {
            return text.startsWith(HEX_PREFIX)
                    ? Long.parseLong(text.substring(HEX_PREFIX.length()), 16)
                    : Long.parseLong(text.replace("_", ""));
        } catch (NumberFormatException e) {
            throw new UncheckedScriptException(position, "not a whole number of 64 bits: " + text, e);
        }
    }

    /**
     * Parses a floating-point number.
     *
     * @throws NumberFormatException if the text is not a number, which cannot happen for a token of the lexer
     */
    static Double parseDecimal(ScriptPosition position, String text) {
        double value = Double.parseDouble(text);
        if (Double.isInfinite(value)) {
            throw new UncheckedScriptException(position, "the number is too large: " + text);
        }
        return value;
    }

    /** Returns the content of a string literal without its quotes and with escape sequences replaced. */
    static String unquote(Token token) {
        String text = token.getText();
        int quotes = text.startsWith(TRIPLE_QUOTE) ? TRIPLE_QUOTE.length() : 1;
        StringBuilder content = new StringBuilder();
        for (int i = quotes; i < text.length() - quotes; i++) {
            char c = text.charAt(i);
            if (c == '\\') {
                i++;
                content.append(unescape(token, text.charAt(i)));
            } else {
                content.append(c);
            }
        }
        return content.toString();
    }

    private static char unescape(Token token, char escaped) {
        return switch (escaped) {
            case 'n' -> '\n';
            case 't' -> '\t';
            case '\\', '"', '\'' -> escaped;
            default ->
                throw new UncheckedScriptException(
                        UncheckedScriptException.positionOf(token), "unknown escape '\\" + escaped + "' in a string");
        };
    }
}
