package reedmux.simulation.soak;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import reedmux.common.eventloop.Reactor;
import reedmux.simulation.cluster.ClusterInvariantChecker;

/** The checkers of a soak, of which some crash, leave or are replaced. Must be used on the reactor's thread only. */
final class SoakCheckerFleet {
    /** The number of different addresses. */
    private static final int ADDRESSES = 200;

    private final Reactor reactor;
    private final Random random;
    private final ClusterInvariantChecker invariants;
    private final List<InetSocketAddress> controlAddresses;
    private final String network;
    private final double spoiltShare;
    private final boolean readsLate;
    private final List<SoakChecker> checkers = new ArrayList<>();
    /** Checkers that have left and still serve. */
    private final List<SoakChecker> leaving = new ArrayList<>();

    private int startedCheckers;

    /** Creates an empty fleet at addresses that begin with {@code network}, whose checkers may read late. */
    SoakCheckerFleet(
            Reactor reactor,
            Random random,
            ClusterInvariantChecker invariants,
            List<InetSocketAddress> controlAddresses,
            String network,
            double spoiltShare,
            boolean readsLate) {
        this.reactor = reactor;
        this.random = random;
        this.invariants = invariants;
        this.controlAddresses = controlAddresses;
        this.network = network;
        this.spoiltShare = spoiltShare;
        this.readsLate = readsLate;
    }

    /** Starts a checker with a new id. */
    void start() {
        int number = startedCheckers++;
        String ip = network + (1 + number % ADDRESSES);
        try {
            SoakChecker checker =
                    new SoakChecker(reactor, random, invariants, controlAddresses, "c-" + number, ip, number);
            checker.spoil(spoiltShare);
            checker.readLate(readsLate);
            checkers.add(checker);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private SoakChecker removeAny(Random faultRandom) {
        return checkers.remove(faultRandom.nextInt(checkers.size()));
    }

    /** Crashes a random checker and starts another one. */
    void replace(Random faultRandom) {
        removeAny(faultRandom).crash();
        start();
    }

    /** Closes all connections of a random checker. */
    void cut(Random faultRandom) {
        checkers.get(faultRandom.nextInt(checkers.size())).cutConnections();
    }

    /**
     * Lets a random checker leave without becoming draining first, and starts another one. {@code onAcknowledged} runs
     * at the moment at which the leave is acknowledged.
     */
    void leave(Random faultRandom, Runnable onAcknowledged) {
        SoakChecker checker = removeAny(faultRandom);
        leaving.add(checker);
        start();
        checker.leave(onAcknowledged);
    }

    /** Records when all processes that were killed run again; the time in which requests may go astray starts anew. */
    void noteRestart(long restartedAt) {
        leaving.forEach(checker -> checker.noteRestart(restartedAt));
    }

    /** Ends the spoilt answers of all checkers. */
    void stopSpoiling() {
        checkers.forEach(checker -> checker.spoil(0));
    }
}
