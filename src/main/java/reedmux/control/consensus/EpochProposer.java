package reedmux.control.consensus;

import java.util.Set;
import java.util.TreeSet;

/**
 * The proposer of a node: has the successor of the epoch decided on by one instance of Paxos.
 *
 * <p>Phase 1 is prepared by a quorum of the members. Phase 2 is accepted by a quorum of the members and by one of those
 * afterwards. Unlike plain Paxos the acceptors of phase 2 include nodes outside the members, as the next core has to
 * hold what this one has decided before it begins.
 */
final class EpochProposer {
    /** After how long a message that was not answered is sent again. */
    private static final long RESEND_INTERVAL_MICROS = 125_000;
    /** After how long a round is given up, and begun again with a higher ballot if it is still wanted. */
    private static final long ROUND_TIMEOUT_MICROS = 2_000_000;
    /** How long this node proposes nothing after it was rejected for a higher ballot. */
    private static final long REJECTED_BACKOFF_MICROS = 2 * RESEND_INTERVAL_MICROS;

    private final CoreContext context;
    private final EpochAcceptor acceptor;
    private final CoreChangePlanner planner;
    /** The round under way, or null. */
    private EpochRound round;

    private long lastBallotNumber;
    private long backoffUntil;

    EpochProposer(CoreContext context, EpochAcceptor acceptor, CoreChangePlanner planner) {
        this.context = context;
        this.acceptor = acceptor;
        this.planner = planner;
    }

    /** The next epoch has begun. */
    void reset() {
        round = null;
    }

    /** A peer that comes back may have lost what it answered. */
    void onPeerDisconnected(String ip) {
        if (round != null) {
            round.respondents.remove(ip);
        }
    }

    /** Goes on with the round under way, or begins one as a leader. */
    void onTick(boolean leader) {
        if (round != null && context.now - round.startedAt > ROUND_TIMEOUT_MICROS) {
            context.port.log("a change of the core is not made in time, " + (round.accepting ? "accepted" : "promised")
                    + " only by " + round.respondents);
            round = null;
        }
        if (round != null) {
            if (context.now - round.sentAt >= RESEND_INTERVAL_MICROS) {
                sendRoundMessages();
            }
        } else if (leader && context.now >= backoffUntil && context.mayVote()) {
            beginRound();
        }
    }

    /** Begins a round where a change is wanted, or one may be half done. */
    private void beginRound() {
        CoreMembers next = planner.nextChange();
        if (next == null && !isChangeIncomplete()) {
            return;
        }
        lastBallotNumber = Math.max(lastBallotNumber, acceptor.promisedNumber()) + 1;
        round = new EpochRound(new Ballot(lastBallotNumber, context.self), next, context.now);
        sendRoundMessages();
    }

    private boolean isChangeIncomplete() {
        boolean halfDone = acceptor.isFenced();
        for (CoreContext.CorePeer peer : context.peers.values()) {
            halfDone |= peer.fenced;
        }
        return halfDone;
    }

    /**
     * Sends the message of the phase to who has not answered it. This node's own promise comes first: a ballot that
     * others have seen is on this disk, so that it is not used for another value after a restart.
     */
    private void sendRoundMessages() {
        EpochRound current = round; // the answers that come at once may end the round
        current.sentAt = context.now;
        Set<String> receivers = new TreeSet<>(context.core.ips());
        if (current.accepting) {
            receivers.addAll(current.value.ips());
        } else if (!current.respondents.contains(context.self)) {
            receivers.retainAll(Set.of(context.self));
        }
        receivers.removeAll(current.respondents);
        EpochMessage message = new EpochMessage(
                current.accepting ? EpochMessageType.ACCEPT : EpochMessageType.PREPARE,
                context.epoch(),
                current.ballot,
                null,
                current.accepting ? current.value : null);
        for (String receiver : receivers) {
            context.send(receiver, message);
        }
    }

    /** A member has promised. */
    void onPromise(String from, EpochMessage promise) {
        if (round == null || round.accepting || !round.ballot.equals(promise.ballot())) {
            return;
        }
        round.onPromise(from, promise);
        if (!context.quorum().isReachedBy(round.respondents)) {
            if (from.equals(context.self)) {
                sendRoundMessages();
            }
        } else if (round.value == null) {
            round = null; // what was wanted, or half done, is not any more
        } else {
            round.beginAccepting();
            sendRoundMessages();
        }
    }

    /** A member, or who is to be one, has accepted. */
    void onAccepted(String from, EpochMessage accepted) {
        if (round == null || !round.accepting || !round.ballot.equals(accepted.ballot())) {
            return;
        }
        round.respondents.add(from);
        if (context.jointQuorum(round.value).isReachedBy(round.respondents)) {
            context.install(round.value);
        }
    }

    /** A member has promised a higher ballot. */
    void onRejected(Ballot higher) {
        lastBallotNumber = Math.max(lastBallotNumber, higher.number());
        if (round != null && round.ballot.compareTo(higher) < 0) {
            context.port.log("another node has proposed a core since: " + higher);
            round = null;
            backoffUntil = context.now + REJECTED_BACKOFF_MICROS;
        }
    }
}
