package reedmux.control.consensus;

import java.util.HashSet;
import java.util.Set;

/**
 * Tracks the state that a member of the next core takes over from the fenced members of the current one.
 *
 * <p>Invariant: a quorum of fenced members has everything that the epoch has decided or can still decide, so a node
 * that has taken over their states has it too. The handover is complete only when every proposal in it is either
 * pending at this node or known not to be decided.
 */
final class EpochHandover {
    private final CoreContext context;
    /** Fenced members whose committed items and pending proposals have been merged into this node. */
    private final Set<String> receivedFrom = new HashSet<>();
    /** Whether a complete handover has been persisted or is being persisted. */
    private boolean persisting;

    private boolean persisted;

    EpochHandover(CoreContext context) {
        this.context = context;
    }

    boolean isPersisted() {
        return persisted;
    }

    /** Requests the state of every member that has not handed it over yet. */
    void request() {
        if (context.isMember()) {
            receivedFrom.add(context.self);
        }
        for (String member : context.core.ips()) {
            if (!receivedFrom.contains(member)) {
                context.port.requestHandover(member, context.epoch());
            }
        }
    }

    void onHandover(String from) {
        receivedFrom.add(from);
    }

    /** Returns whether the handover is complete and has not been passed to the disk yet. */
    boolean isReadyToPersist() {
        return !persisting
                && context.quorum().isReachedBy(receivedFrom)
                && context.port.resolvesInDoubtProposals(receivedFrom);
    }

    void onPersisting() {
        persisting = true;
    }

    void onPersisted(boolean written) {
        persisting = written;
        persisted = written;
    }

    /** Clears the handover because the next epoch has started. */
    void reset() {
        receivedFrom.clear();
        persisting = false;
        persisted = false;
    }
}
