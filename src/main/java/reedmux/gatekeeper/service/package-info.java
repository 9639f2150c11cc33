/**
 * What a service has for itself inside one gatekeeper, and how the services share the rest.
 *
 * <p>Decisions without I/O: {@link reedmux.gatekeeper.service.DeficitRoundRobinQueue} whose turn it is on the one
 * thread,
 * {@link reedmux.gatekeeper.service.SharedBudget} who may have one more of what is bounded,
 * {@link reedmux.gatekeeper.service.AdmissionControl} what
 * is let in. {@link reedmux.gatekeeper.service.ServiceRuntime} is one service's own side,
 * {@link reedmux.gatekeeper.service.ServiceManager} holds them and
 * leads requests to them by a {@link reedmux.gatekeeper.service.ServiceRouting} that a reload replaces as a whole.
 */
package reedmux.gatekeeper.service;
