/**
 * A simulation of a whole deployment in virtual time: the production classes of proxy, registry and store on simulated
 * machines, sockets and disks ({@link reedmux.simulation.cluster.ClusterSimulation}), with faults drawn from a seed
 * ({@link reedmux.simulation.cluster.SimulatedRun}) and invariants checked from outside. Rerunning a seed yields the same
 * digest.
 */
package reedmux.simulation.cluster;
