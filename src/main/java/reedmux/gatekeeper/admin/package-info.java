/**
 * The operators' interface of a gatekeeper: the admin server with its line protocol, the metrics, and the life cycle,
 * which commands and signals control. {@link reedmux.gatekeeper.admin.LifeCycle} and {@link
 * reedmux.gatekeeper.admin.AdminCommands} perform no I/O; {@link reedmux.gatekeeper.admin.AdminServer} performs all I/O
 * of the package.
 */
package reedmux.gatekeeper.admin;
