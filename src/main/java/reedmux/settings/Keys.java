package reedmux.settings;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.BiFunction;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import reedmux.config.Addresses;
import reedmux.region.Path;
import reedmux.settings.Declaration.Told;
import reedmux.settings.ScriptException.Place;

/** Reads the keys of one declaration, with their bounds; what is wrong is told by key and place. */
final class Keys {
    private static final Pattern TIME = Pattern.compile("([0-9]{1,9}(?:\\.[0-9]{1,6})?) ?(us|ms|s|m|h)");

    private final Declaration of;

    Keys(Declaration of) {
        this.of = of;
    }

    Place place(String key) {
        Told told = of.keys().get(key);
        return told == null ? of.place() : told.place();
    }

    Fault bad(String key, String problem) {
        return new Fault(place(key), of.kind() + '.' + key + ' ' + problem);
    }

    boolean has(String key) {
        return of.keys().containsKey(key) && of.keys().get(key).value() != Values.NONE;
    }

    private Object value(String key) {
        if (!has(key)) {
            throw bad(key, "is missing");
        }
        return of.keys().get(key).value();
    }

    /** A region's name. */
    String name(String key) {
        return name(key, value(key));
    }

    private String name(String key, Object value) {
        if (value instanceof String text && Path.NAME.matcher(text).matches()) {
            return text;
        }
        throw bad(key, "is not a name of small letters, digits and '-': " + plain(value));
    }

    Set<String> names(String key) {
        return has(key) ? new LinkedHashSet<>(list(key, this::name)) : Set.of();
    }

    private <T> List<T> list(String key, BiFunction<String, Object, T> each) {
        if (!(value(key) instanceof List<?> list)) {
            throw bad(key, "is not a list: " + plain(value(key)));
        }
        List<T> read = new ArrayList<>();
        for (Object element : list) {
            T value = each.apply(key, element);
            if (read.contains(value)) {
                throw bad(key, "names " + plain(element) + " twice");
            }
            read.add(value);
        }
        return read;
    }

    InetSocketAddress address(String key) {
        return address(key, value(key));
    }

    private InetSocketAddress address(String key, Object value) {
        InetSocketAddress address = value instanceof String text ? Addresses.parse(text) : null;
        if (address == null) {
            throw bad(key, "is not an address:port: " + plain(value));
        }
        return address;
    }

    List<InetSocketAddress> addresses(String key) {
        List<InetSocketAddress> all = list(key, this::address);
        if (all.isEmpty()) {
            throw bad(key, "is empty");
        }
        return all;
    }

    /** Whether a key is told, if only as {@code None}. */
    boolean tells(String key) {
        return of.keys().containsKey(key);
    }

    String text(String key, String otherwise) {
        if (!has(key)) {
            return otherwise;
        } else if (value(key) instanceof String text && !text.isEmpty()) {
            return text;
        }
        throw bad(key, "is not a text: " + plain(value(key)));
    }

    Set<String> texts(String key) {
        return !has(key)
                ? Set.of()
                : new LinkedHashSet<>(list(key, (name, value) -> {
                    if (value instanceof String text && !text.isEmpty()) {
                        return text;
                    }
                    throw bad(name, "is not a text: " + plain(value));
                }));
    }

    boolean flag(String key, boolean otherwise) {
        if (!has(key)) {
            return otherwise;
        } else if (value(key) instanceof Boolean flag) {
            return flag;
        }
        throw bad(key, "is neither True nor False: " + plain(value(key)));
    }

    /** A number from {@code least} to {@code most}. */
    double number(String key, double least, double most) {
        Object value = value(key);
        if (!(value instanceof Number number)) {
            throw bad(key, "is not a number: " + plain(value));
        } else if (number.doubleValue() < least) {
            throw bad(key, "is under " + bound(least) + ": " + plain(value));
        } else if (number.doubleValue() > most) {
            throw bad(key, "is over " + bound(most) + ": " + plain(value));
        }
        return number.doubleValue();
    }

    double number(String key, double least, double most, double otherwise) {
        return has(key) ? number(key, least, most) : otherwise;
    }

    int whole(String key, int least, int most, int otherwise) {
        if (!has(key)) {
            return otherwise;
        } else if (!(value(key) instanceof Long)) {
            throw bad(key, "is not a whole number: " + plain(value(key)));
        }
        return (int) number(key, least, most);
    }

    /** A time in microseconds, told as text with its unit. */
    long time(String key, long least, long most, long otherwise) {
        if (!has(key)) {
            return otherwise;
        }
        Object value = value(key);
        Matcher matcher = value instanceof String text ? TIME.matcher(text) : null;
        if (matcher == null || !matcher.matches()) {
            throw bad(key, "is not a time with a unit, as in \"250ms\" or \"2s\": " + plain(value));
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
            throw bad(key, "lies outside of " + least / 1000.0 + " to " + most / 1000.0 + " ms: " + plain(value));
        }
        return micros;
    }

    /** A declaration within this one. */
    Keys of(String key, String kind) {
        Object value = value(key);
        if (value instanceof Declaration inner && inner.kind().equals(kind)) {
            return new Keys(inner);
        }
        throw bad(key, "is not " + kind + "(...): " + plain(value));
    }

    /** A value on one line, cut short. */
    private String plain(Object value) {
        String text = Values.text(new Meter(), of.place(), value).replace('\n', ' ');
        return text.length() > 60 ? text.substring(0, 60) + "..." : text;
    }

    private static String bound(double value) {
        return value == Math.rint(value) ? Long.toString((long) value) : Double.toString(value);
    }
}
