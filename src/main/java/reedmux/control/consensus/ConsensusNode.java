package reedmux.control.consensus;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import reedmux.control.configuration.ConfigurationChangeFormat;
import reedmux.control.configuration.ConfigurationItem;
import reedmux.control.configuration.InvalidConfigurationException;
import reedmux.control.replication.Replica;

/**
 * One store's part in deciding on the operator's calls, in two phases as in 3PC. Once {@code enough} stores
 * hold a call safe on their disks, each having found it valid beside what it has, it is precommitted; once
 * that is on the disks of {@code enough}, it is in force and acknowledged. Any two such sets share a store,
 * so that two calls which are valid apart and invalid together are never both acknowledged; and where disks
 * are lost, what may have been acknowledged is told from what contends by what is precommitted. A call
 * that nobody decided on is brought again, under a higher ballot, by whoever holds it: a store that has taken
 * part in one ballot heeds none below it, so that a call which one attempt may have brought into force is not
 * dropped by another. A store that lost its disk counts for nothing until it has met so many of the others
 * that nothing acknowledged can be missing, and then holds what these hold. What needs no round of its own
 * (a read, a call that changes nothing, a refusal) is answered after a contact: a quorum has told, since the
 * call came, all that is in force there, once nothing was held any more of what it held then. Pure: what is
 * to be done is told to {@link ConsensusPort}.
 */
public final class ConsensusNode {
    /** A call that was not decided on for so long is brought again, in microseconds. */
    private static final long RECOVERY_DELAY_MICROS = 250_000;
    /** Who is later in the order of those that can be reached waits so much longer with that. */
    private static final long RECOVERY_STAGGER_MICROS = 300_000;
    /** Of two calls that contend, and of which neither can end, one gives way after so long, by turns. */
    private static final long CONTENTION_TIMEOUT_MICROS = 200_000;
    /** A round that has no end by then has failed. */
    private static final long PROPOSAL_TIMEOUT_MICROS = 800_000;

    public static final int STATUS_OK = 200;
    public static final int STATUS_INVALID = 400;
    public static final int STATUS_CONFLICT = 409;
    public static final int STATUS_UNAVAILABLE = 503;

    /** What is said later than a link may be silent is not read: ballots matter no longer than that. */
    private static final long BALLOT_RETENTION_MICROS = 10_000_000;
    /** Of calls that were dropped, as a store that was away may bring them again. */
    private static final int MAX_DROPPED_PROPOSALS = 4096;
    /** How often a call is brought, where it was dropped for what was missing or in its way. */
    private static final int MAX_ATTEMPTS = 3;

    /** Somebody, where votes were given before this process or with a disk that is lost. */
    private static final String UNKNOWN_PROPOSER = "?";

    /** What one store says of a call. */
    public enum Vote {
        /** It is on the disk. */
        HELD,
        /** It cannot stand beside what is in force. */
        INVALID,
        /** It cannot stand beside another call that is held. */
        BUSY,
        /** The disk refuses, or the store does not count itself. */
        UNAVAILABLE,
        /** A higher ballot has gone before. */
        PASSED,
        /** Another content was taken under one of its revisions, so that it can never come into force. */
        CONFLICT,
        /** It is on the disk, and was found to be held by a quorum in an earlier attempt. */
        PRECOMMITTED
    }

    /** What is to be done. */
    public interface ConsensusPort {

        /** Asks all others that can be reached to hold a call. */
        void broadcastProposal(Proposal proposal);

        void sendVote(String to, String call, Ballot ballot, Vote vote);

        /** Asks all others that can be reached for contact; ends as {@link ConsensusNode#onContactConfirmation}. */
        void broadcastContactRequest(long id, boolean settled);

        /** Says that we were asked, behind all that is in force here now. */
        void sendContactConfirmation(String to, long id);

        /** Tells all others that can be reached what became of a call. */
        void broadcastDecision(String call, Ballot ballot, boolean inForce, List<ConfigurationItem> items);

        /** Puts a call that is held on disk; ends as {@link ConsensusNode#onPersisted}. */
        void persistProposal(Proposal proposal);

        void persistDecision(String call, Ballot ballot, boolean inForce, List<ConfigurationItem> items);

