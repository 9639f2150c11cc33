/**
 * The instances that serve requests: their incarnations, phases and owners, replicated by merging reports in any order.
 * Pure.
 */
package reedmux.control.instances;
