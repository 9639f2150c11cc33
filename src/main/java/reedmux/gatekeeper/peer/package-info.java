/**
 * Datagrams between the gatekeepers of a group. {@link reedmux.gatekeeper.peer.PeerSocket} sends and receives them,
 * {@link reedmux.gatekeeper.peer.ServiceTag} tells which service each belongs to; their content is the policies'.
 */
package reedmux.gatekeeper.peer;
