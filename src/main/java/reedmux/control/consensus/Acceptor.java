package reedmux.control.consensus;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import reedmux.control.replication.Replica.ValidationResult;

/**
 * The acceptor of a node. It persists proposals and votes on them.
 *
 * <p>Invariants:
 *
 * <ul>
 *   <li>The acceptor votes for a proposal only after persisting it under the ballot of the attempt that it answers.
 *   <li>The proposals pending at this node are valid together with one another and with the committed items.
 *   <li>A proposal stays pending until it is decided, also across restarts; a precommitted proposal stays
 *     precommitted.
 * </ul>
 */
final class Acceptor {
    /**
     * Placeholder for the proposer of a vote that was cast before this process started or whose record was lost with
     * the disk.
     */
    private static final String UNKNOWN_PROPOSER = "?";

    private final ConsensusContext context;
    private final PeerSynchronization peers;
    private final BallotHistory ballots;
    private final QuorumContacts contacts;
    private final VoteListener ownVotes;

    /**
     * The time in microseconds since which each proposal has been pending, or a later time from which the recovery
     * delay is measured.
     */
    private final Map<String, Long> pendingSince = new LinkedHashMap<>();
    /** The persisted ballots of the pending proposals. */
    private final Map<String, Ballot> persistedBallots = new HashMap<>();
    /** Proposers to answer once their proposal is persisted, with the requested ballots, by proposal ID. */
    private final Map<String, Map<String, Ballot>> votesAwaitingDisk = new LinkedHashMap<>();
    /** Proposers that have received this node's vote, by the ID of the pending proposal. */
    private final Map<String, Set<String>> proposersVotedFor = new HashMap<>();

    Acceptor(
            ConsensusContext context,
            PeerSynchronization peers,
            BallotHistory ballots,
            QuorumContacts contacts,
            VoteListener ownVotes) {
        this.context = context;
        this.peers = peers;
        this.ballots = ballots;
        this.contacts = contacts;
        this.ownVotes = ownVotes;
    }

    /** Restores the proposals that were pending on the disk. Their recovery is due immediately. */
    void onStart() {
        for (Proposal proposal : context.replica.pending().values()) {
            pendingSince.put(proposal.id(), Long.MIN_VALUE / 2);
            persistedBallots.put(proposal.id(), proposal.ballot());
            proposersVotedFor.put(proposal.id(), new HashSet<>(Set.of(UNKNOWN_PROPOSER)));
            ballots.record(proposal.id(), proposal.ballot());
        }
    }

    /** Returns the time in microseconds from which the recovery delay of each pending proposal is measured. */
    Map<String, Long> pendingSince() {
        return pendingSince;
    }

    /** Returns the proposers whose attempts may have been decided with this node's vote. */
    List<String> proposersVotedFor(String proposalId) {
        return List.copyOf(proposersVotedFor.getOrDefault(proposalId, Set.of(UNKNOWN_PROPOSER)));
    }

    /** Handles a vote request from a proposer, which may be this node. */
    void onProposal(String proposer, Proposal proposal) {
        Vote vote = voteWithoutDisk(proposal);
        if (vote != null) {
            castVote(proposer, proposal.id(), proposal.ballot(), vote);
            return;
        }
        votesAwaitingDisk
                .computeIfAbsent(proposal.id(), id -> new LinkedHashMap<>())
                .put(proposer, proposal.ballot());
        prepare(proposal);
    }

    /**
     * Returns the vote if it can be determined without a disk write, or null if the proposal has to be persisted first.
     */
    private Vote voteWithoutDisk(Proposal proposal) {
        String id = proposal.id();
        Ballot ballot = proposal.ballot();
        if (!peers.isComplete()) {
            return Vote.UNAVAILABLE;
        }
        if (ballots.isSuperseded(id, ballot)) {
            return Vote.SUPERSEDED;
        }
        if (ballots.isDropped(id)) {
            return Vote.BUSY;
        }
        ballots.record(id, ballot);
        boolean precommits = proposal.precommitted() && !isPrecommitted(id);
        if (context.fenced && (precommits || !context.replica.isPending(id))) {
            return Vote.BUSY;
        }
        if (ballot.equals(persistedBallots.get(id)) && !precommits) {
            return Vote.PREPARED;
        }
        return switch (context.replica.validate(id, proposal.items())) {
            case VALID -> null; // also if the proposal is already pending
            case INVALID -> Vote.INVALID;
            case REVISION_REUSED -> Vote.CONFLICT;
            default -> Vote.BUSY;
        };
    }

    private void prepare(Proposal proposal) {
        String id = proposal.id();
        ballots.record(id, proposal.ballot());
        Proposal proposalToPersist = isPrecommitted(id) ? proposal.asPrecommitted() : proposal;
        if (proposalToPersist.precommitted() && !isPrecommitted(id)) {
            persistedBallots.remove(id); // the persisted copy is not marked as precommitted
        }
        context.replica.addPending(proposalToPersist);
        pendingSince.put(id, context.now);
        context.port.persistProposal(proposalToPersist);
    }

