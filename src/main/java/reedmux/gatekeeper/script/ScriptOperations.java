package reedmux.gatekeeper.script;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.stream.Collectors;
import org.antlr.v4.runtime.Token;
import reedmux.gatekeeper.script.ScriptException.ScriptPosition;

/** Operators, elements, and the functions that a script finds there. All that grows is metered. */
public final class ScriptOperations {

    /** A function that every script knows, by the number of values it takes. */
    public record BuiltinFunction(String name, int minArguments, int maxArguments)
            implements ScriptValues.ScriptCallable {}

    static final List<BuiltinFunction> BUILTINS = List.of(
            new BuiltinFunction("len", 1, 1),
            new BuiltinFunction("range", 1, 3),
            new BuiltinFunction("str", 1, 1),
            new BuiltinFunction("int", 1, 1),
            new BuiltinFunction("float", 1, 1),
            new BuiltinFunction("bool", 1, 1),
            new BuiltinFunction("list", 0, 1),
            new BuiltinFunction("min", 1, 99),
            new BuiltinFunction("max", 1, 99),
            new BuiltinFunction("abs", 1, 1),
            new BuiltinFunction("sorted", 1, 1),
            new BuiltinFunction("reversed", 1, 1),
            new BuiltinFunction("enumerate", 1, 1),
            new BuiltinFunction("zip", 1, 9),
            new BuiltinFunction("any", 1, 1),
            new BuiltinFunction("all", 1, 1),
            new BuiltinFunction("type", 1, 1),
            new BuiltinFunction("fail", 1, 9));

    private static final List<String> STRING_METHODS =
            List.of("upper", "lower", "strip", "split", "join", "format", "replace", "startswith", "endswith");
    private static final List<String> LIST_METHODS = List.of("append", "extend", "index");
    private static final List<String> DICT_METHODS = List.of("get", "keys", "values", "items", "update");

    private final ScriptMeter meter;

    ScriptOperations(ScriptMeter meter) {
        this.meter = meter;
    }

    // ---- Literals ----------------------------------------------------------------------------------
    static Long parseInteger(ScriptPosition place, String text) {
        try {
            return text.startsWith("0x")
                    ? Long.parseLong(text.substring(2), 16)
                    : Long.parseLong(text.replace("_", ""));
        } catch (NumberFormatException e) {
            throw new ScriptFaultException(place, "not a whole number of 64 bits: " + text);
        }
    }

    static Double parseDecimal(ScriptPosition place, String text) {
        double value = Double.parseDouble(text);
        if (Double.isInfinite(value)) {
            throw new ScriptFaultException(place, "the number is too large: " + text);
        }
        return value;
    }

