package reedmux.control.consensus;

import java.util.HashSet;
import java.util.Set;

/** One round of this node as a proposer of the next core. */
final class EpochRound {
    final Ballot ballot;
    /** When it began and when its messages were sent last, in microseconds. */
    final long startedAt;

    long sentAt;
    /** Who has promised, and later who has accepted. */
    final Set<String> respondents = new HashSet<>();
    /** What is to be accepted: what is wanted, or what a member may have accepted before; null for neither. */
    CoreMembers value;
    /** The highest ballot under which a member had accepted {@link #value} before; null for none. */
    Ballot highestAccepted;
    /** Whether the second phase has begun. */
    boolean accepting;

    EpochRound(Ballot ballot, CoreMembers value, long startedAt) {
        this.ballot = ballot;
        this.value = value;
        this.startedAt = startedAt;
    }

    /** Records a promise: a value that may have been decided on goes before what is wanted. */
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
