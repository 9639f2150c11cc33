/**
 * Regions in virtual time: the production reducer, module and region decisions on one thread, with modelled
 * providers, links and consumers round them, faults put in, and rule checkers that see all that crosses.
 *
 * <p>The same seed gives the same run. Holds no decision of its own; nothing of the gatekeeper imports it.
 */
package reedmux.simulation.region;
