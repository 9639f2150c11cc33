/**
 * The brief's rules, checked from outside: what crosses between gatekeepers and consumers, providers and
 * discovery, with its times, and nothing from within. A history is a text file, or what a scene tells as it
 * goes; the checker names each rule that it breaks. Nothing of the gatekeeper imports it.
 */
package reedmux.simulation.invariants;
