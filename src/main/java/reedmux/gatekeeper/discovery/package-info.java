/**
 * Keeps each service's list of providers up to date: {@link reedmux.gatekeeper.discovery.DiscoveryWatch} polls
 * discovery and passes the lists on as events.
 */
package reedmux.gatekeeper.discovery;
