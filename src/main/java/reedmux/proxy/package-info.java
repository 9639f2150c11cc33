/**
 * The proxy process, which runs on edge machines. It receives HTTP requests from clients and forwards them to checkers,
 * according to the configuration and the instance directory that it replicates from the control plane.
 *
 * <p>This package does the I/O, all of it on the thread of one reactor. The decisions are made in its subpackages,
 * which use neither sockets nor a clock.
 */
package reedmux.proxy;
