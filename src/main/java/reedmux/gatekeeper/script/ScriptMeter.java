package reedmux.gatekeeper.script;

import reedmux.gatekeeper.script.ScriptException.ScriptPosition;

/**
 * Bounds what executing a script may cost: steps, memory and depth. Memory is the sum of all allocations, since what
 * the script has dropped is not known. Both are counted rather than measured, so that a script that is accepted on one
 * machine is accepted on all. For one execution on one thread.
 */
public final class ScriptMeter {
    /** Statements, expressions, iterations of loops and comparisons. */
    static final int MAX_STEPS = 1_000_000;
    /** One unit a character of a string; elements of lists and entries of dicts count as several. */
    static final long MAX_MEMORY_UNITS = 8_000_000;

    private static final int UNITS_PER_ELEMENT = 16;
    /** Nested expressions and function calls, together. */
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

    /** An expression or a function's body begins; {@link #leave} follows when it ends. */
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
