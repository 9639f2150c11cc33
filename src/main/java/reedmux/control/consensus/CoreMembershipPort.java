package reedmux.control.consensus;

import java.util.Set;
import java.util.function.Consumer;

/**
 * What a {@link CoreMembership} asks of the program around it. Called on the thread that calls the membership; an
 * implementation may call back before it returns.
 */
public interface CoreMembershipPort {

    /** Sends a message of a round; it may be lost. */
    void sendEpochMessage(String to, EpochMessage message);

    /** Tells a member that it is to be removed by order; ends as {@link CoreMembership#onRemovalOrder} there. */
    void sendRemovalOrder(String to);

    /** Tells a peer which core is known here; ends as {@link CoreMembership#onCoreAnnounced} there. */
    void announceCore(String to);

    /**
     * Asks a fenced member for its state; ends with {@link ConsensusNode#onHandover} and
     * {@link CoreMembership#onHandover}.
     */
    void requestHandover(String from, long epoch);

    /** {@link ConsensusNode#resolvesInDoubtProposals}. */
    boolean resolvesInDoubtProposals(Set<String> handedOver);

    /** Writes the state to the disk, and tells whether that has succeeded. */
    void persistCore(PersistentCoreState state, Consumer<Boolean> onDone);

    /** Another core holds from now on, or this node is fenced or no longer fenced. */
    void notifyCoreChanged();

    /** What must always hold does not. */
    void reportInvariantViolation(String violation);

    /** Writes a line to the log. */
    void log(String line);
}
