/**
 * Keeps the list of providers of each service up to date: {@link reedmux.gatekeeper.discovery.DiscoveryWatch} polls
 * discovery and publishes the lists as events.
 */
package reedmux.gatekeeper.discovery;
