/**
 * The life cycle of a client's request: queueing, attempts on checkers, knowledge of whether the request was executed,
 * and its single response. Deterministic; does not access sockets or the system clock.
 */
package reedmux.proxy.request;
