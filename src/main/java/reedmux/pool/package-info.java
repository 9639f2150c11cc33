/**
 * What a service has for itself inside one gatekeeper, and how the services share the rest.
 *
 * <p>{@link reedmux.pool.FairQueues} and {@link reedmux.pool.Lending} are decisions without I/O: whose turn
 * it
 * is on the one thread, and who may have one more of what is bounded. Owned by the thread that runs the
 * turns.
 */
package reedmux.pool;
