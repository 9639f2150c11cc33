package reedmux.gatekeeper.handover;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import reedmux.gatekeeper.policy.HandoverCounts.AccountUsage;

/**
 * One process's part in hand-overs: first, perhaps, the one that takes another's place, later the one whose
 * place is taken. Every step that fails leads to where the process would be without the other one.
 */
public final class HandoverCoordinator implements HandoverConnection.HandoverFrameHandler, AutoCloseable {
    /** How long the other process may take for a word; one that is busy answers within a few turns. */
    private static final long REPLY_TIMEOUT_MILLIS = 1_000;

    /** What a hand-over asks of the gatekeeper. All but the first are called by the turns' thread. */
    public interface HandoverHost {
        /** Has this run by the turns' thread. */
        void runOnLoop(Runnable task);

        /** Lets the peers' socket go, and tells what was counted. */
        List<HandoverFrame.ServiceSnapshot> releaseAndSnapshot();

        /** Goes on from what another process has counted, and takes the peers' socket. */
        void restoreAndOpen(List<HandoverFrame.ServiceSnapshot> counted);

        /** Counts what the other process has counted since. */
        void addUsage(String service, List<AccountUsage> spent);

        /** What was counted here since the last time. */
        List<HandoverFrame.ServiceUsage> takeUsage();

        /** The other process has gone; {@code predecessor}: it had taken our place, which is ours again. */
        void onOtherProcessGone(boolean elder);

        /** Another process serves in our place, or does no more. Any thread. */
        void setSucceeded(boolean now);
    }

    private final Path socketPath;
    private final HandoverFrame.HandoverHello ownHello;
    private final HandoverHost host;
    private final Consumer<String> log;
    private HandoverConnection.HandoverServer listener;
    private HandoverConnection predecessor;
    private HandoverConnection successor;
    private boolean snapshotSent;
    private boolean closed;
    private boolean snapshotRestored;
    private volatile HandoverConnection usagePeer;
    private final CountDownLatch helloReceived = new CountDownLatch(1);
    private final CountDownLatch snapshotReceived = new CountDownLatch(1);
    private final List<HandoverFrame.ServiceSnapshot> receivedSnapshots = new ArrayList<>();
    private String problem;

    /** {@code rules}: all that must be the same in two processes for their counts to mean the same. */
    public HandoverCoordinator(Path place, String rules, HandoverHost body, Consumer<String> log) {
        this.socketPath = place;
        this.host = body;
        this.log = log;
        ownHello = new HandoverFrame.HandoverHello(HandoverFrameCodec.PROTOCOL_VERSION, rules);
    }

    // ---- The new process ---------------------------------------------------------------------------
    /** Whether another process of this gatekeeper runs, be it of a kind that hands nothing over. */
    public boolean connectToPredecessor() throws InterruptedException {
        HandoverConnection link = HandoverConnection.connect(socketPath, this);
        if (link == null) {
            return false;
        }
        synchronized (this) {
            predecessor = link;
        }
        link.send(ownHello);
        if (!helloReceived.await(REPLY_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)) {
            abandonTakeover("the other process does not answer");
        }
        return true;
    }