        /** What is in force has changed. */
        void notifyConfigurationChanged();

        void log(String line);
    }

    private final String self;
    private final long incarnation;
    private Quorum quorum;
    private final Replica replica;
    private final ConsensusPort port;
    private final Map<String, ProposalRound> rounds = new LinkedHashMap<>();
    private final Map<String, Long> pendingSince = new LinkedHashMap<>();
    /** Calls that are held and on our disk, with the ballot that is there. */
    private final Map<String, Ballot> persistedBallots = new HashMap<>();
    /** The highest ballot that was seen of each call, also of those that we do not hold, and when. */
    private final Map<String, Ballot> highestBallots = new HashMap<>();

    private final Map<String, Long> ballotSeenAt = new LinkedHashMap<>();
    private final Set<String> droppedProposals = new LinkedHashSet<>();
    private final Map<Long, QuorumContact> contacts = new LinkedHashMap<>();
    private final List<PendingConfirmation> pendingConfirmations = new ArrayList<>();
    /** Who has to be told our vote once a call is on disk, and under which ballot. */
    private final Map<String, Map<String, Ballot>> votesAwaitingDisk = new LinkedHashMap<>();
    /** Others that we are in touch with, and whose items we have merged since. */
    private final Set<String> synchronizedPeers = new HashSet<>();
    /** What those hold, until we are whole: by then all is merged that is in force. */
    private final List<Proposal> peerProposals = new ArrayList<>();

    private boolean complete;
    /** Whether the disk had been lost when this process started. */
    private boolean recovered;

    private boolean fenced;
    private long lastQuorumContactAt = -1;
    private final Map<String, Set<String>> votedProposers = new HashMap<>();
    private final Map<String, Set<String>> inDoubt = new HashMap<>();
    private long lastProposalNumber;
    private long lastContactId;
    private long now;

    /** What the operator asked for, and since when. */
    private record PendingChange(List<ConfigurationItem> items, BiConsumer<Integer, String> reply, long receivedAt) {}

    /** One call on its way; {@code order}: whose, or null where nobody waits for it. */
    private record ProposalRound(
            Proposal proposal, PendingChange change, Map<String, Vote> votes, long startedAt, int attempt) {}

    /** Who was in touch since it began, and what was held here then and still is. */
    private record QuorumContact(
            Set<String> confirmedBy, Set<String> awaitedProposals, long startedAt, Consumer<Boolean> callback) {}

    /** Another store waits until nothing of that is held here any more. */
    private record PendingConfirmation(String requester, long id, Set<String> awaitedProposals, long receivedAt) {}

    /** {@code replica} has what was found on disk, {@code whole}: that nothing of it was lost. */
    public ConsensusNode(String self, long life, Replica replica, boolean whole, ConsensusPort effects) {
        this.self = self;
        quorum = Quorum.of(List.of(self), 1);
        this.incarnation = life;
        this.replica = replica;
        this.complete = whole;
        this.port = effects;
        replica.pending().values().forEach(proposal -> {
            pendingSince.put(proposal.id(), Long.MIN_VALUE / 2);
            persistedBallots.put(proposal.id(), proposal.ballot());
            votedProposers.put(proposal.id(), new HashSet<>(Set.of(UNKNOWN_PROPOSER)));
            recordBallot(proposal.id(), proposal.ballot());
        });
    }

    /** Which stores decide from now on; calls and contacts on their way begin again, under their rules. */
    public void onQuorumChanged(Quorum of) {
        quorum = of;
        inDoubt.clear();
        if (recovered) {
            complete = quorum.isBlockedBy(synchronizedPeers);
        }
        List<QuorumContact> under = List.copyOf(contacts.values());
        contacts.clear();
        under.forEach(contact -> beginContact(contact.startedAt, true, contact.callback));
        for (ProposalRound round : List.copyOf(rounds.values())) {
            startRound(withHigherBallot(round.proposal), round.change, round.startedAt, round.attempt);
        }
    }

    /** While the core is being changed nothing is held that is not held already. */
    public void setFenced(boolean on) {
        fenced = on;
    }

