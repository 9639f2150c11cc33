package reedmux.gatekeeper.script;

import reedmux.gatekeeper.script.ScriptException.ScriptPosition;

/**
 * Limits the steps, memory and nesting depth of one execution of a script. Memory is the sum of all allocations, since
 * the meter does not know which values have become unreachable. Steps and memory are counted rather than measured as
 * time and heap usage, so that a script that is accepted on one machine is accepted on all. Not thread-safe.
 */
public final class ScriptMeter {
    /**
     * Maximum number of steps. Simple statements, expressions, iterations of comprehensions and comparisons count as
     * one step each.
     */
    static final int MAX_STEPS = 1_000_000;
    /**
     * Maximum memory, in units. A character of a string takes one unit; an element of a list or an entry of a dict
     * takes several.
     */
    static final long MAX_MEMORY_UNITS = 8_000_000;

    private static final int UNITS_PER_ELEMENT = 16;
    /** Maximum depth of nested expressions and function calls, which are counted together. */
    private static final int MAX_DEPTH = 400;

    private int steps;
    private long memoryUnits;
    private int depth;

    void countStep(ScriptPosition position) {
        steps++;
        if (steps > MAX_STEPS) {
            throw new UncheckedScriptException(position, "the script takes more than " + MAX_STEPS + " steps");
        }
    }

    void countElements(ScriptPosition position, long count) {
        countCharacters(position, count * UNITS_PER_ELEMENT);
    }

    void countCharacters(ScriptPosition position, long count) {
        memoryUnits += count;
        if (count < 0 || memoryUnits > MAX_MEMORY_UNITS) {
            throw new UncheckedScriptException(position, "the script takes more than " + MAX_MEMORY_UNITS + " bytes");
        }
    }

    /** Enters an expression or the body of a function; the caller must call {@link #leave} at its end. */
    void enter(ScriptPosition position) {
        countStep(position);
        depth++;
        if (depth > MAX_DEPTH) {
            throw new UncheckedScriptException(position, "an expression is nested too deeply");
        }
    }

    void leave() {
        depth--;
    }

    int steps() {
        return steps;
    }
}
