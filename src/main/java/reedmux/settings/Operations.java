package reedmux.settings;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.stream.Collectors;
import org.antlr.v4.runtime.Token;
import reedmux.settings.ScriptException.Place;

/** Operators, elements, and the functions that a script finds there. All that grows is metered. */
final class Operations {

    /** A function that every script knows, by the number of values it takes. */
    record Builtin(String name, int least, int most) implements Values.Function {}

    static final List<Builtin> BUILTINS = List.of(
            new Builtin("len", 1, 1),
            new Builtin("range", 1, 3),
            new Builtin("str", 1, 1),
            new Builtin("int", 1, 1),
            new Builtin("float", 1, 1),
            new Builtin("bool", 1, 1),
            new Builtin("list", 0, 1),
            new Builtin("min", 1, 99),
            new Builtin("max", 1, 99),
            new Builtin("abs", 1, 1),
            new Builtin("sorted", 1, 1),
            new Builtin("reversed", 1, 1),
            new Builtin("enumerate", 1, 1),
            new Builtin("zip", 1, 9),
            new Builtin("any", 1, 1),
            new Builtin("all", 1, 1),
            new Builtin("type", 1, 1),
            new Builtin("fail", 1, 9));

    private static final List<String> OF_STRINGS =
            List.of("upper", "lower", "strip", "split", "join", "format", "replace", "startswith", "endswith");
    private static final List<String> OF_LISTS = List.of("append", "extend", "index");
    private static final List<String> OF_DICTS = List.of("get", "keys", "values", "items", "update");

    private final Meter meter;

    Operations(Meter meter) {
        this.meter = meter;
    }

    // ---- Literals ----------------------------------------------------------------------------------
    static Long whole(Place place, String text) {
        try {
            return text.startsWith("0x")
                    ? Long.parseLong(text.substring(2), 16)
                    : Long.parseLong(text.replace("_", ""));
        } catch (NumberFormatException e) {
            throw new Fault(place, "not a whole number of 64 bits: " + text);
        }
    }

    static Double decimal(Place place, String text) {
        double value = Double.parseDouble(text);
        if (Double.isInfinite(value)) {
            throw new Fault(place, "the number is too large: " + text);
        }
        return value;
    }

    static String unquoted(Token token) {
        String text = token.getText();
        int quotes = text.startsWith("\"\"\"") ? 3 : 1;
        StringBuilder out = new StringBuilder();
        for (int i = quotes; i < text.length() - quotes; i++) {
            char c = text.charAt(i);
            if (c != '\\') {
                out.append(c);
                continue;
            }
            char escaped = text.charAt(++i);
            switch (escaped) {
                case 'n' -> out.append('\n');
                case 't' -> out.append('\t');
                case '\\', '"', '\'' -> out.append(escaped);
                default -> throw new Fault(Fault.at(token), "unknown escape '\\" + escaped + "' in a string");
            }
        }
        return out.toString();
    }

    // ---- Operators ---------------------------------------------------------------------------------
    Object sign(Place place, String op, Object value) {
        if (!Values.isNumber(value)) {
            throw new Fault(place, "'" + op + "' of a " + Values.type(value));
        }
        return op.equals("+") ? value : binary(place, "-", 0L, value);
    }

    Object binary(Place place, String op, Object one, Object other) {
        if (Values.isNumber(one) && Values.isNumber(other)) {
            return number(place, op, (Number) one, (Number) other);
        } else if (op.equals("+") && one instanceof String a && other instanceof String b) {
            meter.characters(place, (long) a.length() + b.length());
            return a + b;
        } else if (op.equals("+") && one instanceof List<?> a && other instanceof List<?> b) {
            meter.elements(place, (long) a.size() + b.size());
            List<Object> both = new ArrayList<>(a);
            both.addAll(b);
            return both;
        } else if (op.equals("*") && one instanceof List<?> a && other instanceof Long times) {
            List<Object> all = new ArrayList<>();
            for (long i = 0; i < times; i++) {
                meter.elements(place, a.size() + 1L);
                all.addAll(a);
            }
            return all;
        } else if (op.equals("*") && one instanceof String a && other instanceof Long times) {
            StringBuilder all = new StringBuilder();
            for (long i = 0; i < times; i++) {
                meter.characters(place, a.length() + 1L);
                all.append(a);
            }
            return all.toString();
        } else if (op.equals("%") && one instanceof String a) {
            return percent(place, a, other instanceof List<?> values ? values : List.of(other));
        }
        throw new Fault(place, "'" + op + "' between a " + Values.type(one) + " and a " + Values.type(other));
    }

