/**
 * Datagrams between the gatekeepers of a group. {@link reedmux.gatekeeper.peer.PeerSocket} sends and receives them, and
 * {@link reedmux.gatekeeper.peer.ServiceTag} marks the service that each belongs to. Their content is defined by the
 * policy.
 */
package reedmux.gatekeeper.peer;
