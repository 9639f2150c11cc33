/**
 * Hand-over: replaces one process of a gatekeeper by another under load. {@link
 * reedmux.gatekeeper.handover.HandoverCoordinator} controls the phases, {@link
 * reedmux.gatekeeper.handover.HandoverConnection} manages the socket, and {@link
 * reedmux.gatekeeper.handover.HandoverFrameCodec} encodes and decodes the messages without performing I/O. {@link
 * reedmux.gatekeeper.policy.HandoverCounts} transfers the counts.
 */
package reedmux.gatekeeper.handover;
