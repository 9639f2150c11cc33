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
 * One process's part in hand-overs, by which a new process of a gatekeeper replaces the old one under load. A process
 * is first, perhaps, the successor of another, and may later be the predecessor of a third. The phases:
 *
 * <ol>
 *   <li>The successor connects, both say hello and compare versions and rules.
 *   <li>Once it is ready, the successor requests a snapshot; the predecessor closes its peers' socket and sends it.
 *   <li>The successor restores them, opens the peers' socket, serves, and says so.
 *   <li>Both send each other what they count, until the predecessor has answered its last request and ends.
 * </ol>
 *
 * <p>Every step that fails leads to where the process would be without the other one. Frames are handled on threads of
 * the connection; state that they share with the gatekeeper's loop is guarded by this object's monitor.
 */
public final class HandoverCoordinator implements HandoverConnection.HandoverFrameHandler, AutoCloseable {
    /** How long the other process may take to answer; a busy one answers within a few iterations of its loop. */
    private static final long REPLY_TIMEOUT_MILLIS = 1_000;

    /** What a hand-over asks of the gatekeeper; on the loop's thread unless it says otherwise. */
    public interface HandoverHost {
        /** Has a task run on the loop's thread; from any thread. */
        void runOnLoop(Runnable task);

        /** Closes the peers' socket, and returns what was counted. */
        List<HandoverFrame.ServiceSnapshot> releaseAndSnapshot();

        /** Goes on from what another process has counted, and opens the peers' socket. */
        void restoreAndOpen(List<HandoverFrame.ServiceSnapshot> snapshots);

        /** Counts what the other process has counted since. */
        void addUsage(String service, List<AccountUsage> usage);

        /** Returns what was counted here since the last time. */
        List<HandoverFrame.ServiceUsage> takeUsage();

        /**
         * The other process has gone.
         *
         * @param wasSuccessor whether it had taken our place, which is ours again
         */
        void onOtherProcessDisconnected(boolean wasSuccessor);

        /** Notes whether another process serves in our place; from any thread. */
        void setSuccessorServing(boolean serving);
    }

    private final Path socketPath;
    private final HandoverFrame.HandoverHello ownHello;
    private final HandoverHost host;
    private final Consumer<String> log;
    private HandoverConnection.HandoverServer server;
    private HandoverConnection predecessor;
    private HandoverConnection successor;
    private boolean snapshotSent;
    private boolean closed;
    private boolean snapshotRestored;
    private volatile HandoverConnection usagePeer;
    private final CountDownLatch helloReceived = new CountDownLatch(1);
    private final CountDownLatch snapshotReceived = new CountDownLatch(1);
    private final List<HandoverFrame.ServiceSnapshot> receivedSnapshots = new ArrayList<>();
    private boolean abandoned;

    /**
     * A coordinator that neither connects nor listens yet.
     *
     * @param rules all that must be the same in two processes for their counts to mean the same
     * @param log   receives lines for the log, on any thread
     */
    public HandoverCoordinator(Path socketPath, String rules, HandoverHost host, Consumer<String> log) {
        this.socketPath = socketPath;
        this.host = host;
        this.log = log;
        ownHello = new HandoverFrame.HandoverHello(HandoverFrameCodec.PROTOCOL_VERSION, rules);
    }

    // ---- The successor -------------------------------------------------------------------------------------------
    /**
     * Connects to another process of this gatekeeper and waits for its hello.
     *
     * @return whether one runs, be it one of another version, which hands nothing over
     */
    public boolean connectToPredecessor() throws InterruptedException {
        HandoverConnection connection = HandoverConnection.connect(socketPath, this);
        if (connection == null) {
            return false;
        }
        synchronized (this) {
            predecessor = connection;
        }
        connection.send(ownHello);
        if (!helloReceived.await(REPLY_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)) {
            abandonTakeover("the other process does not answer");
        }
        return true;
    }

    /**
     * Takes over what the predecessor has counted, if there is one; to be called when all else is ready.
     *
     * @return whether the counts are restored
     */
    public boolean takeOverCounts() throws InterruptedException {
        HandoverConnection connection;
        synchronized (this) {
            connection = predecessor;
        }
        if (connection == null) {
            return false;
        }
        connection.send(new HandoverFrame.SnapshotRequest());
        boolean complete = snapshotReceived.await(REPLY_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        CountDownLatch restored = new CountDownLatch(1);
        synchronized (this) {
            if (!complete || predecessor == null) {
                abandonTakeover("the other process does not tell what it has counted");
                return false;
            }
            snapshotRestored = true;
            host.runOnLoop(() -> {
                host.restoreAndOpen(List.copyOf(receivedSnapshots));
                usagePeer = connection;
                restored.countDown();
            });
        }
        return restored.await(REPLY_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    }

    private synchronized void abandonTakeover(String reason) {
        HandoverConnection connection = predecessor;
        predecessor = null;
        if (!abandoned) {
            abandoned = true;
            log.accept("hand-over: " + reason + "; starting from nothing");
        }
        if (connection != null && !snapshotRestored) {
            connection.close();
        }
        helloReceived.countDown();
        snapshotReceived.countDown();
    }

    /** This process serves now: the predecessor is notified, and successors may connect. */
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
            server = new HandoverConnection.HandoverServer(socketPath, this, this::onSuccessorConnected);
        } catch (IOException e) {
            log.accept("hand-over: not possible from this process: " + e.getMessage());
        }
    }

