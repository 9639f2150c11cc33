/**
 * Who holds a session with a registry, and the view that follows: an order, neighbours in the heap, a tag.
 * Pure.
 */
package reedmux.control.session;
