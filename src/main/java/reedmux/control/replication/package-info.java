/**
 * Replication of the configuration: the state of a store ({@link reedmux.control.replication.Replica}) and of a
 * follower ({@link reedmux.control.replication.ConfigurationFollower}), the position up to which one process has
 * replicated another ({@link reedmux.control.replication.ReplicationPosition}), and the digests by which two stores
 * find their differences ({@link reedmux.control.replication.DigestTree}). Uses no I/O, threads or clocks.
 */
package reedmux.control.replication;
