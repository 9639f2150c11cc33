/**
 * The operators' own settings: a small Starlark-like script, read whole or not at all.
 *
 * <p>Owns the grammar's use ({@code Script.g4}), the interpreter with its bounds on steps, memory and depth,
 * and the declarations that a script may make. Errors are {@link reedmux.gatekeeper.script.ScriptException}s that name
 * file, line, column and the key or name at fault. Reads one file and does no other I/O; knows no socket.
 */
package reedmux.gatekeeper.settings;
