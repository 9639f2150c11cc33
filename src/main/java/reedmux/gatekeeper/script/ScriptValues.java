package reedmux.gatekeeper.script;

import java.util.List;
import java.util.Map;
import reedmux.gatekeeper.script.ScriptException.ScriptPosition;

/**
 * What a script computes with, as plain Java values: {@link Boolean}, {@link Long}, {@link Double},
 * {@link String}, {@link List}, {@link Map}, {@link ScriptCallable} and {@link #NONE}. Unlike in Starlark a tuple
 * is a list.
 */
public final class ScriptValues {
    /** The one value of {@code None}. */
    public static final Object NONE = new Object() {
        @Override
        public String toString() {
            return "None";
        }
    };

    /** What can be called. */
    interface ScriptCallable {
        String name();
    }

    private ScriptValues() {}

    /** A value's type under its name in scripts. */
    static String typeName(Object value) {
        return value instanceof Boolean
                ? "bool"
                : value instanceof Long
                        ? "int"
                        : value instanceof Double
                                ? "float"
                                : value instanceof String
                                        ? "string"
                                        : value instanceof List
                                                ? "list"
                                                : value instanceof Map
                                                        ? "dict"
                                                        : value instanceof ScriptCallable
                                                                ? "function"
                                                                : value instanceof Declaration declared
                                                                        ? declared.kind()
                                                                        : "NoneType";
    }

    static boolean isTruthy(Object value) {
        return value instanceof Boolean flag
                ? flag
                : value instanceof Long whole
                        ? whole != 0
                        : value instanceof Double number
                                ? number != 0
                                : value instanceof String text
                                        ? !text.isEmpty()
                                        : value instanceof List<?> list
                                                ? !list.isEmpty()
                                                : value instanceof Map<?, ?> map ? !map.isEmpty() : value != NONE;
    }

    static boolean isNumber(Object value) {
        return value instanceof Long || value instanceof Double;
    }

    /** Equality as scripts have it: 1 equals 1.0. Counts each comparison, as lists may share their parts. */
    static boolean areEqual(ScriptMeter meter, ScriptPosition place, Object one, Object other) {
        meter.countStep(place);
        if (isNumber(one) && isNumber(other)) {
            return one instanceof Long a && other instanceof Long b
                    ? a.longValue() == b
                    : ((Number) one).doubleValue() == ((Number) other).doubleValue();
        }
        if (one instanceof List<?> a && other instanceof List<?> b) {
            boolean same = a.size() == b.size();
            for (int i = 0; same && i < a.size(); i++) {
                same = areEqual(meter, place, a.get(i), b.get(i));
            }
            return same;
        }
        if (one instanceof Map<?, ?> a && other instanceof Map<?, ?> b) {
            return a.size() == b.size()
                    && a.entrySet().stream()
                            .allMatch(entry -> b.containsKey(entry.getKey())
                                    && areEqual(meter, place, entry.getValue(), b.get(entry.getKey())));
        }
        return one.equals(other);
    }

    /** A value as {@code str} gives it: strings bare, others as a script would write them. */
    public static String toText(ScriptMeter meter, ScriptPosition place, Object value) {
        if (value instanceof String text) {
            return text;
        }
        StringBuilder out = new StringBuilder();
        write(meter, place, value, out);
        return out.toString();
    }

    private static void write(ScriptMeter meter, ScriptPosition place, Object value, StringBuilder out) {
        int before = out.length();
        if (value instanceof String text) {
            out.append('"')
                    .append(text.replace("\\", "\\\\").replace("\"", "\\\"").replace("\n", "\\n"))
                    .append('"');
        } else if (value instanceof Boolean flag) {
            out.append(flag ? "True" : "False");
        } else if (value instanceof List<?> list) {
            String gap = "[";
            for (Object element : list) {
                write(meter, place, element, out.append(gap));
                gap = ", ";
            }
            out.append(list.isEmpty() ? "[]" : "]");
        } else if (value instanceof Map<?, ?> map) {
            String gap = "{";
            for (Map.Entry<?, ?> entry : map.entrySet()) {
                write(meter, place, entry.getKey(), out.append(gap));
                write(meter, place, entry.getValue(), out.append(": "));
                gap = ", ";
            }
            out.append(map.isEmpty() ? "{}" : "}");
        } else if (value instanceof ScriptCallable function) {
            out.append("<function ").append(function.name()).append('>');
        } else {
            out.append(value);
        }
        meter.countCharacters(place, 1 + out.length() - before);
    }
}
