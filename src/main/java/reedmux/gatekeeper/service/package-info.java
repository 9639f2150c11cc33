/**
 * The services of one gatekeeper: what each has for itself, and how they share the rest.
 *
 * <p>{@link reedmux.gatekeeper.service.ServiceManager} creates and replaces them,
 * {@link reedmux.gatekeeper.service.ServiceScheduler} runs them on the event loop,
 * {@link reedmux.gatekeeper.service.ServiceRuntime} is one of them, and
 * {@link reedmux.gatekeeper.service.RoutingFrontend} routes requests to them.
 *
 * <p>Decisions without I/O: {@link reedmux.gatekeeper.service.DeficitRoundRobinQueue} which service's event is next,
 * {@link reedmux.gatekeeper.service.SharedBudget} who may have one more of what is limited,
 * {@link reedmux.gatekeeper.service.AdmissionControl} which requests are admitted.
 */
package reedmux.gatekeeper.service;
