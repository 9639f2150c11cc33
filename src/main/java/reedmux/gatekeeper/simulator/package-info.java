/**
 * The adapter through which the platform's simulator drives the policy. It reads batches of events from standard input
 * and writes batches of actions to standard output; each event and each action is a line of tab-separated values.
 * {@link reedmux.gatekeeper.simulator.SimulatorMain} runs it.
 */
package reedmux.gatekeeper.simulator;