    private static Object number(Place place, String op, Number one, Number other) {
        boolean whole = one instanceof Long && other instanceof Long;
        if (!op.equals("+") && !op.equals("-") && !op.equals("*") && other.doubleValue() == 0) {
            throw new Fault(place, "division by nought");
        }
        try {
            Object result =
                    switch (op) {
                        case "+" ->
                            whole
                                    ? (Object) Math.addExact(one.longValue(), other.longValue())
                                    : (Object) (one.doubleValue() + other.doubleValue());
                        case "-" ->
                            whole
                                    ? (Object) Math.subtractExact(one.longValue(), other.longValue())
                                    : (Object) (one.doubleValue() - other.doubleValue());
                        case "*" ->
                            whole
                                    ? (Object) Math.multiplyExact(one.longValue(), other.longValue())
                                    : (Object) (one.doubleValue() * other.doubleValue());
                        case "/" -> one.doubleValue() / other.doubleValue();
                        case "//" ->
                            whole
                                    ? (Object) Math.floorDiv(one.longValue(), other.longValue())
                                    : (Object) Math.floor(one.doubleValue() / other.doubleValue());
                        default ->
                            whole
                                    ? (Object) Math.floorMod(one.longValue(), other.longValue())
                                    : (Object) (one.doubleValue()
                                            - other.doubleValue()
                                                    * Math.floor(one.doubleValue() / other.doubleValue()));
                    };
            if (result instanceof Double value && !Double.isFinite(value)) {
                throw new Fault(place, "the result of '" + op + "' is no number");
            }
            return result;
        } catch (ArithmeticException e) {
            throw new Fault(place, "the result of '" + op + "' does not fit 64 bits");
        }
    }

    private String percent(Place place, String pattern, List<?> values) {
        StringBuilder out = new StringBuilder();
        int next = 0;
        for (int i = 0; i < pattern.length(); i++) {
            char c = pattern.charAt(i);
            if (c != '%') {
                out.append(c);
                continue;
            }
            char kind = ++i < pattern.length() ? pattern.charAt(i) : 0;
            if (kind == '%') {
                out.append('%');
            } else if ((kind == 's' || kind == 'd') && next < values.size()) {
                out.append(Values.text(meter, place, values.get(next++)));
            } else {
                throw new Fault(
                        place,
                        kind == 's' || kind == 'd' ? "too few values for the text" : "only %s, %d and %% are known");
            }
        }
        if (next < values.size()) {
            throw new Fault(place, "too many values for the text");
        }
        meter.characters(place, out.length());
        return out.toString();
    }

    boolean compare(Place place, String op, Object one, Object other) {
        return switch (op) {
            case "==" -> Values.same(meter, place, one, other);
            case "!=" -> !Values.same(meter, place, one, other);
            case "in" -> contains(place, other, one);
            case "<" -> order(place, one, other) < 0;
            case ">" -> order(place, one, other) > 0;
            case "<=" -> order(place, one, other) <= 0;
            default -> order(place, one, other) >= 0;
        };
    }

    private boolean contains(Place place, Object in, Object value) {
        if (in instanceof String all && value instanceof String part) {
            return all.contains(part);
        } else if (in instanceof Map<?, ?> map) {
            return map.containsKey(value);
        } else if (in instanceof List<?> list) {
            return list.stream().anyMatch(element -> Values.same(meter, place, element, value));
        }
        throw new Fault(place, "'in' of a " + Values.type(in));
    }

