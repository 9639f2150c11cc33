/**
 * The configuration that the platform provides: a JSON file, environment variables, and lists of providers.
 *
 * <p>{@link reedmux.gatekeeper.config.GatekeeperConfig} is the complete configuration and
 * {@link reedmux.gatekeeper.config.ServiceConfig} the part that concerns one service. Parsing is strict: a
 * {@link reedmux.gatekeeper.config.ConfigException} names the invalid key. The operators' own settings are in
 * {@code reedmux.gatekeeper.settings}.
 */
package reedmux.gatekeeper.config;
