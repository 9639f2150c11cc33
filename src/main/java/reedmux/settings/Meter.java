package reedmux.settings;

import reedmux.settings.ScriptException.Place;

/**
 * Bounds what one reading of a script may cost: steps, and memory by all that it ever allocates, as a part
 * given back cannot be told. Both are counted, not timed, so that a script is taken everywhere or nowhere.
 */
final class Meter {
    /** Statements, expressions and rounds of loops. */
    static final int MOST_STEPS = 1_000_000;
    /** Characters of strings, elements of lists and entries of dicts, the latter two as 16. */
    static final long MOST_MEMORY = 8_000_000;

    private static final int ELEMENT = 16;
    /** Expressions within each other and calls of functions, together. */
    private static final int DEEPEST = 400;

    private int steps;
    private long memory;
    private int depth;

    void step(Place place) {
        if (++steps > MOST_STEPS) {
            throw new Fault(place, "the script takes more than " + MOST_STEPS + " steps");
        }
    }

    void elements(Place place, long count) {
        characters(place, count * ELEMENT);
    }

    void characters(Place place, long count) {
        memory += count;
        if (count < 0 || memory > MOST_MEMORY) {
            throw new Fault(place, "the script takes more than " + MOST_MEMORY + " bytes");
        }
    }

    void enter(Place place) {
        step(place);
        if (++depth > DEEPEST) {
            throw new Fault(place, "an expression is nested too deeply");
        }
    }

    void leave() {
        depth--;
    }

    int steps() {
        return steps;
    }
}
