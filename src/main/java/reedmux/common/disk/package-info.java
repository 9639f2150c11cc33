/**
 * Records on disk with checksums, found again after any loss of power. For one thread, which waits for the
 * disk.
 */
package reedmux.common.disk;
