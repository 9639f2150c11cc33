/**
 * One process of a gatekeeper replaces another under load. {@link reedmux.gatekeeper.handover.HandoverCoordinator}
 * knows the phases, {@link reedmux.gatekeeper.handover.HandoverConnection} is the socket, and {@link
 * reedmux.gatekeeper.handover.HandoverFrameCodec} is the form of the messages and knows no I/O. What was counted is
 * carried over by {@link reedmux.gatekeeper.policy.HandoverCounts}.
 */
package reedmux.gatekeeper.handover;
