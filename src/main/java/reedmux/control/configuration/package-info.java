/**
 * The configuration that the stores replicate: its items with revisions ({@link
 * reedmux.control.configuration.ConfigurationItem}), the JSON in which operators change and read them ({@link
 * reedmux.control.configuration.ConfigurationChangeFormat}), and the table that says what is valid and answers lookups
 * ({@link reedmux.control.configuration.ConfigurationTable}). No I/O, threads or clocks.
 */
package reedmux.control.configuration;
