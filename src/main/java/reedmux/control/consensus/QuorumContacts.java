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
 * Implements linearizable reads without a voting round, similar to Raft's ReadIndex.
 *
 * <p>A contact succeeds once a quorum has confirmed it. Each peer sends its confirmation after everything that is
 * committed there, so that these items are merged at this node first. As there is no leader and no log, a peer may have
 * prepared a proposal without knowing that it is already committed. With {@code settled}, the peer therefore confirms
 * only after everything pending there at the time of the request is decided.
 *
 * <p>Invariant: when a settled contact succeeds, everything acknowledged before it began is committed at this node.
 * Every acknowledged proposal was on the disks of a quorum, which shares a node with the quorum that confirmed.
 */
final class QuorumContacts {
    private final ConsensusContext context;
    private final PeerSynchronization peers;
    private final Map<Long, QuorumContact> contacts = new LinkedHashMap<>();
    /** Ordered from the oldest to the newest. */
    private final List<PendingConfirmation> pendingConfirmations = new ArrayList<>();

    private long lastContactId;
    private long lastQuorumContactAt = -1;

    /**
     * A contact that was requested by this node.
     *
     * @param confirmedBy the nodes that have confirmed it so far
     * @param awaitedProposals the proposals that were pending at this node when the contact began and still are
     * @param callback receives once whether a quorum has confirmed
     */
    private record QuorumContact(
            Set<String> confirmedBy, Set<String> awaitedProposals, long startedAt, Consumer<Boolean> callback) {}

    /** A contact request of a peer, which is confirmed once none of the awaited proposals is pending at this node. */
    private record PendingConfirmation(
            String requester, long contactId, Set<String> awaitedProposals, long receivedAt) {}

    QuorumContacts(ConsensusContext context, PeerSynchronization peers) {
        this.context = context;
        this.peers = peers;
    }

    /** Returns the start time of the latest successful contact, in microseconds; negative if none has succeeded. */
    long lastQuorumContactAt() {
        return lastQuorumContactAt;
    }

    /** Begins a contact. It fails immediately if no quorum is connected or the timeout has expired. */
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

    /**
     * Restarts all contacts after a change of the quorum, because confirmations counted under the previous quorum are
     * void.
     */
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

    /** Handles a peer's contact request. */
    void onRequest(String peer, long contactId, boolean settled) {
        if (!peers.isComplete()) {
            return; // acknowledged items may be missing from this node
        }
        if (!settled || context.replica.pending().isEmpty()) {
            context.port.sendContactConfirmation(peer, contactId);
        } else {
            pendingConfirmations.add(new PendingConfirmation(peer, contactId, pendingProposals(), context.now));
        }
    }

    /** Handles the confirmation of a peer; everything that was committed there has been merged into this node. */
    void onConfirmation(String peer, long contactId) {
        QuorumContact contact = contacts.get(contactId);
        if (contact != null) {
            contact.confirmedBy.add(peer);
            completeIfConfirmed(contactId);
        }
    }

    /** Removes a proposal that is no longer pending from the contacts and confirmations that wait for it. */
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

    /** Fails contacts that have timed out, and discards contact requests that have timed out at their sender. */
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
