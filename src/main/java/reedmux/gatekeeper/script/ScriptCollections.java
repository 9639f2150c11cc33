package reedmux.gatekeeper.script;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import reedmux.gatekeeper.script.ScriptException.ScriptPosition;

/** Reads elements and slices of lists, dicts and strings, and sets elements of lists and dicts. */
final class ScriptCollections {
    private final ScriptMeter meter;

    ScriptCollections(ScriptMeter meter) {
        this.meter = meter;
    }

    /** Returns a copy of a list's elements or of a dict's keys, so that a loop may modify what it iterates over. */
    List<Object> elements(ScriptPosition position, Object value) {
        if (value instanceof List<?> list) {
            meter.countElements(position, list.size());
            return new ArrayList<>(list);
        } else if (value instanceof Map<?, ?> map) {
            meter.countElements(position, map.size());
            return new ArrayList<>(map.keySet());
        }
        throw new UncheckedScriptException(position, "a " + ScriptValues.typeName(value) + " cannot be iterated over");
    }

    /** Evaluates {@code container[key]}. */
    Object element(ScriptPosition position, Object container, Object key) {
        if (container instanceof Map<?, ?> map) {
            Object found = map.get(key);
            if (found == null) {
                throw unknownKey(position, map, key);
            }
            return found;
        } else if (container instanceof List<?> list && key instanceof Long index) {
            return list.get(checkedIndex(position, index, list.size()));
        } else if (container instanceof String text && key instanceof Long index) {
            int offset = checkedIndex(position, index, text.length());
            return text.substring(offset, offset + 1);
        }
        throw new UncheckedScriptException(
                position,
                "a " + ScriptValues.typeName(container) + " cannot be indexed by a " + ScriptValues.typeName(key));
    }

    private UncheckedScriptException unknownKey(ScriptPosition position, Map<?, ?> map, Object key) {
        List<String> known = map.keySet().stream().map(String::valueOf).toList();
        return new UncheckedScriptException(
                position,
                "the dict has no key " + ScriptValues.toText(meter, position, List.of(key))
                        + NameSuggestions.suggest(String.valueOf(key), known));
    }

    /** Returns a valid index for the given one; a negative index counts from the end. */
    private static int checkedIndex(ScriptPosition position, long given, int size) {
        long index = given < 0 ? given + size : given;
        if (index < 0 || index >= size) {
            throw new UncheckedScriptException(
                    position, "the index " + given + " lies outside of " + size + " elements");
        }
        return (int) index;
    }

    /** Evaluates {@code container[low:high]}; an omitted bound is null. */
    Object slice(ScriptPosition position, Object container, Object low, Object high) {
        boolean sliceable = container instanceof List<?> || container instanceof String;
        if (!sliceable || !isSliceBound(low) || !isSliceBound(high)) {
            throw new UncheckedScriptException(
                    position, "a slice requires a list or a string, and whole numbers as bounds");
        }
        int size = container instanceof List<?> list ? list.size() : ((String) container).length();
        int from = sliceIndex(low, 0, size);
        int to = Math.max(from, sliceIndex(high, size, size));
        meter.countElements(position, to - from);
        return container instanceof String text
                ? text.substring(from, to)
                : new ArrayList<>(((List<?>) container).subList(from, to));
    }

    private static boolean isSliceBound(Object bound) {
        return bound == null || bound instanceof Long;
    }

    private static int sliceIndex(Object given, int defaultIndex, int size) {
        long index = given == null ? defaultIndex : (Long) given;
        return (int) Math.max(0, Math.min(size, index < 0 ? index + size : index));
    }

    /** Executes {@code container[key] = value}. */
    @SuppressWarnings("unchecked")
    void setElement(ScriptPosition position, Object container, Object key, Object value) {
        if (container instanceof Map<?, ?> map) {
            if (!(key instanceof String || key instanceof Long || key instanceof Boolean)) {
                throw new UncheckedScriptException(
                        position, "a " + ScriptValues.typeName(key) + " cannot be the key of a dict");
            }
            meter.countElements(position, 2);
            ((Map<Object, Object>) map).put(key, value);
        } else if (container instanceof List<?> list && key instanceof Long index) {
            ((List<Object>) list).set(checkedIndex(position, index, list.size()), value);
        } else {
            throw new UncheckedScriptException(
                    position, "cannot assign an element of a " + ScriptValues.typeName(container));
        }
    }
}