    private boolean isPrecommitted(String proposalId) {
        Proposal pending = context.replica.pending().get(proposalId);
        return pending != null && pending.precommitted();
    }

    /**
     * Prepares the proposals that are pending at other nodes if they are valid at this node. Precommitted proposals
     * come first: of two contending proposals, only a precommitted one may have been acknowledged.
     */
    void adoptAll(List<Proposal> proposals) {
        for (Proposal proposal : proposals) {
            if (proposal.precommitted()) {
                adopt(proposal);
            }
        }
        for (Proposal proposal : proposals) {
            adopt(proposal);
        }
    }

    /** Prepares a proposal that may have been acknowledged with a vote of this node whose record was lost. */
    void adopt(Proposal proposal) {
        String id = proposal.id();
        if (!context.replica.isPending(id)
                && context.replica.validate(id, proposal.items()) == ValidationResult.VALID) {
            proposersVotedFor.put(id, new HashSet<>(Set.of(UNKNOWN_PROPOSER)));
            prepare(proposal);
        }
    }

    /**
     * Adopts a precommitted proposal of a fenced node unless it conflicts with a precommitted proposal or a committed
     * item of this node. Conflicting proposals that are only prepared at this node are discarded: of two contending
     * proposals, only the precommitted one may have been acknowledged, and no other proposal can become precommitted
     * while the core is fenced.
     */
    void adoptPrecommitted(Proposal proposal) {
        String id = proposal.id();
        if (isPrecommitted(id)) {
            return;
        }
        if (context.replica.isPending(id)) {
            prepare(proposal);
            return;
        }
        List<Proposal> preparedOnly = new ArrayList<>();
        for (Proposal other : List.copyOf(context.replica.pending().values())) {
            if (!other.precommitted()) {
                context.replica.resolvePending(other.id(), false, List.of());
                preparedOnly.add(other);
            }
        }
        adopt(proposal);
        for (Proposal other : preparedOnly) {
            if (context.replica.validate(other.id(), other.items()) == ValidationResult.VALID) {
                context.replica.addPending(other);
            } else {
                discard(other);
            }
        }
    }

    private void discard(Proposal proposal) {
        remove(proposal.id());
        context.port.persistDecision(proposal.id(), proposal.ballot(), false, List.of());
        contacts.onProposalResolved(proposal.id());
    }

    /** Handles the result of persisting a pending proposal. */
    void onPersisted(String proposalId, Ballot ballot, boolean written) {
        if (context.replica.isPending(proposalId)) {
            if (written) {
                persistedBallots.put(proposalId, ballot);
            } else if (!persistedBallots.containsKey(proposalId)) {
                context.replica.resolvePending(proposalId, false, List.of());
                pendingSince.remove(proposalId);
                contacts.onProposalResolved(proposalId);
            }
        }
        Map<String, Ballot> awaitingProposers = votesAwaitingDisk.getOrDefault(proposalId, Map.of());
        for (Map.Entry<String, Ballot> awaitingProposer : List.copyOf(awaitingProposers.entrySet())) {
            if (awaitingProposer.getValue().compareTo(ballot) <= 0) {
                awaitingProposers.remove(awaitingProposer.getKey());
                castVote(
                        awaitingProposer.getKey(),
                        proposalId,
                        awaitingProposer.getValue(),
                        voteAfterDisk(proposalId, ballot, awaitingProposer.getValue(), written));
            }
        }
        if (awaitingProposers.isEmpty()) {
            votesAwaitingDisk.remove(proposalId);
        }
    }

    private Vote voteAfterDisk(String proposalId, Ballot persisted, Ballot requested, boolean written) {
        if (!written) {
            return Vote.UNAVAILABLE;
        }
        if (ballots.isSuperseded(proposalId, requested) || !requested.equals(persisted)) {
            return Vote.SUPERSEDED;
        }
        return Vote.PREPARED;
    }

    private void castVote(String proposer, String proposalId, Ballot ballot, Vote vote) {
        Vote cast = vote;
        if (vote == Vote.PREPARED) {
            proposersVotedFor.computeIfAbsent(proposalId, id -> new HashSet<>()).add(proposer);
            cast = isPrecommitted(proposalId) ? Vote.PRECOMMITTED : Vote.PREPARED;
        }
        if (proposer.equals(context.self)) {
            ownVotes.onOwnVote(proposalId, ballot, cast);
        } else {
            context.port.sendVote(proposer, proposalId, ballot, cast);
        }
    }

    /** Removes the state of a decided proposal. */
    void remove(String proposalId) {
        pendingSince.remove(proposalId);
        persistedBallots.remove(proposalId);
        proposersVotedFor.remove(proposalId);
    }
}
