/**
 * The configuration that the stores replicate: its items with revisions ({@link
 * reedmux.control.configuration.ConfigurationItem}), the JSON format in which operators change and read them ({@link
 * reedmux.control.configuration.ConfigurationChangeFormat}), and the table that validates them and serves lookups
 * ({@link reedmux.control.configuration.ConfigurationTable}). This package uses no I/O, threads or clocks.
 */
package reedmux.control.configuration;
