package reedmux.gatekeeper.script;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import reedmux.gatekeeper.script.ScriptException.ScriptPosition;

/** Implements the operators: arithmetic, concatenation, repetition, string formatting by {@code %}, and comparison. */
final class ScriptOperators {
    private final ScriptMeter meter;

    ScriptOperators(ScriptMeter meter) {
        this.meter = meter;
    }

    /** Applies unary plus or minus. */
    Object sign(ScriptPosition position, String operator, Object value) {
        if (!ScriptValues.isNumber(value)) {
            throw new UncheckedScriptException(
                    position, "'" + operator + "' cannot be applied to a " + ScriptValues.typeName(value));
        }
        return operator.equals("+") ? value : binary(position, "-", 0L, value);
    }

    /** Applies one of the binary operators {@code + - * / // %}. */
    Object binary(ScriptPosition position, String operator, Object left, Object right) {
        if (ScriptValues.isNumber(left) && ScriptValues.isNumber(right)) {
            return arithmetic(position, operator, (Number) left, (Number) right);
        } else if (operator.equals("+") && left instanceof String first && right instanceof String second) {
            meter.countCharacters(position, (long) first.length() + second.length());
            return first + second;
        } else if (operator.equals("+") && left instanceof List<?> first && right instanceof List<?> second) {
            return concatenate(position, first, second);
        } else if (operator.equals("*") && left instanceof List<?> list && right instanceof Long times) {
            return repeat(position, list, times);
        } else if (operator.equals("*") && left instanceof String text && right instanceof Long times) {
            return repeat(position, text, times);
        } else if (operator.equals("%") && left instanceof String pattern) {
            return formatPercent(position, pattern, right instanceof List<?> values ? values : List.of(right));
        }
        throw new UncheckedScriptException(
                position,
                "'" + operator + "' between a " + ScriptValues.typeName(left) + " and a "
                        + ScriptValues.typeName(right));
    }

    private List<Object> concatenate(ScriptPosition position, List<?> first, List<?> second) {
        meter.countElements(position, (long) first.size() + second.size());
        List<Object> concatenated = new ArrayList<>(first);
        concatenated.addAll(second);
        return concatenated;
    }

    private List<Object> repeat(ScriptPosition position, List<?> list, long times) {
        List<Object> repeated = new ArrayList<>();
        for (long i = 0; i < times; i++) {
            meter.countElements(position, list.size() + 1L);
            repeated.addAll(list);
        }
        return repeated;
    }

    private String repeat(ScriptPosition position, String text, long times) {
        StringBuilder repeated = new StringBuilder();
        for (long i = 0; i < times; i++) {
            meter.countCharacters(position, text.length() + 1L);
            repeated.append(text);
        }
        return repeated.toString();
    }

    /** Two integers give an integer, except that {@code /} gives a float; an integer and a float give a float. */
    private static Object arithmetic(ScriptPosition position, String operator, Number left, Number right) {
        boolean isDivision = operator.equals("/") || operator.equals("//") || operator.equals("%");
        if (isDivision && right.doubleValue() == 0) {
            throw new UncheckedScriptException(position, "division by nought");
        }
        boolean bothIntegers = left instanceof Long && right instanceof Long;
        if (bothIntegers && !operator.equals("/")) {
            return integerArithmetic(position, operator, left.longValue(), right.longValue());
        }
        double result = floatArithmetic(operator, left.doubleValue(), right.doubleValue());
        if (!Double.isFinite(result)) {
            throw new UncheckedScriptException(position, "the result of '" + operator + "' is not a finite number");
        }
        return result;
    }

    private static long integerArithmetic(ScriptPosition position, String operator, long left, long right) {
        try {
            return switch (operator) {
                case "+" -> Math.addExact(left, right);
                case "-" -> Math.subtractExact(left, right);
                case "*" -> Math.multiplyExact(left, right);
                case "//" -> Math.floorDiv(left, right);
                default -> Math.floorMod(left, right);
            };
        } catch (ArithmeticException e) {
            throw new UncheckedScriptException(position, "the result of '" + operator + "' does not fit 64 bits", e);
        }
    }

    private static double floatArithmetic(String operator, double left, double right) {
        return switch (operator) {
            case "+" -> left + right;
            case "-" -> left - right;
            case "*" -> left * right;
            case "/" -> left / right;
            case "//" -> Math.floor(left / right);
            default -> left - right * Math.floor(left / right);
        };
    }

    private String formatPercent(ScriptPosition position, String pattern, List<?> values) {
        StringBuilder formatted = new StringBuilder();
        int next = 0;
        for (int i = 0; i < pattern.length(); i++) {
            char c = pattern.charAt(i);
            if (c != '%') {
                formatted.append(c);
                continue;
            }
            i++;
            char conversion = i < pattern.length() ? pattern.charAt(i) : 0;
            boolean takesValue = conversion == 's' || conversion == 'd';
            if (conversion == '%') {
                formatted.append('%');
            } else if (takesValue && next < values.size()) {
                formatted.append(ScriptValues.toText(meter, position, values.get(next)));
                next++;
            } else {
                throw new UncheckedScriptException(
                        position,
                        takesValue ? "too few values for the format string" : "only %s, %d and %% are supported");
            }
        }
        if (next < values.size()) {
            throw new UncheckedScriptException(position, "too many values for the format string");
        }
        meter.countCharacters(position, formatted.length());
        return formatted.toString();
    }

    /** Applies one of the comparison operators {@code == != in < > <= >=}. */
    boolean compare(ScriptPosition position, String operator, Object left, Object right) {
        return switch (operator) {
            case "==" -> ScriptValues.areEqual(meter, position, left, right);
            case "!=" -> !ScriptValues.areEqual(meter, position, left, right);
            case "in" -> contains(position, right, left);
            case "<" -> compareOrder(position, left, right) < 0;
            case ">" -> compareOrder(position, left, right) > 0;
            case "<=" -> compareOrder(position, left, right) <= 0;
            default -> compareOrder(position, left, right) >= 0;
        };
    }

    private boolean contains(ScriptPosition position, Object container, Object value) {
        if (container instanceof String text && value instanceof String part) {
            return text.contains(part);
        } else if (container instanceof Map<?, ?> map) {
            return map.containsKey(value);
        } else if (container instanceof List<?> list) {
            return list.stream().anyMatch(element -> ScriptValues.areEqual(meter, position, element, value));
        }
        throw new UncheckedScriptException(position, "'in' cannot be applied to a " + ScriptValues.typeName(container));
    }

    /** Compares two numbers or two strings; the result is that of a {@link java.util.Comparator}. */
    int compareOrder(ScriptPosition position, Object left, Object right) {
        meter.countStep(position);
        if (left instanceof Long first && right instanceof Long second) {
            return first.compareTo(second);
        } else if (ScriptValues.isNumber(left) && ScriptValues.isNumber(right)) {
            return Double.compare(((Number) left).doubleValue(), ((Number) right).doubleValue());
        } else if (left instanceof String first && right instanceof String second) {
            return first.compareTo(second);
        }
        throw new UncheckedScriptException(
                position,
                "a " + ScriptValues.typeName(left) + " and a " + ScriptValues.typeName(right) + " cannot be ordered");
    }
}
