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
import reedmux.gatekeeper.script.ScriptFaultException;
import reedmux.gatekeeper.script.ScriptMeter;
import reedmux.gatekeeper.script.ScriptValues;

/** Reads the keys of one declaration, with their bounds; what is wrong is told by key and place. */
final class DeclarationReader {
    private static final Pattern TIME = Pattern.compile("([0-9]{1,9}(?:\\.[0-9]{1,6})?) ?(us|ms|s|m|h)");

    private final Declaration declaration;

    DeclarationReader(Declaration of) {
        this.declaration = of;
    }

    ScriptPosition position(String key) {
        DeclaredValue told = declaration.keys().get(key);
        return told == null ? declaration.position() : told.position();
    }

    ScriptFaultException error(String key, String problem) {
        return new ScriptFaultException(position(key), declaration.kind() + '.' + key + ' ' + problem);
    }

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

    /** A region's name. */
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

    private <T> List<T> list(String key, BiFunction<String, Object, T> each) {
        if (!(value(key) instanceof List<?> list)) {
            throw error(key, "is not a list: " + abbreviated(value(key)));
        }
        List<T> read = new ArrayList<>();
        for (Object element : list) {
            T value = each.apply(key, element);
            if (read.contains(value)) {
                throw error(key, "names " + abbreviated(element) + " twice");
            }
            read.add(value);
        }
        return read;
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
        List<InetSocketAddress> all = list(key, this::address);
        if (all.isEmpty()) {
            throw error(key, "is empty");
        }
        return all;
    }

    /** Whether a key is told, if only as {@code None}. */
    boolean isDeclared(String key) {
        return declaration.keys().containsKey(key);
    }

    String text(String key, String otherwise) {
        if (!has(key)) {
            return otherwise;
        } else if (value(key) instanceof String text && !text.isEmpty()) {
            return text;
        }
        throw error(key, "is not a text: " + abbreviated(value(key)));
    }

    Set<String> texts(String key) {
        return !has(key)
                ? Set.of()
                : new LinkedHashSet<>(list(key, (name, value) -> {
                    if (value instanceof String text && !text.isEmpty()) {
                        return text;
                    }
                    throw error(name, "is not a text: " + abbreviated(value));
                }));
    }

    boolean flag(String key, boolean otherwise) {
        if (!has(key)) {
            return otherwise;
        } else if (value(key) instanceof Boolean flag) {
            return flag;
        }
        throw error(key, "is neither True nor False: " + abbreviated(value(key)));
    }

    /** A number from {@code least} to {@code most}. */
    double number(String key, double least, double most) {
        Object value = value(key);
        if (!(value instanceof Number number)) {
            throw error(key, "is not a number: " + abbreviated(value));
        } else if (number.doubleValue() < least) {
            throw error(key, "is under " + formatBound(least) + ": " + abbreviated(value));
        } else if (number.doubleValue() > most) {
            throw error(key, "is over " + formatBound(most) + ": " + abbreviated(value));
        }
        return number.doubleValue();
    }

    double number(String key, double least, double most, double otherwise) {
        return has(key) ? number(key, least, most) : otherwise;
    }

    int integer(String key, int least, int most, int otherwise) {
        if (!has(key)) {
            return otherwise;
        } else if (!(value(key) instanceof Long)) {
            throw error(key, "is not a whole number: " + abbreviated(value(key)));
        }
        return (int) number(key, least, most);
    }

    /** A time in microseconds, told as text with its unit. */
    long micros(String key, long least, long most, long otherwise) {
        if (!has(key)) {
            return otherwise;
        }
        Object value = value(key);
        Matcher matcher = value instanceof String text ? TIME.matcher(text) : null;
        if (matcher == null || !matcher.matches()) {
            throw error(key, "is not a time with a unit, as in \"250ms\" or \"2s\": " + abbreviated(value));
        }
        double unit =
                switch (matcher.group(2)) {
                    case "us" -> 1;
                    case "ms" -> 1e3;
                    case "s" -> 1e6;
                    case "m" -> 60e6;
                    default -> 3600e6;
                };
        long micros = Math.round(Double.parseDouble(matcher.group(1)) * unit);
        if (micros < least || micros > most) {
            throw error(
                    key, "lies outside of " + least / 1000.0 + " to " + most / 1000.0 + " ms: " + abbreviated(value));
        }
        return micros;
    }

    /** A declaration within this one. */
    DeclarationReader nested(String key, String kind) {
        Object value = value(key);
        if (value instanceof Declaration inner && inner.kind().equals(kind)) {
            return new DeclarationReader(inner);
        }
        throw error(key, "is not " + kind + "(...): " + abbreviated(value));
    }

    /** A value on one line, cut short. */
    private String abbreviated(Object value) {
        String text = ScriptValues.toText(new ScriptMeter(), declaration.position(), value)
                .replace('\n', ' ');
        return text.length() > 60 ? text.substring(0, 60) + "..." : text;
    }

    private static String formatBound(double value) {
        return value == Math.rint(value) ? Long.toString((long) value) : Double.toString(value);
    }
}
