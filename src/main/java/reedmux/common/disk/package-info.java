/**
 * Durable storage: {@link reedmux.common.disk.Journal}, a write-ahead log with checksums that is recovered after any
 * loss of power, on a {@link reedmux.common.disk.Volume}, a folder of the machine's file system or of a simulated disk.
 * Nothing here is thread-safe, and everything may wait for the disk.
 */
package reedmux.common.disk;
