/**
 * Load balancing: chooses a checker for each request, based on the proxy's own traffic to the checkers and on its share
 * of their capacity. Deterministic; does not access sockets or the system clock.
 */
package reedmux.proxy.loadbalancer;
