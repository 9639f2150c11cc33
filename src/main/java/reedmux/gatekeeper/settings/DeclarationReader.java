package reedmux.gatekeeper.settings;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.BiFunction;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import reedmux.common.net.SocketAddresses;
import reedmux.gatekeeper.failover.RegionPath;
import reedmux.gatekeeper.script.Declaration;
import reedmux.gatekeeper.script.Declaration.DeclaredValue;
import reedmux.gatekeeper.script.ScriptException.ScriptPosition;
import reedmux.gatekeeper.script.ScriptMeter;
import reedmux.gatekeeper.script.ScriptValues;
import reedmux.gatekeeper.script.UncheckedScriptException;

/**
 * Reads the keys of one declaration and checks their types and bounds. Errors name the key and its position. A key
 * whose value is {@code None} is treated as not set. Durations are returned in microseconds.
 */
final class DeclarationReader {
    private static final Pattern DURATION = Pattern.compile("([0-9]{1,9}(?:\\.[0-9]{1,6})?) ?(us|ms|s|m|h)");
    /** The maximum number of characters of a value in an error message. */
    private static final int MAX_SHOWN_CHARS = 60;

    private final Declaration declaration;

    DeclarationReader(Declaration declaration) {
        this.declaration = declaration;
    }

    /** Returns the position at which a key is set, or the position of the declaration if the key is not set. */
    ScriptPosition position(String key) {
        DeclaredValue declared = declaration.keys().get(key);
        return declared == null ? declaration.position() : declared.position();
    }

    /** Creates an exception about a key, to be thrown by the caller. */
    UncheckedScriptException error(String key, String problem) {
        return new UncheckedScriptException(position(key), declaration.kind() + '.' + key + ' ' + problem);
    }

    /** Whether a key is set to a value other than {@code None}. */
    boolean has(String key) {
        return declaration.keys().containsKey(key)
                && declaration.keys().get(key).value() != ScriptValues.NONE;
    }

    private Object value(String key) {
        if (!has(key)) {
            throw error(key, "is missing");
        }
        return declaration.keys().get(key).value();
    }

    /** Reads a name of lower-case letters, digits and {@code -}. */
    String name(String key) {
        return name(key, value(key));
    }

    private String name(String key, Object value) {
        if (value instanceof String text && RegionPath.REGION_NAME.matcher(text).matches()) {
            return text;
        }
        throw error(key, "is not a name of small letters, digits and '-': " + abbreviated(value));
    }

    Set<String> names(String key) {
        return has(key) ? new LinkedHashSet<>(list(key, this::name)) : Set.of();
    }

    private <T> List<T> list(String key, BiFunction<String, Object, T> readElement) {
        if (!(value(key) instanceof List<?> list)) {
            throw error(key, "is not a list: " + abbreviated(value(key)));
        }
        List<T> values = new ArrayList<>();
        for (Object element : list) {
            T value = readElement.apply(key, element);
            if (values.contains(value)) {
                throw error(key, "names " + abbreviated(element) + " twice");
            }
            values.add(value);
        }
        return values;
    }

    InetSocketAddress address(String key) {
        return address(key, value(key));
    }

    private InetSocketAddress address(String key, Object value) {
        InetSocketAddress address = value instanceof String text ? SocketAddresses.parse(text) : null;
        if (address == null) {
            throw error(key, "is not an address:port: " + abbreviated(value));
        }
        return address;
    }

    List<InetSocketAddress> addresses(String key) {
        List<InetSocketAddress> addresses = list(key, this::address);
        if (addresses.isEmpty()) {
            throw error(key, "is empty");
        }
        return addresses;
    }

    /** Whether a key is set, possibly to {@code None}. */
    boolean isDeclared(String key) {
        return declaration.keys().containsKey(key);
    }

    String text(String key, String defaultValue) {
        return has(key) ? text(key, value(key)) : defaultValue;
    }

    private String text(String key, Object value) {
        if (value instanceof String text && !text.isEmpty()) {
            return text;
        }
        throw error(key, "is not a text: " + abbreviated(value));
    }

    Set<String> texts(String key) {
        return has(key) ? new LinkedHashSet<>(list(key, this::text)) : Set.of();
    }

    boolean flag(String key, boolean defaultValue) {
        if (!has(key)) {
            return defaultValue;
        } else if (value(key) instanceof Boolean flag) {
            return flag;
        }
        throw error(key, "is neither True nor False: " + abbreviated(value(key)));
    }

    /** Reads a number from {@code min} to {@code max}. */
    double number(String key, double min, double max) {
        Object value = value(key);
        if (!(value instanceof Number number)) {
            throw error(key, "is not a number: " + abbreviated(value));
        } else if (number.doubleValue() < min) {
            throw error(key, "is under " + formatBound(min) + ": " + abbreviated(value));
        } else if (number.doubleValue() > max) {
            throw error(key, "is over " + formatBound(max) + ": " + abbreviated(value));
        }
        return number.doubleValue();
    }

    double number(String key, double min, double max, double defaultValue) {
        return has(key) ? number(key, min, max) : defaultValue;
    }

    int integer(String key, int min, int max, int defaultValue) {
        if (!has(key)) {
            return defaultValue;
        } else if (!(value(key) instanceof Long)) {
            throw error(key, "is not a whole number: " + abbreviated(value(key)));
        }
        return (int) number(key, min, max);
    }

    /** Reads a duration in microseconds from a text with a unit such as {@code "250ms"}. */
    long micros(String key, long min, long max, long defaultValue) {
        if (!has(key)) {
            return defaultValue;
        }
        Object value = value(key);
        Matcher matcher = value instanceof String text ? DURATION.matcher(text) : null;
        if (matcher == null || !matcher.matches()) {
            throw error(key, "is not a time with a unit, as in \"250ms\" or \"2s\": " + abbreviated(value));
        }
        long micros = Math.round(Double.parseDouble(matcher.group(1)) * microsPerUnit(matcher.group(2)));
        if (micros < min || micros > max) {
            throw error(key, "lies outside of " + min / 1000.0 + " to " + max / 1000.0 + " ms: " + abbreviated(value));
        }
        return micros;
    }

    private static double microsPerUnit(String unit) {
        return switch (unit) {
            case "us" -> 1;
            case "ms" -> 1e3;
            case "s" -> 1e6;
            case "m" -> 60e6;
            default -> 3600e6;
        };
    }

    /** Reads a key whose value is a declaration of the given kind. */
    DeclarationReader nested(String key, String kind) {
        Object value = value(key);
        if (value instanceof Declaration inner && inner.kind().equals(kind)) {
            return new DeclarationReader(inner);
        }
        throw error(key, "is not " + kind + "(...): " + abbreviated(value));
    }

    /** Formats a value on a single line, truncated for an error message. */
    private String abbreviated(Object value) {
        String text = ScriptValues.toText(new ScriptMeter(), declaration.position(), value)
                .replace('\n', ' ');
        return text.length() > MAX_SHOWN_CHARS ? text.substring(0, MAX_SHOWN_CHARS) + "..." : text;
    }

    private static String formatBound(double value) {
        return value == Math.rint(value) ? Long.toString((long) value) : Double.toString(value);
    }
}
