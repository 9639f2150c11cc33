/**
 * The platform's rules, checked from outside: what crosses between gatekeepers and consumers, providers and discovery,
 * with its times, and nothing from within. {@link reedmux.simulation.invariants.HistoryChecker} is notified of the
 * events of a scenario as it goes, or of those of a text that {@link reedmux.simulation.invariants.HistoryReader}
 * reads, and names each rule that is broken. Nothing of the gatekeeper imports it.
 */
package reedmux.simulation.invariants;