    private int order(Place place, Object one, Object other) {
        meter.step(place);
        if (one instanceof Long a && other instanceof Long b) {
            return a.compareTo(b);
        } else if (Values.isNumber(one) && Values.isNumber(other)) {
            return Double.compare(((Number) one).doubleValue(), ((Number) other).doubleValue());
        } else if (one instanceof String a && other instanceof String b) {
            return a.compareTo(b);
        }
        throw new Fault(place, "a " + Values.type(one) + " and a " + Values.type(other) + " have no order");
    }

    // ---- Elements ----------------------------------------------------------------------------------
    /** The elements of a list or the keys of a dict, as they are now. */
    List<Object> each(Place place, Object value) {
        if (value instanceof List<?> list) {
            meter.elements(place, list.size());
            return new ArrayList<>(list);
        } else if (value instanceof Map<?, ?> map) {
            meter.elements(place, map.size());
            return new ArrayList<>(map.keySet());
        }
        throw new Fault(place, "a " + Values.type(value) + " has no elements to go through");
    }

    Object element(Place place, Object of, Object at) {
        if (of instanceof Map<?, ?> map) {
            Object found = map.get(at);
            if (found == null) {
                throw new Fault(
                        place,
                        "the dict has no key " + Values.text(meter, place, List.of(at))
                                + Names.hint(
                                        String.valueOf(at),
                                        map.keySet().stream()
                                                .map(String::valueOf)
                                                .toList()));
            }
            return found;
        } else if (of instanceof List<?> list && at instanceof Long index) {
            return list.get(index(place, index, list.size()));
        } else if (of instanceof String text && at instanceof Long index) {
            int i = index(place, index, text.length());
            return text.substring(i, i + 1);
        }
        throw new Fault(place, "a " + Values.type(of) + " has no element by a " + Values.type(at));
    }

    private static int index(Place place, long told, int size) {
        long index = told < 0 ? told + size : told;
        if (index < 0 || index >= size) {
            throw new Fault(place, "the index " + told + " lies outside of " + size + " elements");
        }
        return (int) index;
    }

    Object slice(Place place, Object of, Object low, Object high) {
        int size = of instanceof List<?> list ? list.size() : of instanceof String text ? text.length() : -1;
        if (size < 0 || low != null && !(low instanceof Long) || high != null && !(high instanceof Long)) {
            throw new Fault(place, "a part is taken of a list or string, between whole numbers");
        }
        int from = bound(low, 0, size);
        int to = Math.max(from, bound(high, size, size));
        meter.elements(place, to - from);
        return of instanceof String text ? text.substring(from, to) : new ArrayList<>(((List<?>) of).subList(from, to));
    }

    private static int bound(Object told, int none, int size) {
        long at = told == null ? none : (Long) told;
        return (int) Math.max(0, Math.min(size, at < 0 ? at + size : at));
    }

    @SuppressWarnings("unchecked")
    void put(Place place, Object into, Object at, Object value) {
        if (into instanceof Map<?, ?> map) {
            if (!(at instanceof String || at instanceof Long || at instanceof Boolean)) {
                throw new Fault(place, "a " + Values.type(at) + " cannot be the key of a dict");
            }
            meter.elements(place, 2);
            ((Map<Object, Object>) map).put(at, value);
        } else if (into instanceof List<?> list && at instanceof Long index) {
            ((List<Object>) list).set(index(place, index, list.size()), value);
        } else {
            throw new Fault(place, "nothing can be put into a " + Values.type(into));
        }
    }

    // ---- Functions of values -----------------------------------------------------------------------
    static List<String> methods(Object value) {
        return value instanceof String
                ? OF_STRINGS
                : value instanceof List ? OF_LISTS : value instanceof Map ? OF_DICTS : List.of();
    }

