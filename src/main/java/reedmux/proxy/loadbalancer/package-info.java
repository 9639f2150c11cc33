/**
 * The choice of a checker for each request, from what a proxy has seen of the checkers in its own traffic and from its
 * share of their capacity. Deterministic; knows no socket and no clock.
 */
package reedmux.proxy.loadbalancer;
