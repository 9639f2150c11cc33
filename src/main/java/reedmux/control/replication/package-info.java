/**
 * Replication of the configuration: what a store has ({@link reedmux.control.replication.Replica}) and what a follower
 * has ({@link reedmux.control.replication.ConfigurationFollower}); how far one of them has followed another one ({@link
 * reedmux.control.replication.ReplicationPosition}); and how two stores find what differs ({@link
 * reedmux.control.replication.DigestTree}). No I/O, threads or clocks.
 */
package reedmux.control.replication;
