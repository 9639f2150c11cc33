/**
 * The command line: {@link reedmux.cli.Main} for the gatekeeper's sub-commands, {@link reedmux.cli.SystemCommands} for
 * those of the gateway's programs and tools, and {@link reedmux.cli.GatekeeperProcess}, which assembles a gatekeeper
 * from its parts.
 */
package reedmux.cli;