    /**
     * Takes over what the other process has counted, if there is one; to be called when all else is ready.
     * Returns whether it did, with the counts taken in.
     */
    public boolean takeOverCounts() throws InterruptedException {
        HandoverConnection from;
        synchronized (this) {
            from = predecessor;
        }
        if (from == null) {
            return false;
        }
        from.send(new HandoverFrame.SnapshotRequest());
        boolean all = snapshotReceived.await(REPLY_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        CountDownLatch taken = new CountDownLatch(1);
        synchronized (this) {
            if (!all || predecessor == null) {
                abandonTakeover("the other process does not tell what it has counted");
                return false;
            }
            snapshotRestored = true;
            host.runOnLoop(() -> {
                host.restoreAndOpen(List.copyOf(receivedSnapshots));
                usagePeer = from;
                taken.countDown();
            });
        }
        return taken.await(REPLY_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    }

    private synchronized void abandonTakeover(String why) {
        HandoverConnection link = predecessor;
        predecessor = null;
        if (problem == null) {
            problem = why;
            log.accept("hand-over: " + why + "; starting from nothing");
        }
        if (link != null && !snapshotRestored) {
            link.close();
        }
        helloReceived.countDown();
        snapshotReceived.countDown();
    }

    /** This process serves now: the other one is told, and later ones may take our place. */
    public synchronized void onServing() {
        if (predecessor != null) {
            predecessor.send(new HandoverFrame.SuccessorServing());
        }
        listen();
    }

    private synchronized void listen() {
        if (closed) {
            return;
        }
        try {
            listener = new HandoverConnection.HandoverServer(socketPath, this, this::onSuccessorConnected);
        } catch (IOException e) {
            log.accept("hand-over: not possible from this process: " + e.getMessage());
        }
    }

    // ---- The old process ---------------------------------------------------------------------------
    private synchronized void onSuccessorConnected(HandoverConnection link, HandoverConnection.HandoverServer by) {
        if (successor != null || closed || by != listener && listener != null) {
            link.close(); // one at a time
        } else {
            successor = link;
        }
    }

    /** Leaves; whoever comes now starts from nothing. */
    @Override
    public synchronized void close() {
        closed = true;
        for (HandoverConnection link : new HandoverConnection[] {predecessor, successor}) {
            if (link != null) {
                link.closeAfterWriting();
            }
        }
        if (listener != null && !snapshotSent) {
            listener.closeAndRemove();
        } else if (listener != null) {
            listener.close();
        }
    }

    // ---- Either ------------------------------------------------------------------------------------
    /** Tells the other process what was counted here; by the turns' thread, every few dozen milliseconds. */
    public void exchangeUsage() {
        HandoverConnection with = usagePeer;
        if (with != null) {
            for (HandoverFrame.ServiceUsage since : host.takeUsage()) {
                with.send(since);
            }
        }
    }

    /** Whether there is another process to be told. */
    public boolean isExchanging() {
        return usagePeer != null;
    }

    @Override
    public void onFrame(HandoverConnection from, HandoverFrame frame) {
        if (frame instanceof HandoverFrame.HandoverHello hello) {
            onHello(from, hello);
        } else if (frame instanceof HandoverFrame.SnapshotRequest) {
            host.runOnLoop(() -> sendSnapshot(from));
        } else if (frame instanceof HandoverFrame.ServiceSnapshot some) {
            synchronized (this) {
                receivedSnapshots.add(some);
            }
            if (some.last()) {
                snapshotReceived.countDown();
            }
        } else if (frame instanceof HandoverFrame.SuccessorServing) {
            log.accept("hand-over: another process serves in our place");
            host.setSucceeded(true);
        } else if (frame instanceof HandoverFrame.ServiceUsage since) {
            host.runOnLoop(() -> host.addUsage(since.service(), since.accounts()));
        }
    }

    private void onHello(HandoverConnection from, HandoverFrame.HandoverHello hello) {
        boolean same = hello.version() == ownHello.version() && hello.rules().equals(ownHello.rules());
        synchronized (this) {
            if (from == successor && same) {
                from.send(ownHello);
            } else if (from == predecessor && same) {
                helloReceived.countDown();
            }
        }
        if (!same) {
            log.accept("hand-over: the other process is of another version or has other settings");
            from.close();
        }
    }

    private void sendSnapshot(HandoverConnection to) {
        synchronized (this) {
            if (to != successor || snapshotSent) {
                return;
            }
            snapshotSent = true;
        }
        List<HandoverFrame.ServiceSnapshot> all = host.releaseAndSnapshot();
        all.forEach(to::send);
        usagePeer = to;
        log.accept("hand-over: told what was counted of "
                + all.stream().mapToInt(service -> service.accounts().size()).sum() + " customers");
    }

    @Override
    public void onClosed(HandoverConnection link, String why) {
        boolean lostPlace = false;
        boolean alone = false;
        synchronized (this) {
            if (link == successor) {
                successor = null;
                lostPlace = snapshotSent && !closed;
                snapshotSent = false;
            } else if (link == predecessor) {
                alone = snapshotRestored && !closed;
                if (!snapshotRestored) {
                    abandonTakeover(why);
                }
                predecessor = null;
            }
        }
        if (link == usagePeer) {
            usagePeer = null;
        }
        if (lostPlace) {
            log.accept("hand-over: the process that took our place has gone (" + why + "); serving on");
            host.setSucceeded(false);
            host.runOnLoop(() -> host.onOtherProcessGone(true));
            synchronized (this) {
                if (listener != null) {
                    listener.close();
                }
                listen();
            }
        } else if (alone) {
            log.accept("hand-over: the former process has gone");
            host.runOnLoop(() -> host.onOtherProcessGone(false));
        }
    }
}
