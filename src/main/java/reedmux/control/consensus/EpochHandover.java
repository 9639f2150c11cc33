package reedmux.control.consensus;

import java.util.HashSet;
import java.util.Set;

/**
 * What a member of the next core takes over from the fenced members of this one.
 *
 * <p>Invariant: a quorum of fenced members has everything the epoch has decided or can still decide, so a node that has
 * taken over their states has it, too. Until every proposal in it is either pending here or known not to be decided,
 * the handover is not complete.
 */
final class EpochHandover {
    private final CoreContext context;
    /** Fenced members whose committed items and pending proposals are here. */
    private final Set<String> receivedFrom = new HashSet<>();
    /** Whether that is a complete handover which is on the disk, or on its way there. */
    private boolean persisting;

    private boolean persisted;

    EpochHandover(CoreContext context) {
        this.context = context;
    }

    boolean isPersisted() {
        return persisted;
    }

    /** Asks all members whose state is missing for it. */
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

    /** Whether it is complete and has not been written to the disk yet. */
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

    /** The next epoch has begun. */
    void reset() {
        receivedFrom.clear();
        persisting = false;
        persisted = false;
    }
}
