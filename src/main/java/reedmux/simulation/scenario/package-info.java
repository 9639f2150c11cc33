/**
 * Scenarios: measurements and checks that are run from the command line, most of them with real gatekeepers on
 * loopback. {@link reedmux.simulation.scenario.Scenarios} lists them;
 * {@link reedmux.simulation.scenario.ScenarioChecks} collects what they found.
 */
package reedmux.simulation.scenario;
