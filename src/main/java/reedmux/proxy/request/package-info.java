/**
 * One request's state: where it waits, where it was sent, what is known of whether it ran, its one answer.
 * Pure.
 */
package reedmux.proxy.request;
