/**
 * Incremental replication by change numbers. Each process numbers the changes of its replicated entries and keeps the
 * entries in the order of their last change, so that it can send a reader only the changes after the reader's position.
 * Uses no I/O, threads or clocks.
 */
package reedmux.control.changes;
