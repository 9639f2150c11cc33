/**
 * Simulates a whole deployment in virtual time. The production classes of proxy, registry and store run on simulated
 * machines, sockets and disks ({@link reedmux.simulation.cluster.ClusterSimulation}). Faults are derived from a seed
 * ({@link reedmux.simulation.cluster.SimulatedRun}), and the invariants are checked from outside the processes. A rerun
 * of a seed yields the same digest.
 */
package reedmux.simulation.cluster;
