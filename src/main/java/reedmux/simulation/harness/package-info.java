/**
 * A complete gateway in one process on loopback ({@link reedmux.simulation.harness.LoopbackGateway}): the production
 * programs on real sockets and files, with simulated checkers, clients and operators; and the HTTP clients and servers
 * that simulations and soaks share. Nothing of it runs in production.
 */
package reedmux.simulation.harness;