    @SuppressWarnings("unchecked")
    Object method(Place place, Object of, String name, List<Object> values) {
        if (of instanceof String text) {
            return ofString(place, text, name, values);
        } else if (of instanceof List<?> list) {
            take(place, name, values, 1, 1);
            Object value = values.get(0);
            switch (name) {
                case "append" -> {
                    meter.elements(place, 1);
                    ((List<Object>) list).add(value);
                }
                case "extend" -> ((List<Object>) list).addAll(each(place, value));
                default -> {
                    for (int i = 0; i < list.size(); i++) {
                        if (Values.same(meter, place, list.get(i), value)) {
                            return (long) i;
                        }
                    }
                    throw new Fault(place, "the list has no such element");
                }
            }
            return Values.NONE;
        }
        Map<Object, Object> map = (Map<Object, Object>) of;
        meter.elements(place, map.size());
        switch (name) {
            case "get" -> {
                take(place, name, values, 1, 2);
                Object found = map.get(values.get(0));
                return found != null ? found : values.size() > 1 ? values.get(1) : Values.NONE;
            }
            case "update" -> {
                take(place, name, values, 1, 1);
                if (!(values.get(0) instanceof Map<?, ?> more)) {
                    throw new Fault(place, "update takes a dict");
                }
                new ArrayList<>(more.entrySet()).forEach(e -> put(place, map, e.getKey(), e.getValue()));
                return Values.NONE;
            }
            default -> {
                take(place, name, values, 0, 0);
                return name.equals("keys")
                        ? new ArrayList<>(map.keySet())
                        : name.equals("values")
                                ? new ArrayList<>(map.values())
                                : map.entrySet().stream()
                                        .map(e -> new ArrayList<>(Arrays.asList(e.getKey(), e.getValue())))
                                        .collect(Collectors.toCollection(ArrayList::new));
            }
        }
    }

    private Object ofString(Place place, String text, String name, List<Object> values) {
        meter.characters(place, text.length());
        switch (name) {
            case "upper", "lower", "strip" -> {
                take(place, name, values, 0, 0);
                return name.equals("upper")
                        ? text.toUpperCase(Locale.ROOT)
                        : name.equals("lower") ? text.toLowerCase(Locale.ROOT) : text.strip();
            }
            case "split", "startswith", "endswith" -> {
                take(place, name, values, 1, 1);
                String part = string(place, values.get(0));
                if (!name.equals("split")) {
                    return name.equals("startswith") ? text.startsWith(part) : text.endsWith(part);
                } else if (part.isEmpty()) {
                    throw new Fault(place, "split needs a separator");
                }
                meter.elements(place, text.length());
                return new ArrayList<Object>(Arrays.asList(text.split(java.util.regex.Pattern.quote(part), -1)));
            }
            case "join" -> {
                take(place, name, values, 1, 1);
                List<Object> parts = each(place, values.get(0));
                for (Object part : parts) {
                    meter.characters(
                            place, (long) text.length() + string(place, part).length());
                }
                return parts.stream().map(String.class::cast).collect(Collectors.joining(text));
            }
            case "replace" -> {
                take(place, name, values, 2, 2);
                String part = string(place, values.get(0));
                String by = string(place, values.get(1));
                if (part.isEmpty()) {
                    throw new Fault(place, "replace needs something to replace");
                }
                meter.characters(place, (long) (text.length() / part.length() + 1) * by.length());
                return text.replace(part, by);
            }
            default -> {
                StringBuilder out = new StringBuilder();
                int next = 0;
                for (int i = 0; i < text.length(); i++) {
                    if (text.startsWith("{}", i)) {
                        if (next >= values.size()) {
                            throw new Fault(place, "too few values for the text");
                        }
                        out.append(Values.text(meter, place, values.get(next++)));
                        i++;
                    } else {
                        out.append(text.charAt(i));
                    }
                }
                meter.characters(place, out.length());
                return out.toString();
            }
        }
    }

    private static String string(Place place, Object value) {
        if (value instanceof String text) {
            return text;
        }
        throw new Fault(place, "a string is needed, not a " + Values.type(value));
    }

    private static void take(Place place, String function, List<Object> values, int least, int most) {
        if (values.size() < least || values.size() > most) {
            throw new Fault(
                    place,
                    function + " takes " + (least == most ? "" + least : least + " to " + most) + " values, not "
                            + values.size());
        }
    }

