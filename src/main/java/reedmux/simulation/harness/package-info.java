/**
 * A complete gateway of the system in one process on loopback ({@link reedmux.simulation.harness.LoopbackGateway}): the
 * programs' own classes on real sockets and files, with stand-ins for checkers, clients and operators. For a first
 * look, the class archive and tests of the whole path; nothing of it runs in production.
 */
package reedmux.simulation.harness;
