/**
 * The instances that serve requests: their incarnations, phases and owners. They are replicated by merging reports,
 * which may arrive in any order. Uses no I/O, threads or clocks.
 */
package reedmux.control.instances;
