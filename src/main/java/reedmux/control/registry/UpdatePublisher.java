package reedmux.control.registry;

import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import reedmux.common.eventloop.Reactor;
import reedmux.control.changes.ChangeCounter;
import reedmux.control.instances.InstanceDirectory;
import reedmux.control.rpc.MessageCodec;
import reedmux.control.rpc.Messages.ChangesRequest;
import reedmux.control.rpc.Messages.MembershipUpdate;
import reedmux.control.rpc.RpcConnection;
import reedmux.control.session.SessionTable;

/**
 * Answers the {@link ChangesRequest}s of registries and proxies with the changes since the requested position. If there
 * are none, the request waits for the next change. Changes are sent in batches: the batch delay grows with the number
 * of proxies, because each batch may have to be sent to all of them.
 */
final class UpdatePublisher {
    private static final long BATCH_DELAY_PER_SESSION_MICROS = 2_000;
    private static final long MAX_BATCH_DELAY_MICROS = 200_000;

    /** Position of a peer that has received nothing yet, or only updates of an earlier incarnation of this registry. */
    private static final long NO_CHANGE = -1;

    private final Reactor reactor;
    private final MessageCodec codec;
    private final long localIncarnation;
    private final ChangeCounter counter;
    private final InstanceDirectory directory;
    private final SessionTable sessions;
    /** Connections with an unanswered request. */
    private final Set<RpcConnection> waitingConnections = new LinkedHashSet<>();
    /** The last change that was published, or that the scheduled flush will publish. */
    private long publishedChange;

    private boolean flushScheduled;

    /** The pending request of a connection, attached to the connection; null while it has no request. */
    private record ChangeSubscription(long sinceChange) {}

    UpdatePublisher(
            Reactor reactor,
            MessageCodec codec,
            long localIncarnation,
            ChangeCounter counter,
            InstanceDirectory directory,
            SessionTable sessions) {
        this.reactor = reactor;
        this.codec = codec;
        this.localIncarnation = localIncarnation;
        this.counter = counter;
        this.directory = directory;
        this.sessions = sessions;
    }

    /** Answers a request immediately if the peer has no updates of this incarnation, otherwise with the next flush. */
    void onRequest(RpcConnection connection, ChangesRequest request) {
        boolean knowsThisIncarnation = request.incarnation() == localIncarnation;
        connection.attachment(new ChangeSubscription(knowsThisIncarnation ? request.sinceChange() : NO_CHANGE));
        waitingConnections.add(connection);
        if (!knowsThisIncarnation) {
            sendUpdate(connection, null);
        } else if (counter.last() > request.sinceChange()) {
            scheduleFlush();
        }
    }

    void onDisconnected(RpcConnection connection) {
        waitingConnections.remove(connection);
    }

    /** Schedules the changes of instances and sessions to be sent to the waiting connections. */
    void publishChanges() {
        sessions.recordViewChanges(reactor.now());
        if (counter.last() != publishedChange) {
            publishedChange = counter.last();
            scheduleFlush();
        }
    }

    private void scheduleFlush() {
        if (!flushScheduled) {
            flushScheduled = true;
            long delay =
                    Math.min(sessions.localSessionCount() * BATCH_DELAY_PER_SESSION_MICROS, MAX_BATCH_DELAY_MICROS);
            reactor.scheduleAfter(delay, this::flush);
        }
    }

    private void flush() {
        flushScheduled = false;
        Map<Long, byte[]> encodedBySinceChange = new HashMap<>();
        for (RpcConnection connection : List.copyOf(waitingConnections)) {
            sendUpdate(connection, encodedBySinceChange);
        }
    }

    /**
     * Answers the pending request of a connection if there are changes for it.
     *
     * @param encodedBySinceChange the updates to proxies that this flush has already encoded, by the change after which
     *     they start; null outside a flush
     */
    private void sendUpdate(RpcConnection connection, Map<Long, byte[]> encodedBySinceChange) {
        ChangeSubscription subscription = connection.attachment();
        if (subscription == null || subscription.sinceChange() >= counter.last()) {
            return;
        }
        long sinceChange = subscription.sinceChange();
        boolean peerIsRegistry = connection.peer().program().equals(Registry.PROGRAM_NAME);
        boolean shared = !peerIsRegistry && encodedBySinceChange != null;
        byte[] encoded = shared ? encodedBySinceChange.get(sinceChange) : null;
        if (encoded == null) {
            sessions.recordViewChanges(reactor.now());
            MembershipUpdate update = peerIsRegistry ? updateForRegistry(sinceChange) : updateForProxy(sinceChange);
            if (isEmpty(update)) {
                // None of the changes concern this peer.
                connection.attachment(new ChangeSubscription(counter.last()));
                return;
            }
            encoded = codec.encode(update);
            if (shared) {
                encodedBySinceChange.put(sinceChange, encoded);
            }
        }
        connection.attachment(null);
        waitingConnections.remove(connection);
        connection.sendEncoded(encoded);
    }

    /** Contains the owners, and only local sessions: each registry merges the sessions of all registries itself. */
    private MembershipUpdate updateForRegistry(long sinceChange) {
        return new MembershipUpdate(
                localIncarnation,
                counter.last(),
                directory.changedSince(sinceChange, reactor.now()),
                directory.ownersChangedSince(sinceChange),
                sessions.localChangesSince(sinceChange));
    }

    private MembershipUpdate updateForProxy(long sinceChange) {
        return new MembershipUpdate(
                localIncarnation,
                counter.last(),
                directory.changedSince(sinceChange, reactor.now()),
                List.of(),
                sessions.viewChangesSince(sinceChange));
    }

    private static boolean isEmpty(MembershipUpdate update) {
        return update.instances().isEmpty()
                && update.owners().isEmpty()
                && update.sessions().isEmpty();
    }
}
