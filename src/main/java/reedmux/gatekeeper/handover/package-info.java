/**
 * One process of a gatekeeper takes another's place under load.
 * {@link reedmux.gatekeeper.handover.HandoverFrameCodec} is the form
 * of what the two tell each other over a local socket and knows no I/O;
 * {@link reedmux.gatekeeper.handover.HandoverConnection} is the
 * socket. What is counted is carried over by {@link reedmux.gatekeeper.policy.HandoverCounts}.
 */
package reedmux.gatekeeper.handover;