    /** Whose attempts a call that is held has had our vote in. */
    public List<String> proposersVotedFor(String call) {
        return List.copyOf(votedProposers.getOrDefault(call, Set.of(UNKNOWN_PROPOSER)));
    }

    /**
     * Takes over all that a fenced store has. What cannot be held beside what is held here stays in doubt,
     * with those who may have decided on it.
     */
    public void onHandover(long time, List<ConfigurationItem> items, List<Proposal> held, List<List<String>> deciders) {
        now = time;
        if (!replica.merge(items).isEmpty()) {
            port.notifyConfigurationChanged();
        }
        for (int i = 0; i < held.size(); i++) {
            String call = held.get(i).id();
            adoptProposals(held.get(i));
            if (!replica.isPending(call) && !droppedProposals.contains(call)) {
                inDoubt.computeIfAbsent(call, name -> new HashSet<>()).addAll(deciders.get(i));
            }
        }
    }

    /**
     * Whether nothing in doubt was decided on: all who could have are fenced, and have told us that
     * they hold it.
     */
    public boolean resolvesDoubts(Set<String> handed) {
        return inDoubt.values().stream().allMatch(handed::containsAll);
    }

    public boolean isComplete() {
        return complete;
    }

    // ---- The others --------------------------------------------------------------------------------
    /** All that is in force at another store has been told, up to now; {@code itsWhole}: it counts itself. */
    public void onPeerState(
            long time, String other, boolean itsWhole, List<ConfigurationItem> items, List<Proposal> held) {
        now = time;
        boolean before = isCurrent();
        if (!replica.merge(items).isEmpty()) {
            port.notifyConfigurationChanged();
        }
        if (itsWhole && !complete) {
            peerProposals.addAll(held);
        }
        if (itsWhole) {
            synchronizedPeers.add(other);
        }
        // Whatever was acknowledged with us is on others of a quorum: of these we have to have met one.
        if (!complete && quorum.isBlockedBy(synchronizedPeers)) {
            complete = true;
            recovered = true;
            adoptProposals(peerProposals);
            peerProposals.clear();
            port.log("whole again, with " + replica.committed().size() + " items");
            port.notifyConfigurationChanged();
        }
        if (!before && isCurrent()) {
            recoverUndecided(); // what a start has found held waits for nobody
        }
    }

    /** What is precommitted goes before what contends with it: only that may have been acknowledged. */
    private void adoptProposals(List<Proposal> held) {
        for (Proposal proposal : held) {
            if (proposal.precommitted()) {
                adoptProposals(proposal);
            }
        }
        held.forEach(this::adoptProposals);
    }

    /**
     * What another store holds may have been acknowledged with our vote, before our disk was lost: so it is
     * held here, too.
     */
    private void adoptProposals(Proposal proposal) {
        if (!replica.isPending(proposal.id())
                && replica.validate(proposal.id(), proposal.items()) == Replica.ProposalVerdict.VALID) {
            votedProposers.put(proposal.id(), new HashSet<>(Set.of(UNKNOWN_PROPOSER)));
            persistAsPending(proposal);
        }
    }

    private void persistAsPending(Proposal proposal) {
        recordBallot(proposal.id(), proposal.ballot());
        Proposal next = isPrecommitted(proposal.id()) ? proposal.asPrecommitted() : proposal;
        if (next.precommitted() && !isPrecommitted(next.id())) {
            persistedBallots.remove(next.id()); // what is on the disk does not say so
        }
        replica.addPending(next);
        pendingSince.put(next.id(), now);
        port.persistProposal(next);
    }

    private boolean isPrecommitted(String call) {
        Proposal held = replica.pending().get(call);
        return held != null && held.precommitted();
    }

    private void recordBallot(String call, Ballot ballot) {
        Ballot had = highestBallots.get(call);
        if (had == null || ballot.compareTo(had) > 0) {
            highestBallots.put(call, ballot);
        }
        ballotSeenAt.remove(call);
        ballotSeenAt.put(call, now); // the latest last
    }

