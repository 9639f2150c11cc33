package reedmux.cli;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import reedmux.common.time.MonotonicClock;
import reedmux.gatekeeper.admin.LifeCycle;
import reedmux.gatekeeper.handover.HandoverCoordinator;
import reedmux.gatekeeper.handover.HandoverFrame;
import reedmux.gatekeeper.peer.PeerSocket;
import reedmux.gatekeeper.policy.HandoverCounts;
import reedmux.gatekeeper.service.ServiceManager;

/**
 * Gives the handover access to a gatekeeper process: to the counts of its services, its life cycle, and the peer
 * socket, which only one of the two processes can have open. All methods except {@link #runOnLoop} must be called on
 * the event loop's thread.
 */
final class HandoverCallbacks implements HandoverCoordinator.HandoverHost {
    private final PeerSocket peers;
    private final LifeCycle lifeCycle;
    private final MonotonicClock clock;
    private final Consumer<String> log;
    private volatile ServiceManager services;
    /** Whether opening the peer socket has to be retried until the other process has released it. */
    private boolean peerSocketPending;

    HandoverCallbacks(PeerSocket peers, LifeCycle lifeCycle, MonotonicClock clock, Consumer<String> log) {
        this.peers = peers;
        this.lifeCycle = lifeCycle;
        this.clock = clock;
        this.log = log;
    }

    /** Sets the services, which are created after this object; must be called before the event loop runs. */
    void attach(ServiceManager newServices) {
        services = newServices;
    }

    @Override
    public void runOnLoop(Runnable task) {
        services.runInEventLoop(task);
    }

    @Override
    public List<HandoverFrame.ServiceSnapshot> releaseAndSnapshot() {
        try {
            peers.release();
        } catch (IOException e) {
            log.accept("hand-over: cannot release the peers' socket: " + e.getMessage());
        }
        List<HandoverFrame.ServiceSnapshot> snapshots = new ArrayList<>();
        Map<String, HandoverCounts> counts = services.handoverCounts();
        counts.forEach((name, serviceCounts) -> snapshots.add(new HandoverFrame.ServiceSnapshot(
                name, serviceCounts.snapshot(clock.now()), snapshots.size() == counts.size() - 1)));
        return snapshots;
    }

    @Override
    public void restoreAndOpen(List<HandoverFrame.ServiceSnapshot> snapshots) {
        Map<String, HandoverCounts> counts = services.handoverCounts();
        for (HandoverFrame.ServiceSnapshot snapshot : snapshots) {
            HandoverCounts serviceCounts = counts.get(snapshot.service());
            if (serviceCounts != null) {
                serviceCounts.restore(clock.now(), snapshot.accounts());
            }
        }
        openPeerSocket();
    }

    @Override
    public void addUsage(String service, List<HandoverCounts.AccountUsage> usage) {
        HandoverCounts counts = services.handoverCounts().get(service);
        if (counts != null) {
            counts.addUsage(clock.now(), usage);
        }
    }

    @Override
    public List<HandoverFrame.ServiceUsage> takeUsage() {
        List<HandoverFrame.ServiceUsage> usages = new ArrayList<>();
        services.handoverCounts().forEach((name, counts) -> {
            List<HandoverCounts.AccountUsage> usage = counts.takeUsage();
            if (!usage.isEmpty()) {
                usages.add(new HandoverFrame.ServiceUsage(name, usage));
            }
        });
        return usages;
    }

    @Override
    public void onOtherProcessDisconnected(boolean wasSuccessor) {
        services.handoverCounts().values().forEach(HandoverCounts::endSharing);
        if (wasSuccessor) {
            openPeerSocket();
        }
    }

    @Override
    public void setSuccessorServing(boolean serving) {
        lifeCycle.setSuccessor(serving);
    }

    /** Opens the peer socket; {@link #retryPeerSocket} retries this while the other process has it open. */
    void openPeerSocket() {
        boolean isRetry = peerSocketPending;
        peerSocketPending = false;
        try {
            peers.open();
        } catch (IOException e) {
            peerSocketPending = true;
            if (!isRetry) {
                log.accept("hand-over: the peers' socket is not free yet: " + e.getMessage());
            }
        }
    }

    /** Retries opening the peer socket if the last attempt failed. */
    void retryPeerSocket() {
        if (peerSocketPending) {
            openPeerSocket();
        }
    }
}
