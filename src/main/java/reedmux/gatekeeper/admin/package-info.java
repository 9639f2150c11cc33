/**
 * What the operators' staff use day to day: the door with its line protocol, the figures that it tells, and
 * the life cycle that its calls and signals move. {@link reedmux.gatekeeper.admin.LifeCycle} and
 * {@link reedmux.gatekeeper.admin.AdminCommands} decide and know no socket;
 * {@link reedmux.gatekeeper.admin.AdminServer} is all I/O
 * of the package.
 */
package reedmux.gatekeeper.admin;