    private void expireBallots() {
        Iterator<Map.Entry<String, Long>> oldest = ballotSeenAt.entrySet().iterator();
        while (oldest.hasNext()) {
            Map.Entry<String, Long> entry = oldest.next();
            if (now - entry.getValue() < BALLOT_RETENTION_MICROS) {
                break;
            } else if (!replica.isPending(entry.getKey())) {
                oldest.remove();
                highestBallots.remove(entry.getKey());
            }
        }
        Iterator<String> first = droppedProposals.iterator();
        while (droppedProposals.size() > MAX_DROPPED_PROPOSALS) {
            first.next();
            first.remove();
        }
    }

    private boolean isSuperseded(String call, Ballot ballot) {
        Ballot had = highestBallots.get(call);
        return had != null && ballot.compareTo(had) < 0;
    }

    /** Another store cannot be reached any more: what comes into force there is not known here. */
    public void onPeerDisconnected(String other) {
        if (complete) {
            synchronizedPeers.remove(other);
        }
        if (!isCurrent()) {
            List<QuorumContact> over = List.copyOf(contacts.values());
            contacts.clear();
            over.forEach(contact -> contact.callback.accept(false));
        }
    }

    /** Whether nothing that is acknowledged can be unknown here. */
    public boolean isCurrent() {
        if (!complete) {
            return false;
        }
        Set<String> all = new HashSet<>(synchronizedPeers);
        all.add(self);
        return quorum.isReachedBy(all);
    }

    // ---- Contact with a quorum ---------------------------------------------------------------------
    /**
     * {@code done} hears whether a quorum was in touch with us since now; if {@code resolvesDoubts}, all is merged
     * then that was acknowledged before.
     */
    public void contactQuorum(long time, boolean settled, Consumer<Boolean> done) {
        now = time;
        beginContact(now, settled, done);
    }

    private void beginContact(long since, boolean settled, Consumer<Boolean> done) {
        if (!isCurrent() || now - since > PROPOSAL_TIMEOUT_MICROS) {
            done.accept(false);
            return;
        }
        long id = ++lastContactId;
        contacts.put(
                id,
                new QuorumContact(
                        new HashSet<>(Set.of(self)),
                        settled ? new HashSet<>(replica.pending().keySet()) : new HashSet<>(),
                        since,
                        done));
        port.broadcastContactRequest(id, settled);
        completeIfConfirmed(id);
    }

    /** When the last contact began that reached a quorum; below nought where none has. */
    public long lastQuorumContactAt() {
        return lastQuorumContactAt;
    }

    private void completeIfConfirmed(long id) {
        QuorumContact contact = contacts.get(id);
        if (contact != null
                && complete
                && contact.awaitedProposals.isEmpty()
                && quorum.isReachedBy(contact.confirmedBy)) {
            contacts.remove(id);
            lastQuorumContactAt = Math.max(lastQuorumContactAt, contact.startedAt);
            contact.callback.accept(true);
        }
    }

    /** Another store asks whether we are in touch. */
    public void onContactRequest(long time, String by, long id, boolean settled) {
        now = time;
        if (!complete) {
            return; // it may lack what was acknowledged
        }
        if (!settled || replica.pending().isEmpty()) {
            port.sendContactConfirmation(by, id);
        } else {
            pendingConfirmations.add(new PendingConfirmation(
                    by, id, new HashSet<>(replica.pending().keySet()), now));
        }
    }

    /** Another store was in touch since we asked, and all is merged that was in force there. */
    public void onContactConfirmation(long time, String by, long id) {
        now = time;
        QuorumContact contact = contacts.get(id);
        if (contact != null) {
            contact.confirmedBy.add(by);
            completeIfConfirmed(id);
        }
    }

    /** A call is not held any more. */
    private void releaseWaiting(String call) {
        Iterator<PendingConfirmation> waiting = pendingConfirmations.iterator();
        while (waiting.hasNext()) {
            PendingConfirmation asked = waiting.next();
            if (asked.awaitedProposals.remove(call) && asked.awaitedProposals.isEmpty()) {
                waiting.remove();
                port.sendContactConfirmation(asked.requester, asked.id);
            }
        }
        for (Map.Entry<Long, QuorumContact> entry : List.copyOf(contacts.entrySet())) {
            if (entry.getValue().awaitedProposals.remove(call)) {
                completeIfConfirmed(entry.getKey());
            }
        }
    }

