/**
 * Durable storage: {@link reedmux.common.disk.Journal} is a write-ahead log with checksums that can be recovered after
 * a power loss. It is stored on a {@link reedmux.common.disk.Volume}, which is a directory of the local file system or
 * of a simulated disk. The classes are not thread-safe, and all operations may block on disk I/O.
 */
package reedmux.common.disk;
