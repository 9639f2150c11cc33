/** The log of one process: a ring buffer of debug lines, written when an error follows. Depends on nothing. */
package reedmux.common.logging;