    // ---- The operator's calls ----------------------------------------------------------------------
    /** A call that changes items; {@code reply} hears the status and a line once. */
    public void onChangeRequest(long time, String body, BiConsumer<Integer, String> reply) {
        now = time;
        List<ConfigurationItem> items;
        try {
            items = ConfigurationChangeFormat.parse(body);
        } catch (InvalidConfigurationException e) {
            reply.accept(STATUS_INVALID, e.getMessage());
            return;
        }
        if (isCurrent()) {
            attemptChange(new PendingChange(items, reply, now), false, 1);
        } else {
            reply.accept(STATUS_UNAVAILABLE, "too few of the others can be reached");
        }
    }

    /** {@code resolvesDoubts}: all is known here that was acknowledged before the order came. */
    private void attemptChange(PendingChange order, boolean settled, int tries) {
        List<ConfigurationItem> news = replica.unrecordedItems(order.items);
        Replica.ProposalVerdict verdict = replica.validate("", order.items);
        if (verdict == Replica.ProposalVerdict.VALID && !news.isEmpty()) {
            Proposal proposal =
                    new Proposal(self + '/' + incarnation + '/' + ++lastProposalNumber, new Ballot(1, self), news);
            startRound(proposal, order, order.receivedAt, tries);
        } else if (!settled || verdict == Replica.ProposalVerdict.CONFLICTS_WITH_PENDING) {
            retryAfterContact(order, tries);
        } else if (verdict == Replica.ProposalVerdict.VALID) {
            order.reply.accept(STATUS_OK, "{}"); // all of it is in force, or overtaken
        } else if (verdict == Replica.ProposalVerdict.REVISION_EXPIRED) {
            order.reply.accept(STATUS_UNAVAILABLE, "a revision is too old to be known");
        } else {
            order.reply.accept(
                    verdict == Replica.ProposalVerdict.REVISION_REUSED ? STATUS_CONFLICT : STATUS_INVALID,
                    replica.problem());
        }
    }

    private void retryAfterContact(PendingChange order, int tries) {
        beginContact(order.receivedAt, true, reached -> {
            if (reached) {
                attemptChange(order, true, tries);
            } else {
                order.reply.accept(
                        STATUS_UNAVAILABLE, "too few of the others can be reached, or a change is being made");
            }
        });
    }

    /** All items that stand, told to {@code reply} with the status. */
    public void onReadRequest(long time, BiConsumer<Integer, String> reply) {
        now = time;
        beginContact(now, true, reached -> {
            if (reached) {
                reply.accept(STATUS_OK, ConfigurationChangeFormat.write(replica.committed()));
            } else {
                reply.accept(STATUS_UNAVAILABLE, "too few of the others can be reached, or a change is being made");
            }
        });
    }

    private void startRound(Proposal proposal, PendingChange order, long since, int tries) {
        rounds.put(proposal.id(), new ProposalRound(proposal, order, new HashMap<>(), since, tries));
        port.broadcastProposal(proposal);
        onProposal(now, self, proposal);
    }

    private Proposal withHigherBallot(Proposal proposal) {
        long number =
                highestBallots.getOrDefault(proposal.id(), proposal.ballot()).number() + 1;
        return proposal.withBallot(new Ballot(number, self));
    }

    /** Another store, or this one, asks us to hold a call. */
    public void onProposal(long time, String by, Proposal proposal) {
        now = time;
        String call = proposal.id();
        Ballot ballot = proposal.ballot();
        if (!complete) {
            castVote(by, call, ballot, Vote.UNAVAILABLE);
            return;
        } else if (isSuperseded(call, ballot)) {
            castVote(by, call, ballot, Vote.PASSED);
            return;
        } else if (droppedProposals.contains(call)) {
            castVote(by, call, ballot, Vote.BUSY);
            return;
        }
        recordBallot(call, ballot);
        if (fenced && (!replica.isPending(call) || proposal.precommitted() && !isPrecommitted(call))) {
            castVote(by, call, ballot, Vote.BUSY);
            return;
        }
        if (ballot.equals(persistedBallots.get(call)) && (!proposal.precommitted() || isPrecommitted(call))) {
            castVote(by, call, ballot, Vote.HELD);
            return;
        }
        Replica.ProposalVerdict verdict = replica.validate(call, proposal.items()); // good where it is held already
        if (verdict != Replica.ProposalVerdict.VALID) {
            castVote(
                    by,
                    call,
                    ballot,
                    verdict == Replica.ProposalVerdict.INVALID
                            ? Vote.INVALID
                            : verdict == Replica.ProposalVerdict.REVISION_REUSED ? Vote.CONFLICT : Vote.BUSY);
            return;
        }
        votesAwaitingDisk.computeIfAbsent(call, name -> new LinkedHashMap<>()).put(by, ballot);
        persistAsPending(proposal);
    }

