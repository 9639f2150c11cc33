/**
 * The services of one gatekeeper, and how they share its capacity.
 *
 * <p>{@link reedmux.gatekeeper.service.ServiceManager} creates and replaces services, {@link
 * reedmux.gatekeeper.service.ServiceScheduler} runs them on the event loop, {@link
 * reedmux.gatekeeper.service.ServiceRuntime} is a single running service, and {@link
 * reedmux.gatekeeper.service.RoutingFrontend} routes requests to them.
 *
 * <p>Three classes make decisions without performing I/O: {@link reedmux.gatekeeper.service.DeficitRoundRobinQueue}
 * selects the service whose event is handled next, {@link reedmux.gatekeeper.service.SharedBudget} divides limited
 * resources, and {@link reedmux.gatekeeper.service.AdmissionControl} decides which requests are admitted.
 */
package reedmux.gatekeeper.service;
