package reedmux.gatekeeper.script;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import reedmux.gatekeeper.script.ScriptException.ScriptPosition;

/** Implements the methods of strings, lists and dicts. */
final class ScriptMethods {
    private static final List<String> STRING_METHODS =
            List.of("upper", "lower", "strip", "split", "join", "format", "replace", "startswith", "endswith");
    private static final List<String> LIST_METHODS = List.of("append", "extend", "index");
    private static final List<String> DICT_METHODS = List.of("get", "keys", "values", "items", "update");
    private static final String PLACEHOLDER = "{}";

    private final ScriptMeter meter;
    private final ScriptCollections collections;

    ScriptMethods(ScriptMeter meter, ScriptCollections collections) {
        this.meter = meter;
        this.collections = collections;
    }

    /** Returns the names of the methods of a value; empty if values of its type have no methods. */
    static List<String> namesOf(Object value) {
        if (value instanceof String) {
            return STRING_METHODS;
        } else if (value instanceof List) {
            return LIST_METHODS;
        }
        return value instanceof Map ? DICT_METHODS : List.of();
    }

    /** Calls a method of a value; {@code name} must be one that {@link #namesOf} returns for it. */
    @SuppressWarnings("unchecked")
    Object call(ScriptPosition position, Object value, String name, List<Object> arguments) {
        if (value instanceof String text) {
            return callOnString(position, text, name, arguments);
        } else if (value instanceof List<?> list) {
            return callOnList(position, (List<Object>) list, name, arguments);
        }
        return callOnDict(position, (Map<Object, Object>) value, name, arguments);
    }

    // ---- Lists -------------------------------------------------------------------------------------
    private Object callOnList(ScriptPosition position, List<Object> list, String name, List<Object> arguments) {
        ScriptArguments.checkCount(position, name, arguments, 1, 1);
        Object argument = arguments.get(0);
        switch (name) {
            case "append" -> {
                meter.countElements(position, 1);
                list.add(argument);
                return ScriptValues.NONE;
            }
            case "extend" -> {
                list.addAll(collections.elements(position, argument));
                return ScriptValues.NONE;
            }
            default -> {
                return indexOf(position, list, argument);
            }
        }
    }

    private long indexOf(ScriptPosition position, List<Object> list, Object element) {
        for (int i = 0; i < list.size(); i++) {
            if (ScriptValues.areEqual(meter, position, list.get(i), element)) {
                return i;
            }
        }
        throw new UncheckedScriptException(position, "the list has no such element");
    }

    // ---- Dicts -------------------------------------------------------------------------------------
    private Object callOnDict(ScriptPosition position, Map<Object, Object> dict, String name, List<Object> arguments) {
        meter.countElements(position, dict.size());
        switch (name) {
            case "get" -> {
                ScriptArguments.checkCount(position, name, arguments, 1, 2);
                Object defaultValue = arguments.size() > 1 ? arguments.get(1) : ScriptValues.NONE;
                return dict.getOrDefault(arguments.get(0), defaultValue);
            }
            case "update" -> {
                ScriptArguments.checkCount(position, name, arguments, 1, 1);
                update(position, dict, arguments.get(0));
                return ScriptValues.NONE;
            }
            default -> {
                ScriptArguments.checkCount(position, name, arguments, 0, 0);
                return switch (name) {
                    case "keys" -> new ArrayList<>(dict.keySet());
                    case "values" -> new ArrayList<>(dict.values());
                    default -> items(dict);
                };
            }
        }
    }

    private void update(ScriptPosition position, Map<Object, Object> dict, Object source) {
        if (!(source instanceof Map<?, ?> entries)) {
            throw new UncheckedScriptException(position, "update takes a dict");
        }
        for (Map.Entry<?, ?> entry : new ArrayList<>(entries.entrySet())) {
            collections.setElement(position, dict, entry.getKey(), entry.getValue());
        }
    }

    private static List<Object> items(Map<Object, Object> dict) {
        List<Object> items = new ArrayList<>();
        dict.forEach((key, value) -> items.add(new ArrayList<>(Arrays.asList(key, value))));
        return items;
    }

    // ---- Strings -----------------------------------------------------------------------------------
    private Object callOnString(ScriptPosition position, String text, String name, List<Object> arguments) {
        meter.countCharacters(position, text.length());
        switch (name) {
            case "upper", "lower", "strip" -> {
                ScriptArguments.checkCount(position, name, arguments, 0, 0);
                return switch (name) {
                    case "upper" -> text.toUpperCase(Locale.ROOT);
                    case "lower" -> text.toLowerCase(Locale.ROOT);
                    default -> text.strip();
                };
            }
            case "split", "startswith", "endswith" -> {
                ScriptArguments.checkCount(position, name, arguments, 1, 1);
                String part = ScriptArguments.requireString(position, arguments.get(0));
                return switch (name) {
                    case "split" -> split(position, text, part);
                    case "startswith" -> text.startsWith(part);
                    default -> text.endsWith(part);
                };
            }
            case "join" -> {
                ScriptArguments.checkCount(position, name, arguments, 1, 1);
                return join(position, text, arguments.get(0));
            }
            case "replace" -> {
                ScriptArguments.checkCount(position, name, arguments, 2, 2);
                String replaced = ScriptArguments.requireString(position, arguments.get(0));
                String replacement = ScriptArguments.requireString(position, arguments.get(1));
                return replace(position, text, replaced, replacement);
            }
            default -> {
                return format(position, text, arguments);
            }
        }
    }

    private List<Object> split(ScriptPosition position, String text, String separator) {
        if (separator.isEmpty()) {
            throw new UncheckedScriptException(position, "split needs a separator");
        }
        meter.countElements(position, text.length());
        return new ArrayList<>(Arrays.asList(text.split(Pattern.quote(separator), -1)));
    }

    private String join(ScriptPosition position, String separator, Object list) {
        List<Object> parts = collections.elements(position, list);
        for (Object part : parts) {
            String text = ScriptArguments.requireString(position, part);
            meter.countCharacters(position, (long) separator.length() + text.length());
        }
        return parts.stream().map(String.class::cast).collect(Collectors.joining(separator));
    }

    private String replace(ScriptPosition position, String text, String replaced, String replacement) {
        if (replaced.isEmpty()) {
            throw new UncheckedScriptException(position, "replace needs a non-empty string to replace");
        }
        long maxReplacements = text.length() / replaced.length() + 1;
        meter.countCharacters(position, maxReplacements * replacement.length());
        return text.replace(replaced, replacement);
    }

    private String format(ScriptPosition position, String pattern, List<Object> values) {
        StringBuilder formatted = new StringBuilder();
        int next = 0;
        for (int i = 0; i < pattern.length(); i++) {
            if (!pattern.startsWith(PLACEHOLDER, i)) {
                formatted.append(pattern.charAt(i));
                continue;
            }
            if (next >= values.size()) {
                throw new UncheckedScriptException(position, "too few values for the format string");
            }
            formatted.append(ScriptValues.toText(meter, position, values.get(next)));
            next++;
            i++;
        }
        meter.countCharacters(position, formatted.length());
        return formatted.toString();
    }
}
