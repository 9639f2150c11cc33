/**
 * Regions in virtual time: the production reducer, policy and decisions on other regions, on one thread, with models of
 * providers, links and consumers round them, injected faults, and checkers of the rules that see all that is sent.
 *
 * <p>The same seed gives the same run. Holds no decision of its own; nothing of the gatekeeper imports it.
 */
package reedmux.simulation.region;
