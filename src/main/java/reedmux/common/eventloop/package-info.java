/**
 * One thread's sockets, timers and datagrams. Owns no protocol and decides nothing; times are microseconds
 * of the monotonic clock.
 */
package reedmux.common.eventloop;
