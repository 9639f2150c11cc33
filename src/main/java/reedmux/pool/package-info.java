/**
 * What a service has for itself inside one gatekeeper, and how the services share the rest.
 *
 * <p>Decisions without I/O: {@link reedmux.pool.FairQueues} whose turn it is on the one thread,
 * {@link reedmux.pool.Lending} who may have one more of what is bounded, {@link reedmux.pool.Admission} what
 * is let in. {@link reedmux.pool.Pool} is one service's own side, {@link reedmux.pool.Pools} holds them and
 * leads requests to them by a {@link reedmux.pool.Table} that a reload replaces as a whole.
 */
package reedmux.pool;
