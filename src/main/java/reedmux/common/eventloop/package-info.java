/**
 * The event loop under the system's programs: {@link reedmux.common.eventloop.Reactor} serves one thread's TCP
 * connections, datagrams, timers and tasks on an {@link reedmux.common.eventloop.Environment}, which is the operating
 * system's or the simulation's. Knows no protocol. Times are microseconds of the environment's monotonic clock.
 */
package reedmux.common.eventloop;