    // ---- Functions of all scripts ------------------------------------------------------------------
    Object builtin(Place place, Builtin builtin, List<Object> values) {
        take(place, builtin.name(), values, builtin.least(), builtin.most());
        Object first = values.isEmpty() ? Values.NONE : values.get(0);
        switch (builtin.name()) {
            case "len" -> {
                return first instanceof String text
                        ? (long) text.length()
                        : first instanceof Map<?, ?> map
                                ? (long) map.size()
                                : (long) each(place, first).size();
            }
            case "range" -> {
                return range(place, values);
            }
            case "str" -> {
                return Values.text(meter, place, first);
            }
            case "type" -> {
                return Values.type(first);
            }
            case "int" -> {
                return first instanceof String text
                        ? whole(place, text.strip())
                        : first instanceof Boolean flag
                                ? (Long) (flag ? 1L : 0L)
                                : (Long) (long) number(place, first).doubleValue();
            }
            case "float" -> {
                try {
                    return first instanceof String text
                            ? decimal(place, text)
                            : (Double) number(place, first).doubleValue();
                } catch (NumberFormatException e) {
                    throw new Fault(place, "not a number: " + first);
                }
            }
            case "bool" -> {
                return Values.truth(first);
            }
            case "list" -> {
                return values.isEmpty() ? new ArrayList<>() : each(place, first);
            }
            case "abs" -> {
                return number(place, first).doubleValue() < 0 ? sign(place, "-", first) : first;
            }
            case "min", "max" -> {
                List<Object> all = values.size() > 1 ? values : each(place, first);
                return all.stream()
                        .min((a, b) -> builtin.name().equals("min") ? order(place, a, b) : order(place, b, a))
                        .orElseThrow(() -> new Fault(place, builtin.name() + " of nothing"));
            }
            case "sorted" -> {
                List<Object> all = each(place, first);
                all.sort((Comparator<Object>) (a, b) -> order(place, a, b));
                return all;
            }
            case "reversed" -> {
                List<Object> all = each(place, first);
                java.util.Collections.reverse(all);
                return all;
            }
            case "enumerate", "zip" -> {
                return together(
                        place,
                        builtin.name().equals("zip")
                                ? values
                                : List.of(
                                        range(place, List.of((long)
                                                each(place, first).size())),
                                        first));
            }
            case "any" -> {
                return each(place, first).stream().anyMatch(Values::truth);
            }
            case "all" -> {
                return each(place, first).stream().allMatch(Values::truth);
            }
            default ->
                throw new Fault(
                        place,
                        values.stream()
                                .map(value -> Values.text(meter, place, value))
                                .collect(Collectors.joining(" ")));
        }
    }

    private static Number number(Place place, Object value) {
        if (value instanceof Number number) {
            return number;
        }
        throw new Fault(place, "a number is needed, not a " + Values.type(value));
    }

    private List<Object> range(Place place, List<?> values) {
        for (Object value : values) {
            if (!(value instanceof Long)) {
                throw new Fault(place, "range takes whole numbers, not a " + Values.type(value));
            }
        }
        long from = values.size() > 1 ? (Long) values.get(0) : 0;
        long to = (Long) values.get(values.size() > 1 ? 1 : 0);
        long step = values.size() > 2 ? (Long) values.get(2) : 1;
        if (step == 0) {
            throw new Fault(place, "range with a step of nought");
        }
        List<Object> all = new ArrayList<>();
        for (long at = from; step > 0 ? at < to : at > to; at += step) {
            meter.elements(place, 1);
            all.add(at);
        }
        return all;
    }

    private List<Object> together(Place place, List<?> lists) {
        List<List<Object>> all = new ArrayList<>();
        lists.forEach(list -> all.add(each(place, list)));
        int least = all.stream().mapToInt(List::size).min().orElse(0);
        List<Object> rows = new ArrayList<>();
        for (int i = 0; i < least; i++) {
            meter.elements(place, all.size());
            int at = i;
            rows.add(all.stream().map(list -> list.get(at)).collect(Collectors.toCollection(ArrayList::new)));
        }
        return rows;
    }
}
