/**
 * The lives of checkers. A phase is a ratchet, whoever tells of it and in whatever order. Pure.
 */
package reedmux.control.instances;
