/**
 * The operators' own settings: a single script that is applied atomically.
 *
 * <p>{@link reedmux.gatekeeper.settings.OperatorSettings} reads the file,
 * {@link reedmux.gatekeeper.settings.RegionSettings} the declarations about other regions, and
 * {@link reedmux.gatekeeper.settings.ServicesSettings} those about services. Errors are reported as a
 * {@link reedmux.gatekeeper.script.ScriptException} that names the file, line, column and invalid key. Apart from
 * reading this file, the package performs no I/O.
 */
package reedmux.gatekeeper.settings;
