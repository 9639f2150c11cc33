/**
 * The command line: {@link reedmux.cli.Main} for the gatekeeper's sub-commands, {@link reedmux.cli.SystemCommands} for
 * those of the system, and {@link reedmux.cli.GatekeeperProcess}, which assembles a gatekeeper from its parts.
 */
package reedmux.cli;
