/**
 * The adapter through which the platform's simulator drives the policy: batches of events on standard input, batches of
 * actions on standard output, a line of tab-separated values each. {@link reedmux.gatekeeper.simulator.SimulatorMain}
 * runs it.
 */
package reedmux.gatekeeper.simulator;
