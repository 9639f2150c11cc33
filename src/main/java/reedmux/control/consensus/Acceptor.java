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
 * The acceptor of a node: prepares proposals on its disk and votes on them.
 *
 * <p>Invariants:
 *
 * <ul>
 *   <li>A proposal is voted for only once it is on the disk, under the ballot of the attempt that is answered.
 *   <li>The proposals that are pending here are valid together with one another and with what is committed here.
 *   <li>A proposal stays pending until it is decided, also over restarts; a precommitted one stays precommitted.
 * </ul>
 */
final class Acceptor {
    /** A proposer, where a vote was given before this process began or by a disk that is lost. */
    private static final String UNKNOWN_PROPOSER = "?";

    private final ConsensusContext context;
    private final PeerSynchronization peers;
    private final BallotHistory ballots;
    private final QuorumContacts contacts;
    private final VoteListener ownVotes;

    /** Since when each proposal is pending, or when its recovery is due if that is later. */
    private final Map<String, Long> pendingSince = new LinkedHashMap<>();
    /** The ballots that are on the disk, of the proposals that are pending. */
    private final Map<String, Ballot> persistedBallots = new HashMap<>();
    /** By proposal the proposers that are answered once it is on the disk, with the ballots they asked under. */
    private final Map<String, Map<String, Ballot>> votesAwaitingDisk = new LinkedHashMap<>();
    /** By pending proposal the proposers that have this node's vote for it. */
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

    /** Takes up what was found pending on the disk: its recovery is due at once. */
    void onStart() {
        for (Proposal proposal : context.replica.pending().values()) {
            pendingSince.put(proposal.id(), Long.MIN_VALUE / 2);
            persistedBallots.put(proposal.id(), proposal.ballot());
            proposersVotedFor.put(proposal.id(), new HashSet<>(Set.of(UNKNOWN_PROPOSER)));
            ballots.record(proposal.id(), proposal.ballot());
        }
    }

    /** When each pending proposal became pending or is to be recovered. */
    Map<String, Long> pendingSince() {
        return pendingSince;
    }

    /** The proposers whose attempts may have been decided with this node's vote. */
    List<String> proposersVotedFor(String proposalId) {
        return List.copyOf(proposersVotedFor.getOrDefault(proposalId, Set.of(UNKNOWN_PROPOSER)));
    }

    /** A proposer, possibly this node's own, asks for a vote. */
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

    /** The vote, where it is known already; null where the proposal has to be written to the disk first. */
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
            case VALID -> null; // also where it is pending already
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
            persistedBallots.remove(id); // what is on the disk is not marked as precommitted
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
     * Prepares what is pending at other nodes, as far as it is valid here. Precommitted proposals come first: of two
     * that contend only a precommitted one may have been acknowledged.
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

    /** Prepares a proposal that may have been acknowledged with a vote of this node that it has lost. */
    void adopt(Proposal proposal) {
        String id = proposal.id();
        if (!context.replica.isPending(id)
                && context.replica.validate(id, proposal.items()) == ValidationResult.VALID) {
            proposersVotedFor.put(id, new HashSet<>(Set.of(UNKNOWN_PROPOSER)));
            prepare(proposal);
        }
    }

    /**
     * Takes over a precommitted proposal of a fenced node, if nothing that is precommitted or committed here stands in
     * its way. What is only prepared here and can't be pending beside it is forgotten: of two that contend only the
     * precommitted one may have been acknowledged, and under a fence nothing else is precommitted any more.
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

    /** The disk has written a pending proposal, or has failed to. */
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

    /** Forgets a proposal that was decided. */
    void remove(String proposalId) {
        pendingSince.remove(proposalId);
        persistedBallots.remove(proposalId);
        proposersVotedFor.remove(proposalId);
    }
}
