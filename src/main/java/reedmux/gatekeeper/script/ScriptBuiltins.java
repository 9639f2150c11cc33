package reedmux.gatekeeper.script;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import reedmux.gatekeeper.script.ScriptException.ScriptPosition;

/** The builtin functions, such as {@code len} and {@code range}, which are available in every script. */
final class ScriptBuiltins {

    /** A builtin function with the minimum and maximum number of its arguments. */
    record BuiltinFunction(String name, int minArguments, int maxArguments) implements ScriptValues.ScriptCallable {}

    static final List<BuiltinFunction> ALL = List.of(
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

    private final ScriptMeter meter;
    private final ScriptOperators operators;
    private final ScriptCollections collections;

    ScriptBuiltins(ScriptMeter meter, ScriptOperators operators, ScriptCollections collections) {
        this.meter = meter;
        this.operators = operators;
        this.collections = collections;
    }

    Object call(ScriptPosition position, BuiltinFunction function, List<Object> arguments) {
        String name = function.name();
        ScriptArguments.checkCount(position, name, arguments, function.minArguments(), function.maxArguments());
        Object first = arguments.isEmpty() ? ScriptValues.NONE : arguments.get(0);
        return switch (name) {
            case "len" -> length(position, first);
            case "range" -> range(position, arguments);
            case "str" -> ScriptValues.toText(meter, position, first);
            case "int" -> toInteger(position, first);
            case "float" -> toFloat(position, first);
            case "bool" -> ScriptValues.isTruthy(first);
            case "list" -> arguments.isEmpty() ? new ArrayList<>() : collections.elements(position, first);
            case "min", "max" -> minOrMax(position, name, arguments);
            case "abs" -> absolute(position, first);
            case "sorted" -> sorted(position, first);
            case "reversed" -> reversed(position, first);
            case "enumerate" -> enumerate(position, first);
            case "zip" -> zip(position, arguments);
            case "any" -> collections.elements(position, first).stream().anyMatch(ScriptValues::isTruthy);
            case "all" -> collections.elements(position, first).stream().allMatch(ScriptValues::isTruthy);
            case "type" -> ScriptValues.typeName(first);
            default -> throw failException(position, arguments);
        };
    }

    // ---- Conversions -------------------------------------------------------------------------------
    private static Long toInteger(ScriptPosition position, Object value) {
        if (value instanceof String text) {
            return ScriptLiterals.parseInteger(position, text.strip());
        } else if (value instanceof Boolean flag) {
            return flag ? 1L : 0L;
        }
        return (long) ScriptArguments.requireNumber(position, value).doubleValue();
    }

    private static Double toFloat(ScriptPosition position, Object value) {
        if (!(value instanceof String text)) {
            return ScriptArguments.requireNumber(position, value).doubleValue();
        }
        try {
            return ScriptLiterals.parseDecimal(position, text);
        } catch (NumberFormatException e) {
            throw new UncheckedScriptException(position, "not a number: " + text, e);
        }
    }

    private Object absolute(ScriptPosition position, Object value) {
        boolean negative = ScriptArguments.requireNumber(position, value).doubleValue() < 0;
        return negative ? operators.sign(position, "-", value) : value;
    }

    /** Creates the exception thrown by {@code fail}, whose message consists of the arguments, separated by spaces. */
    private UncheckedScriptException failException(ScriptPosition position, List<Object> arguments) {
        String message = arguments.stream()
                .map(value -> ScriptValues.toText(meter, position, value))
                .collect(Collectors.joining(" "));
        return new UncheckedScriptException(position, message);
    }

    // ---- Collections -------------------------------------------------------------------------------
    private long length(ScriptPosition position, Object value) {
        if (value instanceof String text) {
            return text.length();
        } else if (value instanceof Map<?, ?> map) {
            return map.size();
        }
        return collections.elements(position, value).size();
    }

    private Object minOrMax(ScriptPosition position, String name, List<Object> arguments) {
        List<Object> values = arguments.size() > 1 ? arguments : collections.elements(position, arguments.get(0));
        Comparator<Object> order = name.equals("min")
                ? (left, right) -> operators.compareOrder(position, left, right)
                : (left, right) -> operators.compareOrder(position, right, left);
        return values.stream()
                .min(order)
                .orElseThrow(() -> new UncheckedScriptException(position, name + " of an empty list or dict"));
    }

    private List<Object> sorted(ScriptPosition position, Object value) {
        List<Object> elements = collections.elements(position, value);
        elements.sort((left, right) -> operators.compareOrder(position, left, right));
        return elements;
    }

    private List<Object> reversed(ScriptPosition position, Object value) {
        List<Object> elements = collections.elements(position, value);
        Collections.reverse(elements);
        return elements;
    }

    private List<Object> range(ScriptPosition position, List<?> arguments) {
        for (Object argument : arguments) {
            if (!(argument instanceof Long)) {
                throw new UncheckedScriptException(
                        position, "range takes whole numbers, not a " + ScriptValues.typeName(argument));
            }
        }
        boolean hasStart = arguments.size() > 1;
        long from = hasStart ? (Long) arguments.get(0) : 0;
        long to = (Long) arguments.get(hasStart ? 1 : 0);
        long step = arguments.size() > 2 ? (Long) arguments.get(2) : 1;
        if (step == 0) {
            throw new UncheckedScriptException(position, "range with a step of zero");
        }
        List<Object> numbers = new ArrayList<>();
        for (long number = from; step > 0 ? number < to : number > to; number += step) {
            meter.countElements(position, 1);
            numbers.add(number);
        }
        return numbers;
    }

    private List<Object> enumerate(ScriptPosition position, Object value) {
        long size = collections.elements(position, value).size();
        List<Object> indices = range(position, List.of(size));
        return zip(position, List.of(indices, value));
    }

    /** Combines the elements at the same index into rows and stops at the end of the shortest list. */
    private List<Object> zip(ScriptPosition position, List<?> lists) {
        List<List<Object>> columns = new ArrayList<>();
        lists.forEach(list -> columns.add(collections.elements(position, list)));
        int size = columns.stream().mapToInt(List::size).min().orElse(0);
        List<Object> rows = new ArrayList<>();
        for (int i = 0; i < size; i++) {
            meter.countElements(position, columns.size());
            List<Object> row = new ArrayList<>();
            for (List<Object> column : columns) {
                row.add(column.get(i));
            }
            rows.add(row);
        }
        return rows;
    }
}
