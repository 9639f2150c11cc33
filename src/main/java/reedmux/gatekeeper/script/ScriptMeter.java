package reedmux.gatekeeper.script;

import reedmux.gatekeeper.script.ScriptException.ScriptPosition;

/**
 * Bounds what one reading of a script may cost: steps, and memory by all that it ever allocates, as a part
 * given back cannot be told. Both are counted, not timed, so that a script is taken everywhere or nowhere.
 */
public final class ScriptMeter {
    /** Statements, expressions and rounds of loops. */
    static final int MAX_STEPS = 1_000_000;
    /** Characters of strings, elements of lists and entries of dicts, the latter two as 16. */
    static final long MAX_MEMORY_UNITS = 8_000_000;

    private static final int UNITS_PER_ELEMENT = 16;
    /** Expressions within each other and calls of functions, together. */
    private static final int MAX_DEPTH = 400;

    private int steps;
    private long memory;
    private int depth;

    void countStep(ScriptPosition place) {
        if (++steps > MAX_STEPS) {
            throw new ScriptFaultException(place, "the script takes more than " + MAX_STEPS + " steps");
        }
    }

    void countElements(ScriptPosition place, long count) {
        countCharacters(place, count * UNITS_PER_ELEMENT);
    }

    void countCharacters(ScriptPosition place, long count) {
        memory += count;
        if (count < 0 || memory > MAX_MEMORY_UNITS) {
            throw new ScriptFaultException(place, "the script takes more than " + MAX_MEMORY_UNITS + " bytes");
        }
    }

    void enter(ScriptPosition place) {
        countStep(place);
        if (++depth > MAX_DEPTH) {
            throw new ScriptFaultException(place, "an expression is nested too deeply");
        }
    }

    void leave() {
        depth--;
    }

    int steps() {
        return steps;
    }
}
