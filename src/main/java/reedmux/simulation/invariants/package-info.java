/**
 * Black-box checks of the platform's rules. They use only the messages that gatekeepers exchange with consumers,
 * providers and discovery, with their times, and no internal state. {@link
 * reedmux.simulation.invariants.HistoryChecker} receives the events of a running scenario, or those of a recorded
 * history that {@link reedmux.simulation.invariants.HistoryReader} reads, and reports each violated rule. The
 * gatekeeper must not depend on this package.
 */
package reedmux.simulation.invariants;
