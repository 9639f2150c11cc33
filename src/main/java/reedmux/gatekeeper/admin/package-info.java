/**
 * What operators use: the admin listener with its line protocol, the metrics, and the life cycle that commands and
 * signals drive. {@link reedmux.gatekeeper.admin.LifeCycle} and {@link reedmux.gatekeeper.admin.AdminCommands} decide
 * without I/O; {@link reedmux.gatekeeper.admin.AdminServer} does all I/O of the package.
 */
package reedmux.gatekeeper.admin;