    /** The disk has kept a call that is held, or cannot. */
    public void onPersisted(long time, String call, Ballot ballot, boolean done) {
        now = time;
        if (replica.isPending(call)) {
            if (done) {
                persistedBallots.put(call, ballot);
            } else if (!persistedBallots.containsKey(call)) {
                replica.resolvePending(call, false, List.of());
                pendingSince.remove(call);
                releaseWaiting(call);
            }
        }
        Map<String, Ballot> who = votesAwaitingDisk.getOrDefault(call, Map.of());
        for (Map.Entry<String, Ballot> one : List.copyOf(who.entrySet())) {
            if (one.getValue().compareTo(ballot) <= 0) {
                who.remove(one.getKey());
                castVote(
                        one.getKey(),
                        call,
                        one.getValue(),
                        !done
                                ? Vote.UNAVAILABLE
                                : isSuperseded(call, one.getValue())
                                                || !one.getValue().equals(ballot)
                                        ? Vote.PASSED
                                        : Vote.HELD);
            }
        }
        if (who.isEmpty()) {
            votesAwaitingDisk.remove(call);
        }
    }

    private void castVote(String by, String call, Ballot ballot, Vote vote) {
        Vote told = vote;
        if (vote == Vote.HELD) {
            votedProposers.computeIfAbsent(call, name -> new HashSet<>()).add(by);
            told = isPrecommitted(call) ? Vote.PRECOMMITTED : Vote.HELD;
        }
        if (by.equals(self)) {
            onVote(now, self, call, ballot, told);
        } else {
            port.sendVote(by, call, ballot, told);
        }
    }

    /** A store has said what it makes of a call. */
    public void onVote(long time, String by, String call, Ballot ballot, Vote vote) {
        now = time;
        ProposalRound round = rounds.get(call);
        if (round == null || fenced || !round.proposal.ballot().equals(ballot)) {
            return; // while fenced nothing is decided; it is brought again under the next core
        }
        round.votes.put(by, vote);
        Set<String> good = new HashSet<>();
        Set<String> against = new HashSet<>();
        Set<String> without = new HashSet<>();
        round.votes.forEach((store, each) -> {
            (each == Vote.HELD || each == Vote.PRECOMMITTED ? good : without).add(store);
            if (each == Vote.BUSY || each == Vote.INVALID) {
                against.add(store);
            }
        });
        if (vote == Vote.CONFLICT) {
            finishRound(call, false, true);
        } else if (quorum.isReachedBy(good)) {
            // Where another holds what cannot stand beside it, that one is decided on first.
            if (!round.votes.containsValue(Vote.BUSY)) {
                if (round.proposal.precommitted()) {
                    finishRound(call, true, true);
                } else {
                    startRound(
                            withHigherBallot(round.proposal.asPrecommitted()),
                            round.change,
                            round.startedAt,
                            round.attempt);
                }
            }
        } else if (quorum.isBlockedBy(against)) {
            finishRound(call, false, true);
        } else if (quorum.isBlockedBy(without)) {
            finishRound(call, false, false);
        }
    }

    /** {@code clear}: it cannot have come into force by another attempt, so that it may be dropped. */
    private void finishRound(String call, boolean good, boolean clear) {
        ProposalRound round = rounds.remove(call);
        if (!good) {
            port.log("not decided: " + call + ' ' + round.votes);
        }
        if (clear) {
            List<ConfigurationItem> items = good ? round.proposal.items() : List.of();
            onDecision(now, call, round.proposal.ballot(), good, items);
            if (good && round.change != null) {
                round.change.reply.accept(STATUS_OK, "{}");
            }
            port.broadcastDecision(call, round.proposal.ballot(), good, items);
        }
        if (good || round.change == null) {
            return;
        } else if (clear && round.attempt < MAX_ATTEMPTS) {
            retryAfterContact(round.change, round.attempt + 1); // what was missing, or in its way, is known then
        } else {
            round.change.reply.accept(STATUS_UNAVAILABLE, "too few stores could keep the change");
        }
    }

