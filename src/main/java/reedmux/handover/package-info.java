/**
 * One process of a gatekeeper takes another's place under load. {@link reedmux.handover.Frames} is the form
 * of what the two tell each other over a local socket and knows no I/O; {@link reedmux.handover.Link} is the
 * socket. What is counted is carried over by {@link reedmux.policy.Twin}.
 */
package reedmux.handover;
