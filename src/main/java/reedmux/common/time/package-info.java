/** The monotonic clock of the reedmux programs, in microseconds. */
package reedmux.common.time;
