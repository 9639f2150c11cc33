package reedmux.control.consensus;

/**
 * The acceptor of a node. It promises ballots and accepts the successor of the epoch.
 *
 * <p>A node that accepts goes through three phases. <em>Fence</em>: it persists the accepted value and from then on
 * prepares no new proposals under the epoch. <em>Fetch</em>: a member of the next core takes over the state of the
 * fenced members ({@link EpochHandover}). <em>Confirm</em>: it replies to the proposer.
 *
 * <p>Invariant: the node persists its state before it replies.
 */
final class EpochAcceptor {
    private final CoreContext context;
    private final EpochHandover handover;
    private Ballot promised;
    private Ballot accepted;
    private CoreMembers acceptedValue;
    /** Whether the accepted value is persisted. */
    private boolean acceptedPersisted;

    /** Creates an acceptor from the state found on the disk, or from null if there was none. */
    EpochAcceptor(CoreContext context, PersistentCoreState storedState) {
        this.context = context;
        handover = new EpochHandover(context);
        if (storedState != null) {
            promised = storedState.promised();
            accepted = storedState.accepted();
            acceptedValue = storedState.value();
            acceptedPersisted = accepted != null;
        }
    }

    /** Returns whether this node has accepted a successor and therefore prepares no new proposals under this epoch. */
    boolean isFenced() {
        return accepted != null;
    }

    /** Returns whether the accepted successor is persisted, which makes this node's state under the epoch final. */
    boolean isFencedOnDisk() {
        return acceptedPersisted;
    }

    /** Returns the number of the highest promised ballot; 0 if there is none. */
    long promisedNumber() {
        return promised == null ? 0 : promised.number();
    }

    PersistentCoreState persistentState() {
        return new PersistentCoreState(context.core, promised, accepted, acceptedValue, context.removed);
    }

    /** Clears all state because the next epoch has started. */
    void reset() {
        promised = null;
        accepted = null;
        acceptedValue = null;
        acceptedPersisted = false;
        handover.reset();
    }

    /** Handles a proposer's request for a promise. */
    void onPrepare(String from, EpochMessage prepare) {
        if (!context.isMember() || !context.mayVote() || rejectIfSuperseded(from, prepare.ballot())) {
            return;
        }
        promised = prepare.ballot();
        PersistentCoreState stateToPersist = persistentState();
        context.port.persistCore(stateToPersist, done -> {
            if (done
                    && context.epoch() == prepare.epoch()
                    && stateToPersist.promised().equals(promised)) {
                context.send(
                        from,
                        new EpochMessage(
                                EpochMessageType.PROMISE,
                                prepare.epoch(),
                                prepare.ballot(),
                                stateToPersist.accepted(),
                                stateToPersist.value()));
            }
        });
    }

    /**
     * Handles a proposer's request to accept a value. Such requests are sent to the members of the current and the next
     * core.
     */
    void onAccept(String from, EpochMessage accept) {
        boolean eligible =
                context.isMember() ? context.mayVote() : accept.value().contains(context.self);
        if (!eligible || rejectIfSuperseded(from, accept.ballot())) {
            return;
        }
        if (acceptedPersisted && accept.ballot().equals(accepted)) {
            confirm();
            return;
        }
        promised = accept.ballot();
        accepted = accept.ballot();
        acceptedValue = accept.value();
        acceptedPersisted = false;
        context.port.notifyCoreChanged();
        context.persist(done -> {
            if (done && accept.ballot().equals(accepted)) {
                acceptedPersisted = true;
                requestHandovers();
                confirm();
            }
        });
    }

    private boolean rejectIfSuperseded(String from, Ballot ballot) {
        if (promised != null && ballot.compareTo(promised) < 0) {
            context.send(from, new EpochMessage(EpochMessageType.REJECTED, context.epoch(), promised, null, null));
            return true;
        }
        return false;
    }

    /** Requests the missing states of fenced members if this node is a member of the next core. */
    void requestHandovers() {
        if (acceptedPersisted && acceptedValue.contains(context.self) && !handover.isPersisted()) {
            handover.request();
            completeHandover();
        }
    }

    /** Handles the completed transfer of the state of a fenced member. */
    void onHandover(String from) {
        handover.onHandover(from);
        completeHandover();
    }

    private void completeHandover() {
        if (!acceptedPersisted || !handover.isReadyToPersist()) {
            return;
        }
        handover.onPersisting();
        long epoch = context.epoch();
        context.persist(done -> {
            if (epoch == context.epoch()) {
                handover.onPersisted(done);
                confirm();
            }
        });
    }

    /** Replies to the proposer that this node has accepted, once it is ready for its role in the next core. */
    private void confirm() {
        if (acceptedPersisted && (handover.isPersisted() || !acceptedValue.contains(context.self))) {
            context.send(
                    accepted.proposer(),
                    new EpochMessage(EpochMessageType.ACCEPTED, context.epoch(), accepted, null, null));
        }
    }
}
