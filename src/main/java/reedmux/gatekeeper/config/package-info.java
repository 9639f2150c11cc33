/**
 * The gatekeeper's configuration as the platform gives it: a JSON file, the environment, and lists of providers.
 *
 * <p>{@link reedmux.gatekeeper.config.GatekeeperConfig} is the whole of it and
 * {@link reedmux.gatekeeper.config.ServiceConfig} the part of one service. Reading is strict: an error names the key at
 * fault in a {@link reedmux.gatekeeper.config.ConfigException}. What operators set themselves is in
 * {@code reedmux.gatekeeper.settings}.
 */
package reedmux.gatekeeper.config;
