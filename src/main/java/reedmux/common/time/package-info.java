/** The clock of the programs: monotonic, in microseconds. */
package reedmux.common.time;
