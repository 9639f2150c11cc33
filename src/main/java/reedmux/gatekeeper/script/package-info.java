/**
 * The language of the operators' settings scripts: the part of Starlark that always terminates.
 *
 * <p>{@link reedmux.gatekeeper.script.ScriptInterpreter} is the entry point: it parses a script by the ANTLR grammar
 * {@code Script.g4}, executes it and returns the {@link reedmux.gatekeeper.script.Declaration}s that it made. What a
 * script may cost is bounded by {@link reedmux.gatekeeper.script.ScriptMeter}. Errors are
 * {@link reedmux.gatekeeper.script.ScriptException}s with file, line and column. Nothing here does I/O; an interpreter
 * is used by one thread.
 */
package reedmux.gatekeeper.script;
