package reedmux.control.consensus;

/**
 * The acceptor of a node: promises and accepts the successor of the epoch.
 *
 * <p>Phases of one that accepts: <em>fence</em> (it writes what it accepts to the disk and prepares no new proposal
 * under the epoch from then on), <em>fetch</em> (who is to be a member of the next core takes over the state of the
 * fenced members, {@link EpochHandover}), <em>confirm</em> (it answers the proposer).
 *
 * <p>Invariant: whatever is answered is on the disk before.
 */
final class EpochAcceptor {
    private final CoreContext context;
    private final EpochHandover handover;
    private Ballot promised;
    private Ballot accepted;
    private CoreMembers acceptedValue;
    /** Whether what was accepted is on the disk. */
    private boolean acceptedPersisted;

    /** {@code found}: what was on the disk, or null. */
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

    /** Whether a successor was accepted here, so that nothing new is prepared under this epoch. */
    boolean isFenced() {
        return accepted != null;
    }

    /** Whether that is on the disk, so that this node's state under the epoch is final. */
    boolean isFencedOnDisk() {
        return acceptedPersisted;
    }

    /** The number of the highest ballot promised; 0 for none. */
    long promisedNumber() {
        return promised == null ? 0 : promised.number();
    }

    PersistentCoreState persistentState() {
        return new PersistentCoreState(context.core, promised, accepted, acceptedValue, context.removed);
    }

    /** The next epoch has begun. */
    void reset() {
        promised = null;
        accepted = null;
        acceptedValue = null;
        acceptedPersisted = false;
        handover.reset();
    }

    /** A proposer asks for a promise. */
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

    /** A proposer asks to accept a value: to be asked of members and of who is to be one. */
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

    /** Asks for the state that is missing where this node is to be a member of the next core. */
    void requestHandovers() {
        if (acceptedPersisted && acceptedValue.contains(context.self) && !handover.isPersisted()) {
            handover.request();
            completeHandover();
        }
    }

    /** The state of a fenced member has been taken over. */
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

    /** Tells the proposer that this node has accepted, once it is ready for what it is to be afterwards. */
    private void confirm() {
        if (acceptedPersisted && (handover.isPersisted() || !acceptedValue.contains(context.self))) {
            context.send(
                    accepted.proposer(),
                    new EpochMessage(EpochMessageType.ACCEPTED, context.epoch(), accepted, null, null));
        }
    }
}
