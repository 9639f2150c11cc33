/**
 * The language of the operators' settings scripts: a subset of Starlark in which every script terminates.
 *
 * <p>{@link reedmux.gatekeeper.script.ScriptInterpreter} is the entry point: it parses a script with the ANTLR grammar
 * {@code Script.g4}, executes it and returns the {@link reedmux.gatekeeper.script.Declaration}s that it made.
 * {@link reedmux.gatekeeper.script.ScriptMeter} limits the steps, memory and nesting depth of a script. Errors are
 * reported as {@link reedmux.gatekeeper.script.ScriptException}s with file, line and column. This package does no I/O,
 * and an interpreter is confined to one thread.
 */
package reedmux.gatekeeper.script;
