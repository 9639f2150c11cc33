/**
 * The life cycle of a client's request: where it is queued, to which checkers it was sent, what is known of whether it
 * was executed, and its one response. Deterministic; knows no socket and no clock.
 */
package reedmux.proxy.request;