    // ---- The predecessor -----------------------------------------------------------------------------------------
    private synchronized void onSuccessorConnected(
            HandoverConnection connection, HandoverConnection.HandoverServer acceptedBy) {
        if (successor != null || closed || acceptedBy != server && server != null) {
            connection.close(); // one at a time
        } else {
            successor = connection;
        }
    }

    /** Ends this process's part; a process that starts now starts from nothing. */
    @Override
    public synchronized void close() {
        closed = true;
        if (predecessor != null) {
            predecessor.closeAfterWriting();
        }
        if (successor != null) {
            successor.closeAfterWriting();
        }
        if (server != null && !snapshotSent) {
            server.closeAndRemove();
        } else if (server != null) {
            server.close();
        }
    }

    // ---- Either one ----------------------------------------------------------------------------------------------
    /** Sends the other process what was counted here; on the loop's thread, every few dozen milliseconds. */
    public void sendUsage() {
        HandoverConnection peer = usagePeer;
        if (peer != null) {
            for (HandoverFrame.ServiceUsage usage : host.takeUsage()) {
                peer.send(usage);
            }
        }
    }

    /** Whether there is another process to send counts to. */
    public boolean isExchangingUsage() {
        return usagePeer != null;
    }

    @Override
    public void onFrame(HandoverConnection from, HandoverFrame frame) {
        if (frame instanceof HandoverFrame.HandoverHello hello) {
            onHello(from, hello);
        } else if (frame instanceof HandoverFrame.SnapshotRequest) {
            host.runOnLoop(() -> sendSnapshot(from));
        } else if (frame instanceof HandoverFrame.ServiceSnapshot snapshot) {
            synchronized (this) {
                receivedSnapshots.add(snapshot);
            }
            if (snapshot.last()) {
                snapshotReceived.countDown();
            }
        } else if (frame instanceof HandoverFrame.SuccessorServing) {
            log.accept("hand-over: another process serves in our place");
            host.setSuccessorServing(true);
        } else if (frame instanceof HandoverFrame.ServiceUsage usage) {
            host.runOnLoop(() -> host.addUsage(usage.service(), usage.accounts()));
        }
    }

    private void onHello(HandoverConnection from, HandoverFrame.HandoverHello hello) {
        boolean compatible =
                hello.version() == ownHello.version() && hello.rules().equals(ownHello.rules());
        synchronized (this) {
            if (from == successor && compatible) {
                from.send(ownHello);
            } else if (from == predecessor && compatible) {
                helloReceived.countDown();
            }
        }
        if (!compatible) {
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
        List<HandoverFrame.ServiceSnapshot> snapshots = host.releaseAndSnapshot();
        snapshots.forEach(to::send);
        usagePeer = to;
        log.accept("hand-over: told what was counted of "
                + snapshots.stream()
                        .mapToInt(service -> service.accounts().size())
                        .sum() + " customers");
    }

    @Override
    public void onClosed(HandoverConnection connection, String reason) {
        boolean successorGone = false;
        boolean predecessorGone = false;
        synchronized (this) {
            if (connection == successor) {
                successor = null;
                successorGone = snapshotSent && !closed;
                snapshotSent = false;
            } else if (connection == predecessor) {
                predecessorGone = snapshotRestored && !closed;
                if (!snapshotRestored) {
                    abandonTakeover(reason);
                }
                predecessor = null;
            }
        }
        if (connection == usagePeer) {
            usagePeer = null;
        }
        if (successorGone) {
            resumeServing(reason);
        } else if (predecessorGone) {
            log.accept("hand-over: the former process has gone");
            host.runOnLoop(() -> host.onOtherProcessDisconnected(false));
        }
    }

    /** The successor has gone, so that its place is ours again, and others may connect. */
    private void resumeServing(String reason) {
        log.accept("hand-over: the process that took our place has gone (" + reason + "); serving on");
        host.setSuccessorServing(false);
        host.runOnLoop(() -> host.onOtherProcessDisconnected(true));
        synchronized (this) {
            if (server != null) {
                server.close();
            }
            listen();
        }
    }
}
