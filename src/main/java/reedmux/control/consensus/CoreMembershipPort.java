package reedmux.control.consensus;

import java.util.Set;
import java.util.function.Consumer;

/**
 * The messages and disk writes that a {@link CoreMembership} requests from its environment. The methods are called on
 * the thread that calls the membership; an implementation may call back before it returns.
 */
public interface CoreMembershipPort {

    /** Sends a message of a Paxos round; the message may be lost. */
    void sendEpochMessage(String to, EpochMessage message);

    /**
     * Notifies a member that the operator has ordered its removal; it is received by {@link
     * CoreMembership#onRemovalOrder}.
     */
    void sendRemovalOrder(String to);

    /** Announces the core that this node knows to a peer; it is received by {@link CoreMembership#onCoreAnnounced}. */
    void announceCore(String to);

    /**
     * Requests the state of a fenced member; the state is passed to {@link ConsensusNode#onHandover} and {@link
     * CoreMembership#onHandover}.
     */
    void requestHandover(String from, long epoch);

    /** Returns the result of {@link ConsensusNode#resolvesInDoubtProposals}. */
    boolean resolvesInDoubtProposals(Set<String> handedOver);

    /** Persists the state and reports whether the write succeeded. */
    void persistCore(PersistentCoreState state, Consumer<Boolean> onDone);

    /** Reports that a new core is installed, or that this node is fenced or no longer fenced. */
    void notifyCoreChanged();

    /** Reports that an invariant was violated. */
    void reportInvariantViolation(String violation);

    /** Writes a line to the log. */
    void log(String line);
}
