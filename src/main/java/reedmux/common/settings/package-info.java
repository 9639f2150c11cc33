/**
 * The settings file of one process, read and checked by hand, and the signals that the platform sends.
 * Depends on nothing but reedmux.gatekeeper.config's addresses.
 */
package reedmux.common.settings;
