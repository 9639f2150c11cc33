package reedmux.control.consensus;

import java.util.List;
import java.util.function.BiConsumer;
import reedmux.control.configuration.ConfigurationChangeFormat;
import reedmux.control.configuration.ConfigurationItem;
import reedmux.control.configuration.InvalidConfigurationException;
import reedmux.control.replication.Replica.ValidationResult;

/**
 * Handles the operator's changes and reads, from the request to the reply.
 *
 * <p>A change that is valid and new to this node is proposed immediately. A reply that doesn't result from a decision
 * of its own (a read, a change that is already committed, a rejection) is sent only after a settled contact with a
 * quorum, so that it is based on everything that was acknowledged earlier.
 */
final class OperatorRequests {
    /**
     * The maximum number of times that a change is proposed if it is dropped because of contending or missing items.
     */
    private static final int MAX_ATTEMPTS = 3;

    private static final String NO_QUORUM = "too few of the others can be reached";
    private static final String NO_CONTACT = "too few of the others can be reached, or a change is being made";
    private static final String NOT_DECIDED = "too few stores could keep the change";
    private static final String NO_CONTENT = "{}";

    private final ConsensusContext context;
    private final PeerSynchronization peers;
    private final QuorumContacts contacts;
    private final Proposer proposer;
    /** Distinguishes the proposals of this process from those of earlier processes of this node. */
    private final long incarnation;

    private long lastProposalNumber;

    OperatorRequests(
            ConsensusContext context,
            long incarnation,
            PeerSynchronization peers,
            QuorumContacts contacts,
            Proposer proposer) {
        this.context = context;
        this.incarnation = incarnation;
        this.peers = peers;
        this.contacts = contacts;
        this.proposer = proposer;
    }

    /** A change in progress; its attempts run one after another. */
    private final class PendingChange implements RoundListener {
        private final List<ConfigurationItem> items;
        private final BiConsumer<Integer, String> reply;
        private final long receivedAt;
        private int attempt = 1;

        private PendingChange(List<ConfigurationItem> items, BiConsumer<Integer, String> reply, long receivedAt) {
            this.items = items;
            this.reply = reply;
            this.receivedAt = receivedAt;
        }

        @Override
        public void onCommitted() {
            reply.accept(OperationStatus.OK, NO_CONTENT);
        }

        @Override
        public void onDropped() {
            if (attempt < MAX_ATTEMPTS) {
                attempt++;
                retryAfterContact(this); // the contending or missing items are known by then
            } else {
                onAbandoned();
            }
        }

        @Override
        public void onAbandoned() {
            reply.accept(OperationStatus.UNAVAILABLE, NOT_DECIDED);
        }
    }

    /** Handles a change of the configuration. */
    void onChange(String body, BiConsumer<Integer, String> reply) {
        List<ConfigurationItem> items;
        try {
            items = ConfigurationChangeFormat.parse(body);
        } catch (InvalidConfigurationException e) {
            reply.accept(OperationStatus.INVALID, e.getMessage());
            return;
        }
        if (peers.isCurrent()) {
            attempt(new PendingChange(items, reply, context.now), false);
        } else {
            reply.accept(OperationStatus.UNAVAILABLE, NO_QUORUM);
        }
    }

    /**
     * Proposes a change or replies to it. {@code settled} means that everything acknowledged before the change was
     * received is committed at this node.
     */
    private void attempt(PendingChange change, boolean settled) {
        List<ConfigurationItem> newItems = context.replica.findUncommitted(change.items);
        ValidationResult result = context.replica.validate("", change.items);
        if (result == ValidationResult.VALID && !newItems.isEmpty()) {
            String id = context.self + '/' + incarnation + '/' + ++lastProposalNumber;
            Proposal proposal = new Proposal(id, new Ballot(1, context.self), newItems);
            proposer.propose(proposal, change, change.receivedAt);
        } else if (!settled || result == ValidationResult.CONFLICTS_WITH_PENDING) {
            retryAfterContact(change);
        } else {
            answer(change, result);
        }
    }

    private void retryAfterContact(PendingChange change) {
        contacts.begin(change.receivedAt, true, reached -> {
            if (reached) {
                attempt(change, true);
            } else {
                change.reply.accept(OperationStatus.UNAVAILABLE, NO_CONTACT);
            }
        });
    }

    private void answer(PendingChange change, ValidationResult result) {
        switch (result) {
            case VALID -> change.reply.accept(OperationStatus.OK, NO_CONTENT); // already committed or superseded
            case REVISION_EXPIRED ->
                change.reply.accept(OperationStatus.UNAVAILABLE, "a revision is too old to be known");
            case REVISION_REUSED -> change.reply.accept(OperationStatus.CONFLICT, context.replica.problem());
            default -> change.reply.accept(OperationStatus.INVALID, context.replica.problem());
        }
    }

    /** Handles a read of all committed items. */
    void onRead(BiConsumer<Integer, String> reply) {
        contacts.begin(context.now, true, reached -> {
            if (reached) {
                reply.accept(OperationStatus.OK, ConfigurationChangeFormat.write(context.replica.committed()));
            } else {
                reply.accept(OperationStatus.UNAVAILABLE, NO_CONTACT);
            }
        });
    }
}
