/**
 * The log of one process: a ring of lines in memory, written out when something goes wrong, and few lines
 * that are written at once. Depends on nothing.
 */
package reedmux.common.logging;
