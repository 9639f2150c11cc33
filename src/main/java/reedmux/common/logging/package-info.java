/**
 * The log of a process, with a ring buffer of debug lines that are written when an error follows, and run-time checks
 * of invariants. Depends on no other package of reedmux.
 */
package reedmux.common.logging;
