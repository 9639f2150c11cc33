/**
 * The operators' own settings: one script, which takes effect as a whole or not at all.
 *
 * <p>{@link reedmux.gatekeeper.settings.OperatorSettings} reads the file; what it can declare about other regions and
 * about services is read by {@link reedmux.gatekeeper.settings.RegionSettings} and
 * {@link reedmux.gatekeeper.settings.ServicesSettings}. Errors are {@link reedmux.gatekeeper.script.ScriptException}s
 * that name file, line, column and the key at fault. Reads one file and does no other I/O.
 */
package reedmux.gatekeeper.settings;