    static String unquote(Token token) {
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
                default ->
                    throw new ScriptFaultException(
                            ScriptFaultException.positionOf(token), "unknown escape '\\" + escaped + "' in a string");
            }
        }
        return out.toString();
    }

    // ---- Operators ---------------------------------------------------------------------------------
    Object sign(ScriptPosition place, String op, Object value) {
        if (!ScriptValues.isNumber(value)) {
            throw new ScriptFaultException(place, "'" + op + "' of a " + ScriptValues.typeName(value));
        }
        return op.equals("+") ? value : binary(place, "-", 0L, value);
    }

    Object binary(ScriptPosition place, String op, Object one, Object other) {
        if (ScriptValues.isNumber(one) && ScriptValues.isNumber(other)) {
            return number(place, op, (Number) one, (Number) other);
        } else if (op.equals("+") && one instanceof String a && other instanceof String b) {
            meter.countCharacters(place, (long) a.length() + b.length());
            return a + b;
        } else if (op.equals("+") && one instanceof List<?> a && other instanceof List<?> b) {
            meter.countElements(place, (long) a.size() + b.size());
            List<Object> both = new ArrayList<>(a);
            both.addAll(b);
            return both;
        } else if (op.equals("*") && one instanceof List<?> a && other instanceof Long times) {
            List<Object> all = new ArrayList<>();
            for (long i = 0; i < times; i++) {
                meter.countElements(place, a.size() + 1L);
                all.addAll(a);
            }
            return all;
        } else if (op.equals("*") && one instanceof String a && other instanceof Long times) {
            StringBuilder all = new StringBuilder();
            for (long i = 0; i < times; i++) {
                meter.countCharacters(place, a.length() + 1L);
                all.append(a);
            }
            return all.toString();
        } else if (op.equals("%") && one instanceof String a) {
            return formatPercent(place, a, other instanceof List<?> values ? values : List.of(other));
        }
        throw new ScriptFaultException(
                place,
                "'" + op + "' between a " + ScriptValues.typeName(one) + " and a " + ScriptValues.typeName(other));
    }

    private static Object number(ScriptPosition place, String op, Number one, Number other) {
        boolean whole = one instanceof Long && other instanceof Long;
        if (!op.equals("+") && !op.equals("-") && !op.equals("*") && other.doubleValue() == 0) {
            throw new ScriptFaultException(place, "division by nought");
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
                throw new ScriptFaultException(place, "the result of '" + op + "' is no number");
            }
            return result;
        } catch (ArithmeticException e) {
            throw new ScriptFaultException(place, "the result of '" + op + "' does not fit 64 bits");
        }
    }

    private String formatPercent(ScriptPosition place, String pattern, List<?> values) {
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
                out.append(ScriptValues.toText(meter, place, values.get(next++)));
            } else {
                throw new ScriptFaultException(
                        place,
                        kind == 's' || kind == 'd' ? "too few values for the text" : "only %s, %d and %% are known");
            }
        }
        if (next < values.size()) {
            throw new ScriptFaultException(place, "too many values for the text");
        }
        meter.countCharacters(place, out.length());
        return out.toString();
    }

    boolean compare(ScriptPosition place, String op, Object one, Object other) {
        return switch (op) {
            case "==" -> ScriptValues.areEqual(meter, place, one, other);
            case "!=" -> !ScriptValues.areEqual(meter, place, one, other);
            case "in" -> contains(place, other, one);
            case "<" -> order(place, one, other) < 0;
            case ">" -> order(place, one, other) > 0;
            case "<=" -> order(place, one, other) <= 0;
            default -> order(place, one, other) >= 0;
        };
    }

    private boolean contains(ScriptPosition place, Object in, Object value) {
        if (in instanceof String all && value instanceof String part) {
            return all.contains(part);
        } else if (in instanceof Map<?, ?> map) {
            return map.containsKey(value);
        } else if (in instanceof List<?> list) {
            return list.stream().anyMatch(element -> ScriptValues.areEqual(meter, place, element, value));
        }
        throw new ScriptFaultException(place, "'in' of a " + ScriptValues.typeName(in));
    }

    private int order(ScriptPosition place, Object one, Object other) {
        meter.countStep(place);
        if (one instanceof Long a && other instanceof Long b) {
            return a.compareTo(b);
        } else if (ScriptValues.isNumber(one) && ScriptValues.isNumber(other)) {
            return Double.compare(((Number) one).doubleValue(), ((Number) other).doubleValue());
        } else if (one instanceof String a && other instanceof String b) {
            return a.compareTo(b);
        }
        throw new ScriptFaultException(
                place, "a " + ScriptValues.typeName(one) + " and a " + ScriptValues.typeName(other) + " have no order");
    }

    // ---- Elements ----------------------------------------------------------------------------------
    /** The elements of a list or the keys of a dict, as they are now. */
    List<Object> elements(ScriptPosition place, Object value) {
        if (value instanceof List<?> list) {
            meter.countElements(place, list.size());
            return new ArrayList<>(list);
        } else if (value instanceof Map<?, ?> map) {
            meter.countElements(place, map.size());
            return new ArrayList<>(map.keySet());
        }
        throw new ScriptFaultException(place, "a " + ScriptValues.typeName(value) + " has no elements to go through");
    }

    Object element(ScriptPosition place, Object of, Object at) {
        if (of instanceof Map<?, ?> map) {
            Object found = map.get(at);
            if (found == null) {
                throw new ScriptFaultException(
                        place,
                        "the dict has no key " + ScriptValues.toText(meter, place, List.of(at))
                                + NameSuggestions.suggest(
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
        throw new ScriptFaultException(
                place, "a " + ScriptValues.typeName(of) + " has no element by a " + ScriptValues.typeName(at));
    }

    private static int index(ScriptPosition place, long told, int size) {
        long index = told < 0 ? told + size : told;
        if (index < 0 || index >= size) {
            throw new ScriptFaultException(place, "the index " + told + " lies outside of " + size + " elements");
        }
        return (int) index;
    }

    Object slice(ScriptPosition place, Object of, Object low, Object high) {
        int size = of instanceof List<?> list ? list.size() : of instanceof String text ? text.length() : -1;
        if (size < 0 || low != null && !(low instanceof Long) || high != null && !(high instanceof Long)) {
            throw new ScriptFaultException(place, "a part is taken of a list or string, between whole numbers");
        }
        int from = bound(low, 0, size);
        int to = Math.max(from, bound(high, size, size));
        meter.countElements(place, to - from);
        return of instanceof String text ? text.substring(from, to) : new ArrayList<>(((List<?>) of).subList(from, to));
    }

    private static int bound(Object told, int none, int size) {
        long at = told == null ? none : (Long) told;
        return (int) Math.max(0, Math.min(size, at < 0 ? at + size : at));
    }

    @SuppressWarnings("unchecked")
    void setElement(ScriptPosition place, Object into, Object at, Object value) {
        if (into instanceof Map<?, ?> map) {
            if (!(at instanceof String || at instanceof Long || at instanceof Boolean)) {
                throw new ScriptFaultException(
                        place, "a " + ScriptValues.typeName(at) + " cannot be the key of a dict");
            }
            meter.countElements(place, 2);
            ((Map<Object, Object>) map).put(at, value);
        } else if (into instanceof List<?> list && at instanceof Long index) {
            ((List<Object>) list).set(index(place, index, list.size()), value);
        } else {
            throw new ScriptFaultException(place, "nothing can be put into a " + ScriptValues.typeName(into));
        }
    }

    // ---- Functions of values -----------------------------------------------------------------------
    static List<String> methods(Object value) {
        return value instanceof String
                ? STRING_METHODS
                : value instanceof List ? LIST_METHODS : value instanceof Map ? DICT_METHODS : List.of();
    }

    @SuppressWarnings("unchecked")
    Object callMethod(ScriptPosition place, Object of, String name, List<Object> values) {
        if (of instanceof String text) {
            return callStringMethod(place, text, name, values);
        } else if (of instanceof List<?> list) {
            checkArgumentCount(place, name, values, 1, 1);
            Object value = values.get(0);
            switch (name) {
                case "append" -> {
                    meter.countElements(place, 1);
                    ((List<Object>) list).add(value);
                }
                case "extend" -> ((List<Object>) list).addAll(elements(place, value));
                default -> {
                    for (int i = 0; i < list.size(); i++) {
                        if (ScriptValues.areEqual(meter, place, list.get(i), value)) {
                            return (long) i;
                        }
                    }
                    throw new ScriptFaultException(place, "the list has no such element");
                }
            }
            return ScriptValues.NONE;
        }
        Map<Object, Object> map = (Map<Object, Object>) of;
        meter.countElements(place, map.size());
        switch (name) {
            case "get" -> {
                checkArgumentCount(place, name, values, 1, 2);
                Object found = map.get(values.get(0));
                return found != null ? found : values.size() > 1 ? values.get(1) : ScriptValues.NONE;
            }
            case "update" -> {
                checkArgumentCount(place, name, values, 1, 1);
                if (!(values.get(0) instanceof Map<?, ?> more)) {
                    throw new ScriptFaultException(place, "update takes a dict");
                }
                new ArrayList<>(more.entrySet()).forEach(e -> setElement(place, map, e.getKey(), e.getValue()));
                return ScriptValues.NONE;
            }
            default -> {
                checkArgumentCount(place, name, values, 0, 0);
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

    private Object callStringMethod(ScriptPosition place, String text, String name, List<Object> values) {
        meter.countCharacters(place, text.length());
        switch (name) {
            case "upper", "lower", "strip" -> {
                checkArgumentCount(place, name, values, 0, 0);
                return name.equals("upper")
                        ? text.toUpperCase(Locale.ROOT)
                        : name.equals("lower") ? text.toLowerCase(Locale.ROOT) : text.strip();
            }
            case "split", "startswith", "endswith" -> {
                checkArgumentCount(place, name, values, 1, 1);
                String part = string(place, values.get(0));
                if (!name.equals("split")) {
                    return name.equals("startswith") ? text.startsWith(part) : text.endsWith(part);
                } else if (part.isEmpty()) {
                    throw new ScriptFaultException(place, "split needs a separator");
                }
                meter.countElements(place, text.length());
                return new ArrayList<Object>(Arrays.asList(text.split(java.util.regex.Pattern.quote(part), -1)));
            }
            case "join" -> {
                checkArgumentCount(place, name, values, 1, 1);
                List<Object> parts = elements(place, values.get(0));
                for (Object part : parts) {
                    meter.countCharacters(
                            place, (long) text.length() + string(place, part).length());
                }
                return parts.stream().map(String.class::cast).collect(Collectors.joining(text));
            }
            case "replace" -> {
                checkArgumentCount(place, name, values, 2, 2);
                String part = string(place, values.get(0));
                String by = string(place, values.get(1));
                if (part.isEmpty()) {
                    throw new ScriptFaultException(place, "replace needs something to replace");
                }
                meter.countCharacters(place, (long) (text.length() / part.length() + 1) * by.length());
                return text.replace(part, by);
            }
            default -> {
                StringBuilder out = new StringBuilder();
                int next = 0;
                for (int i = 0; i < text.length(); i++) {
                    if (text.startsWith("{}", i)) {
                        if (next >= values.size()) {
                            throw new ScriptFaultException(place, "too few values for the text");
                        }
                        out.append(ScriptValues.toText(meter, place, values.get(next++)));
                        i++;
                    } else {
                        out.append(text.charAt(i));
                    }
                }
                meter.countCharacters(place, out.length());
                return out.toString();
            }
        }
    }

    private static String string(ScriptPosition place, Object value) {
        if (value instanceof String text) {
            return text;
        }
        throw new ScriptFaultException(place, "a string is needed, not a " + ScriptValues.typeName(value));
    }

    private static void checkArgumentCount(
            ScriptPosition place, String function, List<Object> values, int least, int most) {
        if (values.size() < least || values.size() > most) {
            throw new ScriptFaultException(
                    place,
                    function + " takes " + (least == most ? "" + least : least + " to " + most) + " values, not "
                            + values.size());
        }
    }

    // ---- Functions of all scripts ------------------------------------------------------------------
    Object callBuiltin(ScriptPosition place, BuiltinFunction builtin, List<Object> values) {
        checkArgumentCount(place, builtin.name(), values, builtin.minArguments(), builtin.maxArguments());
        Object first = values.isEmpty() ? ScriptValues.NONE : values.get(0);
        switch (builtin.name()) {
            case "len" -> {
                return first instanceof String text
                        ? (long) text.length()
                        : first instanceof Map<?, ?> map
                                ? (long) map.size()
                                : (long) elements(place, first).size();
            }
            case "range" -> {
                return range(place, values);
            }
            case "str" -> {
                return ScriptValues.toText(meter, place, first);
            }
            case "type" -> {
                return ScriptValues.typeName(first);
            }
            case "int" -> {
                return first instanceof String text
                        ? parseInteger(place, text.strip())
                        : first instanceof Boolean flag
                                ? (Long) (flag ? 1L : 0L)
                                : (Long) (long) number(place, first).doubleValue();
            }
            case "float" -> {
                try {
                    return first instanceof String text
                            ? parseDecimal(place, text)
                            : (Double) number(place, first).doubleValue();
                } catch (NumberFormatException e) {
                    throw new ScriptFaultException(place, "not a number: " + first);
                }
            }
            case "bool" -> {
                return ScriptValues.isTruthy(first);
            }
            case "list" -> {
                return values.isEmpty() ? new ArrayList<>() : elements(place, first);
            }
            case "abs" -> {
                return number(place, first).doubleValue() < 0 ? sign(place, "-", first) : first;
            }
            case "min", "max" -> {
                List<Object> all = values.size() > 1 ? values : elements(place, first);
                return all.stream()
                        .min((a, b) -> builtin.name().equals("min") ? order(place, a, b) : order(place, b, a))
                        .orElseThrow(() -> new ScriptFaultException(place, builtin.name() + " of nothing"));
            }
            case "sorted" -> {
                List<Object> all = elements(place, first);
                all.sort((Comparator<Object>) (a, b) -> order(place, a, b));
                return all;
            }
            case "reversed" -> {
                List<Object> all = elements(place, first);
                java.util.Collections.reverse(all);
                return all;
            }
            case "enumerate", "zip" -> {
                return zip(
                        place,
                        builtin.name().equals("zip")
                                ? values
                                : List.of(
                                        range(place, List.of((long)
                                                elements(place, first).size())),
                                        first));
            }
            case "any" -> {
                return elements(place, first).stream().anyMatch(ScriptValues::isTruthy);
            }
            case "all" -> {
                return elements(place, first).stream().allMatch(ScriptValues::isTruthy);
            }
            default ->
                throw new ScriptFaultException(
                        place,
                        values.stream()
                                .map(value -> ScriptValues.toText(meter, place, value))
                                .collect(Collectors.joining(" ")));
        }
    }

    private static Number number(ScriptPosition place, Object value) {
        if (value instanceof Number number) {
            return number;
        }
        throw new ScriptFaultException(place, "a number is needed, not a " + ScriptValues.typeName(value));
    }

    private List<Object> range(ScriptPosition place, List<?> values) {
        for (Object value : values) {
            if (!(value instanceof Long)) {
                throw new ScriptFaultException(
                        place, "range takes whole numbers, not a " + ScriptValues.typeName(value));
            }
        }
        long from = values.size() > 1 ? (Long) values.get(0) : 0;
        long to = (Long) values.get(values.size() > 1 ? 1 : 0);
        long step = values.size() > 2 ? (Long) values.get(2) : 1;
        if (step == 0) {
            throw new ScriptFaultException(place, "range with a step of nought");
        }
        List<Object> all = new ArrayList<>();
        for (long at = from; step > 0 ? at < to : at > to; at += step) {
            meter.countElements(place, 1);
            all.add(at);
        }
        return all;
    }

    private List<Object> zip(ScriptPosition place, List<?> lists) {
        List<List<Object>> all = new ArrayList<>();
        lists.forEach(list -> all.add(elements(place, list)));
        int least = all.stream().mapToInt(List::size).min().orElse(0);
        List<Object> rows = new ArrayList<>();
        for (int i = 0; i < least; i++) {
            meter.countElements(place, all.size());
            int at = i;
            rows.add(all.stream().map(list -> list.get(at)).collect(Collectors.toCollection(ArrayList::new)));
        }
        return rows;
    }
}
