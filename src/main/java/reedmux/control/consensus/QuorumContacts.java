package reedmux.control.consensus;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

/**
 * Linearizable reads without a round of voting, in the manner of Raft's ReadIndex.
 *
 * <p>A contact succeeds once a quorum has confirmed it. Each peer confirms behind all that is committed there, so
 * that this is merged here first. As there is no leader and no log, a peer may have prepared a proposal that is
 * committed already without knowing it; with {@code settled} it therefore confirms only once everything that was
 * pending there at the time of the request is decided.
 *
 * <p>Invariant: when a settled contact succeeds, everything acknowledged before it began is committed here. Every
 * acknowledged proposal was on the disks of a quorum, which shares a node with the quorum that confirmed.
 */
final class QuorumContacts {
    private final ConsensusContext context;
    private final PeerSynchronization peers;
    private final Map<Long, QuorumContact> contacts = new LinkedHashMap<>();
    /** The oldest first. */
    private final List<PendingConfirmation> pendingConfirmations = new ArrayList<>();

    private long lastContactId;
    private long lastQuorumContactAt = -1;

    /**
     * A contact that this node seeks.
     *
     * @param confirmedBy who has confirmed it so far
     * @param awaitedProposals what was pending here when it began and still is
     * @param callback is told once whether a quorum has confirmed
     */
    private record QuorumContact(
            Set<String> confirmedBy, Set<String> awaitedProposals, long startedAt, Consumer<Boolean> callback) {}

    /** A peer that is answered once none of the awaited proposals is pending here any more. */
    private record PendingConfirmation(
            String requester, long contactId, Set<String> awaitedProposals, long receivedAt) {}

    QuorumContacts(ConsensusContext context, PeerSynchronization peers) {
        this.context = context;
        this.peers = peers;
    }

    /** When the last successful contact began, in microseconds; negative where none has succeeded. */
    long lastQuorumContactAt() {
        return lastQuorumContactAt;
    }

    /** Begins a contact; it fails at once where no quorum is connected or it is too late. */
    void begin(long startedAt, boolean settled, Consumer<Boolean> callback) {
        if (!peers.isCurrent() || context.isTimedOut(startedAt)) {
            callback.accept(false);
            return;
        }
        long id = ++lastContactId;
        Set<String> confirmedBy = new HashSet<>(Set.of(context.self));
        Set<String> awaitedProposals = settled ? pendingProposals() : new HashSet<>();
        contacts.put(id, new QuorumContact(confirmedBy, awaitedProposals, startedAt, callback));
        context.port.broadcastContactRequest(id, settled);
        completeIfConfirmed(id);
    }

    private Set<String> pendingProposals() {
        return new HashSet<>(context.replica.pending().keySet());
    }

    /** Confirmations counted under another quorum are void: all contacts begin again. */
    void restartAll() {
        List<QuorumContact> restarted = List.copyOf(contacts.values());
        contacts.clear();
        for (QuorumContact contact : restarted) {
            begin(contact.startedAt, true, contact.callback);
        }
    }

    void failAll() {
        List<QuorumContact> failed = List.copyOf(contacts.values());
        contacts.clear();
        for (QuorumContact contact : failed) {
            contact.callback.accept(false);
        }
    }

    /** A peer asks for contact. */
    void onRequest(String peer, long contactId, boolean settled) {
        if (!peers.isComplete()) {
            return; // something acknowledged may be missing here
        }
        if (!settled || context.replica.pending().isEmpty()) {
            context.port.sendContactConfirmation(peer, contactId);
        } else {
            pendingConfirmations.add(new PendingConfirmation(peer, contactId, pendingProposals(), context.now));
        }
    }

    /** A peer has confirmed a contact, and all that was committed there is merged here. */
    void onConfirmation(String peer, long contactId) {
        QuorumContact contact = contacts.get(contactId);
        if (contact != null) {
            contact.confirmedBy.add(peer);
            completeIfConfirmed(contactId);
        }
    }

    /** A proposal is not pending here any more. */
    void onProposalResolved(String proposalId) {
        Iterator<PendingConfirmation> confirmations = pendingConfirmations.iterator();
        while (confirmations.hasNext()) {
            PendingConfirmation confirmation = confirmations.next();
            if (confirmation.awaitedProposals.remove(proposalId) && confirmation.awaitedProposals.isEmpty()) {
                confirmations.remove();
                context.port.sendContactConfirmation(confirmation.requester, confirmation.contactId);
            }
        }
        for (Map.Entry<Long, QuorumContact> contact : List.copyOf(contacts.entrySet())) {
            if (contact.getValue().awaitedProposals.remove(proposalId)) {
                completeIfConfirmed(contact.getKey());
            }
        }
    }

    private void completeIfConfirmed(long contactId) {
        QuorumContact contact = contacts.get(contactId);
        if (contact != null
                && peers.isComplete()
                && contact.awaitedProposals.isEmpty()
                && context.quorum.isReachedBy(contact.confirmedBy)) {
            contacts.remove(contactId);
            lastQuorumContactAt = Math.max(lastQuorumContactAt, contact.startedAt);
            contact.callback.accept(true);
        }
    }

    /** Fails contacts that have taken too long and forgets requests whose sender has given up. */
    void onTick() {
        for (Map.Entry<Long, QuorumContact> contact : List.copyOf(contacts.entrySet())) {
            if (context.isTimedOut(contact.getValue().startedAt) && contacts.remove(contact.getKey()) != null) {
                contact.getValue().callback.accept(false);
            }
        }
        while (!pendingConfirmations.isEmpty() && context.isTimedOut(pendingConfirmations.get(0).receivedAt)) {
            pendingConfirmations.remove(0);
        }
    }
}
