package reedmux.control.consensus;

import java.util.Set;
import java.util.TreeSet;

/**
 * The proposer of a node. It gets the successor of an epoch decided by one instance of Paxos.
 *
 * <p>In phase 1, a quorum of the members promises. In phase 2, a quorum of the current members and a quorum of the next
 * members accept. Unlike in plain Paxos, the acceptors of phase 2 include nodes outside the current members, because
 * the next core must hold everything that this core has decided before the next epoch starts.
 */
final class EpochProposer {
    /** The interval after which an unanswered message is sent again, in microseconds. */
    private static final long RESEND_INTERVAL_MICROS = 125_000;
    /**
     * The timeout of a round, in microseconds. A round that times out is repeated with a higher ballot if a change is
     * still wanted.
     */
    private static final long ROUND_TIMEOUT_MICROS = 2_000_000;
    /** How long this node proposes nothing after a rejection for a higher ballot, in microseconds. */
    private static final long REJECTED_BACKOFF_MICROS = 2 * RESEND_INTERVAL_MICROS;

    private final CoreContext context;
    private final EpochAcceptor acceptor;
    private final CoreChangePlanner planner;
    /** The round in progress, or null. */
    private EpochRound round;

    private long lastBallotNumber;
    private long backoffUntil;

    EpochProposer(CoreContext context, EpochAcceptor acceptor, CoreChangePlanner planner) {
        this.context = context;
        this.acceptor = acceptor;
        this.planner = planner;
    }

    /** Discards the round in progress because the next epoch has started. */
    void reset() {
        round = null;
    }

    /** Discards the response of a disconnected peer: the peer may have lost that state when it reconnects. */
    void onPeerDisconnected(String ip) {
        if (round != null) {
            round.respondents.remove(ip);
        }
    }

    /** Continues the round in progress, or starts one if this node is the leader. */
    void onTick(boolean leader) {
        if (round != null && context.now - round.startedAt > ROUND_TIMEOUT_MICROS) {
            context.port.log("core change timed out, " + (round.accepting ? "accepted" : "promised") + " only by "
                    + round.respondents);
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

    /** Starts a round if a change is wanted or an earlier change may be incomplete. */
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
     * Sends the message of the current phase to the nodes that have not answered it. In phase 1 this node promises
     * first, so that a ballot which other nodes have seen is on this node's disk and is not reused for another value
     * after a restart.
     */
    private void sendRoundMessages() {
        EpochRound current = round; // replies received during a send may end the round
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

    /** Handles the promise of a member. */
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
            round = null; // the change is no longer wanted or incomplete
        } else {
            round.beginAccepting();
            sendRoundMessages();
        }
    }

    /** Handles the acceptance by a member of the current or the next core. */
    void onAccepted(String from, EpochMessage accepted) {
        if (round == null || !round.accepting || !round.ballot.equals(accepted.ballot())) {
            return;
        }
        round.respondents.add(from);
        if (context.jointQuorum(round.value).isReachedBy(round.respondents)) {
            context.install(round.value);
        }
    }

    /** Handles the rejection by a member that has promised a higher ballot. */
    void onRejected(Ballot higher) {
        lastBallotNumber = Math.max(lastBallotNumber, higher.number());
        if (round != null && round.ballot.compareTo(higher) < 0) {
            context.port.log("round superseded by the higher ballot " + higher);
            round = null;
            backoffUntil = context.now + REJECTED_BACKOFF_MICROS;
        }
    }
}
