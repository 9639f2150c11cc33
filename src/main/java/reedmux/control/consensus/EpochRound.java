package reedmux.control.consensus;

import java.util.HashSet;
import java.util.Set;

/** One Paxos round in which this node proposes the next core. */
final class EpochRound {
    final Ballot ballot;
    /** The start time of the round and the time its messages were last sent, in microseconds. */
    final long startedAt;

    long sentAt;
    /** The nodes that have promised in the first phase, or accepted in the second phase. */
    final Set<String> respondents = new HashSet<>();
    /**
     * The proposed value: the core that this node wants, or one that a member may have accepted earlier; null if there
     * is neither.
     */
    CoreMembers value;
    /** The highest ballot under which a member had already accepted {@link #value}; null if there is none. */
    Ballot highestAccepted;
    /** Whether the second phase has started. */
    boolean accepting;

    EpochRound(Ballot ballot, CoreMembers value, long startedAt) {
        this.ballot = ballot;
        this.value = value;
        this.startedAt = startedAt;
    }

    /**
     * Records a promise. A previously accepted value, which may have been decided, takes precedence over the value that
     * this node wants.
     */
    void onPromise(String from, EpochMessage promise) {
        Ballot accepted = promise.acceptedBallot();
        if (accepted != null && (highestAccepted == null || accepted.compareTo(highestAccepted) > 0)) {
            highestAccepted = accepted;
            value = promise.value();
        }
        respondents.add(from);
    }

    void beginAccepting() {
        accepting = true;
        respondents.clear();
    }
}
