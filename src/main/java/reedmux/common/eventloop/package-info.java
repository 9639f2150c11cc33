/**
 * The event loop of all reedmux programs. A {@link reedmux.common.eventloop.Reactor} serves TCP connections, datagrams,
 * timers and tasks on one thread. It reaches sockets, disks and the clock through an
 * {@link reedmux.common.eventloop.Environment}, which is implemented on the operating system and by the simulation. The
 * package is independent of any application protocol. Times are microseconds of the environment's monotonic clock.
 */
package reedmux.common.eventloop;
