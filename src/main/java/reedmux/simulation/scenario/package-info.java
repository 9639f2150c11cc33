/**
 * Stand-ins and scenes: what stands round a gatekeeper on loopback, scripted and with faults put in.
 *
 * <p>Every server listens on port 0 of a loopback address; loops are bounded in count and time. Written from
 * the published form of each protocol; nothing of the gatekeeper imports it.
 */
package reedmux.simulation.scenario;
