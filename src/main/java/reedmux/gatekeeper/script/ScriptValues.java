package reedmux.gatekeeper.script;

import java.util.List;
import java.util.Map;
import reedmux.gatekeeper.script.ScriptException.ScriptPosition;

/**
 * Operations on the values of scripts, which are plain Java objects: {@link Boolean}, {@link Long}, {@link Double},
 * {@link String}, {@link List}, {@link Map}, {@link ScriptCallable}, {@link Declaration} and {@link #NONE}. Unlike in
 * Starlark, tuples are represented as lists.
 */
public final class ScriptValues {
    /** The value of {@code None}. */
    public static final Object NONE = new Object() {
        @Override
        public String toString() {
            return "None";
        }
    };

    /** A value that can be called. */
    interface ScriptCallable {
        /** The name used in error messages and by {@code str}. */
        String name();
    }

    private ScriptValues() {}

    /** Returns the type name of a value as scripts and error messages show it. */
    static String typeName(Object value) {
        if (value instanceof Boolean) {
            return "bool";
        } else if (value instanceof Long) {
            return "int";
        } else if (value instanceof Double) {
            return "float";
        } else if (value instanceof String) {
            return "string";
        } else if (value instanceof List) {
            return "list";
        } else if (value instanceof Map) {
            return "dict";
        } else if (value instanceof ScriptCallable) {
            return "function";
        }
        return value instanceof Declaration declaration ? declaration.kind() : "NoneType";
    }

    /** Returns false for {@code False}, {@code None}, zero, and empty strings, lists and dicts; true otherwise. */
    static boolean isTruthy(Object value) {
        if (value instanceof Boolean flag) {
            return flag;
        } else if (value instanceof Long integer) {
            return integer != 0;
        } else if (value instanceof Double number) {
            return number != 0;
        } else if (value instanceof String text) {
            return !text.isEmpty();
        } else if (value instanceof List<?> list) {
            return !list.isEmpty();
        } else if (value instanceof Map<?, ?> map) {
            return !map.isEmpty();
        }
        return value != NONE;
    }

    static boolean isNumber(Object value) {
        return value instanceof Long || value instanceof Double;
    }

    /**
     * Tests two values for equality by the rules of scripts, where 1 equals 1.0. Each comparison counts as a step,
     * since lists that share elements can require far more comparisons than they have elements.
     */
    static boolean areEqual(ScriptMeter meter, ScriptPosition position, Object left, Object right) {
        meter.countStep(position);
        if (isNumber(left) && isNumber(right)) {
            return left instanceof Long first && right instanceof Long second
                    ? first.longValue() == second
                    : ((Number) left).doubleValue() == ((Number) right).doubleValue();
        } else if (left instanceof List<?> first && right instanceof List<?> second) {
            return areListsEqual(meter, position, first, second);
        } else if (left instanceof Map<?, ?> first && right instanceof Map<?, ?> second) {
            return areDictsEqual(meter, position, first, second);
        }
        return left.equals(right);
    }

    private static boolean areListsEqual(ScriptMeter meter, ScriptPosition position, List<?> first, List<?> second) {
        if (first.size() != second.size()) {
            return false;
        }
        for (int i = 0; i < first.size(); i++) {
            if (!areEqual(meter, position, first.get(i), second.get(i))) {
                return false;
            }
        }
        return true;
    }

    private static boolean areDictsEqual(
            ScriptMeter meter, ScriptPosition position, Map<?, ?> first, Map<?, ?> second) {
        if (first.size() != second.size()) {
            return false;
        }
        for (Map.Entry<?, ?> entry : first.entrySet()) {
            Object key = entry.getKey();
            if (!second.containsKey(key) || !areEqual(meter, position, entry.getValue(), second.get(key))) {
                return false;
            }
        }
        return true;
    }

    /** Converts a value to text as {@code str} does. Strings are unchanged; other values are written as literals. */
    public static String toText(ScriptMeter meter, ScriptPosition position, Object value) {
        if (value instanceof String text) {
            return text;
        }
        StringBuilder out = new StringBuilder();
        appendText(meter, position, value, out);
        return out.toString();
    }

    private static void appendText(ScriptMeter meter, ScriptPosition position, Object value, StringBuilder out) {
        int lengthBefore = out.length();
        if (value instanceof String text) {
            out.append('"')
                    .append(text.replace("\\", "\\\\").replace("\"", "\\\"").replace("\n", "\\n"))
                    .append('"');
        } else if (value instanceof Boolean flag) {
            out.append(flag ? "True" : "False");
        } else if (value instanceof List<?> list) {
            String separator = "[";
            for (Object element : list) {
                appendText(meter, position, element, out.append(separator));
                separator = ", ";
            }
            out.append(list.isEmpty() ? "[]" : "]");
        } else if (value instanceof Map<?, ?> map) {
            String separator = "{";
            for (Map.Entry<?, ?> entry : map.entrySet()) {
                appendText(meter, position, entry.getKey(), out.append(separator));
                appendText(meter, position, entry.getValue(), out.append(": "));
                separator = ", ";
            }
            out.append(map.isEmpty() ? "{}" : "}");
        } else if (value instanceof ScriptCallable function) {
            out.append("<function ").append(function.name()).append('>');
        } else {
            out.append(value);
        }
        meter.countCharacters(position, 1 + out.length() - lengthBefore);
    }
}