    /** A call is in force, or dropped. */
    public void onDecision(long time, String call, Ballot ballot, boolean inForce, List<ConfigurationItem> items) {
        now = time;
        if (!inForce && isSuperseded(call, ballot)) {
            return; // another attempt goes on, and may have our vote
        }
        recordBallot(call, ballot);
        pendingSince.remove(call);
        persistedBallots.remove(call);
        votedProposers.remove(call);
        inDoubt.remove(call);
        long before = replica.lastChange();
        replica.resolvePending(call, inForce, items);
        if (!inForce) {
            droppedProposals.add(call);
        }
        port.persistDecision(call, ballot, inForce, items);
        if (replica.lastChange() != before) {
            port.notifyConfigurationChanged();
        }
        releaseWaiting(call);
    }

    /** Ends rounds that have no end, and brings again what is held and was not decided on. */
    public void onTick(long time) {
        now = time;
        for (Map.Entry<String, ProposalRound> entry : List.copyOf(rounds.entrySet())) {
            ProposalRound round = entry.getValue();
            if (now - round.startedAt > PROPOSAL_TIMEOUT_MICROS) {
                finishRound(entry.getKey(), false, false);
            } else if (now - round.startedAt > CONTENTION_TIMEOUT_MICROS * (1 + recoveryRank()) && mayYield(round)) {
                finishRound(entry.getKey(), false, true);
            } else if (round.votes.containsValue(Vote.BUSY) && isCurrent()) {
                // What was in its way may be decided by now.
                startRound(withHigherBallot(round.proposal), round.change, round.startedAt, round.attempt);
            }
        }
        for (Map.Entry<Long, QuorumContact> entry : List.copyOf(contacts.entrySet())) {
            if (now - entry.getValue().startedAt > PROPOSAL_TIMEOUT_MICROS && contacts.remove(entry.getKey()) != null) {
                entry.getValue().callback.accept(false);
            }
        }
        while (!pendingConfirmations.isEmpty()
                && now - pendingConfirmations.get(0).receivedAt > PROPOSAL_TIMEOUT_MICROS) {
            pendingConfirmations.remove(0);
        }
        expireBallots();
        if (isCurrent()) {
            recoverUndecided();
        }
    }

    /** How many that are in touch come before us. */
    private long recoveryRank() {
        return synchronizedPeers.stream()
                .filter(other -> other.compareTo(self) < 0)
                .count();
    }

    /**
     * Whether a call that contends with another may be dropped for it: a quorum has answered this attempt,
     * heeds none below it, and has not precommitted the call, so that no attempt before can bring it into
     * force.
     */
    private boolean mayYield(ProposalRound round) {
        if (fenced
                || round.proposal.precommitted()
                || !round.votes.containsValue(Vote.BUSY)
                || round.votes.containsValue(Vote.PRECOMMITTED)) {
            return false;
        }
        Set<String> answered = new HashSet<>();
        round.votes.forEach((store, vote) -> {
            if (vote == Vote.HELD || vote == Vote.BUSY || vote == Vote.INVALID) {
                answered.add(store);
            }
        });
        return quorum.isReachedBy(answered);
    }

    private void recoverUndecided() {
        long turn = RECOVERY_DELAY_MICROS + RECOVERY_STAGGER_MICROS * recoveryRank();
        for (Map.Entry<String, Long> entry : List.copyOf(pendingSince.entrySet())) {
            Proposal proposal = replica.pending().get(entry.getKey());
            if (now - entry.getValue() > turn && proposal != null && !rounds.containsKey(proposal.id())) {
                pendingSince.put(proposal.id(), now + PROPOSAL_TIMEOUT_MICROS);
                startRound(withHigherBallot(proposal), null, now, MAX_ATTEMPTS);
            }
        }
    }
}
