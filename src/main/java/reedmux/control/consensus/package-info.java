/**
 * Consensus among the stores of the core.
 *
 * <p>{@link reedmux.control.consensus.ConsensusNode} decides on changes of the configuration;
 * {@link reedmux.control.consensus.CoreMembership} decides on which machines are the core. Both are pure: events and
 * the time come in, and what is to be done goes out through {@link reedmux.control.consensus.ConsensusPort} and
 * {@link reedmux.control.consensus.CoreMembershipPort}, which the store implements with its connections and its disk.
 */
package reedmux.control.consensus;
