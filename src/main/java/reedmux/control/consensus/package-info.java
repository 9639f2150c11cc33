/**
 * Consensus among the stores of the core.
 *
 * <p>{@link reedmux.control.consensus.ConsensusNode} decides on changes of the configuration; {@link
 * reedmux.control.consensus.CoreMembership} decides which machines form the core. Both are pure state machines: events
 * and timestamps are passed in, and resulting actions are requested through {@link
 * reedmux.control.consensus.ConsensusPort} and {@link reedmux.control.consensus.CoreMembershipPort}, which the store
 * implements with its connections and its disk.
 */
package reedmux.control.consensus;
