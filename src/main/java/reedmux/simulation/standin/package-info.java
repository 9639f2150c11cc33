/**
 * Stand-ins for what surrounds a gatekeeper on loopback: consumers, providers, discovery and the link to another
 * region, scripted and with injected faults.
 *
 * <p>Every server listens on port 0 of a loopback address; loops are bounded in count and time. Written from the
 * published form of each protocol; nothing of the gatekeeper imports it.
 */
package reedmux.simulation.standin;
