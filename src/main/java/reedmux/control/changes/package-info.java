/**
 * Change numbers: each process numbers the changes of what it replicates, keeps its entries in the order of their last
 * change, and so sends a reader only what has changed since the reader's position. Pure.
 */
package reedmux.control.changes;
