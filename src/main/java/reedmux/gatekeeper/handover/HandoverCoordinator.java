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
 * Coordinates hand-overs, in which a new process of a gatekeeper replaces the old one under load. A process may first
 * be the successor of another process and later the predecessor of a third one. The phases are:
 *
 * <ol>
 *   <li>The successor connects. Both processes send a hello frame and compare versions and rules.
 *   <li>When the successor is ready, it requests a snapshot. The predecessor closes its peer socket and sends the
 *     snapshot.
 *   <li>The successor restores the snapshot, opens the peer socket, starts to serve, and notifies the predecessor.
 *   <li>Both processes send each other the usage that they count, until the predecessor has answered its last request
 *     and ends.
 * </ol>
 *
 * <p>If a step fails, each process continues as if the other one did not exist. Frames are handled on the threads of
 * the connection; state that these share with the gatekeeper's event loop is guarded by the monitor of this object.
 */
public final class HandoverCoordinator implements HandoverConnection.HandoverFrameHandler, AutoCloseable {
    /**
     * Usual maximum time for a reply of the other process. Even a busy process replies within a few iterations of its
     * event loop.
     */
    public static final long REPLY_TIMEOUT_MILLIS = 1_000;

    /**
     * The operations that a hand-over requires of the gatekeeper. They are called on the event loop's thread unless
     * documented otherwise.
     */
    public interface HandoverHost {
        /** Runs a task on the event loop's thread; may be called from any thread. */
        void runOnLoop(Runnable task);

        /** Closes the peer socket and returns a snapshot of all counts. */
        List<HandoverFrame.ServiceSnapshot> releaseAndSnapshot();

        /** Restores the snapshots of another process, and opens the peer socket. */
        void restoreAndOpen(List<HandoverFrame.ServiceSnapshot> snapshots);

        /** Adds usage that the other process has counted. */
        void addUsage(String service, List<AccountUsage> usage);

        /** Returns the usage counted by this process since the last call. */
        List<HandoverFrame.ServiceUsage> takeUsage();

        /**
         * Handles the end of the connection to the other process.
         *
         * @param wasSuccessor whether the other process had taken over from this one, which now serves alone again
         */
        void onOtherProcessDisconnected(boolean wasSuccessor);

        /** Records whether a successor serves in place of this process; may be called from any thread. */
        void setSuccessorServing(boolean serving);
    }

    private final Path socketPath;
    private final long replyMillis;
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
     * Creates a coordinator, which neither connects nor listens yet.
     *
     * @param rules description of all settings that must be equal in both processes for their counts to be compatible
     * @param replyMillis maximum time in milliseconds for a reply of the other process
     * @param log   receives log lines, on any thread
     */
    public HandoverCoordinator(
            Path socketPath, String rules, long replyMillis, HandoverHost host, Consumer<String> log) {
        this.socketPath = socketPath;
        this.replyMillis = replyMillis;
        this.host = host;
        this.log = log;
        ownHello = new HandoverFrame.HandoverHello(HandoverFrameCodec.PROTOCOL_VERSION, rules);
    }

    // ---- As the successor ----------------------------------------------------------------------------------------
    /**
     * Connects to another process of this gatekeeper and waits for its hello frame.
     *
     * @return whether such a process is running, even if its version is incompatible and it hands nothing over
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
        if (!helloReceived.await(replyMillis, TimeUnit.MILLISECONDS)) {
            abandonTakeover("the other process does not answer");
        }
        return true;
    }

    /**
     * Requests the counts of the predecessor, if there is one, and restores them. To be called when everything else is
     * ready.
     *
     * @return whether the counts have been restored
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
        boolean complete = snapshotReceived.await(replyMillis, TimeUnit.MILLISECONDS);
        CountDownLatch restored = new CountDownLatch(1);
        synchronized (this) {
            if (!complete || predecessor == null) {
                abandonTakeover("no complete snapshot was received from the other process");
                return false;
            }
            snapshotRestored = true;
            host.runOnLoop(() -> {
                host.restoreAndOpen(List.copyOf(receivedSnapshots));
                usagePeer = connection;
                restored.countDown();
            });
        }
        return restored.await(replyMillis, TimeUnit.MILLISECONDS);
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

    /** Notifies the predecessor that this process serves now, and starts listening for a successor. */
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

    // ---- As the predecessor --------------------------------------------------------------------------------------
    private synchronized void onSuccessorConnected(
            HandoverConnection connection, HandoverConnection.HandoverServer acceptedBy) {
        if (successor != null || closed || acceptedBy != server && server != null) {
            connection.close(); // only one successor at a time
        } else {
            successor = connection;
        }
    }

    /** Ends the hand-over for this process. A process that starts afterwards takes over no counts from it. */
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

    // ---- In both roles -------------------------------------------------------------------------------------------
    /**
     * Sends the other process the usage counted here. Called on the event loop's thread, every few dozen milliseconds.
     */
    public void sendUsage() {
        HandoverConnection peer = usagePeer;
        if (peer != null) {
            for (HandoverFrame.ServiceUsage usage : host.takeUsage()) {
                peer.send(usage);
            }
        }
    }

    /** Returns whether there is another process to exchange usage with. */
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

    /** Resumes serving in place of a successor that has disconnected, and listens for another one. */
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
